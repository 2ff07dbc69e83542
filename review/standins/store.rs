//! The platform's metadata store, by `PROTOCOL.md`: items, ranges, watches, transactions, leases.

use crate::http::{read_request, respond, Request};
use crate::json::{escape, Json};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    /// In base64, as calls carry it.
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

struct Lease {
    ends: Instant,
    ttl: Duration,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// What was written or taken away, oldest first.
    events: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        let made = self.items.get(key).map_or(revision, |item| item.made);
        let item = Item {
            value,
            revision,
            made,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push((revision, key.to_owned(), Some(item)));
        revision
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, lease)| lease.ends <= now);
        let over: Vec<u64> = over.map(|(id, _)| *id).collect();
        for id in over {
            self.end_lease(id);
        }
    }
}

/// The store. Clones share their data.
#[derive(Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Serves at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(100));
            expiring.change(State::expire);
        });
        Ok(store)
    }

    /// Writes an item as the operator or a target does.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.change(|state| state.put(key, value, 0));
    }

    /// Takes an item away.
    #[allow(dead_code)]
    pub fn remove(&self, key: &str) {
        self.change(|state| state.remove(key));
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.shared.0.lock().unwrap();
        let before = state.revision;
        let result = change(&mut state);
        let is_changed = state.revision != before;
        drop(state);
        if is_changed {
            self.shared.1.notify_all();
        }
        result
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Ok(Some(request)) = read_request(&mut stream, &mut rest) {
            let (status, body) = self.answer(&request);
            let head = [("Content-Type", "application/json")];
            if respond(&mut stream, status, &head, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let path = request.path();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
        };
        let text = |name: &str| request.query(name).unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-key") => self.key(&text("tlsKey")),
            ("GET", "/api/kv-range") => self.range(&text("pathPrefix"), &text("after")),
            ("GET", "/api/kv-watch") => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
                self.watch(&text("pathPrefix"), number("after").unwrap_or(0), wait)
            }
            ("POST", "/api/kv-txn") => self.transact(&Json::parse(&request.body)),
            ("POST", "/api/kv-lease") => self.grant(&Json::parse(&request.body)),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.keep(last_number(path)),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let lease = last_number(path);
                let is_known = self.shared.0.lock().unwrap().leases.contains_key(&lease);
                self.change(|state| state.end_lease(lease));
                (if is_known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            None => (404, "{}".to_owned()),
            Some(item) => {
                let text = written(key, item);
                let at = state.revision;
                (200, format!("{},\"at\":{at}}}", &text[..text.len() - 1]))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let found: Vec<String> = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after)
            .map(|(key, item)| written(key, item))
            .collect();
        let more = found.len() > 50;
        let page = found[..found.len().min(50)].join(",");
        let at = state.revision;
        (
            200,
            format!("{{\"items\":[{page}],\"more\":{more},\"at\":{at}}}"),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (u16, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events: Vec<String> = state
                .events
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(revision, key, item)| match item {
                    Some(item) => written(key, item),
                    None => {
                        let key = escape(key);
                        format!("{{\"tlsKey\":{key},\"revision\":{revision},\"gone\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (at, events) = (state.revision, events.join(","));
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, asked: &Json) -> (u16, String) {
        self.change(|state| {
            let expected = asked.list("expectedRev");
            let is_met = expected.iter().all(|row| {
                let item = state.items.get(&row.text("tlsKey"));
                item.map_or(0, |item| item.revision) == row.number("revision")
            });
            if !is_met {
                let items = expected.iter().filter_map(|row| {
                    let key = row.text("tlsKey");
                    state.items.get(&key).map(|item| written(&key, item))
                });
                let items: Vec<String> = items.collect();
                return (412, format!("{{\"items\":[{}]}}", items.join(",")));
            }
            let puts = asked.list("put");
            let is_known = |put: &&Json| {
                let lease = put.number("lease");
                lease == 0 || state.leases.contains_key(&lease)
            };
            if !puts.iter().all(|put| is_known(&put)) {
                return (404, "{}".to_owned());
            }
            for put in puts {
                state.put(&put.text("tlsKey"), put.text("value"), put.number("lease"));
            }
            for key in asked.list("remove") {
                if let Json::Text(key) = key {
                    state.remove(key);
                }
            }
            (200, format!("{{\"revision\":{}}}", state.revision))
        })
    }

    fn grant(&self, asked: &Json) -> (u16, String) {
        let ttl_s = asked.number("ttl_s").max(1);
        let ttl = Duration::from_secs(ttl_s);
        self.change(|state| {
            state.next_lease += 1;
            let (lease, ends) = (state.next_lease, Instant::now() + ttl);
            state.leases.insert(lease, Lease { ends, ttl });
            (200, format!("{{\"lease\":{lease},\"ttl_s\":{ttl_s}}}"))
        })
    }

    fn keep(&self, lease: u64) -> (u16, String) {
        let mut state = self.shared.0.lock().unwrap();
        match state.leases.get_mut(&lease) {
            None => (404, "{}".to_owned()),
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                (200, format!("{{\"ttl_s\":{}}}", lease.ttl.as_secs()))
            }
        }
    }
}

fn last_number(path: &str) -> u64 {
    let last = path.rsplit('/').next().unwrap_or_default();
    last.parse().unwrap_or(0)
}

fn written(key: &str, item: &Item) -> String {
    let key = escape(key);
    let Item {
        value,
        revision,
        made,
        lease,
    } = item;
    format!(
        "{{\"tlsKey\":{key},\"value\":\"{value}\",\"revision\":{revision},\"made\":{made},\"lease\":{lease}}}"
    )
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(*part.get(index).unwrap_or(&0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place > part.len() {
                '='
            } else {
                sign as char
            });
        }
    }
    text
}
