//! What clients send and see, and the operator's configuration.

use crate::http::{read_answer, Answer};
use crate::place::{random, HOST};
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Returns the id of a new request.
pub fn new_id() -> String {
    format!("{:016x}", random())
}

/// Returns a configuration with a route for each path, kind and service.
pub fn config(routes: &[(&str, &str, &str)]) -> String {
    let mut entries = Vec::new();
    for (path, kind, service) in routes {
        entries.push(format!(
            "{{\"resourceKind\":\"routes\",\"metadata\":{{\"name\":\"r-{path}\"}},\"spec\":{{\"hostname\":\"{HOST}\",\"pathPrefix\":\"/{path}/\",\"kind\":\"{kind}\",\"timeoutS\":3,\"latencyGoalS\":0.5,\"priority\":1,\"service\":\"{service}\",\"maxAttempts\":2,\"sticky\":true,\"allowedRegions\":[]}}}}"
        ));
        entries.push(format!(
            "{{\"resourceKind\":\"services\",\"metadata\":{{\"name\":\"{service}\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false,\"coldPeriodS\":3.0,\"coldPerS\":9.2}}}}"
        ));
    }
    entries.push("{\"resourceKind\":\"limits\",\"metadata\":{},\"spec\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutS\":3,\"idleTimeoutS\":15}}".to_owned());
    format!(
        "{{\"version\":\"r7\",\"resourceTypes\":[{}]}}",
        entries.join(",")
    )
}

/// What a client saw of one request.
#[derive(Debug)]
pub struct Seen {
    pub id: String,
    pub sent: Instant,
    pub ended: Instant,
    /// The answer's status, or how the connection ended.
    pub result: Result<u16, String>,
}

/// Sends one order on a kept connection and waits for its answer until the deadline.
pub fn order(stream: &mut TcpStream, object: usize, id: &str, deadline: Duration) -> Seen {
    let deadline_ms = deadline.as_millis();
    let body = format!("order of {object}");
    let request = format!(
        "POST /ledger/{object} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={object}\r\nRequest-Deadline: {deadline_ms}\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let sent = Instant::now();
    let _ = stream.set_read_timeout(Some(deadline));
    let answer = stream.write_all(request.as_bytes());
    let answer = answer.and_then(|()| read_answer(stream, &mut Vec::new()));
    let result = result(id, answer);
    Seen {
        id: id.to_owned(),
        sent,
        ended: Instant::now(),
        result,
    }
}

fn result(id: &str, answer: io::Result<Answer>) -> Result<u16, String> {
    match answer {
        Ok(answer) if answer.status == 200 && answer.body != format!("voucher {id}").as_bytes() => {
            Err("another answer".to_owned())
        }
        Ok(answer) => Ok(answer.status),
        Err(error) => Err(format!("the connection ended: {error}")),
    }
}

/// Sends a large body in chunks, evenly over `takes`, and waits for the answer until the deadline.
pub fn upload(stream: &mut TcpStream, log: &Log, id: &str, deadline: Duration) -> Seen {
    let deadline_ms = deadline.as_millis();
    let Log {
        object,
        bytes,
        takes,
    } = *log;
    let head = format!(
        "POST /logs/{object} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
         Cookie: Affinity-Key={object}\r\nRequest-Deadline: {deadline_ms}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    let sent = Instant::now();
    let _ = stream.set_read_timeout(Some(deadline));
    let mut send = || {
        stream.write_all(head.as_bytes())?;
        let piece = [b'x'; 16 * 1024];
        let mut done = 0;
        while done < bytes {
            let length = piece.len().min(bytes - done);
            let mut chunk = format!("{length:x}\r\n").into_bytes();
            chunk.extend_from_slice(&piece[..length]);
            chunk.extend_from_slice(b"\r\n");
            stream.write_all(&chunk)?;
            done += length;
            let due = sent + takes.mul_f64(done as f64 / bytes as f64);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
        }
        stream.write_all(b"0\r\n\r\n")?;
        read_answer(stream, &mut Vec::new())
    };
    let result = result(id, send());
    Seen {
        id: id.to_owned(),
        sent,
        ended: Instant::now(),
        result,
    }
}

/// A log that a depot sends.
pub struct Log {
    pub object: usize,
    pub bytes: usize,
    /// How long the depot's link takes to carry it.
    pub takes: Duration,
}
