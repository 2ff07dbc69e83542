//! Uploads of 300 kB to targets that read slowly, while their box is stopped as planned.

use crate::Verdict;
use crate::http::Wire;
use crate::place::{BoxProcess, Place, Site};
use crate::record::Record;
use crate::stop_queue::{BOUNDS, CONFIG};
use crate::store::Store;
use crate::target::{Ledger, Rules, Target, body_of, signature};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const GRACE_S: f64 = 6.0;
const DEADLINE_S: f64 = 8.0;

/// The sheet has uploads of 60 kB on average and 360 kB at most.
const BODY_BYTES: usize = 300_000;

/// The sheet has 1,600 ms on average. A target works while the body comes in.
const WORK_MS: u64 = 1_600;

/// How long a target leaves the body unread after the head.
const UNREAD: Duration = Duration::from_millis(1_200);

const CLIENTS: usize = 6;
const PERIOD: Duration = Duration::from_millis(1_500);

struct Try {
    id: String,
    sent: f64,
    ended: f64,
    /// The status of a whole answer and whether it is the target's; `None` if the connection ended.
    answer: Option<(u16, bool)>,
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let place = Place::new();
    let site = Site {
        zones: vec![("rajkot-a", "guj-west")],
        grace_s: GRACE_S,
        bounds: BOUNDS,
        memory_mb: 512,
    };
    let store = Store::start(place.at(30, 5));
    store.put("op/config", CONFIG);
    let ledger = Ledger::default();
    let rules = Rules {
        slots: 6,
        queue: 18,
        unread_limit: Duration::from_secs(10),
        reads_after: if trouble { UNREAD } else { Duration::ZERO },
        misstates_one_in: 0,
    };
    let shared = (&ledger, record, &store);
    for number in 0..4 {
        let (id, address) = (format!("i-7f3a91c{number}"), place.at(20 + number, 0));
        Target::start(
            &id,
            "cad-intake",
            "rajkot-a",
            address,
            rules.clone(),
            shared,
        );
    }
    let mut edge = BoxProcess::start(&place, &site, 1, "rajkot-a", &[1], store.address);
    if !edge.wait_ready(Duration::from_secs(15)) {
        record.tell("the box did not get ready");
        return Verdict::CannotRun;
    }
    let tries: Arc<Mutex<Vec<Try>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let next_id = Arc::new(AtomicU64::new(1));
    let mut clients = Vec::new();
    for index in 0..CLIENTS {
        let (record, tries, to) = (record.clone(), Arc::clone(&tries), edge.front);
        let (is_over, next_id) = (Arc::clone(&is_over), Arc::clone(&next_id));
        clients.push(std::thread::spawn(move || {
            std::thread::sleep(PERIOD.mul_f64(index as f64 / CLIENTS as f64));
            let mut uploads = Vec::new();
            while !is_over.load(Ordering::Relaxed) {
                let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
                let (record, tries) = (record.clone(), Arc::clone(&tries));
                uploads.push(std::thread::spawn(move || {
                    let found = upload(&record, to, &id);
                    tries.lock().unwrap().extend(found);
                }));
                std::thread::sleep(PERIOD);
            }
            for upload in uploads {
                let _ = upload.join();
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(10));
    let stopped_at = record.now();
    record.tell(&format!("SIGTERM to {} at {stopped_at:.3}", edge.name));
    edge.signal("TERM");
    std::thread::sleep(Duration::from_millis(2_500));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let ended = edge.wait_ended(Duration::from_secs_f64(GRACE_S));
    record.tell(&format!("the box ended: {ended}"));
    judge(record, &tries.lock().unwrap(), &ledger, stopped_at)
}

fn upload(record: &Record, to: SocketAddr, id: &str) -> Option<Try> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_secs_f64(DEADLINE_S)));
    let mut wire = Wire::new(stream);
    let deadline_ms = (DEADLINE_S * 1e3) as u64;
    let head = format!(
        "POST /lepu270/2f?w={WORK_MS}&b=1500 HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={id}\r\nRequest-Deadline: {deadline_ms}\r\n\
         Content-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = body_of(id, BODY_BYTES);
    let sent = wire.send(head.as_bytes()).and_then(|()| wire.send(&body));
    let mut one = Try {
        id: id.to_owned(),
        sent: record.now(),
        ended: 0.0,
        answer: None,
    };
    record.line(&format!("client {id} sent"));
    let answer = sent.and_then(|()| wire.head()).and_then(|head| match head {
        Some(head) => wire.body(&head, true).map(|body| Some((head, body))),
        None => Ok(None),
    });
    one.ended = record.now();
    if let Ok(Some((head, body))) = &answer {
        let is_signed = head.field("response-signature") == Some(&signature(id, body.len()));
        one.answer = Some((head.status(), is_signed));
    }
    record.line(&format!(
        "client {id} after {:.3} s: {:?}",
        one.ended - one.sent,
        one.answer
    ));
    Some(one)
}

/// LOST, after a SIGTERM: the box broke a request off at which its target was at work, and gave an
/// answer of its own in its place, or none. Counted are requests that end from the signal to 1 s
/// after the grace, and before their deadline.
fn judge(record: &Record, tries: &[Try], ledger: &Ledger, stopped_at: f64) -> Verdict {
    let ledger = ledger.lock().unwrap();
    let served = tries
        .iter()
        .filter(|one| one.answer == Some((200, true)))
        .count();
    let (mut lost, mut outside) = (0, 0);
    for one in tries {
        let Some(seen) = ledger.get(&one.id).and_then(|runs| runs.last()) else {
            continue;
        };
        let is_own = !matches!(one.answer, Some((_, true)));
        let was_at_work = seen.started.is_some_and(|started| started < one.ended)
            && seen.done.is_none_or(|done| done > one.ended)
            && !seen.rejected
            && seen.broken.is_none();
        if !is_own || !was_at_work || one.ended - one.sent >= DEADLINE_S - 0.05 {
            continue;
        }
        let is_excused =
            one.ended >= stopped_at + GRACE_S * 5.0 / 6.0 && one.sent <= stopped_at + 3.0;
        let is_counted =
            one.ended >= stopped_at && one.ended <= stopped_at + GRACE_S + 1.0 && !is_excused;
        if !is_counted {
            outside += 1;
            continue;
        }
        lost += 1;
        record.tell(&format!(
            "{}: its target began at {:.3}; broken off after {:.3} s, {:.3} s after SIGTERM, {:.3} s \
             before its deadline, with the answer {:?}: LOST",
            one.id,
            seen.started.unwrap_or(0.0),
            one.ended - one.sent,
            one.ended - stopped_at,
            DEADLINE_S - (one.ended - one.sent),
            one.answer.map(|(status, _)| status)
        ));
    }
    record.tell(&format!(
        "{} uploads: {served} served, {lost} lost after SIGTERM, {outside} broken off at work \
         before it",
        tries.len()
    ));
    if tries.len() < CLIENTS {
        return Verdict::CannotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
