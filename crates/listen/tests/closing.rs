//! A listener is closed: every client that got a connection before gets its answer.
#![allow(clippy::unwrap_used, clippy::expect_used)]

use brasswinch_listen::close;
use std::future::{Future, poll_fn};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream as Client};
use std::pin::pin;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for a connection. Shorter than the second after which the system asks
/// again, so that no client reaches a later listener on the same port.
const CONNECT: Duration = Duration::from_millis(500);

/// Clients that connect one time after another.
const CLIENTS: usize = 8;

/// Connections that are served before the listener is closed.
const BEFORE_CLOSE: usize = 200;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Sends the whole answer: one byte.
fn answer(stream: TcpStream) {
    let mut stream = stream.into_std().unwrap();
    stream.write_all(b"x").unwrap();
}

fn is_answered(mut client: Client) -> bool {
    client.read_exact(&mut [0]).is_ok()
}

/// How a client that connects until it is refused fared.
#[derive(Default)]
struct Fared {
    answered: usize,
    cut: usize,
}

fn connect_until_refused(address: SocketAddr) -> Fared {
    let mut fared = Fared::default();
    while let Ok(client) = Client::connect_timeout(&address, CONNECT) {
        match is_answered(client) {
            true => fared.answered += 1,
            false => fared.cut += 1,
        }
    }
    fared
}

#[tokio::test]
async fn a_connection_of_the_moment_before_each_look_is_taken() {
    let (listener, address) = listen().await;
    let mut clients = Vec::new();
    let mut closing = pin!(close(listener, |stream, _| answer(stream)));
    // The only thread of the runtime: between a client's connection here and the look
    // at the listener nothing tells the runtime of it.
    poll_fn(|context| {
        clients.extend(Client::connect_timeout(&address, CONNECT));
        closing.as_mut().poll(context)
    })
    .await;
    let all = clients.len();
    assert!(all > 0, "the first connects while the listener is open");
    let answered = clients.into_iter().map(is_answered);
    let cut = answered.filter(|answered| !answered).count();
    assert_eq!(cut, 0, "connections that were cut, of {all}");
}

#[tokio::test]
async fn clients_that_connect_without_a_pause_are_answered_or_refused() {
    let (listener, address) = listen().await;
    let clients: Vec<JoinHandle<Fared>> = (0..CLIENTS)
        .map(|_| std::thread::spawn(move || connect_until_refused(address)))
        .collect();
    for _ in 0..BEFORE_CLOSE {
        answer(listener.accept().await.unwrap().0);
    }
    close(listener, |stream, _| answer(stream)).await;
    let mut answered = 0;
    let mut cut = 0;
    for client in clients {
        let fared = client.join().unwrap();
        answered += fared.answered;
        cut += fared.cut;
    }
    assert!(answered >= BEFORE_CLOSE);
    assert_eq!(cut, 0, "connections that were cut, of {}", answered + cut);
}

#[tokio::test]
async fn what_connects_while_the_queue_is_emptied_is_taken_too() {
    const FOLLOWERS: usize = 5;
    let (listener, address) = listen().await;
    let mut clients = vec![Client::connect(address).unwrap()];
    close(listener, |stream, _| {
        answer(stream);
        if clients.len() <= FOLLOWERS {
            clients.extend(Client::connect_timeout(&address, CONNECT));
        }
    })
    .await;
    let all = clients.len();
    let answered = clients.into_iter().map(is_answered);
    let cut = answered.filter(|answered| !answered).count();
    assert_eq!(cut, 0, "connections that were cut, of {all}");
    assert!(Client::connect(address).is_err(), "closed");
}

#[tokio::test]
async fn a_listener_without_clients_is_closed() {
    let (listener, address) = listen().await;
    close(listener, |stream, _| answer(stream)).await;
    assert!(Client::connect(address).is_err(), "closed");
}
