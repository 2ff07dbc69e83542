//! Measures how cost grows with size, for `docs/CAPACITY.md`.

use crate::http::LabError;

/// Runs every measurement and prints the table.
pub async fn run(_as_json: bool) -> Result<(), LabError> {
    Err(LabError::Answer("not built yet".into()))
}
