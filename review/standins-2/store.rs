//! Stand-in of the platform's store, by PROTOCOL.md: items, pages, watches, leases, conditions.

use crate::http::Wire;
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    made: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision, key, and the item unless it is gone.
    events: Vec<(u64, String, Option<Item>)>,
    /// Leases with the time at which they run out, and how long they are renewed for.
    leases: BTreeMap<u64, (Instant, f64)>,
    last_lease: u64,
}

impl State {
    fn write(&mut self, key: &str, value: Option<(String, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        let item = value.map(|(value, lease)| Item {
            value,
            revision,
            made: self.items.get(key).map_or(revision, |item| item.made),
            lease,
        });
        match &item {
            Some(item) => self.items.insert(key.to_owned(), item.clone()),
            None => self.items.remove(key),
        };
        self.events.push((revision, key.to_owned(), item));
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.write(&key, None);
        }
        self.leases.remove(&lease).is_some()
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over = self.leases.iter().filter(|(_, (until, _))| *until < now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }
}

/// The store. Clones share its contents.
#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("the store's address is free");
        let store = Self {
            shared: Arc::default(),
            address,
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes as the operator or a target does.
    pub fn put(&self, key: &str, value: &str) {
        let (state, changed) = &*self.shared;
        let mut state = state.lock().unwrap();
        state.write(key, Some((encode(value.as_bytes()), 0)));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let Ok(body) = wire.body(&head, false) else {
                return;
            };
            let body = String::from_utf8_lossy(&body).into_owned();
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n\
                 Content-Length: {}\r\n\r\n{answer}",
                answer.len()
            );
            if wire.send(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, method: &str, target: &str, body: &str) -> (u16, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decoded(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let (state, changed) = &*self.shared;
        match (method, path) {
            ("GET", "/api/kv-key") => {
                let mut state = state.lock().unwrap();
                state.expire();
                let key = text("tlsKey");
                match state.items.get(&key) {
                    Some(item) => (200, shown(&key, item, Some(state.revision))),
                    None => (404, "{}".to_owned()),
                }
            }
            ("GET", "/api/kv-range") => {
                let mut state = state.lock().unwrap();
                state.expire();
                let (prefix, after) = (text("pathPrefix"), text("after"));
                let found = state.items.iter();
                let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let found: Vec<String> = found.map(|(key, item)| shown(key, item, None)).collect();
                let page: Vec<String> = found.iter().take(500).cloned().collect();
                let more = found.len() > page.len();
                let (page, at) = (page.join(","), state.revision);
                (
                    200,
                    format!("{{\"items\":[{page}],\"more\":{more},\"at\":{at}}}"),
                )
            }
            ("GET", "/api/kv-watch") => {
                let (prefix, after) = (text("pathPrefix"), text("after"));
                let after: u64 = after.parse().unwrap_or(0);
                let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut state = state.lock().unwrap();
                loop {
                    state.expire();
                    let events = state.events.iter();
                    let events =
                        events.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let events: Vec<String> = events
                        .map(|(at, key, item)| match item {
                            Some(item) => shown(key, item, None),
                            None => {
                                format!("{{\"tlsKey\":{key:?},\"revision\":{at},\"gone\":true}}")
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, at) = (events.join(","), state.revision);
                        return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
                    }
                    let step = left.min(Duration::from_millis(100));
                    state = changed.wait_timeout(state, step).unwrap().0;
                }
            }
            ("POST", "/api/kv-lease") => {
                let ttl_s = number_after(body, "ttl_s")
                    .unwrap_or(10.0)
                    .clamp(1.0, 600.0);
                let mut state = state.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                let until = Instant::now() + Duration::from_secs_f64(ttl_s);
                state.leases.insert(lease, (until, ttl_s));
                (200, format!("{{\"lease\":{lease},\"ttl_s\":{ttl_s}}}"))
            }
            ("POST", "/api/kv-txn") => {
                let answer = transact(&mut state.lock().unwrap(), body);
                changed.notify_all();
                answer
            }
            _ => {
                let mut state = state.lock().unwrap();
                state.expire();
                let lease = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let lease: u64 = lease.unwrap_or(0);
                let is_known = if path.starts_with("/api/kv-keep/") {
                    let found = state.leases.get_mut(&lease);
                    found.is_some_and(|(until, ttl_s)| {
                        *until = Instant::now() + Duration::from_secs_f64(*ttl_s);
                        true
                    })
                } else {
                    path.starts_with("/api/kv-lease-end/") && state.end_lease(lease)
                };
                changed.notify_all();
                if is_known {
                    (200, "{\"ttl_s\":10}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
        }
    }
}

/// A change under a condition: all or nothing.
fn transact(state: &mut State, body: &str) -> (u16, String) {
    state.expire();
    let rows = objects_in(body, "expectedRev");
    let holds = rows.iter().all(|row| {
        let key = string_after(row, "tlsKey").unwrap_or_default();
        let wanted = number_after(row, "revision").unwrap_or(0.0) as u64;
        state.items.get(&key).map_or(0, |item| item.revision) == wanted
    });
    if !holds {
        let items = rows.iter().filter_map(|row| {
            let key = string_after(row, "tlsKey")?;
            Some(shown(&key, state.items.get(&key)?, None))
        });
        let items: Vec<String> = items.collect();
        return (412, format!("{{\"items\":[{}]}}", items.join(",")));
    }
    let puts = objects_in(body, "put");
    for put in &puts {
        let lease = number_after(put, "lease").unwrap_or(0.0) as u64;
        if lease != 0 && !state.leases.contains_key(&lease) {
            return (404, "{}".to_owned());
        }
    }
    for put in &puts {
        let lease = number_after(put, "lease").unwrap_or(0.0) as u64;
        let key = string_after(put, "tlsKey").unwrap_or_default();
        let value = string_after(put, "value").unwrap_or_default();
        state.write(&key, Some((value, lease)));
    }
    let removed = body.split_once("\"remove\"").map_or("", |(_, rest)| rest);
    let removed = removed.split(']').next().unwrap_or("");
    for key in removed.split('"').skip(1).step_by(2) {
        state.write(key, None);
    }
    (200, format!("{{\"revision\":{}}}", state.revision))
}

fn shown(key: &str, item: &Item, at: Option<u64>) -> String {
    let Item {
        value,
        revision,
        made,
        lease,
    } = item;
    let at = at.map_or(String::new(), |at| format!(",\"at\":{at}"));
    format!(
        "{{\"tlsKey\":{key:?},\"value\":\"{value}\",\"revision\":{revision},\
         \"made\":{made},\"lease\":{lease}{at}}}"
    )
}

/// The flat objects of the list `name` in a document that has no brackets in its texts.
fn objects_in(body: &str, name: &str) -> Vec<String> {
    let marker = format!("\"{name}\"");
    let Some((_, rest)) = body.split_once(&marker) else {
        return Vec::new();
    };
    let list = rest.split(']').next().unwrap_or("");
    let objects = list.split('{').skip(1);
    objects
        .map(|one| one.split('}').next().unwrap_or("").to_owned())
        .collect()
}

fn after_name<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let marker = format!("\"{name}\"");
    let (_, rest) = text.split_once(&marker)?;
    Some(rest.trim_start().strip_prefix(':')?.trim_start())
}

fn string_after(text: &str, name: &str) -> Option<String> {
    let rest = after_name(text, name)?.strip_prefix('"')?;
    Some(rest.split('"').next()?.to_owned())
}

fn number_after(text: &str, name: &str) -> Option<f64> {
    let rest = after_name(text, name)?;
    let end = rest
        .find(|c: char| !(c.is_ascii_digit() || c == '.'))
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

fn percent_decoded(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        let code = after.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
        rest = match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                &after[2..]
            }
            (b'+', _) => {
                bytes.push(b' ');
                after
            }
            _ => {
                bytes.push(*first);
                after
            }
        };
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn encode(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let padded = [
            three[0],
            *three.get(1).unwrap_or(&0),
            *three.get(2).unwrap_or(&0),
        ];
        let all = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for place in 0..4 {
            let sign = SIGNS[(all >> (18 - 6 * place) & 63) as usize];
            text.push(if place > three.len() {
                '='
            } else {
                sign as char
            });
        }
    }
    text
}
