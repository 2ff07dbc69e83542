//! Downloads from targets that spoil a few of their answers: beside the chunks they say a length
//! that is too short.

use crate::Verdict;
use crate::http::Wire;
use crate::place::{BoxProcess, Place, Site};
use crate::record::Record;
use crate::stop_queue::BOUNDS;
use crate::store::Store;
use crate::target::{Ledger, Rules, Target, body_of, signature};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The sheet has answers of 90 kB on average.
const ANSWER_BYTES: usize = 90_000;

const REQUESTS: usize = 400;
const DEADLINE_MS: u64 = 5_000;

/// Of half of the targets, one answer in 50.
const SPOILT_ONE_IN: u64 = 50;

const CONFIG: &str = r#"{"version":"r7","resourceTypes":[{"resourceKind":"routes","metadata":{"name":"r-video"},"spec":{"hostname":"jepu9.example","pathPrefix":"/fiti832/","kind":"download","timeoutS":5,"latencyGoalS":0.5,"priority":0,"service":"videoteca","maxAttempts":2,"sticky":true,"allowedRegions":[]}},{"resourceKind":"services","metadata":{"name":"videoteca"},"spec":{"healthPath":"/health","maxConnections":1530,"protocol":"h1","tls":false,"coldPeriodS":3.0,"coldPerS":3.9}},{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

/// What a client got.
enum Got {
    Whole,
    /// A signed success that ended as it said, with fewer bytes than the target's whole body.
    Short(usize),
    /// Something that does not pass for a whole success.
    Failure,
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let place = Place::new();
    let site = Site {
        zones: vec![("santander-a", "cantabria")],
        grace_s: 6.0,
        bounds: BOUNDS,
        memory_mb: 512,
    };
    let store = Store::start(place.at(30, 5));
    store.put("op/config", CONFIG);
    let ledger = Ledger::default();
    for number in 0..4 {
        let rules = Rules {
            slots: 6,
            queue: 18,
            unread_limit: Duration::from_secs(10),
            reads_after: Duration::ZERO,
            misstates_one_in: if trouble && number < 2 {
                SPOILT_ONE_IN
            } else {
                u64::MAX
            },
        };
        let (id, address) = (format!("i-7f3a91c{number}"), place.at(20 + number, 0));
        let shared = (&ledger, record, &store);
        Target::start(&id, "videoteca", "santander-a", address, rules, shared);
    }
    let mut edge = BoxProcess::start(&place, &site, 1, "santander-a", &[1], store.address);
    if !edge.wait_ready(Duration::from_secs(15)) {
        record.tell("the box did not get ready");
        return Verdict::CannotRun;
    }
    let (mut whole, mut short, mut failed) = (0, 0, 0);
    for number in 0..REQUESTS {
        let id = format!("{number:016x}");
        match download(edge.front, &id) {
            Got::Whole => whole += 1,
            Got::Failure => {
                failed += 1;
                record.line(&format!("client {id}: a failure"));
            }
            Got::Short(bytes) => {
                short += 1;
                record.tell(&format!(
                    "{id}: the client got a whole signed success of {bytes} bytes; the target's body \
                     has {ANSWER_BYTES}: MIXED"
                ));
            }
        }
    }
    if let Some(status) = edge.ended() {
        record.tell(&format!("the box ended by itself: {status}"));
        return Verdict::Broken;
    }
    record.tell(&format!(
        "{REQUESTS} downloads: {whole} whole, {short} cut short and delivered as whole, {failed} failed"
    ));
    if short > 0 {
        return Verdict::Broken;
    }
    if whole < REQUESTS / 2 {
        Verdict::CannotRun
    } else {
        Verdict::Held
    }
}

fn download(to: SocketAddr, id: &str) -> Got {
    let Ok(stream) = TcpStream::connect(to) else {
        return Got::Failure;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut wire = Wire::new(stream);
    let head = format!(
        "GET /fiti832/{id}?w=5&b={ANSWER_BYTES} HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n"
    );
    if wire.send(head.as_bytes()).is_err() {
        return Got::Failure;
    }
    let Ok(Some(head)) = wire.head() else {
        return Got::Failure;
    };
    let is_signed = head.field("response-signature") == Some(&signature(id, ANSWER_BYTES));
    match wire.body(&head, true) {
        Ok(body) if head.status() == 200 && is_signed => {
            if body == body_of(id, ANSWER_BYTES) {
                Got::Whole
            } else {
                Got::Short(body.len())
            }
        }
        _ => Got::Failure,
    }
}
