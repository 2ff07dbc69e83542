//! Connections that the box closes while their clients may still send.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::{Dialect, Lifecycle};
use brasswinch_lab::routed_upstream::Behaviour;
use common::{HOST, Site, eventually};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// The receive buffer of a client on a slow link.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// More than a client with a small buffer takes without reading.
const RESPONSE_BYTES: usize = 200_000;

/// Body of a request that the box refuses by its head.
const REFUSED_BODY_BYTES: usize = 300_000;

/// Pieces in which a refused body is sent, and the pause between two of them.
const BODY_PIECES: usize = 25;
const PIECE_PAUSE: Duration = Duration::from_millis(10);

/// Time for a box that closes without waiting for its clients.
const CLOSE_TIME: Duration = Duration::from_millis(500);

async fn connect_slow(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
        .unwrap();
    socket.connect(to).await.unwrap()
}

fn head(method: &str, path: &str, further: &str) -> String {
    let dialect = Dialect::default();
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: a\r\n{}: 9000\r\n{further}\r\n",
        dialect.request_id, dialect.deadline_ms
    )
}

fn metric(site: &Site, name: &str) -> f64 {
    let metrics = site.handle.as_ref().unwrap().context().metrics_text();
    let start = format!("brasswinch_{name} ");
    let value = metrics
        .lines()
        .find_map(|line| line.strip_prefix(start.as_str()));
    value.unwrap().parse().unwrap()
}

/// A stop reset connections whose clients had sent on, and dropped responses that were under way.
#[tokio::test]
async fn a_stop_resets_a_response_that_its_client_is_still_reading() {
    let mut site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::AnswerLong {
        bytes: RESPONSE_BYTES,
        patience: Duration::from_secs(60),
    });
    let mut client = connect_slow(site.clients).await;
    let handle = site.handle.take().unwrap();
    let context = std::sync::Arc::clone(handle.context());
    let stopping = tokio::spawn(handle.stop());
    eventually("the box is leaving", || {
        context.status().stage >= Lifecycle::Leaving
    })
    .await;
    let request = head("GET", "/safe/1", "");
    client.write_all(request.as_bytes()).await.unwrap();
    eventually("it runs", || site.runs() == 1).await;
    // The client doesn't know yet that the connection ends, and goes on sending.
    for _ in 0..5 {
        sleep(CLOSE_TIME / 5).await;
        client.write_all(request.as_bytes()).await.unwrap();
    }
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    assert!(received.len() > RESPONSE_BYTES, "{}", received.len());
    assert_eq!(site.runs(), 1, "what was sent behind has not run");
    drop(client);
    stopping.await.unwrap();
}

/// Sends a refused request piece by piece, and returns the status of its response.
async fn status_of_refused(site: &Site, head: &str, body_bytes: usize) -> u16 {
    let mut client = TcpStream::connect(site.clients).await.unwrap();
    client.write_all(head.as_bytes()).await.unwrap();
    let piece = vec![b'x'; body_bytes / BODY_PIECES];
    for number in 0..BODY_PIECES {
        sleep(PIECE_PAUSE).await;
        let written = client.write_all(&piece).await;
        assert!(written.is_ok(), "piece {number}: {written:?}");
    }
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    let received = String::from_utf8(received).unwrap();
    let status = received.split(' ').nth(1);
    status.unwrap().parse().unwrap()
}

/// The close behind an early refusal reset the connection in the middle of the client's body.
#[tokio::test]
async fn a_refusal_by_the_head_fails_the_write_of_the_body() {
    let site = Site::start(1).await;
    let length = format!("content-length: {REFUSED_BODY_BYTES}\r\n");
    let unknown = head("POST", "/nowhere", &length);
    let status = status_of_refused(&site, &unknown, REFUSED_BODY_BYTES).await;
    assert_eq!(status, 404);
    let too_long = head("POST", "/once/1", "content-length: 99999999999\r\n");
    let status = status_of_refused(&site, &too_long, REFUSED_BODY_BYTES).await;
    assert_eq!(status, 413);
    // The head is too long after its first part.
    let start = format!("GET /safe/1 HTTP/1.1\r\nhost: {HOST}\r\nx: ");
    let status = status_of_refused(&site, &start, REFUSED_BODY_BYTES).await;
    assert_eq!(status, 431);
    assert_eq!(site.seen(), 0);
}

/// A connection that the box closes while it is idle may bring a request that nobody read; reading
/// it would tell its client that it may have run.
#[tokio::test]
async fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    let mut site = Site::start(1).await;
    let mut client = TcpStream::connect(site.clients).await.unwrap();
    let request = head("GET", "/safe/1", "");
    client.write_all(request.as_bytes()).await.unwrap();
    let mut first = [0; 1024];
    assert!(client.read(&mut first).await.unwrap() > 0);
    let handle = site.handle.take().unwrap();
    let stopping = tokio::spawn(handle.stop());
    // The box ends without waiting for the client, which keeps its side open.
    stopping.await.unwrap();
    let _ = client.write_all(request.as_bytes()).await;
    let mut rest = Vec::new();
    let ended = client.read_to_end(&mut rest).await;
    assert!(rest.is_empty(), "{ended:?}");
    assert_eq!(site.runs(), 1);
}

/// Nothing told how connections ended, so that a client's loss left no trace.
#[tokio::test]
async fn connections_that_linger_are_counted() {
    let site = Site::start(1).await;
    let mut client = TcpStream::connect(site.clients).await.unwrap();
    let request = head("GET", "/safe/1", "connection: close\r\n");
    client.write_all(request.as_bytes()).await.unwrap();
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    eventually("it lingers", || {
        metric(&site, "client_connections_closing") == 1.0
    })
    .await;
    assert_eq!(metric(&site, "client_connections"), 1.0);
    drop(client);
    eventually("it is closed", || {
        metric(&site, "client_connections") == 0.0
    })
    .await;
    let closed = "client_connections_closed_total{end=\"client_closed\"}";
    assert_eq!(metric(&site, closed), 1.0);
    let lost = metric(&site, "client_connections_unacknowledged_total");
    assert_eq!(lost, 0.0);
}
