//! A small deployment on loopback addresses: settings, boxes as processes, targets, a record.

use crate::http::{read_answer, read_request, Answer, Request};
use crate::json::escape;
use crate::store::Store;
use std::collections::hash_map::RandomState;
use std::fs::File;
use std::hash::{BuildHasher, Hasher};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Zones and their regions.
pub const ZONES: [(&str, &str); 2] = [("north-a", "north"), ("south-a", "south")];
/// The services of the first configuration.
pub const SERVICE: &str = "ledger";
/// The host of all routes.
pub const HOST: &str = "shamba.example";
/// The memory that a process may hold.
pub const MEMORY_MB: u64 = 260;
/// The time from SIGTERM to SIGKILL.
pub const GRACE_S: u64 = 6;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Sets how many bytes a client's system takes that the client has not read.
pub fn set_receive_buffer(stream: &TcpStream, bytes: i32) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    // SAFETY: the socket is open, and the value is an integer of the length that is given.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
#[allow(dead_code)]
pub const SIGSTOP: i32 = 19;
#[allow(dead_code)]
pub const SIGCONT: i32 = 18;

/// Returns a random number.
pub fn random() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// What happened, in the order of time, for `record.txt`.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Self> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Self {
            began: Instant::now(),
            file,
        })
    }

    pub fn tell(&self, what: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let line = format!("{at:8.3} {what}\n");
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
        print!("{line}");
    }
}

/// The addresses of a deployment. Ports are alike on all machines.
#[derive(Clone)]
pub struct Place {
    pub folder: PathBuf,
    net: u8,
    ports: u16,
    pub record: Record,
    pub store: Store,
    pub boxes: usize,
}

impl Place {
    /// Finds free ports and starts the store.
    pub fn new(folder: PathBuf, record: Record, boxes: usize) -> io::Result<Self> {
        for _ in 0..50 {
            let net = 20 + (random() % 200) as u8;
            let ports = 20_000 + (random() % 9_000) as u16;
            let ips = (0..=boxes).map(|index| ip(net, index));
            let all = ips.flat_map(|ip| (0..8).map(move |port| SocketAddr::new(ip, ports + port)));
            let figures = (1..=boxes).map(|index| SocketAddr::new(ip(net, index), 9464));
            let mut all = all.chain(figures);
            if !all.all(|address| TcpListener::bind(address).is_ok()) {
                continue;
            }
            let store = Store::start(SocketAddr::new(ip(net, 0), ports))?;
            return Ok(Self {
                folder,
                net,
                ports,
                record,
                store,
                boxes,
            });
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    fn at(&self, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(ip(self.net, index), self.ports + port)
    }

    /// Where clients reach the box; boxes count from 1.
    pub fn front(&self, index: usize) -> SocketAddr {
        self.at(index, 1)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        self.at(index, 2)
    }

    pub fn directory(&self, index: usize) -> SocketAddr {
        self.at(index, 4)
    }

    /// An address for a target.
    pub fn target_ip(&self) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 1, self.net, 1))
    }

    pub fn zone(&self, index: usize) -> (&'static str, &'static str) {
        ZONES[(index - 1) % ZONES.len()]
    }

    fn settings(&self, index: usize) -> String {
        let (zone, region) = self.zone(index);
        let ip = ip(self.net, index);
        let seeds: Vec<String> = (1..=self.boxes.min(3))
            .map(|seed| format!("\"{}\"", self.at(seed, 3)))
            .collect();
        let zones = ZONES
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .concat();
        format!(
            "nodeName = \"edge-{zone}-{index}\"\nrole = \"edge\"\nmachineClass = \"edge\"\n\
             serves = [\"edge\",\"directory\",\"control_plane\"]\nip = \"{ip}\"\n\
             zone = \"{zone}\"\nregion = \"{region}\"\n\
             internalPorts = [{first},{last}]\nseedNodes = [{seeds}]\nbootstrap = true\n\
             inTolerance = false\ndiscovery = \"platform\"\nentryPoint = \"directory\"\n\
             heartbeatS = 1.5\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"platform\"]\n\
             [zones]\n{zones}[listenAddrs]\nfrontend = \"{front}\"\nready = \"{ready}\"\n\
             control = \"{control}\"\ndirectory = \"{directory}\"\n\
             [limits]\ncpuShare = 1.0\ncpuCores = 1\nmemoryMb = {MEMORY_MB}\nmaxFds = 4100\n\
             linkMbps = 1000.0\ndiskMb = 0\n\
             [faultTolerance]\nmachines = 2\nzones = 1\nregions = 1\n\
             [bounds]\nseedLagS = 3\naddrReuseS = 2\ncontactS = 4\nackS = 4\ncatchUpS = 4\n\
             drainS = 2.5\ngraceS = {GRACE_S}\nlossSlackS = 0.2\nconfigApplyS = 2.5\n\
             rollbackSlackS = 0.25\nmaxStretchS = 6\nretryBudgetRatio = 0.2\n\
             budgetWindowS = 10\nbudgetExtra = 60\ncoldOverage = 1.5\ncoldSlack = 5\n\
             evacuateS = 5\nrecoveryS = 15\nttl_max_s = 5\nmaxShift = 0.15\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites_per_s = 400\n\
             reads_per_s = 2000\nhistoryS = 20\nvalue_bytes = 1048576\nttl_min_s = 1\n",
            first = self.ports + 5,
            last = self.ports + 7,
            seeds = seeds.join(","),
            front = self.front(index),
            ready = self.ready(index),
            control = self.at(index, 3),
            directory = self.directory(index),
            store = self.at(0, 0),
        )
    }

    /// Writes the settings file of a box and starts it with the command of the deploy file.
    pub fn start_box(&self, index: usize) -> io::Result<BoxProcess> {
        let file = self.folder.join(format!("boot-{index}.toml"));
        std::fs::write(&file, self.settings(index))?;
        let log = File::create(self.folder.join(format!("box-{index}.log")))?;
        let child = Command::new("target/release/brasswinchd")
            .args(["--platform", "--figures-port", "9464"])
            .env_clear()
            .env("BRASSWINCH_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let pid = child.id();
        self.record
            .tell(&format!("box {index} starts, process {pid}"));
        Ok(BoxProcess { child })
    }

    /// Waits until all boxes are ready.
    pub fn wait_until_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let is_ready =
                |index| ask(self.ready(index), "/api/ready").is_ok_and(|a| a.status == 200);
            if (1..=self.boxes).all(is_ready) {
                return Ok(());
            }
            if Instant::now() > until {
                return Err(io::Error::other("the boxes are not ready after 20 s"));
            }
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Puts a target's entry into the store.
    pub fn put_entry(&self, entry: &Entry) {
        let Entry {
            id,
            service,
            address,
            zone,
            slots,
            state,
            sequence,
        } = entry;
        let value = format!(
            "{{\"address\":\"{address}\",\"info\":{{\"service\":{},\"version\":\"v1\",\"zone\":\"{zone}\",\"slots\":{slots}}},\"status\":{{\"state\":\"{state}\",\"sequence\":{sequence},\"coldRemainingS\":0}}}}",
            escape(service)
        );
        self.store.put(&format!("servers/{id}"), &value);
    }
}

/// A target's entry.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub state: String,
    pub sequence: u64,
}

fn ip(net: u8, index: usize) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 0, net, index as u8 + 1))
}

/// A box that was started here.
pub struct BoxProcess {
    child: Child,
}

impl BoxProcess {
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the memory that the process holds, in kilobytes.
    pub fn memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.unwrap_or(0)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the call only sends a signal to a child of this process that was not reaped.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Returns how the process ended; `None` while it runs.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()?;
        status.map(|status| status.to_string())
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        if self.ended().is_none() {
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Connects as a client does: a connection has a second to come up.
pub fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Asks for a path on a new connection and waits a second for the answer.
pub fn ask(address: SocketAddr, target: &str) -> io::Result<Answer> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes())?;
    read_answer(&mut stream, &mut Vec::new())
}

/// Serves each connection at `address` in a thread of its own until `answer` returns false.
pub fn serve_target(
    address: SocketAddr,
    answer: impl Fn(&mut TcpStream, &Request) -> bool + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let bound = listener.local_addr()?;
    let answer = Arc::new(answer);
    std::thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut rest = Vec::new();
                while let Ok(Some(request)) = read_request(&mut stream, &mut rest) {
                    if !answer(&mut stream, &request) {
                        return;
                    }
                }
            });
        }
    });
    Ok(bound)
}
