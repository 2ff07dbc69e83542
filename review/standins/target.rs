//! A sound target: it works on as many requests at once as it has slots, queues three times as
//! many, and answers everything that it has begun.

use crate::http::{respond, Request};
use crate::place::{random, serve_target, Entry, Place, Record};
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Ids that targets began to work on, with the state of each.
pub type Arrived = Arc<Mutex<HashMap<String, &'static str>>>;

/// What the targets of a service have in common.
pub struct Kind<'a> {
    pub service: &'a str,
    pub slots: usize,
    /// How long a request takes.
    pub work: Duration,
    /// Length of an answer's body at least.
    pub body_bytes: usize,
    /// Whether the record tells of each request.
    pub is_told: bool,
}

/// Returns the whole body of the answer to a request.
pub fn body_of(id: &str, bytes: usize) -> String {
    let voucher = format!("voucher {id}");
    voucher.repeat(bytes.div_ceil(voucher.len()).max(1))
}

/// A target with slots and a queue. It finishes what it has begun and breaks nothing off.
pub struct Target {
    id: String,
    load: Mutex<(usize, usize)>,
    freed: Condvar,
    slots: usize,
    work: Duration,
    body_bytes: usize,
    record: Option<Record>,
    /// Ids that it began to work on, with the state of each.
    arrived: Arrived,
}

impl Target {
    /// Starts a target with a random id, and puts its entry into the store.
    pub fn start(place: &Place, kind: &Kind, zone: &str, arrived: &Arrived) -> io::Result<()> {
        let id = format!("i-{zone}-{:08x}", random() as u32);
        let target = Self {
            id: id.clone(),
            load: Mutex::default(),
            freed: Condvar::new(),
            slots: kind.slots,
            work: kind.work,
            body_bytes: kind.body_bytes,
            record: kind.is_told.then(|| place.record.clone()),
            arrived: Arc::clone(arrived),
        };
        let address = SocketAddr::new(place.target_ip(), 0);
        let address = serve_target(address, move |stream, request| {
            target.answer(stream, request)
        })?;
        place.put_entry(&Entry {
            id,
            service: kind.service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots: kind.slots as u32,
            state: "ready".to_owned(),
            sequence: 1,
        });
        Ok(())
    }

    fn tell(&self, what: &str) {
        if let Some(record) = &self.record {
            record.tell(&format!("target {}: {what}", self.id));
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> bool {
        let id = request.header("request-id").unwrap_or_default().to_owned();
        if request.path() == "/health" {
            return respond(stream, 200, &[("Instance-Id", &self.id)], b"").is_ok();
        }
        if request.header("intended-instance") != Some(&self.id) {
            return respond(stream, 421, &[("Request-Id", &id)], b"").is_ok();
        }
        let mut load = self.load.lock().unwrap();
        if load.1 >= 3 * self.slots {
            let load = format!("{},{},{}", load.0, load.1, self.slots);
            let headers = [
                ("Request-Id", &*id),
                ("Not-Executed", "1"),
                ("Server-Load", &load),
            ];
            return respond(stream, 503, &headers, b"").is_ok();
        }
        let given = request
            .header("request-deadline")
            .and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(given.unwrap_or(30_000));
        load.1 += 1;
        while load.0 >= self.slots && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            load = self.freed.wait_timeout(load, left).unwrap().0;
        }
        load.1 -= 1;
        if load.0 >= self.slots {
            drop(load);
            let headers = [("Request-Id", &*id), ("Not-Executed", "1")];
            return respond(stream, 503, &headers, b"").is_ok();
        }
        load.0 += 1;
        drop(load);
        self.arrived
            .lock()
            .unwrap()
            .insert(id.clone(), "is being worked on");
        self.tell(&format!("runs {id}"));
        let left = deadline.saturating_duration_since(Instant::now());
        sleep(self.work.min(left));
        let mut load = self.load.lock().unwrap();
        load.0 -= 1;
        let told = format!("{},{},{}", load.0, load.1, self.slots);
        drop(load);
        self.freed.notify_one();
        let status = if self.work > left { 504 } else { 200 };
        let body = body_of(&id, self.body_bytes);
        let headers = [
            ("Request-Id", &*id),
            ("Response-Signature", "sig"),
            ("Server-Load", &told),
        ];
        let is_sent = respond(stream, status, &headers, body.as_bytes()).is_ok();
        let end = if is_sent {
            "ran, and its answer was written"
        } else {
            "ran, and its connection was gone"
        };
        self.arrived.lock().unwrap().insert(id.clone(), end);
        self.tell(&format!("{id} {end}"));
        is_sent
    }
}
