//! Which requests are held back because upstreams end under them, and which are not.
#![allow(clippy::unwrap_used)]

use brasswinch_routing::{
    BrokenRun, Quarantine, QuarantineBox, QuarantineChange, ReportError, RequestDigest,
    RequestIdentity, RequestShape, RunReport, Suspect, ToldRun, UpstreamStart, Verdict,
};
use brasswinch_types::{BoxId, Millis, Service, UpstreamId, Workspace};
use std::net::SocketAddr;

/// Longest time for which a request is shut out, in milliseconds.
const LONGEST: Millis = 2_400_000;

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

fn run(upstream: &str, began: Millis, ended: Millis) -> BrokenRun {
    BrokenRun {
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

fn alone() -> Quarantine {
    Quarantine::new(BoxId::new("box-0"))
}

/// Boxes that pass each other's reports on at once.
struct Fleet {
    boxes: Vec<Quarantine>,
}

impl Fleet {
    fn new(count: u16) -> Self {
        let all: Vec<QuarantineBox> = (0..count).map(quarantine_box).collect();
        let started = |held: &QuarantineBox| {
            let mut quarantine = Quarantine::new(held.id.clone());
            quarantine.set_boxes(all.clone(), 1);
            quarantine
        };
        Self {
            boxes: all.iter().map(started).collect(),
        }
    }

    /// Passes reports on until none is left; a box in `deaf` hears nothing.
    fn settle(&mut self, deaf: &[usize], now: Millis) {
        loop {
            let mut out = Vec::new();
            for (place, held) in self.boxes.iter_mut().enumerate() {
                let from = place as u16;
                let told = held.take_reports(now).into_iter();
                out.extend(told.map(|(to, report)| (from, to, report)));
            }
            if out.is_empty() {
                return;
            }
            for (from, to, report) in out {
                let number = usize::from(to.port() - 1_000);
                if !deaf.contains(&number) {
                    self.boxes[number]
                        .hear(&report, address(from), now)
                        .unwrap();
                }
            }
        }
    }

    fn broke(&mut self, at: usize, path: &str, run: BrokenRun) {
        let now = run.ended;
        self.boxes[at].broke(digest(path), &suspect_of(path, None), run, now);
    }

    fn shut_out(&self, path: &str, now: Millis) -> usize {
        let verdicts = self
            .boxes
            .iter()
            .map(|held| held.verdict(digest(path), now));
        verdicts
            .filter(|verdict| matches!(verdict, Verdict::ShutOut { .. }))
            .count()
    }
}

#[test]
fn the_third_run_in_a_row_shuts_a_request_out_at_every_box() {
    let mut fleet = Fleet::new(12);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        let upstream = format!("upstream-{number}");
        fleet.broke(4 * number, "/a", run(&upstream, began, began + 100));
        fleet.settle(&[], began + 101);
        let expected = if number == 2 { 12 } else { 0 };
        assert_eq!(fleet.shut_out("/a", began + 101), expected);
    }
    assert_eq!(fleet.shut_out("/b", 1_501), 0, "another request");
}

#[test]
fn any_box_may_hear_nothing_for_a_moment() {
    for deaf in 0..12 {
        let mut fleet = Fleet::new(12);
        for number in 0..3 {
            let began = 1_000 + 200 * number as Millis;
            let at = (deaf + 1 + number) % 12;
            fleet.broke(
                at,
                "/a",
                run(&format!("upstream-{number}"), began, began + 100),
            );
            fleet.settle(&[deaf], began + 101);
        }
        assert!(fleet.shut_out("/a", 1_501) >= 11, "without box {deaf}");
        // All are told once more.
        fleet.boxes.iter_mut().for_each(|held| held.tick(1_900));
        fleet.settle(&[], 1_900);
        assert_eq!(fleet.shut_out("/a", 1_900), 12, "without box {deaf}");
    }
}

#[test]
fn upstreams_that_end_together_speak_against_none_of_their_requests() {
    let mut fleet = Fleet::new(12);
    for number in 0..12 {
        let upstream = format!("upstream-{number}");
        fleet.broke(
            number,
            "/popular",
            run(&upstream, 1_000, 1_500 + number as Millis),
        );
    }
    fleet.settle(&[], 1_520);
    assert_eq!(fleet.shut_out("/popular", 1_520), 0);
}

#[test]
fn an_answer_at_any_box_clears_a_suspect() {
    let mut fleet = Fleet::new(12);
    fleet.broke(1, "/a", run("upstream-1", 1_000, 1_100));
    fleet.settle(&[], 1_101);
    fleet.broke(2, "/a", run("upstream-2", 1_200, 1_300));
    fleet.settle(&[], 1_301);
    let suspected = fleet
        .boxes
        .iter()
        .map(|held| held.verdict(digest("/a"), 1_301));
    assert_eq!(
        suspected
            .filter(|verdict| *verdict == Verdict::Suspect)
            .count(),
        12
    );
    fleet.boxes[7].answered(digest("/a"), 1_500);
    fleet.settle(&[], 1_501);
    fleet.broke(3, "/a", run("upstream-3", 1_600, 1_700));
    fleet.settle(&[], 1_701);
    assert_eq!(fleet.shut_out("/a", 1_701), 0);
}

#[test]
fn a_run_is_counted_once_whoever_tells_of_it() {
    let mut quarantine = alone();
    for _ in 0..5 {
        quarantine.broke(
            digest("/a"),
            &suspect_of("/a", None),
            run("one", 1_000, 1_100),
            1_100,
        );
    }
    quarantine.broke(
        digest("/a"),
        &suspect_of("/a", None),
        run("two", 1_200, 1_300),
        1_300,
    );
    assert_eq!(quarantine.verdict(digest("/a"), 1_300), Verdict::Suspect);
    // Its next life is another upstream.
    let again = BrokenRun {
        started: Some(UpstreamStart(7)),
        ..run("one", 1_400, 1_500)
    };
    quarantine.broke(digest("/a"), &suspect_of("/a", None), again, 1_500);
    let verdict = quarantine.verdict(digest("/a"), 1_500);
    assert!(matches!(verdict, Verdict::ShutOut { .. }));
}

#[test]
fn a_box_that_starts_later_is_told_what_is_shut_out() {
    let mut fleet = Fleet::new(6);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        fleet.broke(
            number,
            "/a",
            run(&format!("upstream-{number}"), began, began + 100),
        );
        fleet.settle(&[], began + 101);
    }
    for restarted in 0..6 {
        let mut all: Vec<QuarantineBox> = (0..6).map(quarantine_box).collect();
        all[restarted].incarnation = 2 + restarted as u64;
        fleet.boxes[restarted] = Quarantine::new(all[restarted].id.clone());
        for held in &mut fleet.boxes {
            held.set_boxes(all.clone(), 3_000);
        }
        fleet.settle(&[], 3_000);
        assert_eq!(
            fleet.shut_out("/a", 3_000),
            6,
            "box {restarted} started again"
        );
    }
}

#[test]
fn a_request_that_is_let_out_is_shut_out_by_one_more_run_and_for_longer() {
    let mut quarantine = alone();
    let suspect = suspect_of("/a", None);
    let mut now = 0;
    let mut last_for = 0;
    for number in 0..8 {
        now += 1_000;
        let broken = run(&format!("upstream-{number}"), now - 500, now);
        quarantine.broke(digest("/a"), &suspect, broken, now);
        match quarantine.verdict(digest("/a"), now) {
            Verdict::ShutOut { for_ms } => {
                assert!(for_ms >= last_for && for_ms <= LONGEST, "{for_ms}");
                last_for = for_ms;
                now += for_ms;
                quarantine.tick(now);
                assert_eq!(quarantine.verdict(digest("/a"), now), Verdict::Suspect);
            }
            verdict => assert!(number < 2 && verdict == Verdict::Suspect, "{verdict:?}"),
        }
    }
    assert!(last_for > 0);
    let news = quarantine.take_news();
    assert!(
        news.iter()
            .any(|news| news.change == QuarantineChange::LetOut)
    );
    quarantine.tick(now + 2 * LONGEST);
    assert_eq!(
        quarantine.verdict(digest("/a"), now + 2 * LONGEST),
        Verdict::Unknown
    );
}

#[test]
fn a_workspace_pushes_nothing_of_another_out() {
    let mut quarantine = alone();
    let theirs = suspect_of("/theirs", Some("quiet"));
    for number in 0..3 {
        let broken = run(
            &format!("upstream-{number}"),
            100 * number,
            100 * number + 50,
        );
        quarantine.broke(digest("/theirs"), &theirs, broken, 100 * number + 50);
    }
    for number in 0..20_000_u64 {
        let path = format!("/many/{number}");
        let now = 1_000 + number;
        let broken = run(&format!("other-{number}"), now - 1, now);
        quarantine.broke(digest(&path), &suspect_of(&path, Some("loud")), broken, now);
    }
    let verdict = quarantine.verdict(digest("/theirs"), 21_000);
    assert!(matches!(verdict, Verdict::ShutOut { .. }));
    let known = (0..20_000).filter(|number| {
        let digest = digest(&format!("/many/{number}"));
        quarantine.verdict(digest, 21_000) != Verdict::Unknown
    });
    assert!(known.count() <= 512);
}

#[test]
fn the_same_request_of_another_workspace_is_another_request() {
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
fn a_report_that_can_t_be_true_is_refused() {
    let told = |began_ago_ms, ended_ago_ms| ToldRun {
        upstream: UpstreamId::new("upstream"),
        started: None,
        began_ago_ms,
        ended_ago_ms,
    };
    let report = |runs, answered_ago_ms| RunReport {
        digest: digest("/a"),
        suspect: suspect_of("/a", None),
        runs,
        answered_ago_ms,
    };
    let century = 3_155_760_000_000;
    let refused = [
        (report(Vec::new(), None), ReportError::Empty),
        (
            report(vec![told(9, 8); 7], None),
            ReportError::TooManyRuns(7),
        ),
        (report(vec![told(8, 9)], None), ReportError::Backwards),
        (
            report(vec![told(century, 9)], None),
            ReportError::TooLongAgo(century),
        ),
        (
            report(Vec::new(), Some(u64::MAX)),
            ReportError::TooLongAgo(u64::MAX),
        ),
    ];
    let mut quarantine = alone();
    for (report, error) in refused {
        assert_eq!(quarantine.hear(&report, address(9), 1_000), Err(error));
    }
    assert!(!quarantine.may_know(suspect_of("/a", None).shape));
}

#[test]
fn a_box_that_was_frozen_is_told_by_the_first_that_it_tells() {
    for frozen in 0..12 {
        let mut fleet = Fleet::new(12);
        for number in 0..3 {
            let began = 1_000 + 200 * number as Millis;
            let at = (frozen + 1 + number) % 12;
            fleet.broke(
                at,
                "/a",
                run(&format!("upstream-{number}"), began, began + 100),
            );
            fleet.settle(&[frozen], began + 101);
        }
        // What was sent to it meanwhile is lost.
        fleet.settle(&[frozen], 5_000);
        let before = fleet.boxes[frozen].verdict(digest("/a"), 5_000);
        assert!(!matches!(before, Verdict::ShutOut { .. }));
        fleet.broke(frozen, "/a", run("upstream-9", 5_000, 5_100));
        fleet.settle(&[], 5_130);
        assert_eq!(fleet.shut_out("/a", 5_130), 12, "box {frozen}");
    }
}

#[test]
fn what_the_store_holds_is_told_to_all_boxes() {
    let mut fleet = Fleet::new(6);
    for number in 0..3 {
        let began = 1_000 + 200 * number as Millis;
        fleet.broke(
            0,
            "/a",
            run(&format!("upstream-{number}"), began, began + 100),
        );
    }
    fleet.settle(&[], 1_501);
    let mut kept = Vec::new();
    for held in &mut fleet.boxes {
        kept.extend(held.take_unconfirmed(1_501));
    }
    assert_eq!(kept.len(), 2, "both that count keep it");
    assert!(
        kept.iter()
            .all(|(_, for_ms)| *for_ms > 0 && *for_ms <= LONGEST)
    );
    let mut started = Fleet::new(6);
    started.boxes[3].confirmed(&kept[0].0, 1_000).unwrap();
    started.settle(&[], 1_000);
    assert_eq!(started.shut_out("/a", 1_000), 6);
}
