//! Memory, processor time and bytes of one real daemon among simulated peers.

use super::AllocatedBytes;
use super::fit::Series;
use super::peers::{MadeUpPeer, Traffic, record};
use super::scale::{DESIGNED, Scale};
use crate::deployment::OPERATOR_TOKEN;
use crate::http::{LabClient, LabError};
use crate::platform::Platform;
use brasswinch_daemon::{DaemonHandle, start};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Time for links to come up and for the initial state to be exchanged.
const SETTLE: Duration = Duration::from_secs(3);

/// Time over which cost is measured.
const MEASURE: Duration = Duration::from_secs(6);

/// Heartbeats from one full report of loads to the next.
const FULL_ROUND: u32 = 8;

/// Boxes of a zone at the size designed for.
const BOXES_PER_ZONE: usize = 40;

/// Zones that a neighbour covers at that size, on average, links both ways counted.
const COVERED: usize = 5;

/// The interval of heartbeats inside a zone with `neighbours`, as daemons space them.
fn near_interval(neighbours: usize) -> Duration {
    Duration::from_millis((100 * neighbours as u64).max(250))
}

/// The interval of heartbeats between zones with `links`, as daemons space them.
fn far_interval(links: usize) -> Duration {
    Duration::from_millis((200 * links as u64).max(500))
}

/// One daemon under measurement.
struct Measured {
    daemon: DaemonHandle,
    peers: Vec<JoinHandle<()>>,
    traffic: Arc<Traffic>,
}

impl Measured {
    async fn start(scale: Scale, platform: SocketAddr) -> Result<Self, LabError> {
        let daemon = start(scale.settings(platform))?;
        Ok(Self {
            daemon,
            peers: Vec::new(),
            traffic: Arc::default(),
        })
    }

    fn add_peer(&mut self, peer: MadeUpPeer) {
        let link = peer.link(self.daemon.addresses().peer, Arc::clone(&self.traffic));
        self.peers.push(link);
    }

    /// Part of a core that the control thread takes, and bytes a second both ways.
    ///
    /// Measured over whole rounds of heartbeats: every eighth reports all loads.
    async fn cost(&self, interval: Duration) -> (f64, f64) {
        tokio::time::sleep(SETTLE.max(interval * 2)).await;
        let (cpu, bytes, began) = (control_seconds(), self.traffic.bytes(), Instant::now());
        tokio::time::sleep(MEASURE.max(interval * FULL_ROUND)).await;
        let elapsed = began.elapsed().as_secs_f64();
        let cpu = (control_seconds() - cpu) / elapsed;
        (cpu, (self.traffic.bytes() - bytes) as f64 / elapsed)
    }

    async fn stop(self) {
        for peer in &self.peers {
            peer.abort();
        }
        self.daemon.stop();
        let _ = tokio::task::spawn_blocking(move || self.daemon.wait()).await;
    }
}

/// Processor time of the control threads of this process, in seconds.
fn control_seconds() -> f64 {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let mut nanos = 0.0;
    for task in tasks.flatten() {
        let read = |file: &str| std::fs::read_to_string(task.path().join(file));
        if read("comm").is_ok_and(|name| name.trim() == "control") {
            let stat = read("schedstat").unwrap_or_default();
            let ran = stat.split_whitespace().next().and_then(|n| n.parse().ok());
            nanos += ran.unwrap_or(0.0);
        }
    }
    nanos / 1e9
}

async fn platform() -> Result<(Platform, SocketAddr), LabError> {
    let platform = Platform::default();
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(platform.clone().run(listener));
    Ok((platform, address))
}

/// Memory by known boxes.
pub(super) async fn members(allocated: AllocatedBytes) -> Result<Vec<Series>, LabError> {
    let mut memory = Series::new("daemon with known boxes, bytes", "boxes");
    let (_platform, address) = platform().await?;
    for count in [500, 1_000, 2_000, 3_900] {
        let mut scale = DESIGNED;
        scale.sites = 96;
        let before = allocated();
        let mut measured = Measured::start(scale, address).await?;
        let records = (0..count)
            .map(|index| record(&scale, index % scale.zones(), index / scale.zones()))
            .collect();
        measured.add_peer(MadeUpPeer {
            scale,
            zone: 1,
            index: BOXES_PER_ZONE,
            interval: far_interval(1),
            covers: Vec::new(),
            records,
        });
        tokio::time::sleep(SETTLE).await;
        memory.add(count, allocated().saturating_sub(before) as f64);
        measured.stop().await;
    }
    Ok(vec![memory])
}

/// Memory and processor time by sites, without peers.
pub(super) async fn sites(allocated: AllocatedBytes) -> Result<Vec<Series>, LabError> {
    let mut memory = Series::new("daemon with sites, bytes", "sites");
    let mut cpu = Series::new("control thread alone, part of a core", "sites");
    let (_platform, address) = platform().await?;
    for sites in [88, 175, 350, 700] {
        let scale = Scale { sites, ..DESIGNED };
        let before = allocated();
        let measured = Measured::start(scale, address).await?;
        let (used, _) = measured.cost(Duration::ZERO).await;
        memory.add(sites, allocated().saturating_sub(before) as f64);
        cpu.add(sites, used);
        measured.stop().await;
    }
    Ok(vec![memory, cpu])
}

/// Processor time and bytes by neighbours, each of which covers other zones.
pub(super) async fn neighbours() -> Result<Vec<Series>, LabError> {
    let mut cpu = Series::new("control thread, part of a core", "neighbours");
    let mut bytes = Series::new("control, bytes a second both ways", "neighbours");
    let (_platform, address) = platform().await?;
    for count in [5, 10, 20, 39] {
        let mut measured = Measured::start(DESIGNED, address).await?;
        for index in 0..count {
            let first = 1 + index * COVERED;
            measured.add_peer(MadeUpPeer {
                scale: DESIGNED,
                zone: 0,
                index,
                interval: near_interval(count),
                covers: (first..first + COVERED).map(|z| 1 + z % 95).collect(),
                records: Vec::new(),
            });
        }
        let (used, passed) = measured.cost(near_interval(count)).await;
        cpu.add(count, used);
        bytes.add(count, passed);
        measured.stop().await;
    }
    Ok(vec![cpu, bytes])
}

/// Processor time and bytes by links to other zones.
pub(super) async fn far_links() -> Result<Vec<Series>, LabError> {
    let mut cpu = Series::new("control thread, part of a core", "far links");
    let mut bytes = Series::new("control, bytes a second both ways", "far links");
    let (_platform, address) = platform().await?;
    for count in [3, 6, 12, 24] {
        let mut measured = Measured::start(DESIGNED, address).await?;
        for index in 0..count {
            measured.add_peer(MadeUpPeer {
                scale: DESIGNED,
                zone: 1 + index,
                index,
                interval: far_interval(count),
                covers: Vec::new(),
                records: Vec::new(),
            });
        }
        let (used, passed) = measured.cost(far_interval(count)).await;
        cpu.add(count, used);
        bytes.add(count, passed);
        measured.stop().await;
    }
    Ok(vec![cpu, bytes])
}

/// Processor time by changes of configuration, each a policy of all services.
pub(super) async fn changes() -> Result<Vec<Series>, LabError> {
    let mut cpu = Series::new("control thread, part of a core", "policy changes a second");
    let (_platform, address) = platform().await?;
    let client = LabClient::default();
    // A workspace of ten services: hundreds of workspaces share the sites.
    let scale = Scale {
        sites: 30,
        ..DESIGNED
    };
    for rate in [1, 2, 4, 8] {
        let measured = Measured::start(scale, address).await?;
        let admin = measured.daemon.addresses().admin;
        tokio::time::sleep(SETTLE).await;
        let (used, began) = (control_seconds(), Instant::now());
        let mut sent = 0_u32;
        while began.elapsed() < MEASURE {
            let due = began + Duration::from_secs_f64(f64::from(sent) / rate as f64);
            tokio::time::sleep_until(due.into()).await;
            sent += 1;
            let body = serde_json::json!({ "source": scale.policy(sent as usize) });
            client
                .post(admin, "/v1/policy", Some(OPERATOR_TOKEN), &body)
                .await?;
        }
        let elapsed = began.elapsed().as_secs_f64();
        cpu.add(rate, (control_seconds() - used) / elapsed);
        measured.stop().await;
    }
    Ok(vec![cpu])
}
