//! Upstreams get the bodies that clients send, however they are framed.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::Dialect;
use brasswinch_lab::routed_upstream::Behaviour;
use common::{HOST, Site};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// More than a box buffers before it chooses an upstream.
const LONG_BODY_BYTES: usize = 1_300_000;

/// Length of a chunk.
const CHUNK_BYTES: usize = 50_000;

/// More than the timeout of an upstream that has fallen silent.
const READING_PAUSE: Duration = Duration::from_millis(1_500);

/// How the length of a body is told.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    /// In chunks, below which there is another coding.
    Coded,
}

impl Framing {
    /// Returns the header and the body as it is sent.
    fn frame(self, body: &[u8]) -> (String, Vec<u8>) {
        match self {
            Self::Length => (format!("content-length: {}", body.len()), body.to_vec()),
            Self::Chunks | Self::Coded => {
                let mut sent = Vec::new();
                for chunk in body.chunks(CHUNK_BYTES) {
                    sent.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    sent.extend_from_slice(chunk);
                    sent.extend_from_slice(b"\r\n");
                }
                sent.extend_from_slice(b"0\r\n\r\n");
                let codings = match self {
                    Self::Coded => "gzip, chunked",
                    _ => "chunked",
                };
                (format!("transfer-encoding: {codings}"), sent)
            }
        }
    }
}

/// Sends a request and returns the status of its answer.
async fn send(to: SocketAddr, method: &str, path: &str, framing: Framing, body: &[u8]) -> String {
    let (header, sent) = framing.frame(body);
    let id = Dialect::default().request_id;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\n{id}: 1\r\nconnection: close\r\n{header}\r\n\r\n"
    );
    let mut stream = TcpStream::connect(to).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&sent).await.unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8_lossy(&answer).into_owned();
    answer.split(' ').nth(1).unwrap_or_default().to_owned()
}

/// A GET whose body came in chunks and was longer than the buffer ran without its body.
#[tokio::test]
async fn a_long_body_in_chunks_is_dropped_from_a_get() {
    let site = Site::start(1).await;
    for path in ["/safe/1", "/upload/1"] {
        for method in ["GET", "DELETE", "POST", "PUT"] {
            for framing in [Framing::Length, Framing::Chunks] {
                for length in [0, 5, LONG_BODY_BYTES] {
                    let body: Vec<u8> = (0..length).map(|byte| byte as u8).collect();
                    let status = send(site.clients, method, path, framing, &body).await;
                    let case = format!("{method} {path} {framing:?} {length}");
                    assert_eq!(status, "200", "{case}");
                    let seen = site.upstreams[0].seen().pop().unwrap();
                    assert!(seen.line.starts_with(method), "{case}");
                    assert_eq!(seen.body.len(), length, "{case}");
                    assert!(seen.body == body, "{case}");
                }
            }
        }
    }
}

/// A body with a coding that the box doesn't decode went on without the name of the coding.
#[tokio::test]
async fn a_coding_of_a_client_is_left_in_the_body() {
    let site = Site::start(1).await;
    for path in ["/safe/1", "/upload/1"] {
        for length in [5, LONG_BODY_BYTES] {
            let framing = Framing::Coded;
            let status = send(site.clients, "POST", path, framing, &vec![1; length]).await;
            assert_eq!(status, "400", "{path} {length}");
        }
    }
    assert_eq!(site.seen(), 0);
}

/// An upstream that was alive and didn't read a body for a second lost its connection.
#[tokio::test]
async fn an_upstream_that_reads_slowly_is_taken_for_a_dead_one() {
    let site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::ReadAfter(READING_PAUSE));
    for length in [LONG_BODY_BYTES, 4 * LONG_BODY_BYTES] {
        let body = vec![1; length];
        for framing in [Framing::Length, Framing::Chunks] {
            let status = send(site.clients, "POST", "/upload/1", framing, &body).await;
            assert_eq!(status, "200", "{framing:?} {length}");
            let seen = site.upstreams[0].seen().pop().unwrap();
            assert_eq!(seen.body.len(), length, "{framing:?}");
        }
    }
}
