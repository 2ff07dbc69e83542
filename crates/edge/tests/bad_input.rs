//! A box keeps serving after invalid input on any of its listeners.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::Dialect;
use brasswinch_routing::{RouteKind, SteeringConfig};
use common::{Site, call, config, request, route};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::TestRunner;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const ROUNDS: usize = 60;

/// Returns random bytes, or a request head that is almost valid.
fn invalid_input(runner: &mut TestRunner) -> Vec<u8> {
    let bytes = proptest::collection::vec(any::<u8>(), 0..600);
    let head = "(GET|POST|G@T) /[a-z/%]{0,9} HTTP/1.[019]\r\n(host: [a-z.]{0,9}\r\n){0,2}\
                (content-length: [0-9a-z]{0,4}\r\n){0,2}(transfer-encoding: [a-z]{0,7}\r\n)?\
                (\r\n)?[a-z]{0,9}";
    let head = proptest::string::string_regex(head).unwrap();
    let either = prop_oneof![bytes, head.prop_map(String::into_bytes)];
    either.new_tree(runner).unwrap().current()
}

async fn send_bytes(to: std::net::SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(to).await.unwrap();
    // The box may close the connection at any byte.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_secs(5), reading).await;
}

#[tokio::test]
async fn invalid_input_from_clients_and_boxes_stops_nothing() {
    let site = Site::start(1).await;
    let addresses = site.handle.as_ref().unwrap().addresses();
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let mut runner = TestRunner::deterministic();
    for _ in 0..ROUNDS {
        send_bytes(addresses.clients, &invalid_input(&mut runner)).await;
        send_bytes(addresses.peers, &invalid_input(&mut runner)).await;
        let datagram = invalid_input(&mut runner);
        socket.send_to(&datagram, addresses.peers).await.unwrap();
    }
    assert_eq!(site.get("/safe/1").await.status, 200);
    let runs = site.runs();
    assert_eq!(runs, 1, "only the valid request may run on an upstream");
}

#[tokio::test]
async fn a_deadline_that_is_no_number_is_refused_as_malformed() {
    let site = Site::start(1).await;
    for bad in ["soon", "1e400", "", "-", "NaN"] {
        let mut request = request("GET", "/safe/1", "");
        let name = Dialect::default().deadline_ms;
        request.headers_mut().insert(name, bad.parse().unwrap());
        let answer = call(site.clients, request).await.unwrap();
        assert_eq!(answer.status, 400, "{bad:?}");
    }
    assert_eq!(site.seen(), 0);
}

#[tokio::test]
async fn a_deadline_that_has_passed_reaches_no_upstream() {
    let site = Site::start(1).await;
    for passed in ["0", "-5"] {
        let mut request = request("POST", "/once/1", "x");
        let name = Dialect::default().deadline_ms;
        request.headers_mut().insert(name, passed.parse().unwrap());
        let answer = call(site.clients, request).await.unwrap();
        assert_eq!(answer.status, 503, "{passed}");
    }
    assert_eq!(site.seen(), 0);
}

#[tokio::test]
async fn a_deadline_in_ages_is_served_like_any_other() {
    let site = Site::start(1).await;
    for far_future in ["1e15", "1.5e22"] {
        let mut request = request("GET", "/safe/1", "");
        let name = Dialect::default().deadline_ms;
        request
            .headers_mut()
            .insert(name, far_future.parse().unwrap());
        let answer = call(site.clients, request).await.unwrap();
        assert_eq!(answer.status, 200, "{far_future}");
    }
}

/// A gossip message decodes only if the ages of its views are integers from 0 to `u32::MAX`; a
/// message with any other age is rejected as a whole.
#[test]
fn a_view_with_an_invalid_age_is_rejected() {
    use ciborium::Value;
    let decode_with_age = |age: Value| {
        let text = |text: &str| Value::Text(text.into());
        let view = Value::Map(vec![
            (text("s"), text("Upstreams")),
            (text("r"), Value::from(7)),
            (text("a"), Value::from(7)),
            (text("o"), age),
        ]);
        let fields = vec![
            (text("i"), text("box-1")),
            (text("v"), Value::Array(vec![view])),
        ];
        let message = Value::Map(vec![(text("Known"), Value::Map(fields))]);
        let mut datagram = Vec::new();
        ciborium::into_writer(&message, &mut datagram).unwrap();
        ciborium::from_reader::<brasswinch_routing::SwimMessage, _>(&datagram[..])
    };
    assert!(decode_with_age(Value::from(0)).is_ok());
    assert!(decode_with_age(Value::from(4_000)).is_ok());
    let invalid_ages = [
        Value::from(-1),
        Value::from(u64::from(u32::MAX) + 1),
        Value::Float(f64::NAN),
        Value::Float(1e300),
        Value::Text("400".into()),
        Value::Null,
    ];
    for age in invalid_ages {
        assert!(decode_with_age(age.clone()).is_err(), "{age:?}");
    }
}

/// A box of a newer build may send a kind of route that this one doesn't know.
#[test]
fn an_unknown_kind_of_route_from_another_box_takes_no_other_route_down() {
    let mut config = config(1);
    config
        .routes
        .push(route("/new/", RouteKind::Repeatable, "desk"));
    let mut encoded = Vec::new();
    ciborium::into_writer(&config, &mut encoded).unwrap();
    let mut document: ciborium::Value = ciborium::from_reader(&encoded[..]).unwrap();
    let kind = kind_of_last_route(&mut document);
    assert_eq!(*kind, ciborium::Value::Text("Repeatable".into()));
    *kind = ciborium::Value::Text("Teleported".into());
    encoded.clear();
    ciborium::into_writer(&document, &mut encoded).unwrap();
    let received: SteeringConfig = ciborium::from_reader(&encoded[..]).unwrap();
    let new = received.routes.last().unwrap();
    assert_eq!(received.routes[0], config.routes[0]);
    assert_eq!(new.kind, RouteKind::Unknown);
    assert!(!new.kind.is_repeatable());
    assert!(!new.kind.allows_retries());
}

fn kind_of_last_route(document: &mut ciborium::Value) -> &mut ciborium::Value {
    let routes = field(document, "routes").as_array_mut().unwrap();
    field(routes.last_mut().unwrap(), "kind")
}

fn field<'a>(value: &'a mut ciborium::Value, name: &str) -> &'a mut ciborium::Value {
    let fields = value.as_map_mut().unwrap().iter_mut();
    let mut named = fields.filter(|(key, _)| key.as_text() == Some(name));
    &mut named.next().unwrap().1
}
