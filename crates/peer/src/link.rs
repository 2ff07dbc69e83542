//! One link: a WebSocket connection, its writer task and its reader task.

use crate::{CodecError, Message, decode, encode};
use futures_util::{SinkExt, StreamExt};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message as Frame;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Longest wait for a connection and its handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for one message to be written.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

static NEXT_LINK: AtomicU64 = AtomicU64::new(1);

/// Tells the links of this process apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(u64);

/// Bounds of a link.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Messages that may wait to be written.
    pub queue_messages: usize,
    /// Longest message, in bytes.
    pub message_bytes: usize,
}

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A link came up.
    Up {
        /// The link.
        link: LinkId,
        /// The way to send on it.
        sender: LinkSender,
        /// The address that was dialled; `None` where the peer dialled.
        dialled: Option<SocketAddr>,
    },
    /// A message arrived.
    Message {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// A message could not be read; the link goes down.
    Malformed {
        /// The link.
        link: LinkId,
        /// What was wrong.
        error: CodecError,
    },
    /// The link went down, or a dial failed.
    Down {
        /// The link, if it had come up.
        link: Option<LinkId>,
        /// The address that was dialled.
        dialled: Option<SocketAddr>,
    },
}

/// Sends on one link. Dropping it ends the link.
#[derive(Clone, Debug)]
pub struct LinkSender {
    queue: mpsc::Sender<Frame>,
}

impl LinkSender {
    /// Queues a message; `false` means that the link is down or too slow and must be dropped.
    pub fn send(&self, message: &Message) -> bool {
        match encode(message) {
            Ok(bytes) => self.send_encoded(bytes.into()),
            Err(_) => false,
        }
    }

    /// Queues a message that was encoded once for many links.
    pub fn send_encoded(&self, bytes: tokio_tungstenite::tungstenite::Bytes) -> bool {
        match self.queue.try_send(Frame::Binary(bytes)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => false,
        }
    }
}

/// Accepts links until the process ends.
pub async fn listen(listener: TcpListener, limits: LinkLimits, events: mpsc::Sender<LinkEvent>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        let events = events.clone();
        tokio::spawn(async move {
            let _ = stream.set_nodelay(true);
            let handshake =
                tokio_tungstenite::accept_async_with_config(stream, Some(config(limits)));
            let Ok(Ok(socket)) = tokio::time::timeout(CONNECT_TIMEOUT, handshake).await else {
                return;
            };
            run(socket, None, limits, events).await;
        });
    }
}

/// Dials `address` from `local`; the outcome arrives as an event.
pub async fn dial(
    address: SocketAddr,
    local: IpAddr,
    limits: LinkLimits,
    events: mpsc::Sender<LinkEvent>,
) {
    let connect = async {
        let stream = connect_from(local, address).await.ok()?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{address}/");
        let (socket, _) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(config(limits)))
                .await
                .ok()?;
        Some(socket)
    };
    match tokio::time::timeout(CONNECT_TIMEOUT, connect).await {
        Ok(Some(socket)) => run(socket, Some(address), limits, events).await,
        _ => {
            let down = LinkEvent::Down {
                link: None,
                dialled: Some(address),
            };
            let _ = events.send(down).await;
        }
    }
}

async fn connect_from(local: IpAddr, address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.bind(SocketAddr::new(local, 0))?;
    socket.connect(address).await
}

fn config(limits: LinkLimits) -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(limits.message_bytes))
        .max_frame_size(Some(limits.message_bytes))
}

async fn run(
    socket: WebSocketStream<TcpStream>,
    dialled: Option<SocketAddr>,
    limits: LinkLimits,
    events: mpsc::Sender<LinkEvent>,
) {
    let link = LinkId(NEXT_LINK.fetch_add(1, Ordering::Relaxed));
    let (queue, mut waiting) = mpsc::channel::<Frame>(limits.queue_messages);
    let (mut sink, mut stream) = socket.split();
    let up = LinkEvent::Up {
        link,
        sender: LinkSender { queue },
        dialled,
    };
    if events.send(up).await.is_err() {
        return;
    }
    let write = async {
        while let Some(frame) = waiting.recv().await {
            let written = tokio::time::timeout(WRITE_TIMEOUT, sink.send(frame)).await;
            if !matches!(written, Ok(Ok(()))) {
                return;
            }
        }
    };
    let read = async {
        while let Some(Ok(frame)) = stream.next().await {
            let Frame::Binary(bytes) = frame else {
                continue;
            };
            let event = match decode(&bytes) {
                Ok(message) => LinkEvent::Message { link, message },
                Err(error) => {
                    let _ = events.send(LinkEvent::Malformed { link, error }).await;
                    return;
                }
            };
            if events.send(event).await.is_err() {
                return;
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    let down = LinkEvent::Down {
        link: Some(link),
        dialled,
    };
    let _ = events.send(down).await;
}
