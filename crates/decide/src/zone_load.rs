//! Splits a region's load among its zones.

/// Returns the part of `region_load` for zone `index`, in proportion to the zones' slots.
///
/// Rounds the cumulative sums, so that the parts add up to `region_load` exactly and
/// every box computes the same parts from the same deployment.
pub fn zone_load(region_load: u32, zone_slots: &[u32], index: usize) -> u32 {
    let total: u64 = zone_slots.iter().map(|slots| u64::from(*slots)).sum();
    if total == 0 || index >= zone_slots.len() {
        return 0;
    }
    let up_to = |end: usize| -> u64 {
        let slots: u64 = zone_slots[..end].iter().map(|s| u64::from(*s)).sum();
        u64::from(region_load) * slots / total
    };
    let part = up_to(index + 1) - up_to(index);
    u32::try_from(part).unwrap_or(u32::MAX)
}
