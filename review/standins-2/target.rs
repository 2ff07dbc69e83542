//! A target, by PROTOCOL.md. The path says how long the work takes and how long the answer is:
//! `/any/path?w=MILLISECONDS&b=BYTES`.

use crate::http::{Head, Wire};
use crate::record::Record;
use crate::store::Store;
use std::collections::{HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// How a target differs from a plain one.
#[derive(Clone, Debug)]
pub struct Rules {
    pub slots: usize,
    pub queue: usize,
    /// After how long an answer that stays unread is cut off.
    pub unread_limit: Duration,
    /// How long the body of a request stays unread after its head. A target with such a pause works
    /// while the body comes in.
    pub reads_after: Duration,
    /// Answers come in chunks; of so many, one also says a length, which is a third of the true one.
    /// 0: none does, and answers have a length.
    pub misstates_one_in: u64,
}

/// What became of a request at targets, by the time of the run.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub target: String,
    pub arrived: f64,
    pub started: Option<f64>,
    /// The answer was made.
    pub done: Option<f64>,
    /// The answer was handed to the system whole.
    pub sent: Option<f64>,
    pub dropped: Option<f64>,
    /// The target cut the answer because it stayed unread.
    pub broken: Option<f64>,
    pub rejected: bool,
    /// Length of the body as it arrived, and whether its bytes are those that belong to the id.
    pub body: usize,
    pub is_intact: bool,
}

/// What targets saw, by request.
pub type Ledger = Arc<Mutex<HashMap<String, Vec<Seen>>>>;

#[derive(Default)]
struct Load {
    running: usize,
    waiting: usize,
    /// Requests that wait, the first that came first.
    line: VecDeque<u64>,
    last_ticket: u64,
}

#[derive(Clone)]
pub struct Target {
    id: String,
    rules: Rules,
    load: Arc<(Mutex<Load>, Condvar)>,
    answers: Arc<AtomicU64>,
    ledger: Ledger,
    record: Record,
}

impl Target {
    /// Starts a target and writes its entry into the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        rules: Rules,
        (ledger, record, store): (&Ledger, &Record, &Store),
    ) {
        let listener = TcpListener::bind(address).expect("the target's address is free");
        let slots = rules.slots;
        let target = Self {
            id: id.to_owned(),
            rules,
            load: Arc::default(),
            answers: Arc::default(),
            ledger: Arc::clone(ledger),
            record: record.clone(),
        };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let target = target.clone();
                std::thread::spawn(move || target.serve(stream));
            }
        });
        let entry = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":\"{service}\",\"version\":\"v1\",\
             \"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"ready\",\
             \"sequence\":1,\"coldRemainingS\":0}}}}"
        );
        store.put(&format!("servers/{id}"), &entry);
    }

    fn note(&self, request: &str, what: &str, change: impl FnOnce(&mut Seen, f64)) {
        let now = self.record.now();
        let mut ledger = self.ledger.lock().unwrap();
        let runs = ledger.entry(request.to_owned()).or_default();
        if what == "arrived" {
            runs.push(Seen {
                target: self.id.clone(),
                arrived: now,
                ..Seen::default()
            });
        }
        if let Some(seen) = runs.iter_mut().rev().find(|seen| seen.target == self.id) {
            change(seen, now);
        }
        drop(ledger);
        self.record
            .line(&format!("target {} {request} {what}", self.id));
    }

    fn load_field(&self) -> String {
        let load = self.load.0.lock().unwrap();
        format!("{},{},{}", load.running, load.waiting, self.rules.slots)
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        // An idle connection is closed after ten seconds, as its answers say.
        let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(10)));
        while let Ok(Some(head)) = wire.head() {
            if self.rules.reads_after.is_zero() {
                let Ok(body) = wire.body(&head, false) else {
                    return;
                };
                if !self.answer(&mut wire, &head, Some(&body)) {
                    return;
                }
            } else if !self.answer(&mut wire, &head, None) {
                return;
            }
        }
    }

    /// Reads the body while the work goes on; says whether it came whole.
    fn read_late(&self, wire: &mut Wire, head: &Head, id: &str) -> bool {
        std::thread::sleep(self.rules.reads_after);
        match wire.body(head, false) {
            Ok(body) => {
                let is_intact = body == body_of(id, body.len());
                self.note(id, "body read", |seen, _| {
                    seen.body = body.len();
                    seen.is_intact = is_intact;
                });
                true
            }
            Err(error) => {
                self.note(id, &format!("the body broke off: {error}"), |seen, now| {
                    seen.dropped = Some(now)
                });
                false
            }
        }
    }

    /// Answers a request; says whether the connection goes on.
    fn answer(&self, wire: &mut Wire, head: &Head, body: Option<&[u8]>) -> bool {
        if head.word(1) == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
                self.id,
                self.load_field()
            );
            return wire.send(text.as_bytes()).is_ok();
        }
        let id = head.field("request-id").unwrap_or("-").to_owned();
        if head
            .field("intended-instance")
            .is_some_and(|intended| intended != self.id)
        {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nInstance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.id
            );
            return wire.send(text.as_bytes()).is_ok();
        }
        self.note(&id, "arrived", |seen, _| {
            seen.body = body.map_or(0, <[u8]>::len);
            seen.is_intact = body.is_some_and(|body| body == body_of(&id, body.len()));
        });
        if !self.take_slot(wire, &id) {
            return self.is_rejected(&id) && self.reject(wire, &id);
        }
        let is_whole = body.is_some() || self.read_late(wire, head, &id);
        let goes_on = if is_whole {
            self.run(wire, head, &id)
        } else {
            None
        };
        let (load, changed) = &*self.load;
        if goes_on.is_none() {
            load.lock().unwrap().running -= 1;
            changed.notify_all();
            return false;
        }
        let answered = self.send_answer(wire, head, &id);
        changed.notify_all();
        answered
    }

    fn is_rejected(&self, id: &str) -> bool {
        let ledger = self.ledger.lock().unwrap();
        let seen = ledger
            .get(id)
            .and_then(|runs| runs.iter().rev().find(|seen| seen.target == self.id));
        seen.is_some_and(|seen| seen.rejected)
    }

    fn reject(&self, wire: &mut Wire, id: &str) -> bool {
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\
             Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.load_field()
        );
        wire.send(text.as_bytes()).is_ok()
    }

    /// Waits for a slot; false if the request was rejected, or dropped with its connection.
    fn take_slot(&self, wire: &Wire, id: &str) -> bool {
        let (load, changed) = &*self.load;
        let mut held = load.lock().unwrap();
        if held.running >= self.rules.slots && held.waiting >= self.rules.queue {
            drop(held);
            self.note(id, "rejected", |seen, _| seen.rejected = true);
            return false;
        }
        held.waiting += 1;
        held.last_ticket += 1;
        let ticket = held.last_ticket;
        held.line.push_back(ticket);
        loop {
            if held.running < self.rules.slots && held.line.front() == Some(&ticket) {
                held.line.pop_front();
                held.waiting -= 1;
                held.running += 1;
                drop(held);
                self.note(id, "started", |seen, now| seen.started = Some(now));
                return true;
            }
            held = changed
                .wait_timeout(held, Duration::from_millis(10))
                .unwrap()
                .0;
            if wire.is_closed() {
                held.waiting -= 1;
                held.line.retain(|other| *other != ticket);
                drop(held);
                self.note(id, "dropped while it waited", |seen, now| {
                    seen.dropped = Some(now)
                });
                return false;
            }
        }
    }

    /// Works; `None` if the connection was closed meanwhile.
    fn run(&self, wire: &Wire, head: &Head, id: &str) -> Option<()> {
        let work = Duration::from_millis(query(head, "w"));
        let until = Instant::now() + work.saturating_sub(self.rules.reads_after);
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            std::thread::sleep(left.min(Duration::from_millis(10)));
            if wire.is_closed() {
                self.note(id, "dropped at work", |seen, now| seen.dropped = Some(now));
                return None;
            }
        }
        self.note(id, "done", |seen, now| seen.done = Some(now));
        Some(())
    }

    /// The fields that frame a body, and the body as it is sent.
    fn framed(&self, body: &[u8]) -> (String, Vec<u8>) {
        if self.rules.misstates_one_in == 0 {
            return (format!("Content-Length: {}", body.len()), body.to_vec());
        }
        let count = self.answers.fetch_add(1, Ordering::Relaxed) + 1;
        let mut framing = "Transfer-Encoding: chunked".to_owned();
        if count % self.rules.misstates_one_in == 0 {
            framing = format!("Content-Length: {}\r\n{framing}", body.len() / 3);
        }
        let mut sent = format!("{:x}\r\n", body.len()).into_bytes();
        sent.extend_from_slice(body);
        sent.extend_from_slice(b"\r\n0\r\n\r\n");
        (framing, sent)
    }

    fn send_answer(&self, wire: &mut Wire, head: &Head, id: &str) -> bool {
        let length = query(head, "b") as usize;
        let body = body_of(id, length);
        self.load.0.lock().unwrap().running -= 1;
        let (framing, sent_body) = self.framed(&body);
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: {}\r\n\
             Server-Load: {}\r\nKeep-Alive: timeout=10\r\n{framing}\r\n\r\n",
            signature(id, length),
            self.load_field()
        );
        let _ = wire.stream.set_write_timeout(Some(self.rules.unread_limit));
        if wire.send(text.as_bytes()).is_err() {
            return false;
        }
        match wire.send(&sent_body) {
            Ok(()) => {
                self.note(id, "answer sent", |seen, now| seen.sent = Some(now));
                true
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                self.note(id, "answer stayed unread, cut off", |seen, now| {
                    seen.broken = Some(now)
                });
                false
            }
            Err(_) => false,
        }
    }
}

pub fn query(head: &Head, name: &str) -> u64 {
    let query = head.word(1).split_once('?').map_or("", |(_, query)| query);
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let found = pairs.find(|(known, _)| *known == name);
    found.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

/// The bytes of the answer to a request.
pub fn body_of(id: &str, length: usize) -> Vec<u8> {
    id.bytes().cycle().take(length).collect()
}

pub fn signature(id: &str, length: usize) -> String {
    format!("sig.{id}.{length}")
}
