//! A connection is closed: its client gets all that was sent, and no client holds it for ever.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_listen::{ClientStream, ConnectionClose, LingerEnd, Lingered, ServiceEnd};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// More than a client with a small buffer takes without reading.
const RESPONSE_BYTES: usize = 200_000;

/// The receive buffer of a client on a slow link.
const SMALL_RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// How long clients may acknowledge nothing.
const MAX_STALL: Duration = Duration::from_secs(2);

/// Returns both ends of a connection, the client's first.
async fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let socket = TcpSocket::new_v4().unwrap();
    socket
        .set_recv_buffer_size(SMALL_RECEIVE_BUFFER_BYTES)
        .unwrap();
    let client = socket.connect(listener.local_addr().unwrap());
    let (client, accepted) = tokio::join!(client, listener.accept());
    (client.unwrap(), accepted.unwrap().0)
}

/// Sends a response, and closes the connection.
async fn respond_and_close(server: TcpStream, bytes: usize, end: ServiceEnd) -> ConnectionClose {
    let (mut stream, closing) = ClientStream::new(server);
    stream.write_all(&vec![b'x'; bytes]).await.unwrap();
    drop(stream);
    closing.close(end, MAX_STALL).await
}

fn lingered(close: ConnectionClose) -> Lingered {
    match close {
        ConnectionClose::Lingered(lingered) => lingered,
        ConnectionClose::AtOnce => panic!("closed at once"),
    }
}

#[tokio::test]
async fn a_client_that_sends_on_gets_the_whole_response() {
    let (mut client, server) = connection().await;
    let closing = respond_and_close(server, RESPONSE_BYTES, ServiceEnd::AfterResponse);
    let closing = tokio::spawn(closing);
    let mut received = vec![0; RESPONSE_BYTES];
    for piece in received.chunks_mut(RESPONSE_BYTES / 20) {
        client.write_all(b"one more request").await.unwrap();
        client.read_exact(piece).await.unwrap();
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(client.read(&mut [0]).await.unwrap(), 0);
    drop(client);
    let lingered = lingered(closing.await.unwrap());
    assert_eq!(lingered.end, LingerEnd::ClientClosed);
    assert_eq!(lingered.unacknowledged_bytes, Some(0));
}

#[tokio::test]
async fn a_client_that_keeps_its_side_open_does_not_hold_the_connection() {
    let (client, server) = connection().await;
    let close = respond_and_close(server, 100, ServiceEnd::AfterResponse).await;
    assert_eq!(lingered(close).end, LingerEnd::Acknowledged);
    drop(client);
}

#[tokio::test]
async fn a_client_that_drips_bytes_does_not_hold_the_connection() {
    let (mut client, server) = connection().await;
    let dripping = tokio::spawn(async move {
        while client.write_all(b"x").await.is_ok() {
            sleep(Duration::from_millis(50)).await;
        }
    });
    let close = respond_and_close(server, 100, ServiceEnd::AfterResponse).await;
    assert_eq!(lingered(close).end, LingerEnd::Acknowledged);
    dripping.await.unwrap();
}

#[tokio::test]
async fn a_client_that_reads_nothing_does_not_hold_the_connection() {
    let (client, server) = connection().await;
    let close = respond_and_close(server, RESPONSE_BYTES, ServiceEnd::AfterResponse).await;
    let lingered = lingered(close);
    assert_eq!(lingered.end, LingerEnd::Stalled);
    assert!(lingered.unacknowledged_bytes.unwrap() > 0);
    drop(client);
}

#[tokio::test]
async fn an_idle_connection_is_closed_at_once() {
    let (client, server) = connection().await;
    let close = respond_and_close(server, 0, ServiceEnd::BetweenRequests).await;
    assert_eq!(close, ConnectionClose::AtOnce);
    drop(client);
}

#[tokio::test]
async fn a_response_under_way_on_an_idle_connection_is_waited_for() {
    let (mut client, server) = connection().await;
    let closing = respond_and_close(server, RESPONSE_BYTES, ServiceEnd::BetweenRequests);
    let closing = tokio::spawn(closing);
    client.write_all(b"one more request").await.unwrap();
    let mut received = Vec::new();
    client.read_to_end(&mut received).await.unwrap();
    assert_eq!(received.len(), RESPONSE_BYTES);
    drop(client);
    assert_eq!(
        lingered(closing.await.unwrap()).end,
        LingerEnd::ClientClosed
    );
}
