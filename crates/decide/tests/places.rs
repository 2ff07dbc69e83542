//! Blocks, links, members, zone loads, upstream health and the retry budget.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_decide::blocks::BlockTable;
use brasswinch_decide::health::{UpstreamHealth, UpstreamReport};
use brasswinch_decide::links::{LinkChoice, is_watcher};
use brasswinch_decide::members::{BoxRecord, BoxState, Members, RecordMerge};
use brasswinch_decide::retry_budget::RetryBudget;
use brasswinch_decide::zone_load::zone_load;
use brasswinch_types::{BoxId, Incarnation, Region, Zone};
use std::collections::BTreeMap;

fn record(zone: usize, index: usize, incarnation: u64, sequence: u64) -> BoxRecord {
    BoxRecord {
        id: BoxId::new(format!("box-{zone}-{index}")),
        incarnation: Incarnation(incarnation),
        sequence,
        zone: Zone::new(format!("zone-{zone}")),
        region: Region::new("region"),
        caller_address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        state: BoxState::Serving,
    }
}

#[test]
fn the_longest_block_decides_and_an_unknown_address_has_none() {
    let mut blocks = BlockTable::default();
    let (narrow, wide, ipv6) = (Zone::new("near"), Zone::new("far"), Zone::new("six"));
    blocks.insert("10.0.0.0/8".parse().unwrap(), &wide);
    blocks.insert("10.1.2.0/24".parse().unwrap(), &narrow);
    blocks.insert("2001:db8::/32".parse().unwrap(), &ipv6);
    let zone = |text: &str| blocks.zone_of(text.parse().unwrap());
    assert_eq!(zone("10.1.2.3"), Some(&narrow));
    assert_eq!(zone("10.1.3.3"), Some(&wide));
    assert_eq!(zone("::ffff:10.1.2.3"), Some(&narrow));
    assert_eq!(zone("2001:db8::1"), Some(&ipv6));
    assert_eq!(zone("192.0.2.1"), None);
    assert_eq!(blocks.len(), 3);
}

#[test]
fn the_parts_of_a_regions_load_add_up_to_it() {
    for load in 0..200 {
        for slots in [&[8, 8][..], &[4, 12], &[1, 2, 3], &[0, 8], &[5]] {
            let parts: Vec<u32> = (0..slots.len())
                .map(|index| zone_load(load, slots, index))
                .collect();
            assert_eq!(parts.iter().sum::<u32>(), load, "{load} over {slots:?}");
        }
    }
    assert_eq!(zone_load(10, &[0, 0], 0), 0);
}

#[test]
fn a_box_links_to_its_whole_zone_and_a_zone_covers_every_other() {
    const ZONES: usize = 96;
    const BOXES: usize = 40;
    const LINKS_PER_ZONE: usize = 2;
    let records: Vec<BoxRecord> = (0..ZONES)
        .flat_map(|zone| (0..BOXES).map(move |index| record(zone, index, 1, 1)))
        .collect();
    let zone = Zone::new("zone-0");
    let own: Vec<BoxId> = records.iter().take(BOXES).map(|r| r.id.clone()).collect();
    let mut covered: BTreeMap<Zone, usize> = BTreeMap::new();
    let mut max_remote = 0;
    for me in &own {
        let neighbours: Vec<BoxId> = own.iter().filter(|id| *id != me).cloned().collect();
        let choice = LinkChoice {
            me,
            zone: &zone,
            neighbours: &neighbours,
            links_per_zone: LINKS_PER_ZONE,
        };
        let others = || records.iter().filter(|record| record.id != *me);
        let links = choice.desired(others(), |_| true);
        let remote: Vec<_> = links.iter().filter(|r| r.zone != zone).collect();
        assert_eq!(links.len() - remote.len(), BOXES - 1);
        max_remote = max_remote.max(remote.len());
        for link in &remote {
            *covered.entry(link.zone.clone()).or_default() += 1;
        }
        // A box that can't be reached is replaced by another of its zone.
        if let Some(lost) = remote.first().map(|record| record.id.clone()) {
            let relinked = choice.desired(others(), |id| *id != lost);
            assert_eq!(relinked.len(), links.len());
            assert!(relinked.iter().all(|record| record.id != lost));
        }
    }
    assert_eq!(covered.len(), ZONES - 1);
    assert!(covered.values().all(|boxes| *boxes == LINKS_PER_ZONE));
    assert!(
        max_remote <= 12,
        "{max_remote} links to other zones, 4.75 on average"
    );
}

#[test]
fn some_boxes_of_a_zone_watch_and_others_step_in_when_they_go() {
    let zone = Zone::new("zone-1");
    let ids: Vec<BoxId> = (0..10).map(|i| BoxId::new(format!("box-{i}"))).collect();
    let watchers = |ids: &[BoxId]| -> Vec<BoxId> {
        ids.iter()
            .filter(|me| {
                let others: Vec<BoxId> = ids.iter().filter(|o| o != me).cloned().collect();
                is_watcher(me, &zone, &others, 2)
            })
            .cloned()
            .collect()
    };
    let before = watchers(&ids);
    assert_eq!(before.len(), 2);
    let rest: Vec<BoxId> = ids
        .iter()
        .filter(|id| !before.contains(id))
        .cloned()
        .collect();
    assert_eq!(watchers(&rest).len(), 2);
}

#[test]
fn records_are_ordered_by_incarnation_and_sequence() {
    let mut members = Members::new(BoxId::new("me"));
    assert_eq!(members.merge(record(1, 1, 5, 2)), RecordMerge::Newer);
    assert_eq!(members.merge(record(1, 1, 5, 2)), RecordMerge::Known);
    assert_eq!(members.merge(record(1, 1, 5, 1)), RecordMerge::Known);
    assert_eq!(members.merge(record(1, 1, 4, 9)), RecordMerge::Known);
    assert_eq!(members.merge(record(1, 1, 6, 1)), RecordMerge::Newer);
}

#[test]
fn a_box_is_alive_for_a_few_heartbeats_and_only_in_its_present_incarnation() {
    let mut members = Members::new(BoxId::new("me"));
    members.merge(record(1, 1, 5, 1));
    let id = BoxId::new("box-1-1");
    assert!(!members.is_alive(&id, 1_000));
    members.record_heartbeat(&id, Incarnation(4), 100, 1_000);
    assert!(!members.is_alive(&id, 1_000));
    members.record_heartbeat(&id, Incarnation(5), 100, 1_000);
    assert!(members.is_alive(&id, 1_399));
    assert!(!members.is_alive(&id, 1_400));
    let silent = members.silent_in(&Zone::new("zone-1"), 1_400);
    assert_eq!(silent, std::slice::from_ref(&id));
    members.record_heartbeat(&id, Incarnation(5), 100, 1_500);
    members.merge(record(1, 1, 6, 1));
    assert!(
        !members.is_alive(&id, 1_500),
        "no heartbeat of the new incarnation has arrived"
    );
}

fn report(sequence: u64, leaving: bool) -> UpstreamReport {
    UpstreamReport {
        sequence,
        leaving,
        in_use: 0,
    }
}

#[test]
fn any_one_source_closes_a_leaving_upstream_and_a_stale_report_does_not_open_it() {
    for source in 0..3 {
        let mut health = UpstreamHealth::default();
        assert!(health.cost(4, 0).is_some());
        match source {
            0 => health.set_config_leaving(true, 0),
            1 => health.set_listed_leaving(true),
            _ => health.report(report(7, true)),
        }
        assert_eq!(health.cost(4, 0), None);
        health.report(report(6, false));
        assert_eq!(health.cost(4, 0), None, "an older report changes nothing");
    }
}

#[test]
fn an_upstream_marked_leaving_by_the_configuration_stays_closed_whatever_it_reports() {
    let mut health = UpstreamHealth::default();
    health.set_config_leaving(true, 0);
    health.report(report(9, false));
    assert_eq!(health.cost(4, 0), None);
    health.set_config_leaving(false, 10_000);
    assert!(health.cost(4, 10_000).is_some());
}

#[test]
fn a_cold_upstream_gets_one_request_at_a_time_and_more_as_it_warms() {
    let mut health = UpstreamHealth::default();
    health.started(0);
    assert_eq!(health.cost(4, 100), None);
    assert!(health.cost(4, 2_500).is_some());
    health.started(2_500);
    assert_eq!(health.cost(4, 2_500), None);
    health.started(5_000);
    assert!(health.cost(4, 5_000).is_some());
}

#[test]
fn an_upstream_that_warms_up_tells_when_it_takes_one_more() {
    let mut health = UpstreamHealth::default();
    assert_eq!(health.warm_up_wait_ms(4, 0), None, "it takes one now");
    health.started(0);
    assert_eq!(health.warm_up_wait_ms(4, 100), Some(2_400));
    assert!(health.cost(4, 2_499).is_none() && health.cost(4, 2_500).is_some());
    assert_eq!(health.warm_up_wait_ms(4, 2_500), None);
    (0..3).for_each(|_| health.started(2_500));
    assert_eq!(
        health.warm_up_wait_ms(4, 5_000),
        None,
        "its slots are in use"
    );
    health.set_listed_leaving(true);
    assert_eq!(health.warm_up_wait_ms(4, 100), None);
}

#[test]
fn an_upstream_that_fails_is_ejected_for_longer_each_time() {
    let mut health = UpstreamHealth::default();
    health.failed(0);
    health.failed(0);
    assert!(health.cost(4, 0).is_some());
    health.failed(0);
    assert_eq!(health.cost(4, 499), None);
    assert!(health.cost(4, 500).is_some());
    health.failed(500);
    assert_eq!(health.cost(4, 1_499), None);
    health.succeeded();
    health.failed(2_000);
    assert!(health.cost(4, 2_000).is_some());
}

#[test]
fn false_reports_only_order_upstreams_and_never_raise_the_local_limit() {
    let mut health = UpstreamHealth::default();
    health.report(UpstreamReport {
        sequence: 1,
        leaving: false,
        in_use: 0,
    });
    for at in [0, 10_000, 10_000, 10_000] {
        health.started(at);
    }
    assert_eq!(
        health.cost(4, 20_000),
        None,
        "all four slots have requests in flight from this box"
    );
}

#[test]
fn retries_stay_a_small_fraction_of_the_first_attempts() {
    let mut budget = RetryBudget::default();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        while budget.spend() {
            retries += 1;
        }
    }
    assert!(
        (100..=111).contains(&retries),
        "{retries} retries for 1,000 first attempts"
    );
}

#[test]
fn loads_are_reported_when_they_changed_enough_and_all_of_them_periodically() {
    use brasswinch_decide::load_reports::{LoadReporter, ServiceLoad};
    let load = |service: u64, idle: u32| ServiceLoad {
        service: brasswinch_types::ServiceTag(service),
        idle,
        total: 40,
    };
    let mut reporter = LoadReporter::default();
    assert_eq!(
        reporter.due(vec![load(1, 20), load(2, 5)]).len(),
        2,
        "the first report is full"
    );
    assert_eq!(reporter.due(vec![load(1, 16), load(2, 5)]), []);
    assert_eq!(reporter.due(vec![load(1, 15), load(2, 5)]), [load(1, 15)]);
    assert_eq!(reporter.due(vec![load(1, 15), load(2, 1)]), []);
    assert_eq!(reporter.due(vec![load(1, 15), load(2, 0)]), [load(2, 0)]);
    assert_eq!(reporter.due(vec![load(1, 15), load(2, 1)]), [load(2, 1)]);
    reporter.send_all_next();
    let steady = || vec![load(1, 15), load(2, 1)];
    let sent: Vec<usize> = (0..17).map(|_| reporter.due(steady()).len()).collect();
    assert_eq!(sent.iter().filter(|count| **count == 2).count(), 3);
    assert_eq!(sent.iter().sum::<usize>(), 6);
}

#[test]
fn zones_that_all_seem_full_share_the_callers_and_the_own_zone_goes_first_while_it_has_room() {
    use brasswinch_decide::zone_rank::{ZoneCapacity, rank};
    let zone = |is_local, idle| ZoneCapacity {
        is_local,
        idle,
        total: 8,
    };
    let mut state = 1_u64;
    let mut draw = || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        ((state >> 33) + 1) as f64 / (1_u64 << 31) as f64
    };
    let mut count_firsts = |zones: &[ZoneCapacity]| {
        let mut counts = vec![0; zones.len()];
        for _ in 0..10_000 {
            counts[rank(zones, &mut draw)[0]] += 1;
        }
        counts
    };
    let full = count_firsts(&[zone(true, 0), zone(false, 0)]);
    assert!(
        full.iter().all(|count| (4_500..5_500).contains(count)),
        "{full:?}"
    );
    assert_eq!(count_firsts(&[zone(true, 3), zone(false, 8)]), [10_000, 0]);
    let fuller = count_firsts(&[zone(false, 0), zone(false, 6)]);
    assert!(
        (2_200..2_800).contains(&fuller[0]),
        "weight 3 of 12: {fuller:?}"
    );
    assert_eq!(rank(&[], &mut draw), Vec::<usize>::new());
}
