//! A TCP proxy that delays, cuts, freezes, throttles and truncates, chosen by the
//! address that a connection comes from.

use crate::http::{LabError, json, read_json, serve, status};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes that are passed on at a time.
const CHUNK_BYTES: usize = 16 * 1024;

/// The fault applied to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    Pass,
    /// New connections are refused and open ones closed.
    Cut,
    /// Bytes are held, connections stay open.
    Freeze,
    /// Each chunk is held this many milliseconds.
    DelayMs(u64),
    /// Each chunk takes as long as it would at this many bytes a second.
    BytesPerSecond(u64),
    /// The connection is closed after this many bytes in one direction.
    TruncateAfter(u64),
}

/// A fault for connections from addresses that start with `from`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rule {
    /// Start of the caller's address, as text; empty for every caller.
    pub from: String,
    /// Start of the address connected to, as text; empty for every one.
    #[serde(default)]
    pub to: String,
    /// The fault.
    pub fault: Fault,
}

type Rules = Arc<Vec<Rule>>;

/// Where a proxy passes connections on to; can change when a box restarts.
#[derive(Clone, Debug, Default)]
pub struct Target {
    address: Arc<Mutex<Option<SocketAddr>>>,
}

impl Target {
    /// Passes new connections on to `address`.
    pub fn set(&self, address: SocketAddr) {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner) = Some(address);
    }

    fn get(&self) -> Option<SocketAddr> {
        *self.address.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The proxy. Clones share their rules.
#[derive(Clone, Debug)]
pub struct FaultProxy {
    rules: Arc<watch::Sender<Rules>>,
    opened: Arc<Mutex<u64>>,
}

impl Default for FaultProxy {
    fn default() -> Self {
        Self {
            rules: Arc::new(watch::channel(Rules::default()).0),
            opened: Arc::default(),
        }
    }
}

impl FaultProxy {
    /// Replaces the rules; the first that fits a connection counts.
    pub fn set_rules(&self, rules: Vec<Rule>) {
        self.rules.send_replace(Arc::new(rules));
    }

    /// Passes connections on from `listener` to `target` until the runtime ends.
    pub async fn run(self, listener: TcpListener, target: Target) {
        loop {
            let Ok((stream, peer)) = listener.accept().await else {
                tokio::task::yield_now().await;
                continue;
            };
            *self.opened.lock().unwrap_or_else(PoisonError::into_inner) += 1;
            let rules = self.rules.subscribe();
            let Some(target) = target.get() else {
                continue;
            };
            tokio::spawn(pass(stream, peer.ip(), target, rules));
        }
    }

    /// Takes rules over HTTP at `/rules` until the runtime ends.
    pub async fn control(self, listener: TcpListener) {
        serve(listener, move |request, _| {
            let proxy = self.clone();
            async move {
                if request.uri().path() != "/rules" {
                    return json(&*proxy.opened.lock().unwrap_or_else(PoisonError::into_inner));
                }
                proxy.set_rules(read_json(request.into_body()).await?);
                status(StatusCode::OK)
            }
        })
        .await;
    }
}

fn fault_for(rules: &[Rule], from: IpAddr, to: SocketAddr) -> Fault {
    let (from, to) = (from.to_string(), to.to_string());
    rules
        .iter()
        .find(|rule| from.starts_with(&rule.from) && to.starts_with(&rule.to))
        .map_or(Fault::Pass, |rule| rule.fault)
}

async fn pass(
    mut near: TcpStream,
    from: IpAddr,
    target: SocketAddr,
    rules: watch::Receiver<Rules>,
) {
    if fault_for(&rules.borrow(), from, target) == Fault::Cut {
        return;
    }
    let Ok(mut far) = connect_from(from, target).await else {
        return;
    };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.split();
    let (far_read, far_write) = far.split();
    let link = Direction {
        from,
        target,
        rules,
    };
    tokio::select! {
        () = link.clone().copy(near_read, far_write) => {}
        () = link.copy(far_read, near_write) => {}
    }
}

/// Keeps the caller's address, so that the box behind can distinguish callers.
async fn connect_from(from: IpAddr, target: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = tokio::net::TcpSocket::new_v4()?;
    socket.bind(SocketAddr::new(from, 0))?;
    socket.connect(target).await
}

#[derive(Clone)]
struct Direction {
    from: IpAddr,
    target: SocketAddr,
    rules: watch::Receiver<Rules>,
}

impl Direction {
    /// Copies until one side closes or a cut comes.
    async fn copy(
        mut self,
        mut read: impl AsyncReadExt + Unpin,
        mut write: impl AsyncWriteExt + Unpin,
    ) {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut passed = 0;
        loop {
            let length = tokio::select! {
                read = read.read(&mut buffer) => match read {
                    Ok(length) if length > 0 => length,
                    _ => return,
                },
                _ = self.rules.wait_for(|rules| {
                    fault_for(rules, self.from, self.target) == Fault::Cut
                }) => return,
            };
            let Some(length) = self.hold(length, passed).await else {
                return;
            };
            if write.write_all(&buffer[..length]).await.is_err() {
                return;
            }
            passed += length as u64;
        }
    }

    /// Delays data according to the fault; `None` ends the connection.
    async fn hold(&mut self, length: usize, passed: u64) -> Option<usize> {
        loop {
            let fault = fault_for(&self.rules.borrow_and_update(), self.from, self.target);
            match fault {
                Fault::Pass => return Some(length),
                Fault::Cut => return None,
                Fault::Freeze => self.rules.changed().await.ok()?,
                Fault::DelayMs(ms) => {
                    tokio::time::sleep(Duration::from_millis(ms)).await;
                    return Some(length);
                }
                Fault::BytesPerSecond(rate) => {
                    let seconds = length as f64 / rate.max(1) as f64;
                    tokio::time::sleep(Duration::from_secs_f64(seconds)).await;
                    return Some(length);
                }
                Fault::TruncateAfter(most) if passed >= most => return None,
                Fault::TruncateAfter(_) => return Some(length),
            }
        }
    }
}

/// Starts a proxy before each of `targets` as a process of its own; prints the addresses.
pub async fn serve_process(ip: IpAddr, targets: &[SocketAddr]) -> Result<(), LabError> {
    let proxy = FaultProxy::default();
    let control = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
    println!("control={}", control.local_addr()?);
    for target in targets {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).await?;
        println!("{target}={}", listener.local_addr()?);
        let passed_to = Target::default();
        passed_to.set(*target);
        tokio::spawn(proxy.clone().run(listener, passed_to));
    }
    proxy.control(control).await;
    Ok(())
}
