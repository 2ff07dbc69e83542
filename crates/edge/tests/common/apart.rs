//! Boxes with an address each, some of which can be partitioned from all upstreams.

use super::{Answer, call, config, eventually, record, request, settings};
use brasswinch_edge::{Dialect, EdgeAddresses, EdgeHandle, EdgeSettings, start};
use brasswinch_lab::memory_store::MemoryStore;
use brasswinch_lab::partition::{Partition, PartitionKind};
use brasswinch_lab::routed_upstream::{Behaviour, Upstream};
use brasswinch_routing::{Change, SteeringConfig};
use brasswinch_types::{Region, Zone};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

/// Zones of boxes and upstreams, which take turns.
pub const ZONES: [(&str, &str); 2] = [("west-a", "west"), ("north-a", "north")];

const UPSTREAMS: usize = 6;

/// Processing time of an upstream.
const PROCESSING_TIME: Duration = Duration::from_millis(5);

/// Boxes, each with its own address, in front of the same upstreams.
pub struct Apart {
    pub store: MemoryStore,
    /// Each box's handle of the store.
    pub stores: Vec<MemoryStore>,
    pub upstreams: Vec<Upstream>,
    pub boxes: Vec<Option<EdgeHandle>>,
    pub clients: Vec<SocketAddr>,
}

/// Returns the address of a box.
pub fn box_ip(index: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 0, 10 + index as u8)
}

fn settings_at(index: usize, seeds: Vec<SocketAddr>) -> EdgeSettings {
    let own = SocketAddr::from((box_ip(index), 0));
    EdgeSettings {
        zone: Zone::new(ZONES[index % ZONES.len()].0),
        addresses: EdgeAddresses {
            clients: own,
            peers: own,
        },
        ..settings(&format!("box-{index}"), seeds)
    }
}

impl Apart {
    /// Starts `count` boxes and waits until they serve and know each other.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, config(1)).await
    }

    /// Starts `count` boxes with this configuration.
    pub async fn start_with(count: usize, config: SteeringConfig) -> Self {
        let dialect = Dialect::default();
        let store = MemoryStore::default().handle();
        store.write(Change::Config(Arc::new(config)));
        let mut upstreams = Vec::new();
        for number in 0..UPSTREAMS {
            let id = format!("upstream-{number}");
            let upstream = Upstream::start(&id, &dialect).await.unwrap();
            upstream.always(Behaviour::AnswerAfter(PROCESSING_TIME));
            let mut record = record(&upstream);
            record.zone = Zone::new(ZONES[number % ZONES.len()].0);
            store.write(Change::Upstream(record));
            upstreams.push(upstream);
        }
        let mut all = Self {
            store,
            stores: Vec::new(),
            upstreams,
            boxes: Vec::new(),
            clients: Vec::new(),
        };
        for index in 0..count {
            all.add_box(index).await;
        }
        all.wait_for_discovery(count).await;
        all
    }

    async fn add_box(&mut self, index: usize) {
        let first = self.boxes.first().and_then(Option::as_ref);
        let seeds = first.map(|first| first.addresses().peers);
        let settings = settings_at(index, seeds.into_iter().collect());
        let store = self.store.handle();
        let handle = start(settings, Dialect::default(), store.clone()).await;
        let handle = handle.unwrap();
        self.stores.push(store);
        self.clients.push(handle.addresses().clients);
        self.boxes.push(Some(handle));
    }

    async fn wait_for_discovery(&self, count: usize) {
        let region_boxes = |region: usize| count.div_ceil(ZONES.len()) - region * (count % 2);
        for handle in self.boxes.iter().flatten() {
            let context = Arc::clone(handle.context());
            let knows_all = || {
                context.is_ready()
                    && ZONES.iter().enumerate().all(|(number, (zone, region))| {
                        let answer =
                            context.directory_answer(&Zone::new(*zone), &Region::new(*region));
                        answer.addresses.len() == region_boxes(number)
                    })
            };
            eventually("the box knows all boxes", knows_all).await;
        }
    }

    /// Partitions the first `count` boxes from all upstreams.
    pub fn cut(&self, count: usize, kind: PartitionKind) {
        let sources: Vec<Ipv4Addr> = (0..count).map(box_ip).collect();
        for upstream in &self.upstreams {
            upstream.set_partition(Partition::new(kind, sources.clone()));
        }
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        for upstream in &self.upstreams {
            upstream.set_partition(Partition::default());
        }
    }

    pub fn context(&self, index: usize) -> &brasswinch_edge::Context {
        self.boxes[index].as_ref().unwrap().context()
    }

    /// Sends one request to a box.
    pub async fn call(&self, index: usize, method: &str, path: &str) -> Answer {
        call(self.clients[index], request(method, path, ""))
            .await
            .unwrap()
    }

    /// Waits until a box serves requests again.
    pub async fn wait_until_served(&self, index: usize) {
        let until = std::time::Instant::now() + super::MAX_CONDITION_WAIT;
        while self.call(index, "GET", "/safe/again").await.status != 200 {
            assert!(
                std::time::Instant::now() < until,
                "box {index} serves nothing"
            );
        }
    }

    /// Sends `count` requests to a box, each once, for different objects; returns how many were
    /// served.
    pub async fn served(&self, index: usize, count: usize) -> usize {
        let mut served = 0;
        for number in 0..count {
            let (method, path) = match number % 2 {
                0 => ("GET", format!("/safe/{number}")),
                _ => ("POST", format!("/once/{number}")),
            };
            let object = format!("{}={number}", Dialect::default().object_cookie);
            let mut request = request(method, &path, "");
            request
                .headers_mut()
                .insert("cookie", object.parse().unwrap());
            let answer = call(self.clients[index], request).await.unwrap();
            served += usize::from(answer.status == 200);
        }
        served
    }
}
