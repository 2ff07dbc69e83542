//! Bodies of unknown length count as memory while they are buffered.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::Dialect;
use brasswinch_lab::routed_upstream::Behaviour;
use common::{HOST, Site, eventually};
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Memory of the box, and the part of it that bodies may take, in bytes.
const MEMORY_BYTES: usize = 8_000_000;
const MAX_BODY_BYTES: usize = MEMORY_BYTES / 4;

/// Bodies that don't fit all together, and the bytes of each that arrive.
const BODIES: usize = 40;
const ARRIVED_BYTES: usize = 200_000;

/// Bytes of a chunk.
const CHUNK_BYTES: usize = 10_000;

async fn small_box() -> Site {
    let mut settings = common::settings("box-1", Vec::new());
    settings.memory_bytes = MEMORY_BYTES;
    Site::start_with(settings, 1).await
}

fn held_bytes(site: &Site) -> usize {
    let metrics = site.handle.as_ref().unwrap().context().metrics_text();
    let start = "brasswinch_held_body_bytes ";
    let line = metrics.lines().find_map(|line| line.strip_prefix(start));
    line.unwrap().parse().unwrap()
}

/// Sends a part of a body in chunks, and returns its connection.
async fn begin_upload(to: SocketAddr) -> TcpStream {
    let dialect = Dialect::default();
    let mut stream = TcpStream::connect(to).await.unwrap();
    let head = format!(
        "POST /upload/1 HTTP/1.1\r\nhost: {HOST}\r\n{}: u\r\n{}: 30000\r\n\
         transfer-encoding: chunked\r\n\r\n",
        dialect.request_id, dialect.deadline_ms
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    for _ in 0..ARRIVED_BYTES / CHUNK_BYTES {
        stream.write_all(chunk.as_bytes()).await.unwrap();
    }
    stream
}

async fn response_head(stream: &mut TcpStream) -> String {
    let mut head = vec![0; 1024];
    let length = stream.read(&mut head).await.unwrap();
    String::from_utf8_lossy(&head[..length]).into_owned()
}

/// Bodies in chunks declare no length, and none was reserved for them.
#[tokio::test]
async fn bodies_in_chunks_are_not_counted_as_memory() {
    let site = small_box().await;
    let mut uploads = Vec::new();
    for _ in 0..BODIES {
        uploads.push(begin_upload(site.clients).await);
        assert!(held_bytes(&site) <= MAX_BODY_BYTES);
    }
    eventually("the memory is in use", || {
        held_bytes(&site) + ARRIVED_BYTES > MAX_BODY_BYTES
    })
    .await;
    // The last one found no memory, and is told that it has not run.
    let refused = response_head(uploads.last_mut().unwrap()).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after"), "{refused}");
    assert!(refused.ends_with("at_capacity"), "{refused}");
    assert_eq!(site.runs(), 0);
    // The first one is read on, and requests without a body are served.
    let first = &mut uploads[0];
    first.write_all(b"0\r\n\r\n").await.unwrap();
    let served = response_head(first).await;
    assert!(served.starts_with("HTTP/1.1 200 "), "{served}");
    assert_eq!(site.get("/safe/1").await.status, 200);
    drop(uploads);
    eventually("nothing is held", || held_bytes(&site) == 0).await;
}

/// Buffered responses were not counted, whatever their length.
#[tokio::test]
async fn responses_are_not_counted_as_memory() {
    let site = small_box().await;
    site.upstreams[0].always(Behaviour::AnswerEndless);
    let mut downloads = Vec::new();
    for number in 0..BODIES {
        let dialect = Dialect::default();
        let mut stream = TcpStream::connect(site.clients).await.unwrap();
        let head = format!(
            "GET /safe/{number} HTTP/1.1\r\nhost: {HOST}\r\n{}: d\r\n{}: 4000\r\n\r\n",
            dialect.request_id, dialect.deadline_ms
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        downloads.push(stream);
    }
    // A response that finds no memory is passed on as it arrives.
    for download in &mut downloads {
        let head = response_head(download).await;
        assert!(
            head.starts_with("HTTP/1.1 200 ") || head.starts_with("HTTP/1.1 503 "),
            "{head}"
        );
        assert!(held_bytes(&site) <= MAX_BODY_BYTES);
    }
    assert!(held_bytes(&site) > 0);
    drop(downloads);
    eventually("nothing is held", || held_bytes(&site) == 0).await;
}
