//! Client blocks in a file of their own: a line each, `BLOCK ZONE`.
//!
//! At 270,000 blocks YAML would take many times the memory of the table that is made
//! of it, so the file is read line by line and nothing of it is kept.

use crate::{Problem, SettingsError};
use brasswinch_types::Zone;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;

/// Most wrong lines that are told at once.
const MOST_PROBLEMS: usize = 20;

/// Reads `path` and hands each block and its zone to `take`. Empty lines and lines that
/// start with `#` are passed over.
pub(crate) fn read(
    path: &Path,
    zones: &[Zone],
    mut take: impl FnMut(IpNet, &Zone),
) -> Result<(), SettingsError> {
    let unreadable = |source| SettingsError::Unreadable {
        path: path.display().to_string(),
        source,
    };
    let known: BTreeMap<&str, &Zone> = zones.iter().map(|zone| (zone.as_str(), zone)).collect();
    let mut problems = Vec::new();
    let file = File::open(path).map_err(unreadable)?;
    for (index, line) in BufReader::new(file).lines().enumerate() {
        let line = line.map_err(unreadable)?;
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        match parse(line, &known) {
            Ok((block, zone)) => take(block, zone),
            Err(reason) => problems.push(Problem::new(format!("line {}", index + 1), reason)),
        }
        if problems.len() >= MOST_PROBLEMS {
            break;
        }
    }
    if problems.is_empty() {
        return Ok(());
    }
    Err(SettingsError::Wrong {
        path: path.display().to_string(),
        problems,
    })
}

fn parse<'z>(line: &str, known: &BTreeMap<&str, &'z Zone>) -> Result<(IpNet, &'z Zone), String> {
    let (block, zone) = line
        .split_once(char::is_whitespace)
        .ok_or("expected a block and a zone, such as `10.1.0.0/16 guj-west-a`")?;
    let block = block
        .parse()
        .map_err(|_| format!("`{block}` is no block, such as 10.1.0.0/16"))?;
    let zone = zone.trim();
    let zone = known.get(zone).ok_or_else(|| format!("no zone `{zone}`"))?;
    Ok((block, zone))
}
