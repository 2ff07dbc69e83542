//! Several boxes that know each other, and clients that send to all of them.

use super::{Answer, KeptConnection, call, config, eventually, record, request, settings};
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

/// Processing time of an upstream; with 4 slots it handles 200 requests per second.
const PROCESSING_TIME: Duration = Duration::from_millis(20);

/// Pause between two requests of a client; at most some 20 requests per second to each box.
pub const PAUSE: Duration = Duration::from_millis(30);

/// Boxes in front of the same upstreams, each with its own client.
pub struct Fleet {
    pub upstreams: Vec<Upstream>,
    pub boxes: Vec<EdgeHandle>,
    /// Each box's handle of the store.
    pub stores: Vec<MemoryStore>,
    store: MemoryStore,
}

impl Fleet {
    /// Starts `count` boxes and waits until they serve and know each other.
    pub async fn start(count: usize) -> Self {
        let dialect = Dialect::default();
        let store = MemoryStore::default().handle();
        store.write(Change::Config(Arc::new(config(1))));
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("upstream-{number}");
            let upstream = Upstream::start(&id, &dialect).await.unwrap();
            upstream.always(Behaviour::AnswerAfter(PROCESSING_TIME));
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
        fleet.wait_for_discovery(count).await;
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

    /// Waits until all boxes serve and know `count` boxes.
    async fn wait_for_discovery(&self, count: usize) {
        for handle in &self.boxes {
            let context = Arc::clone(handle.context());
            let (zone, region) = (Zone::new("west-a"), Region::new("west"));
            let knows_all = || {
                let answer = context.directory_answer(&zone, &region);
                context.is_ready() && answer.addresses.len() == count
            };
            eventually("the box knows all boxes", knows_all).await;
        }
    }

    /// Makes the store unresponsive for all boxes.
    pub fn make_store_unresponsive(&self) {
        for store in &self.stores {
            store.set_fault(StoreFault::Silent);
        }
    }

    pub fn clients(&self) -> Vec<SocketAddr> {
        let addresses = self.boxes.iter().map(|handle| handle.addresses().clients);
        addresses.collect()
    }

    /// Returns the home upstream of the object of all requests, after each box has sent a
    /// request to it.
    pub async fn home(&self) -> Upstream {
        let mut served_by = String::new();
        for to in self.clients() {
            let answer = call(to, request("GET", "/safe/met", "")).await.unwrap();
            assert_eq!(answer.status, 200);
            served_by = String::from_utf8(answer.body.to_vec()).unwrap();
        }
        let mut upstreams = self.upstreams.iter();
        let home = upstreams.find(|upstream| upstream.id == served_by);
        home.unwrap().clone()
    }

    /// Sends requests to all boxes for `time`; returns the answers.
    pub async fn send_requests(&self, time: Duration) -> Vec<Answer> {
        let mut clients = JoinSet::new();
        for to in self.clients() {
            clients.spawn(run_client(to, time));
        }
        clients.join_all().await.into_iter().flatten().collect()
    }
}

/// Runs one client of one box; it reconnects when its connection ends.
async fn run_client(to: SocketAddr, time: Duration) -> Vec<Answer> {
    let until = Instant::now() + time;
    let mut answers = Vec::new();
    let mut connection = KeptConnection::open(to).await;
    while Instant::now() < until {
        match connection.call(request("GET", "/safe/pressed", "")).await {
            Ok(answer) => answers.push(answer),
            Err(_) => connection = KeptConnection::open(to).await,
        }
        tokio::time::sleep(PAUSE).await;
    }
    answers
}

/// Returns the number of answers that came from upstreams.
pub fn served(answers: &[Answer]) -> usize {
    let served = answers.iter().filter(|answer| answer.status == 200);
    served.count()
}
