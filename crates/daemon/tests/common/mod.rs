//! Starts real daemons around the stand-ins of a small deployment.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use brasswinch_daemon::{StatusView, SubmitAnswer};
use brasswinch_lab::callers::{Caller, Job};
use brasswinch_lab::deployment::{CALLER_TOKEN, OPERATOR_TOKEN, Site, Spec, caller_ip};
use brasswinch_lab::http::{LabClient, WholeAnswer, decode};
use rustix::process::{Pid, Signal, kill_process};
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use tokio::sync::{Mutex, MutexGuard};

/// Longest wait for anything that a test waits for.
pub const PATIENCE: Duration = Duration::from_secs(40);

static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Fleets load the machine, so the tests of one file run one after another.
pub async fn alone() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// Waits until `condition` holds; fails with `what` when patience runs out.
pub async fn eventually<F, Fut>(what: &str, mut condition: F)
where
    F: FnMut() -> Fut,
    Fut: Future<Output = bool>,
{
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < PATIENCE, "never came true: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// One daemon as a process.
pub struct Daemon {
    child: Child,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub admin: SocketAddr,
}

impl Daemon {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32).unwrap();
        kill_process(pid, signal).unwrap();
    }

    pub fn freeze(&self) {
        self.signal(Signal::STOP);
    }

    pub fn wake(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Peak and current resident memory, in KiB.
    pub fn memory_kib(&self) -> (u64, u64) {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name)).unwrap();
            let number = line.split_whitespace().nth(1).unwrap();
            number.parse().unwrap()
        };
        (field("VmHWM:"), field("VmRSS:"))
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Daemons and stand-ins of a small deployment.
pub struct Fleet {
    pub site: Site,
    pub daemons: BTreeMap<String, Daemon>,
    pub client: LabClient,
    folder: PathBuf,
}

impl Fleet {
    /// Stand-ins only.
    pub async fn without_daemons(spec: Spec) -> Self {
        let site = Site::start(spec).await.unwrap();
        let folder = std::env::temp_dir().join(format!(
            "brasswinch-test-{}-{:016x}",
            std::process::id(),
            rand_number()
        ));
        std::fs::create_dir_all(&folder).unwrap();
        let deployment = serde_json::to_vec(&site.deployment).unwrap();
        std::fs::write(folder.join("deployment.yaml"), deployment).unwrap();
        Self {
            site,
            daemons: BTreeMap::new(),
            client: LabClient::default(),
            folder,
        }
    }

    /// Every box of the deployment, serving, with `policy` in force.
    pub async fn serving(spec: Spec, policy: &str) -> Self {
        let mut fleet = Self::without_daemons(spec).await;
        for (zone, index) in fleet.places() {
            fleet.start(zone, index);
        }
        let accepted = fleet.submit(fleet.any_admin(), policy).await;
        assert_eq!(accepted.status, 200, "{:?}", accepted.body);
        fleet.until_all_serve().await;
        fleet
    }

    pub fn places(&self) -> Vec<(usize, usize)> {
        let spec = &self.site.spec;
        let boxes = spec.boxes_per_zone;
        (0..spec.zones())
            .flat_map(|zone| (1..=boxes).map(move |index| (zone, index)))
            .collect()
    }

    /// Starts one box, with settings changed as a test needs them.
    pub fn start_with(
        &mut self,
        zone: usize,
        index: usize,
        change: impl FnOnce(&mut brasswinch_settings::BoxSettings),
    ) -> String {
        let mut settings = self.site.box_settings(zone, index);
        change(&mut settings);
        let name = settings.id.clone();
        let file = self.folder.join(format!("{name}.yaml"));
        std::fs::write(&file, serde_json::to_vec(&settings).unwrap()).unwrap();
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_brasswinchd"))
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let mut line = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut line).unwrap();
        let address = |name: &str| -> SocketAddr {
            let field = line.split_whitespace().find(|f| f.starts_with(name));
            let field = field.unwrap_or_else(|| panic!("no {name} in {line:?}"));
            field[name.len() + 1..].parse().unwrap()
        };
        let daemon = Daemon {
            callers: address("callers"),
            peers: address("peers"),
            admin: address("admin"),
            child,
        };
        self.site.box_listens(&name, daemon.peers);
        self.daemons.insert(name.clone(), daemon);
        name
    }

    pub fn start(&mut self, zone: usize, index: usize) -> String {
        self.start_with(zone, index, |_| {})
    }

    pub fn daemon(&mut self, name: &str) -> &mut Daemon {
        self.daemons.get_mut(name).unwrap()
    }

    pub fn any_admin(&self) -> SocketAddr {
        self.daemons.values().next().unwrap().admin
    }

    pub fn callers(&self) -> Vec<SocketAddr> {
        self.daemons.values().map(|daemon| daemon.callers).collect()
    }

    /// A caller in zone number `zone` who asks every box.
    pub fn caller(&self, zone: usize) -> Caller {
        Caller::new(caller_ip(zone), self.callers())
    }

    pub fn job(&self, service: &str, zone: usize) -> Job {
        let spec = &self.site.spec;
        Job::small(spec.workspace, CALLER_TOKEN, service, spec.region_of(zone))
    }

    pub async fn submit(&self, admin: SocketAddr, source: &str) -> WholeAnswer {
        let body = serde_json::json!({ "source": source });
        let token = Some(OPERATOR_TOKEN);
        self.client
            .post(admin, "/v1/policy", token, &body)
            .await
            .unwrap()
    }

    pub async fn submitted(&self, admin: SocketAddr, source: &str) -> SubmitAnswer {
        decode(&self.submit(admin, source).await).unwrap()
    }

    pub async fn status(&self, admin: SocketAddr) -> Option<StatusView> {
        let token = Some(OPERATOR_TOKEN);
        self.client.get(admin, "/v1/status", token).await.ok()
    }

    /// Waits until every daemon sees every daemon serving, all slots of all zones held.
    pub async fn until_all_serve(&self) {
        let spec = &self.site.spec;
        let slots: u32 = spec
            .services
            .iter()
            .map(|s| spec.region_slots(s.name))
            .sum();
        let all = slots * spec.regions.len() as u32;
        self.until_serving(self.daemons.len(), Some(all)).await;
    }

    /// Waits until every daemon sees `count` daemons serving and, if given, `slots` held.
    pub async fn until_serving(&self, count: usize, slots: Option<u32>) {
        for daemon in self.daemons.values() {
            eventually(&format!("{count} boxes serve, {slots:?} slots"), || async {
                let Some(status) = self.status(daemon.admin).await else {
                    return false;
                };
                let serving = status
                    .boxes
                    .iter()
                    .filter(|b| b.heard && b.state == "serving");
                let held: u32 = status
                    .services
                    .iter()
                    .flat_map(|service| service.zones.values())
                    .map(|load| load.total)
                    .sum();
                serving.count() == count && slots.is_none_or(|slots| held == slots)
            })
            .await;
        }
    }

    /// The newest policy version that each daemon has in force.
    pub async fn versions(&self) -> BTreeMap<String, u64> {
        let mut versions = BTreeMap::new();
        for (name, daemon) in &self.daemons {
            let status = self.status(daemon.admin).await;
            let version = status.and_then(|s| s.policy).map_or(0, |p| p.version);
            versions.insert(name.clone(), version);
        }
        versions
    }

    /// All daemons' log lines with this event, for messages of failed tests.
    pub fn log_lines(&self, event: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for name in self.daemons.keys() {
            let log = self.log_of(name);
            let found = log.lines().filter(|line| line.contains(event));
            lines.extend(found.map(|line| format!("{name}: {line}")));
        }
        lines
    }

    /// The end of a daemon's log, for messages of failed tests.
    pub fn log_of(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.daemons.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn rand_number() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::collections::hash_map::RandomState::new()
        .build_hasher()
        .finish()
}
