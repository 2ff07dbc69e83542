//! Clients that send more `safe` requests before the first has been answered, with answers of
//! 120 kB, while a few requests take long. All targets are sound.

use crate::Verdict;
use crate::http::Wire;
use crate::place::{BoxProcess, Place, Site};
use crate::record::Record;
use crate::stop_queue::BOUNDS;
use crate::store::Store;
use crate::target::{Ledger, Rules, Target, body_of, signature};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Requests that a client sends on its connection before it reads the answers.
const REQUESTS: usize = 8;

/// Connections, one after the other, of each client.
const CONNECTIONS: usize = 15;
const CLIENTS: usize = 4;

/// Length of an answer.
const ANSWER_BYTES: usize = 120_000;

/// The work of a request, and that of one request in 32: seven times as long. The sheet has 3 in
/// 100 that take seven times as long (`tail`, `tail_x`), and 13 s at most.
const WORK_MS: u64 = 600;
const LONG_WORK_MS: u64 = 7 * WORK_MS;
const LONG_CONNECTIONS: usize = 4;

const DEADLINE_MS: u64 = 8_000;

const CONFIG: &str = r#"{"version":"r7","resourceTypes":[{"resourceKind":"routes","metadata":{"name":"r-browse"},"spec":{"hostname":"jepu9.example","pathPrefix":"/lepu270/","kind":"safe","timeoutS":2.5,"latencyGoalS":1,"priority":2,"service":"galeria","maxAttempts":2,"sticky":true,"allowedRegions":[]}},{"resourceKind":"services","metadata":{"name":"galeria"},"spec":{"healthPath":"/health","maxConnections":1770,"protocol":"h1","tls":false,"coldPeriodS":3.0,"coldPerS":3.3}},{"resourceKind":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15}}]}"#;

/// What a client got for a request.
#[derive(Clone, Debug, PartialEq)]
enum End {
    Whole,
    /// An answer of the box's own.
    Own(u16),
    /// The answer began and was cut.
    Cut,
    /// The connection ended before anything of an answer.
    Nothing,
}

pub fn play(record: &Record, trouble: bool) -> Verdict {
    let place = Place::new();
    let site = Site {
        zones: vec![("centro-a", "centro")],
        grace_s: 6.0,
        bounds: BOUNDS,
        memory_mb: 512,
    };
    let store = Store::start(place.at(30, 5));
    store.put("op/config", CONFIG);
    let ledger = Ledger::default();
    let shared = (&ledger, record, &store);
    for number in 0..4 {
        let rules = Rules {
            slots: 6,
            queue: 18,
            unread_limit: Duration::from_secs(10),
            reads_after: Duration::ZERO,
            misstates_one_in: 0,
        };
        let (id, address) = (format!("i-7f3a91c{number}"), place.at(20 + number, 0));
        Target::start(&id, "galeria", "centro-a", address, rules, shared);
    }
    let mut edge = BoxProcess::start(&place, &site, 1, "centro-a", &[1], store.address);
    if !edge.wait_ready(Duration::from_secs(15)) {
        record.tell("the box did not get ready");
        return Verdict::CannotRun;
    }
    // The rule binds machines in touch: `contactS` is 4, and a start counts against it.
    std::thread::sleep(Duration::from_secs(5));
    let ends: Arc<Mutex<Vec<(String, End)>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, ends, to) = (record.clone(), Arc::clone(&ends), edge.front);
            std::thread::spawn(move || {
                for connection in 0..CONNECTIONS {
                    let first = (client * CONNECTIONS + connection) * REQUESTS;
                    let is_long = trouble && connection % LONG_CONNECTIONS == 1;
                    let found = browse(&record, to, first, is_long);
                    ends.lock().unwrap().extend(found);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    if let Some(status) = edge.ended() {
        record.tell(&format!("the box ended by itself: {status}"));
        return Verdict::Broken;
    }
    judge(record, &ends.lock().unwrap(), &ledger)
}

/// Sends the requests of a connection; the first one takes long if `is_long`.
fn browse(record: &Record, to: SocketAddr, first: usize, is_long: bool) -> Vec<(String, End)> {
    let ids: Vec<String> = (first..first + REQUESTS)
        .map(|number| format!("{number:016x}"))
        .collect();
    let mut ends: Vec<(String, End)> = ids.iter().map(|id| (id.clone(), End::Nothing)).collect();
    let Ok(stream) = TcpStream::connect(to) else {
        return ends;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS)));
    let mut wire = Wire::new(stream);
    for (number, id) in ids.iter().enumerate() {
        let work_ms = if is_long && number == 0 {
            LONG_WORK_MS
        } else {
            WORK_MS
        };
        let head = format!(
            "GET /lepu270/{}?w={work_ms}&b={ANSWER_BYTES} HTTP/1.1\r\nHost: jepu9.example\r\n\
             Request-Id: {id}\r\nCookie: Affinity-Key={}\r\nRequest-Deadline: {DEADLINE_MS}\r\n\r\n",
            first + number,
            first + number
        );
        if wire.send(head.as_bytes()).is_err() {
            break;
        }
        record.line(&format!(
            "client {id} sent, number {number} on its connection"
        ));
    }
    for (id, end) in &mut ends {
        let head = match wire.head() {
            Ok(Some(head)) => head,
            other => {
                record.line(&format!("client {id}: no answer, {other:?}"));
                break;
            }
        };
        *end = match wire.body(&head, true) {
            Ok(body) if head.status() == 200 => {
                let is_whole = body == body_of(id, ANSWER_BYTES)
                    && head.field("response-signature") == Some(&signature(id, ANSWER_BYTES));
                if is_whole { End::Whole } else { End::Cut }
            }
            Ok(_) => End::Own(head.status()),
            Err(_) => End::Cut,
        };
        record.line(&format!("client {id}: {end:?}"));
        let is_last = head
            .field("connection")
            .is_some_and(|value| value == "close");
        if *end == End::Cut || is_last {
            break;
        }
    }
    ends
}

/// LOST: a request of a kept connection that was handed to a sound target, and the connection was
/// closed with no answer given; more than three. Counted are those that the target had answered.
fn judge(record: &Record, ends: &[(String, End)], ledger: &Ledger) -> Verdict {
    let ledger = ledger.lock().unwrap();
    let count = |wanted: &End| ends.iter().filter(|(_, end)| end == wanted).count();
    let (mut lost, mut not_answered, mut not_passed_on) = (0, 0, 0);
    for (id, _) in ends.iter().filter(|(_, end)| *end == End::Nothing) {
        let Some(seen) = ledger.get(id).and_then(|runs| runs.last()) else {
            not_passed_on += 1;
            continue;
        };
        let (Some(done), Some(sent)) = (seen.done, seen.sent) else {
            not_answered += 1;
            continue;
        };
        lost += 1;
        record.tell(&format!(
            "{id}: handed to {} at {:.3}, done there at {done:.3}, answer sent whole at {sent:.3}; its \
             connection was closed with no answer: LOST",
            seen.target, seen.arrived
        ));
    }
    let broken = ledger
        .values()
        .flatten()
        .filter(|seen| seen.broken.is_some())
        .count();
    let own = ends
        .iter()
        .filter(|(_, end)| matches!(end, End::Own(_)))
        .count();
    record.tell(&format!(
        "{} requests: {} whole, {own} answered by the box itself, {} cut, {} without an answer; \
         targets broke {broken} answers off",
        ends.len(),
        count(&End::Whole),
        count(&End::Cut),
        count(&End::Nothing)
    ));
    record.tell(&format!(
        "answered by a sound target and closed with no answer: {lost}; handed over and not answered \
         there: {not_answered}; not passed on: {not_passed_on}"
    ));
    if count(&End::Whole) < ends.len() / 4 {
        return Verdict::CannotRun;
    }
    if lost > 3 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
