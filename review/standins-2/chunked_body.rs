//! `safe` requests with a body of 1.3 MB that comes in chunks.

use crate::Verdict;
use crate::http::Wire;
use crate::place::{BoxProcess, Place, Site};
use crate::record::Record;
use crate::stop_queue::BOUNDS;
use crate::store::Store;
use crate::target::{Ledger, Rules, Target, body_of};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Far under the `maxBodyBytes` of the configuration, 67,108,864.
const BODY_BYTES: usize = 1_300_000;

const CHUNK_BYTES: usize = 50_000;
const DEADLINE_MS: u64 = 6_000;

/// Requests, with these methods in turn.
const REQUESTS: usize = 24;
const METHODS: [&str; 3] = ["GET", "POST", "PUT"];

const CONFIG: &str = r#"{"version":"r7","resourceTypes":[{"resourceKind":"routes","metadata":{"name":"r-search"},"spec":{"hostname":"jepu9.example","pathPrefix":"/lepu270/","kind":"safe","timeoutS":6,"latencyGoalS":0.8,"priority":1,"service":"rate-desk","maxAttempts":2,"sticky":true,"allowedRegions":[]}},{"resourceKind":"services","metadata":{"name":"rate-desk"},"spec":{"healthPath":"/health","maxConnections":1770,"protocol":"h1","tls":false,"coldPeriodS":3.0,"coldPerS":3.2}},{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let place = Place::new();
    let site = Site {
        zones: vec![("rajkot-a", "guj-west")],
        grace_s: 6.0,
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
        reads_after: Duration::ZERO,
        misstates_one_in: 0,
    };
    for number in 0..2 {
        let (id, address) = (format!("i-7f3a91c{number}"), place.at(20 + number, 0));
        let shared = (&ledger, record, &store);
        Target::start(&id, "rate-desk", "rajkot-a", address, rules.clone(), shared);
    }
    let mut edge = BoxProcess::start(&place, &site, 1, "rajkot-a", &[1], store.address);
    if !edge.wait_ready(Duration::from_secs(15)) {
        record.tell("the box did not get ready");
        return Verdict::CannotRun;
    }
    let (mut changed, mut intact) = (0, 0);
    for number in 0..REQUESTS {
        let (id, method) = (format!("{number:016x}"), METHODS[number % METHODS.len()]);
        let status = search(record, edge.front, &id, method, trouble);
        let ledger = ledger.lock().unwrap();
        for seen in ledger
            .get(&id)
            .into_iter()
            .flatten()
            .filter(|seen| seen.started.is_some())
        {
            if seen.is_intact && seen.body == BODY_BYTES {
                intact += 1;
                continue;
            }
            changed += 1;
            record.tell(&format!(
                "{id}: {method} with a body of {BODY_BYTES} bytes; {} ran it with {} bytes of body, \
                 and the client got {status:?}: UNASKED",
                seen.target, seen.body
            ));
        }
    }
    if let Some(status) = edge.ended() {
        record.tell(&format!("the box ended by itself: {status}"));
        return Verdict::Broken;
    }
    record.tell(&format!(
        "runs with the whole body: {intact}, with another one: {changed}"
    ));
    if changed > 0 {
        return Verdict::Broken;
    }
    if intact < REQUESTS {
        Verdict::CannotRun
    } else {
        Verdict::Held
    }
}

/// Sends one request and returns the status of its answer.
fn search(record: &Record, to: SocketAddr, id: &str, method: &str, in_chunks: bool) -> Option<u16> {
    let stream = TcpStream::connect(to).ok()?;
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut wire = Wire::new(stream);
    let framing = if in_chunks {
        "Transfer-Encoding: chunked".to_owned()
    } else {
        format!("Content-Length: {BODY_BYTES}")
    };
    let head = format!(
        "{method} /lepu270/search?w=50&b=5000 HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={id}\r\nRequest-Deadline: {DEADLINE_MS}\r\n{framing}\r\n\r\n"
    );
    wire.send(head.as_bytes()).ok()?;
    let body = body_of(id, BODY_BYTES);
    if in_chunks {
        for chunk in body.chunks(CHUNK_BYTES) {
            wire.send(format!("{:x}\r\n", chunk.len()).as_bytes())
                .ok()?;
            wire.send(chunk).ok()?;
            wire.send(b"\r\n").ok()?;
        }
        wire.send(b"0\r\n\r\n").ok()?;
    } else {
        wire.send(&body).ok()?;
    }
    let head = wire.head().ok()??;
    let _ = wire.body(&head, true);
    record.line(&format!("client {id} {method}: {}", head.status()));
    Some(head.status())
}
