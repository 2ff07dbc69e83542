//! Latency histograms of each workspace and class, bounded in memory.

use brasswinch_types::{Class, Workspace};
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};

/// Highest latency that the histograms distinguish, in microseconds: one hour.
const LONGEST_US: u64 = 3_600_000_000;

/// Two significant digits keep a histogram at some tens of kilobytes.
const SIGNIFICANT_DIGITS: u8 = 2;

/// Most workspaces that get histograms of their own; the rest share one.
const MOST_WORKSPACES: usize = 1_024;

/// Name of the shared histogram.
const OTHERS: &str = "(others)";

/// Latencies of one workspace and class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassLatency {
    /// The workspace.
    pub workspace: Workspace,
    /// The class's name.
    pub class: &'static str,
    /// How many requests were counted.
    pub count: u64,
    /// Median, in microseconds.
    pub p50_us: u64,
    /// 99th percentile, in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile, in microseconds.
    pub p999_us: u64,
}

/// All histograms of a process.
#[derive(Debug, Default)]
pub struct LatencyTable {
    histograms: Mutex<BTreeMap<(Workspace, &'static str), Histogram<u32>>>,
}

impl LatencyTable {
    /// Counts one request.
    pub fn record(&self, workspace: &Workspace, class: Class, micros: u64) {
        let mut histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let key = (workspace.clone(), class.name());
        let full = histograms.len() >= MOST_WORKSPACES && !histograms.contains_key(&key);
        let key = if full {
            (Workspace::new(OTHERS), class.name())
        } else {
            key
        };
        let histogram = match histograms.entry(key) {
            std::collections::btree_map::Entry::Occupied(entry) => entry.into_mut(),
            std::collections::btree_map::Entry::Vacant(entry) => {
                let Ok(histogram) = Histogram::new_with_bounds(1, LONGEST_US, SIGNIFICANT_DIGITS)
                else {
                    return;
                };
                entry.insert(histogram)
            }
        };
        histogram.saturating_record(micros.max(1));
    }

    /// Returns how many requests of a workspace and class were counted, and their 99.9th percentile
    /// in microseconds; `None` if they have no histogram of their own.
    pub fn p999(&self, workspace: &Workspace, class: Class) -> Option<(u64, u64)> {
        let histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let histogram = histograms.get(&(workspace.clone(), class.name()))?;
        Some((histogram.len(), histogram.value_at_quantile(0.999)))
    }

    /// A summary of each histogram.
    pub fn summary(&self) -> Vec<ClassLatency> {
        let histograms = self
            .histograms
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        histograms
            .iter()
            .map(|((workspace, class), histogram)| ClassLatency {
                workspace: workspace.clone(),
                class,
                count: histogram.len(),
                p50_us: histogram.value_at_quantile(0.5),
                p99_us: histogram.value_at_quantile(0.99),
                p999_us: histogram.value_at_quantile(0.999),
            })
            .collect()
    }
}
