//! Which requests are quarantined because upstreams end under them, and which aren't.
#![allow(clippy::unwrap_used)]

use brasswinch_routing::{
    CrashReport, Quarantine, QuarantineBox, QuarantineChange, ReportError, ReportedCrash,
    RequestDigest, RequestIdentity, RequestShape, Suspect, UpstreamCrash, UpstreamStart, Verdict,
};
use brasswinch_types::{BoxId, Millis, Service, UpstreamId, Workspace};
use std::net::SocketAddr;

/// Maximum duration of a quarantine, in milliseconds.
const MAX_QUARANTINE_MS: Millis = 2_400_000;

fn identity(path: &str) -> RequestIdentity<'_> {
    RequestIdentity {
        workspace: None,
        method: "GET",
        host: "quotes.example",
        path,
        body: b"",
    }
}

fn digest(path: &str) -> RequestDigest {
    RequestDigest::of(&identity(path))
}

fn suspect_of(path: &str, workspace: Option<&str>) -> Suspect {
    Suspect {
        workspace: workspace.map(Workspace::new),
        service: Service::new("desk"),
        shape: RequestShape::of(&identity(path)),
    }
}

fn crash(upstream: &str, began: Millis, ended: Millis) -> UpstreamCrash {
    UpstreamCrash {
        upstream: UpstreamId::new(upstream),
        started: None,
        began,
        ended,
    }
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number))
}

fn quarantine_box(number: u16) -> QuarantineBox {
    QuarantineBox {
        id: BoxId::new(format!("box-{number}")),
        incarnation: 1,
        address: address(number),
    }
}

fn single_box() -> Quarantine {
    Quarantine::new(BoxId::new("box-0"))
}

/// Boxes that deliver each other's reports at once.
struct Fleet {
    boxes: Vec<Quarantine>,
}

impl Fleet {
    fn new(count: u16) -> Self {
        let all: Vec<QuarantineBox> = (0..count).map(quarantine_box).collect();
        let started = |quarantine_box: &QuarantineBox| {
            let mut quarantine = Quarantine::new(quarantine_box.id.clone());
            quarantine.set_boxes(all.clone(), 1);
            quarantine
        };
        Self {
            boxes: all.iter().map(started).collect(),
        }
    }

    /// Delivers reports until none is left; boxes in `unreachable` receive none.
    fn deliver_reports(&mut self, unreachable: &[usize], now: Millis) {
        loop {
            let mut out = Vec::new();
            for (place, quarantine) in self.boxes.iter_mut().enumerate() {
                let from = place as u16;
                let outgoing = quarantine.take_reports(now).into_iter();
                out.extend(outgoing.map(|(to, report)| (from, to, report)));
            }
            if out.is_empty() {
                return;
            }
            for (from, to, report) in out {
                let number = usize::from(to.port() - 1_000);
                if !unreachable.contains(&number) {
                    self.boxes[number]
                        .handle_report(&report, address(from), now)
                        .unwrap();
                }
            }
        }
    }

    fn record_crash(&mut self, at: usize, path: &str, crash: UpstreamCrash) {
        let now = crash.ended;
        self.boxes[at].record_crash(digest(path), &suspect_of(path, None), crash, now);
    }

    fn quarantined_count(&self, path: &str, now: Millis) -> usize {
        let verdicts = self
            .boxes
            .iter()
            .map(|quarantine| quarantine.verdict(digest(path), now));
        verdicts
            .filter(|verdict| matches!(verdict, Verdict::Quarantined { .. }))
            .count()
    }
}

#[test]
fn the_third_crash_in_a_row_quarantines_a_request_at_every_box() {
    let mut fleet = Fleet::new(12);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        let upstream = format!("upstream-{number}");
        fleet.record_crash(4 * number, "/a", crash(&upstream, began, began + 100));
        fleet.deliver_reports(&[], began + 101);
        let expected = if number == 2 { 12 } else { 0 };
        assert_eq!(fleet.quarantined_count("/a", began + 101), expected);
    }
    assert_eq!(fleet.quarantined_count("/b", 1_501), 0, "another request");
}

#[test]
fn a_box_that_misses_reports_receives_the_second_broadcast() {
    for unreachable in 0..12 {
        let mut fleet = Fleet::new(12);
        for number in 0..3 {
            let began = 1_000 + 200 * number as Millis;
            let at = (unreachable + 1 + number) % 12;
            fleet.record_crash(
                at,
                "/a",
                crash(&format!("upstream-{number}"), began, began + 100),
            );
            fleet.deliver_reports(&[unreachable], began + 101);
        }
        assert!(
            fleet.quarantined_count("/a", 1_501) >= 11,
            "without box {unreachable}"
        );
        // The change is broadcast again.
        fleet
            .boxes
            .iter_mut()
            .for_each(|quarantine| quarantine.tick(1_900));
        fleet.deliver_reports(&[], 1_900);
        assert_eq!(
            fleet.quarantined_count("/a", 1_900),
            12,
            "without box {unreachable}"
        );
    }
}

#[test]
fn upstreams_that_end_together_speak_against_none_of_their_requests() {
    let mut fleet = Fleet::new(12);
    for number in 0..12 {
        let upstream = format!("upstream-{number}");
        fleet.record_crash(
            number,
            "/popular",
            crash(&upstream, 1_000, 1_500 + number as Millis),
        );
    }
    fleet.deliver_reports(&[], 1_520);
    assert_eq!(fleet.quarantined_count("/popular", 1_520), 0);
}

#[test]
fn an_answer_at_any_box_clears_a_suspected_request() {
    let mut fleet = Fleet::new(12);
    fleet.record_crash(1, "/a", crash("upstream-1", 1_000, 1_100));
    fleet.deliver_reports(&[], 1_101);
    fleet.record_crash(2, "/a", crash("upstream-2", 1_200, 1_300));
    fleet.deliver_reports(&[], 1_301);
    let suspected = fleet
        .boxes
        .iter()
        .map(|quarantine| quarantine.verdict(digest("/a"), 1_301));
    assert_eq!(
        suspected
            .filter(|verdict| *verdict == Verdict::Suspect)
            .count(),
        12
    );
    fleet.boxes[7].record_answer(digest("/a"), 1_500);
    fleet.deliver_reports(&[], 1_501);
    fleet.record_crash(3, "/a", crash("upstream-3", 1_600, 1_700));
    fleet.deliver_reports(&[], 1_701);
    assert_eq!(fleet.quarantined_count("/a", 1_701), 0);
}

#[test]
fn a_crash_is_counted_once() {
    let mut quarantine = single_box();
    for _ in 0..5 {
        quarantine.record_crash(
            digest("/a"),
            &suspect_of("/a", None),
            crash("one", 1_000, 1_100),
            1_100,
        );
    }
    quarantine.record_crash(
        digest("/a"),
        &suspect_of("/a", None),
        crash("two", 1_200, 1_300),
        1_300,
    );
    assert_eq!(quarantine.verdict(digest("/a"), 1_300), Verdict::Suspect);
    // After a restart it counts as another upstream.
    let again = UpstreamCrash {
        started: Some(UpstreamStart(7)),
        ..crash("one", 1_400, 1_500)
    };
    quarantine.record_crash(digest("/a"), &suspect_of("/a", None), again, 1_500);
    let verdict = quarantine.verdict(digest("/a"), 1_500);
    assert!(matches!(verdict, Verdict::Quarantined { .. }));
}

#[test]
fn a_restarted_box_learns_of_quarantined_requests() {
    let mut fleet = Fleet::new(6);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        fleet.record_crash(
            number,
            "/a",
            crash(&format!("upstream-{number}"), began, began + 100),
        );
        fleet.deliver_reports(&[], began + 101);
    }
    for restarted in 0..6 {
        let mut all: Vec<QuarantineBox> = (0..6).map(quarantine_box).collect();
        all[restarted].incarnation = 2 + restarted as u64;
        fleet.boxes[restarted] = Quarantine::new(all[restarted].id.clone());
        for quarantine in &mut fleet.boxes {
            quarantine.set_boxes(all.clone(), 3_000);
        }
        fleet.deliver_reports(&[], 3_000);
        assert_eq!(
            fleet.quarantined_count("/a", 3_000),
            6,
            "box {restarted} restarted"
        );
    }
}

#[test]
fn one_more_crash_quarantines_a_released_request_for_longer() {
    let mut quarantine = single_box();
    let suspect = suspect_of("/a", None);
    let mut now = 0;
    let mut last_for_ms = 0;
    for number in 0..8 {
        now += 1_000;
        let crash = crash(&format!("upstream-{number}"), now - 500, now);
        quarantine.record_crash(digest("/a"), &suspect, crash, now);
        match quarantine.verdict(digest("/a"), now) {
            Verdict::Quarantined { for_ms } => {
                assert!(
                    for_ms >= last_for_ms && for_ms <= MAX_QUARANTINE_MS,
                    "{for_ms}"
                );
                last_for_ms = for_ms;
                now += for_ms;
                quarantine.tick(now);
                assert_eq!(quarantine.verdict(digest("/a"), now), Verdict::Suspect);
            }
            verdict => assert!(number < 2 && verdict == Verdict::Suspect, "{verdict:?}"),
        }
    }
    assert!(last_for_ms > 0);
    let events = quarantine.take_events();
    assert!(
        events
            .iter()
            .any(|event| event.change == QuarantineChange::Released)
    );
    quarantine.tick(now + 2 * MAX_QUARANTINE_MS);
    assert_eq!(
        quarantine.verdict(digest("/a"), now + 2 * MAX_QUARANTINE_MS),
        Verdict::Unknown
    );
}

#[test]
fn a_workspace_does_not_displace_the_records_of_another() {
    let mut quarantine = single_box();
    let other_suspect = suspect_of("/theirs", Some("quiet"));
    for number in 0..3 {
        let crash = crash(
            &format!("upstream-{number}"),
            100 * number,
            100 * number + 50,
        );
        quarantine.record_crash(digest("/theirs"), &other_suspect, crash, 100 * number + 50);
    }
    for number in 0..20_000_u64 {
        let path = format!("/many/{number}");
        let now = 1_000 + number;
        let crash = crash(&format!("other-{number}"), now - 1, now);
        quarantine.record_crash(digest(&path), &suspect_of(&path, Some("loud")), crash, now);
    }
    let verdict = quarantine.verdict(digest("/theirs"), 21_000);
    assert!(matches!(verdict, Verdict::Quarantined { .. }));
    let known = (0..20_000).filter(|number| {
        let digest = digest(&format!("/many/{number}"));
        quarantine.verdict(digest, 21_000) != Verdict::Unknown
    });
    assert!(known.count() <= 512);
}

#[test]
fn the_same_request_of_another_workspace_has_another_digest() {
    let of = |workspace: Option<&Workspace>, path, body| {
        RequestDigest::of(&RequestIdentity {
            workspace,
            method: "POST",
            host: "quotes.example",
            path,
            body,
        })
    };
    let (one, two) = (Workspace::new("one"), Workspace::new("two"));
    let all = [
        of(None, "/a", b"x".as_slice()),
        of(Some(&one), "/a", b"x"),
        of(Some(&two), "/a", b"x"),
        of(Some(&one), "/a", b"y"),
        of(Some(&one), "/ax", b""),
        of(Some(&one), "/a?b", b"x"),
    ];
    for (place, digest) in all.iter().enumerate() {
        assert!(!all[..place].contains(digest));
    }
}

#[test]
fn an_impossible_report_is_refused() {
    let reported = |began_ago_ms, ended_ago_ms| ReportedCrash {
        upstream: UpstreamId::new("upstream"),
        started: None,
        began_ago_ms,
        ended_ago_ms,
    };
    let report = |crashes, answered_ago_ms| CrashReport {
        digest: digest("/a"),
        suspect: suspect_of("/a", None),
        crashes,
        answered_ago_ms,
    };
    let century = 3_155_760_000_000;
    let refused = [
        (report(Vec::new(), None), ReportError::Empty),
        (
            report(vec![reported(9, 8); 7], None),
            ReportError::TooManyCrashes(7),
        ),
        (
            report(vec![reported(8, 9)], None),
            ReportError::EndedBeforeBegin,
        ),
        (
            report(vec![reported(century, 9)], None),
            ReportError::TooOld(century),
        ),
        (
            report(Vec::new(), Some(u64::MAX)),
            ReportError::TooOld(u64::MAX),
        ),
    ];
    let mut quarantine = single_box();
    for (report, error) in refused {
        assert_eq!(
            quarantine.handle_report(&report, address(9), 1_000),
            Err(error)
        );
    }
    assert!(!quarantine.may_have_record(suspect_of("/a", None).shape));
}

#[test]
fn a_box_that_was_frozen_catches_up_when_it_next_reports() {
    for frozen in 0..12 {
        let mut fleet = Fleet::new(12);
        for number in 0..3 {
            let began = 1_000 + 200 * number as Millis;
            let at = (frozen + 1 + number) % 12;
            fleet.record_crash(
                at,
                "/a",
                crash(&format!("upstream-{number}"), began, began + 100),
            );
            fleet.deliver_reports(&[frozen], began + 101);
        }
        // Reports sent to it meanwhile are lost.
        fleet.deliver_reports(&[frozen], 5_000);
        let before = fleet.boxes[frozen].verdict(digest("/a"), 5_000);
        assert!(!matches!(before, Verdict::Quarantined { .. }));
        fleet.record_crash(frozen, "/a", crash("upstream-9", 5_000, 5_100));
        fleet.deliver_reports(&[], 5_130);
        assert_eq!(fleet.quarantined_count("/a", 5_130), 12, "box {frozen}");
    }
}

#[test]
fn a_report_from_the_store_reaches_all_boxes() {
    let mut fleet = Fleet::new(6);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        fleet.record_crash(
            0,
            "/a",
            crash(&format!("upstream-{number}"), began, began + 100),
        );
    }
    fleet.deliver_reports(&[], 1_501);
    let mut kept = Vec::new();
    for quarantine in &mut fleet.boxes {
        kept.extend(quarantine.take_unconfirmed(1_501));
    }
    assert_eq!(kept.len(), 2, "both coordinators store it");
    assert!(
        kept.iter()
            .all(|(_, for_ms)| *for_ms > 0 && *for_ms <= MAX_QUARANTINE_MS)
    );
    let mut started = Fleet::new(6);
    started.boxes[3].merge_stored(&kept[0].0, 1_000).unwrap();
    started.deliver_reports(&[], 1_000);
    assert_eq!(started.quarantined_count("/a", 1_000), 6);
}

/// Guards against a quarantine that a restored store has lost and that no box stores again.
#[test]
fn a_quarantine_is_stored_only_once() {
    let mut fleet = Fleet::new(6);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        let upstream = format!("upstream-{number}");
        fleet.record_crash(0, "/a", crash(&upstream, began, began + 100));
    }
    fleet.deliver_reports(&[], 1_501);
    let mut stored = |again: bool| {
        let boxes = fleet.boxes.iter_mut();
        let reports = boxes.map(|quarantine| {
            if again {
                quarantine.confirm_again(1_600);
            }
            quarantine.take_unconfirmed(1_600).len()
        });
        reports.sum::<usize>()
    };
    assert_eq!(stored(false), 2);
    assert_eq!(stored(false), 0);
    assert_eq!(stored(true), 2);
}
