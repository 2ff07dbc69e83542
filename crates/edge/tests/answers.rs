//! Every client gets the complete response to its own request, or an error that states correctly
//! whether the request may have run.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod common;

use brasswinch_edge::Dialect;
use brasswinch_lab::routed_upstream::Behaviour;
use brasswinch_types::UpstreamId;
use common::{KeptConnection, Site, call, request};
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Starts a site with two upstreams; the one that the first request reaches has `behaviour`.
async fn site_with_faulty_upstream(behaviour: Behaviour) -> Site {
    let site = Site::start(2).await;
    site.upstreams[0].always(behaviour.clone());
    // Either upstream may be the object's home: give the behaviour to the one that is.
    let home = site.get("/safe/home").await;
    if home.body == "upstream-1" && site.upstreams[0].seen().is_empty() {
        site.upstreams[0].always(Behaviour::Answer(200));
        site.upstreams[1].always(behaviour);
    }
    site
}

fn is_signed(answer: &common::Answer) -> bool {
    answer.headers.contains_key(Dialect::default().signature)
}

#[tokio::test]
async fn a_request_reaches_an_upstream_unchanged_and_its_answer_comes_back_unchanged() {
    let site = Site::start(1).await;
    let answer = site.post("/upload/a?b=%20c", "the body").await;
    assert_eq!(answer.status, 200);
    assert!(is_signed(&answer));
    assert_eq!(answer.body, "upstream-0");
    let seen = site.upstreams[0].seen();
    assert_eq!(seen[0].line, "POST /upload/a?b=%20c HTTP/1.1");
    assert_eq!(seen[0].body, b"the body");
    assert_eq!(seen[0].intended.as_deref(), Some("upstream-0"));
    let left = seen[0].deadline_ms.unwrap();
    assert!((1..=5_000).contains(&left), "{left}");
}

#[tokio::test]
async fn a_failure_of_an_upstream_goes_back_as_it_is() {
    let site = Site::start(2).await;
    for upstream in &site.upstreams {
        upstream.always(Behaviour::Answer(500));
    }
    let answer = site.get("/safe/1").await;
    assert_eq!(answer.status, 500);
    assert!(is_signed(&answer));
    assert_eq!(site.runs(), 1);
}

#[tokio::test]
async fn a_refused_request_goes_to_another_upstream() {
    for behaviour in [Behaviour::Refuse, Behaviour::Misdirected] {
        let site = site_with_faulty_upstream(behaviour).await;
        let answer = site.post("/once/1", "x").await;
        assert_eq!(answer.status, 200);
    }
}

#[tokio::test]
async fn a_request_that_all_refuse_has_not_run_and_is_told_when_to_come_back() {
    let site = Site::start(3).await;
    for upstream in &site.upstreams {
        upstream.always(Behaviour::Refuse);
    }
    let answer = site.post("/once/1", "x").await;
    assert_eq!(answer.status, 503);
    assert!(!is_signed(&answer));
    let after: f64 = answer.headers["retry-after"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    assert!(after > 0.0);
    assert_eq!(site.runs(), 0);
    assert_eq!(site.seen(), 2, "the route allows two upstreams");
}

#[tokio::test]
async fn an_upstream_that_has_another_s_address_gets_nothing_more() {
    let site = site_with_faulty_upstream(Behaviour::Misdirected).await;
    for number in 0..5 {
        let answer = site.post("/once/1", "x").await;
        assert_eq!(answer.status, 200, "{number}");
    }
    let misdirected = site.seen() - site.runs();
    assert_eq!(misdirected, 1);
}

/// Behaviours of an upstream after which it is unknown whether the request ran.
const UNKNOWN: [Behaviour; 6] = [
    Behaviour::AnswerForAnother,
    Behaviour::AnswerUnsigned,
    Behaviour::BreakOff,
    Behaviour::Close,
    Behaviour::Garbage,
    Behaviour::CloseWhenKept,
];

#[tokio::test]
async fn what_may_not_repeat_runs_once_and_its_failure_promises_nothing() {
    for behaviour in UNKNOWN {
        let site = Site::start(2).await;
        for upstream in &site.upstreams {
            upstream.always(behaviour.clone());
        }
        for number in 0..3 {
            let before = site.seen();
            let answer = site.post("/once/1", "x").await;
            let runs = site.seen() - before;
            match answer.status {
                200 => assert_eq!(runs, 1, "{behaviour:?} {number}"),
                502 => assert!(runs <= 1, "{behaviour:?} {number}: {runs} runs"),
                other => panic!("{behaviour:?} {number}: {other}"),
            }
        }
    }
}

#[tokio::test]
async fn what_may_repeat_is_served_by_another_upstream() {
    for behaviour in UNKNOWN {
        let site = site_with_faulty_upstream(behaviour.clone()).await;
        for number in 0..3 {
            let answer = site.get("/safe/1").await;
            assert_eq!(answer.status, 200, "{behaviour:?} {number}");
            assert!(is_signed(&answer));
        }
    }
}

#[tokio::test]
async fn what_may_have_run_is_never_told_not_run_by_a_later_try() {
    // Either upstream may be the home: one closes the connection, the other refuses the request.
    for order in [
        [Behaviour::Close, Behaviour::Refuse],
        [Behaviour::Refuse, Behaviour::Close],
    ] {
        let site = Site::start(2).await;
        for (upstream, behaviour) in site.upstreams.iter().zip(order) {
            upstream.always(behaviour);
        }
        let answer = site.get("/safe/1").await;
        assert_eq!(site.seen(), 2, "both were tried");
        assert_eq!(answer.status, 502);
        assert!(!answer.headers.contains_key("retry-after"));
    }
}

#[tokio::test]
async fn a_second_answer_never_reaches_the_next_request() {
    let site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::AnswerTwice);
    let mut kept = KeptConnection::open(site.clients).await;
    for _ in 0..20 {
        let request = request("GET", "/safe/1", "");
        let id = request.headers()[Dialect::default().request_id].clone();
        let answer = kept.call(request).await.unwrap();
        if answer.status == 200 {
            assert_eq!(answer.headers[Dialect::default().request_id], id);
        }
    }
}

#[tokio::test]
async fn an_answer_without_a_length_comes_whole() {
    let site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::AnswerUnframed);
    let answer = site.get("/safe/1").await;
    assert_eq!(answer.status, 200);
    assert_eq!(answer.body, "upstream-0");
}

#[tokio::test]
async fn an_answer_before_the_body_is_in_harms_no_other_request() {
    let site = Site::start(1).await;
    let body = "x".repeat(600_000);
    site.upstreams[0].always(Behaviour::AnswerEarly);
    for _ in 0..4 {
        let answer = site.post("/upload/1", &body).await;
        assert_eq!(answer.status, 200);
    }
    for seen in site.upstreams[0].seen() {
        assert_eq!(seen.line, "POST /upload/1 HTTP/1.1");
        assert!(seen.body.iter().all(|byte| *byte == b'x'));
    }
}

#[tokio::test]
async fn a_body_longer_than_is_held_is_passed_on_whole() {
    let site = Site::start(1).await;
    let body = "y".repeat(3_000_000);
    let answer = site.post("/upload/1", &body).await;
    assert_eq!(answer.status, 200);
    assert_eq!(site.upstreams[0].seen()[0].body.len(), body.len());
}

#[tokio::test]
async fn a_body_in_chunks_comes_through() {
    let site = Site::start(1).await;
    let mut stream = tokio::net::TcpStream::connect(site.clients).await.unwrap();
    let dialect = Dialect::default();
    let head = format!(
        "POST /upload/1 HTTP/1.1\r\nhost: {}\r\n{}: chunked-1\r\ntransfer-encoding: chunked\r\n\
         connection: close\r\n\r\n",
        common::HOST,
        dialect.request_id
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream
        .write_all(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        .await
        .unwrap();
    let mut answer = String::new();
    tokio::io::AsyncReadExt::read_to_string(&mut stream, &mut answer)
        .await
        .unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(site.upstreams[0].seen()[0].body, b"abcde");
}

#[tokio::test]
async fn the_final_answer_comes_when_the_route_s_time_is_over() {
    let site = Site::start(2).await;
    for upstream in &site.upstreams {
        upstream.always(Behaviour::Hang);
    }
    let answer = site.get("/short/1").await;
    assert_eq!(answer.status, 504);
    assert_eq!(site.seen(), 1);
    // Closing the connection cancels the upstream's work.
    let upstreams = site.upstreams.clone();
    common::eventually("the connection to the upstream is closed", || {
        upstreams
            .iter()
            .map(|upstream| upstream.closed_early())
            .sum::<usize>()
            == 1
    })
    .await;
}

#[tokio::test]
async fn a_client_that_leaves_cancels_the_work() {
    let site = Site::start(1).await;
    site.upstreams[0].always(Behaviour::Hang);
    let calling = call(site.clients, request("GET", "/safe/1", ""));
    let left = tokio::time::timeout(Duration::from_millis(300), calling).await;
    assert!(left.is_err());
    let upstream = site.upstreams[0].clone();
    common::eventually("the connection to the upstream is closed", || {
        upstream.closed_early() == 1
    })
    .await;
}

#[tokio::test]
async fn an_upstream_that_is_gone_costs_nobody_an_answer() {
    let site = site_with_faulty_upstream(Behaviour::Answer(200)).await;
    let dialect = Dialect::default();
    // An address without a listener.
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let mut unreachable = common::record(&site.upstreams[0]);
    unreachable.id = UpstreamId::new("ghost");
    unreachable.address = address;
    site.store
        .write(brasswinch_routing::Change::Upstream(unreachable));
    for number in 0..40 {
        let mut request = request("POST", "/once/1", "x");
        let cookie = format!("{}={number}", dialect.object_cookie);
        request
            .headers_mut()
            .insert("cookie", cookie.parse().unwrap());
        let answer = call(site.clients, request).await.unwrap();
        assert_eq!(answer.status, 200, "{number}");
    }
}

#[tokio::test]
async fn kept_connections_to_upstreams_are_used_again() {
    let site = Site::start(1).await;
    for _ in 0..10 {
        assert_eq!(site.get("/safe/1").await.status, 200);
    }
    assert!(
        site.upstreams[0].connections() <= 2,
        "{}",
        site.upstreams[0].connections()
    );
    site.upstreams[0].always(Behaviour::AnswerAndLeave);
    for _ in 0..3 {
        assert_eq!(site.post("/once/1", "x").await.status, 200);
    }
}

/// Clients take these statuses for the promise that their request has not run, and send it again.
#[tokio::test]
async fn a_status_that_promises_too_much_is_passed_on() {
    for status in [408, 429, 503] {
        let site = Site::start(2).await;
        for upstream in &site.upstreams {
            upstream.always(Behaviour::Answer(status));
        }
        let answer = site.post("/once/1", "x").await;
        assert_eq!(answer.status, 502, "{status}");
        assert!(!is_signed(&answer), "{status}");
        assert_eq!(site.runs(), 1, "{status}");
    }
}
