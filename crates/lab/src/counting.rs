//! What the upstreams' logs show of promises.

use crate::deployment::Site;
use std::collections::BTreeMap;

/// Length of the slices that arrivals are counted in, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// The largest part of `origin`'s requests that came to regions anew between two slices
/// at most `window` seconds apart, as the upstreams counted it.
///
/// Two counts bound a shift from above, and the smaller one counts:
///
/// * How far the regions' parts of the arrivals moved. It shows too much when a region is
///   lost: the others' parts grow although nobody was moved there.
/// * How much the regions' arrivals grew, against what the callers offered, `per_second`.
///   It shows too much when callers bunch, so that one slice has more arrivals than another.
pub fn largest_shift(
    site: &Site,
    service: &str,
    origin: &str,
    per_second: f64,
    window: f64,
) -> f64 {
    let slices = arrivals_by_slice(site, service, origin);
    let Some((first, last)) = slices.keys().next().zip(slices.keys().last()) else {
        return 0.0;
    };
    let regions = site.spec.regions.len();
    let nothing = vec![0.0; regions];
    // The first and the last slice are cut short.
    let whole: Vec<(u64, &Vec<f64>)> = (first + 1..*last)
        .map(|slice| (slice, slices.get(&slice).unwrap_or(&nothing)))
        .collect();
    let mut largest = 0.0_f64;
    for (index, (slice, before)) in whole.iter().enumerate() {
        for (later, after) in &whole[index + 1..] {
            if (later - slice) as f64 > window - 1.0 {
                break;
            }
            let moved = parts_moved(before, after).min(grown(before, after) / per_second);
            largest = largest.max(moved);
        }
    }
    largest
}

/// How far the parts of the arrivals moved: half the sum of their differences.
fn parts_moved(before: &[f64], after: &[f64]) -> f64 {
    let sum = |counts: &[f64]| counts.iter().sum::<f64>().max(1.0);
    let (all_before, all_after) = (sum(before), sum(after));
    let differences = before
        .iter()
        .zip(after)
        .map(|(a, b)| (a / all_before - b / all_after).abs());
    differences.sum::<f64>() / 2.0
}

/// How much the regions' arrivals grew, summed over the regions that grew.
fn grown(before: &[f64], after: &[f64]) -> f64 {
    let growths = before.iter().zip(after).map(|(a, b)| (b - a).max(0.0));
    growths.sum()
}

fn arrivals_by_slice(site: &Site, service: &str, origin: &str) -> BTreeMap<u64, Vec<f64>> {
    let mut slices: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
    for (index, region) in site.spec.regions.iter().enumerate() {
        let Some(upstreams) = site.upstreams(service, region) else {
            continue;
        };
        let log = upstreams.log();
        for arrival in log.arrivals.iter().filter(|a| a.origin == origin) {
            let slice = slices
                .entry(arrival.at_ms / SLICE_MS)
                .or_insert_with(|| vec![0.0; site.spec.regions.len()]);
            slice[index] += 1.0;
        }
    }
    slices
}

/// How often requests with one tag were started, over all regions of a service.
pub fn starts_by_tag(site: &Site, service: &str) -> BTreeMap<String, u32> {
    let mut starts = BTreeMap::new();
    for region in &site.spec.regions {
        let Some(upstreams) = site.upstreams(service, region) else {
            continue;
        };
        for (tag, runs) in upstreams.log().by_tag {
            *starts.entry(tag).or_insert(0) += runs.started;
        }
    }
    starts
}
