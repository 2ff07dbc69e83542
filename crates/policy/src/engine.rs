//! Runs a policy program within bounds.

use crate::builder::PlanBuilder;
use crate::inventory::Inventory;
use brasswinch_types::Plan;
use rhai::{Engine, EvalAltResult, Position};
use serde::Serialize;
use std::fmt;

/// What a program may use. None of it can be raised by a workspace.
#[derive(Clone, Copy, Debug)]
pub struct PolicyLimits {
    /// Longest source, in bytes.
    pub source_bytes: usize,
    /// Most operations.
    pub operations: u64,
    /// Deepest calls.
    pub call_levels: usize,
    /// Deepest expression.
    pub expression_depth: usize,
    /// Longest string, in bytes.
    pub string_bytes: usize,
    /// Most elements of an array or map.
    pub elements: usize,
}

impl Default for PolicyLimits {
    fn default() -> Self {
        Self {
            source_bytes: 64 * 1024,
            operations: 200_000,
            call_levels: 16,
            expression_depth: 32,
            string_bytes: 4 * 1024,
            elements: 1_024,
        }
    }
}

/// Why a policy was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, thiserror::Error)]
pub struct PolicyError {
    /// Line of the source, from 1; `None` where the whole program is at fault.
    pub line: Option<usize>,
    /// Column of the line, from 1.
    pub column: Option<usize>,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for PolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let (Some(line), Some(column)) = (self.line, self.column) {
            write!(f, "line {line}, column {column}: ")?;
        }
        f.write_str(&self.reason)
    }
}

/// Evaluates the program of a workspace that owns `inventory`.
pub fn evaluate(
    source: &str,
    inventory: Inventory,
    limits: PolicyLimits,
) -> Result<Plan, PolicyError> {
    if source.len() > limits.source_bytes {
        return Err(whole(format!(
            "the program is longer than {} bytes",
            limits.source_bytes
        )));
    }
    let builder = PlanBuilder::new(inventory);
    let mut engine = bounded_engine(limits);
    builder.register(&mut engine);
    engine.run(source).map_err(|error| placed(&error))?;
    builder.finish().map_err(whole)
}

fn bounded_engine(limits: PolicyLimits) -> Engine {
    let mut engine = Engine::new();
    engine.set_max_operations(limits.operations);
    engine.set_max_call_levels(limits.call_levels);
    engine.set_max_expr_depths(limits.expression_depth, limits.expression_depth);
    engine.set_max_string_size(limits.string_bytes);
    engine.set_max_array_size(limits.elements);
    engine.set_max_map_size(limits.elements);
    engine.set_max_variables(limits.elements);
    engine.set_max_functions(64);
    engine.set_max_modules(0);
    engine.disable_symbol("eval");
    engine.on_print(|_| {});
    engine.on_debug(|_, _, _| {});
    // The library's clock would make daemons disagree about a plan.
    engine.register_fn("timestamp", || -> Result<(), Box<EvalAltResult>> {
        Err("a policy has no clock".into())
    });
    engine
}

fn placed(error: &EvalAltResult) -> PolicyError {
    let position = innermost(error);
    let mut bare = error.unwrap_inner().to_string();
    if let Some(cut) = bare.rfind(" (line ") {
        bare.truncate(cut);
    }
    PolicyError {
        line: position.line(),
        column: position.position(),
        reason: bare.trim_start_matches("Runtime error: ").to_owned(),
    }
}

fn innermost(error: &EvalAltResult) -> Position {
    let inner = error.unwrap_inner().position();
    if inner.is_none() {
        error.position()
    } else {
        inner
    }
}

fn whole(reason: String) -> PolicyError {
    PolicyError {
        line: None,
        column: None,
        reason,
    }
}
