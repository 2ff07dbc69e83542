//! Several boxes that know each other, and clients that press on all of them.

use super::{Answer, Kept, call, config, eventually, record, request, settings};
use brasswinch_edge::{Dialect, EdgeHandle, start};
use brasswinch_lab::memory_store::{MemoryStore, StoreFault};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_routing::Change;
use brasswinch_types::{Region, Zone};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

pub const BOXES: usize = 3;

const UPSTREAMS: usize = 4;

/// How long an upstream takes: of 4 slots, it bears 200 requests a second.
const WORK: Duration = Duration::from_millis(20);

/// Between two requests of the client of each box: some 20 a second from each.
pub const PAUSE: Duration = Duration::from_millis(30);

/// Boxes in front of the same upstreams, each with clients of its own.
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    pub boxes: Vec<EdgeHandle>,
    /// Each box's access to the store.
    pub stores: Vec<MemoryStore>,
    store: MemoryStore,
}

impl Fleet {
    /// `count` serving boxes that know each other.
    pub async fn start(count: usize) -> Self {
        let dialect = Dialect::default();
        let store = MemoryStore::default().handle();
        store.write(Change::Config(Arc::new(config(1))));
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("upstream-{number}");
            let upstream = Upstream::start(&id, &dialect).await.unwrap();
            upstream.always(Behaviour::AnswerAfter(WORK));
            store.write(Change::Upstream(record(&upstream)));
            upstreams.push(upstream);
        }
        let mut fleet = Self {
            store,
            upstreams,
            boxes: Vec::new(),
            stores: Vec::new(),
        };
        for number in 0..count {
            fleet.add_box(&format!("box-{number}")).await;
        }
        fleet.meet(count).await;
        fleet
    }

    async fn add_box(&mut self, id: &str) {
        let seeds = self.boxes.first().map(|first| first.addresses().peers);
        let settings = settings(id, seeds.into_iter().collect());
        let store = self.store.handle();
        let handle = start(settings, Dialect::default(), store.clone()).await;
        self.boxes.push(handle.unwrap());
        self.stores.push(store);
    }

    /// Waits until all boxes know `count` that serve.
    async fn meet(&self, count: usize) {
        for handle in &self.boxes {
            let context = Arc::clone(handle.context());
            let (zone, region) = (Zone::new("west-a"), Region::new("west"));
            let names_all = || {
                let answer = context.directory_answer(&zone, &region);
                context.is_ready() && answer.addresses.len() == count
            };
            eventually("the box knows all", names_all).await;
        }
    }

    /// Silences the store for all boxes.
    pub fn silence_store(&self) {
        for store in &self.stores {
            store.set_fault(StoreFault::Silent);
        }
    }

    pub fn clients(&self) -> Vec<SocketAddr> {
        let addresses = self.boxes.iter().map(|held| held.addresses().clients);
        addresses.collect()
    }

    /// The home of the object that all requests are about, after each box has met it.
    pub async fn home(&self) -> Upstream {
        let mut served_by = String::new();
        for to in self.clients() {
            let answer = call(to, request("GET", "/safe/met", "")).await.unwrap();
            assert_eq!(answer.status, 200);
            served_by = String::from_utf8(answer.body.to_vec()).unwrap();
        }
        let mut upstreams = self.upstreams.iter();
        let home = upstreams.find(|held| held.id == served_by);
        home.unwrap().clone()
    }

    /// Sends requests to all boxes for `time`; the answers.
    pub async fn press(&self, time: Duration) -> Vec<Answer> {
        let mut clients = JoinSet::new();
        for to in self.clients() {
            clients.spawn(press(to, time));
        }
        clients.join_all().await.into_iter().flatten().collect()
    }
}

/// One client that sends to one box; it comes anew where its connection ends.
async fn press(to: SocketAddr, time: Duration) -> Vec<Answer> {
    let until = Instant::now() + time;
    let mut answers = Vec::new();
    let mut connection = Kept::open(to).await;
    while Instant::now() < until {
        match connection.call(request("GET", "/safe/pressed", "")).await {
            Ok(answer) => answers.push(answer),
            Err(_) => connection = Kept::open(to).await,
        }
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

/// How many of the answers are of upstreams.
pub fn served(answers: &[Answer]) -> usize {
    let served = answers.iter().filter(|answer| answer.status == 200);
    served.count()
}
