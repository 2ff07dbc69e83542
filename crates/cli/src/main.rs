//! The operators' command line.

mod commands;
mod operator;

use cap::Cap;
use std::alloc::System;
use std::process::ExitCode;

/// Counts allocated bytes, for `lab slopes`.
#[global_allocator]
static ALLOCATOR: Cap<System> = Cap::new(System, usize::MAX);

/// Bytes allocated now.
pub(crate) fn allocated_bytes() -> usize {
    ALLOCATOR.allocated()
}

fn main() -> ExitCode {
    commands::run(argh::from_env())
}
