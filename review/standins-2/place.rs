//! Addresses, settings and the processes of boxes.

use crate::http::Wire;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The command of deploy/system.toml, split at its spaces as DEPLOY.md says.
const DEPLOY_FILE: &str = "deploy/system.toml";

/// Ports that all machines share, as offsets from a base that is free.
const PORTS: [u16; 6] = [0, 1, 2, 3, 4, 5];

/// The addresses of one run.
pub struct Place {
    second: u8,
    third: u8,
    base: u16,
    pub folder: PathBuf,
    run: Vec<String>,
}

impl Place {
    /// Looks for ports that are free on all addresses of the run.
    pub fn new() -> Self {
        let id = std::process::id();
        let (second, third) = ((id / 250 % 200 + 20) as u8, (id % 250) as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        let base = (21_000..29_000)
            .step_by(16)
            .skip((id % 400) as usize)
            .find(|base| is_free(second, third, *base))
            .expect("ports are free");
        let deploy = fs::read_to_string(DEPLOY_FILE).expect("the deploy file can be read");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
        let run = run
            .expect("the deploy file has a command")
            .trim_matches('"');
        let run = run.split(' ').map(str::to_owned).collect();
        Self {
            second,
            third,
            base,
            folder,
            run,
        }
    }

    /// The address of the machine `last` with the port at `offset`.
    pub fn at(&self, last: u8, offset: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.second, self.third, last);
        SocketAddr::new(ip.into(), self.base + offset)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn is_free(second: u8, third: u8, base: u16) -> bool {
    let mut all = (1..=40).flat_map(|last| PORTS.map(|offset| (last, base + offset)));
    all.all(|(last, port)| {
        TcpListener::bind((Ipv4Addr::new(127, second, third, last), port)).is_ok()
    })
}

/// What the settings of a box say, beside its addresses.
#[derive(Clone)]
pub struct Site {
    /// Zones and their regions.
    pub zones: Vec<(&'static str, &'static str)>,
    pub grace_s: f64,
    /// The rest of `[bounds]`.
    pub bounds: &'static str,
    pub memory_mb: u32,
}

/// A process of a box.
pub struct BoxProcess {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
}

impl BoxProcess {
    /// Starts the box `last` in a zone; `seeds` are the boxes that it asks first.
    pub fn start(
        place: &Place,
        site: &Site,
        last: u8,
        zone: &str,
        seeds: &[u8],
        store: SocketAddr,
    ) -> Self {
        let name = format!("edge-{zone}-{last}");
        let settings = place.folder.join(format!("{name}.toml"));
        let text = settings_text(place, site, last, zone, seeds, store);
        fs::write(&settings, text).expect("the settings can be written");
        let log = place.folder.join(format!("{name}.log"));
        let child = spawn(&place.run, &settings, &log);
        Self {
            front: place.at(last, 0),
            ready: place.at(last, 1),
            directory: place.at(last, 3),
            name,
            child,
        }
    }

    /// Sends a signal by its name. The shell has the command built in.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    /// Says how the process ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    pub fn wait_ended(&mut self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while self.ended().is_none() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        true
    }

    /// Whether the platform's check finds the box ready.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/api/ready").is_some_and(|(status, _)| status == 200)
    }

    pub fn wait_ready(&self, longest: Duration) -> bool {
        let until = Instant::now() + longest;
        while !self.is_ready() {
            if Instant::now() > until {
                return false;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        true
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(run: &[String], settings: &Path, log: &Path) -> Child {
    let out = fs::OpenOptions::new().create(true).append(true).open(log);
    let out = out.expect("the log can be written");
    let error = out.try_clone().expect("the log can be written");
    Command::new(&run[0])
        .args(&run[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .env("BRASSWINCH_NODE_FILE", settings)
        .stdin(Stdio::null())
        .stdout(out)
        .stderr(error)
        .spawn()
        .expect("the daemon is built")
}

fn settings_text(
    place: &Place,
    site: &Site,
    last: u8,
    zone: &str,
    seeds: &[u8],
    store: SocketAddr,
) -> String {
    let ip = place.at(last, 0).ip();
    let region = site
        .zones
        .iter()
        .find(|(name, _)| *name == zone)
        .map_or("", |(_, region)| region);
    let zones: Vec<String> = site
        .zones
        .iter()
        .map(|(zone, region)| format!("{zone} = {region:?}"))
        .collect();
    let zones = zones.join("\n");
    let seeds: Vec<String> = seeds
        .iter()
        .map(|seed| format!("\"{}\"", place.at(*seed, 2)))
        .collect();
    let seeds = seeds.join(",");
    let (front, ready, control, directory) = (
        place.at(last, 0),
        place.at(last, 1),
        place.at(last, 2),
        place.at(last, 3),
    );
    let peers = place.base + 4;
    let Site {
        grace_s,
        bounds,
        memory_mb,
        ..
    } = site;
    format!(
        r#"nodeName = "edge-{zone}-{last}"
role = "edge"
machineClass = "edge"
serves = ["edge","control_plane","directory"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
internalPorts = [{peers},{peers}]
seedNodes = [{seeds}]
bootstrap = true
inTolerance = false
discovery = "platform"
entryPoint = "directory"
heartbeatS = 1.5
contracts = ["base","drain","config","cost","retry","recover","places","platform"]
[zones]
{zones}
[listenAddrs]
frontend = "{front}"
ready = "{ready}"
control = "{control}"
directory = "{directory}"
[limits]
cpuShare = 0.5
cpuCores = 1
memoryMb = {memory_mb}
maxFds = 8192
linkMbps = 200.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 1
[bounds]
graceS = {grace_s}
{bounds}
[platform]
address = "{store}"
form = "kv"
writes_per_s = 1200
reads_per_s = 6000
historyS = 20
value_bytes = 1048576
ttl_min_s = 1
"#
    )
}

/// Asks with a connection of its own; returns the status and the body.
pub fn get(address: SocketAddr, path: &str) -> Option<(u16, String)> {
    let limit = Duration::from_secs(1);
    let stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut wire = Wire::new(stream);
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    wire.send(request.as_bytes()).ok()?;
    let head = wire.head().ok()??;
    let body = wire.body(&head, true).ok()?;
    Some((head.status(), String::from_utf8_lossy(&body).into_owned()))
}

/// Addresses that a box's directory names for callers of a zone, and for how long they hold.
pub fn resolve(directory: SocketAddr, region: &str, zone: &str) -> Option<(Vec<SocketAddr>, f64)> {
    let path = format!("/api/resolve?name=jepu9.example&region={region}&zone={zone}");
    let (status, body) = get(directory, &path)?;
    if status != 200 {
        return None;
    }
    let list = body.split_once('[')?.1.split(']').next()?;
    let list = list
        .split(',')
        .filter_map(|one| one.trim().trim_matches('"').parse().ok());
    let ttl_s = body
        .split_once("\"ttlS\":")?
        .1
        .split([',', '}'])
        .next()?
        .parse()
        .ok()?;
    Some((list.collect(), ttl_s))
}
