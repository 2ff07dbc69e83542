//! A planned stop of one box while clients on slow links send further safe requests before the
//! first has been answered.

use crate::client::{config, new_id};
use crate::place::*;
use crate::target::{body_of, Arrived, Kind, Target};
use std::io::{self, Read, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const CLIENTS: usize = 4;
/// Length of an answer: the longest of the site's safe requests.
const ANSWER_BYTES: usize = 9_000;
/// Between two requests of a client.
const SENT_EACH: Duration = Duration::from_millis(100);
/// A client's slow link: this many bytes at a time, with a pause after them; some 0.5 Mbit/s. It
/// has room for a few of them.
const READ_BYTES: usize = 4_096;
const READ_PAUSE: Duration = Duration::from_millis(60);
const RECEIVE_BUFFER_BYTES: i32 = 8_192;
/// How long clients wait for an answer, and the route's time-out.
const DEADLINE: Duration = Duration::from_secs(3);
/// When the box is stopped, from the first request on.
const STOPPED_AFTER: Duration = Duration::from_millis(1_500);

/// What a client saw on its connection.
struct Seen {
    /// Ids of its requests with when each was sent, in order.
    sent: Vec<(String, Instant)>,
    /// Whole answers, in order.
    answered: usize,
    /// Whether an answer was not the one to its request.
    is_mixed: bool,
    /// Bytes of an answer that did not come whole, head included.
    part_bytes: usize,
    ended: Instant,
    end: String,
}

/// Sends requests until told to end or an answer closes the connection, and reads the answers.
fn browse(place: &Place, client: usize, is_over: &Arc<AtomicBool>) -> io::Result<Seen> {
    let mut stream = connect(place.front(1))?;
    set_receive_buffer(&stream, RECEIVE_BUFFER_BYTES);
    let mut sending = stream.try_clone()?;
    let sent = Arc::new(Mutex::new(Vec::new()));
    let must_end = Arc::new(AtomicBool::new(false));
    let (all, end, over) = (
        Arc::clone(&sent),
        Arc::clone(&must_end),
        Arc::clone(is_over),
    );
    let sender = std::thread::spawn(move || {
        let deadline_ms = DEADLINE.as_millis();
        while !end.load(Ordering::Relaxed) && !over.load(Ordering::Relaxed) {
            let id = new_id();
            let request = format!(
                "GET /photos/{client} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n\
                 Cookie: Affinity-Key={client}\r\nRequest-Deadline: {deadline_ms}\r\n\r\n"
            );
            all.lock().unwrap().push((id, Instant::now()));
            if sending.write_all(request.as_bytes()).is_err() {
                return;
            }
            sleep(SENT_EACH);
        }
    });
    stream.set_read_timeout(Some(DEADLINE))?;
    let (mut buffer, mut space) = (Vec::new(), [0; READ_BYTES]);
    let (mut answered, mut is_mixed) = (0, false);
    let end = loop {
        match stream.read(&mut space) {
            Ok(0) => break "the connection ended".to_owned(),
            Ok(length) => buffer.extend_from_slice(&space[..length]),
            Err(error) => break format!("the connection ended: {error}"),
        }
        sleep(READ_PAUSE);
        while let Some((head, body)) = next_answer(&buffer) {
            if head.contains("connection: close") {
                must_end.store(true, Ordering::Relaxed);
            }
            let Some(body) = body else {
                break;
            };
            let id = sent.lock().unwrap()[answered].0.clone();
            let is_whole = &buffer[body.clone()] == body_of(&id, ANSWER_BYTES).as_bytes();
            is_mixed |= head.contains(" 200 ") && !is_whole;
            buffer.drain(..body.end);
            answered += 1;
        }
        let is_answered = answered == sent.lock().unwrap().len();
        if is_over.load(Ordering::Relaxed) && is_answered {
            break "all answered".to_owned();
        }
    };
    let ended = Instant::now();
    must_end.store(true, Ordering::Relaxed);
    let _ = sender.join();
    let sent = sent.lock().unwrap().clone();
    Ok(Seen {
        sent,
        answered,
        is_mixed,
        part_bytes: buffer.len(),
        ended,
        end,
    })
}

/// Returns the head of the next answer, in lower case, and where its body is if it is whole.
fn next_answer(buffer: &[u8]) -> Option<(String, Option<std::ops::Range<usize>>)> {
    let head_bytes = buffer.windows(4).position(|four| four == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&buffer[..head_bytes]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length: usize = length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0);
    let body = head_bytes..head_bytes + length;
    let is_whole = body.end <= buffer.len();
    Some((head, is_whole.then_some(body)))
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(place: &Place, has_trouble: bool) -> io::Result<bool> {
    let record = place.record.clone();
    place
        .store
        .put("op/config", &config(&[("photos", "safe", "photos")]));
    let arrived = Arrived::default();
    let work = Duration::from_millis(300);
    for (zone, _) in ZONES {
        for _ in 0..4 {
            let (slots, body_bytes) = (6, ANSWER_BYTES);
            let kind = Kind {
                service: "photos",
                slots,
                work,
                body_bytes,
                is_told: false,
            };
            Target::start(place, &kind, zone, &arrived)?;
        }
    }
    let mut boxes = vec![place.start_box(1)?, place.start_box(2)?];
    place.wait_until_ready()?;
    // The boxes and what they know settle for longer than `contactS`.
    sleep(Duration::from_secs(6));

    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (place, is_over) = (place.clone(), Arc::clone(&is_over));
            std::thread::spawn(move || browse(&place, client, &is_over))
        })
        .collect();
    sleep(STOPPED_AFTER);
    let stopped = Instant::now();
    if has_trouble {
        record.tell("SIGTERM to box 1");
        boxes[0].signal(SIGTERM);
    }
    sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::Relaxed);
    let (mut whole, mut lost) = (0, 0);
    for (index, client) in clients.into_iter().enumerate() {
        let seen = client
            .join()
            .map_err(|_| io::Error::other("a client panicked"))??;
        let (count, answered) = (seen.sent.len(), seen.answered);
        whole += answered;
        record.tell(&format!(
            "client {index}: {count} sent, {answered} answered whole; {}; {} bytes of a part",
            seen.end, seen.part_bytes
        ));
        if seen.is_mixed {
            record.tell(&format!(
                "client {index}: an answer was not the one to its request"
            ));
        }
        let after = seen.ended.saturating_duration_since(stopped);
        let is_around_stop = has_trouble && after < Duration::from_secs(GRACE_S + 1);
        let arrived = arrived.lock().unwrap();
        for (id, sent) in &seen.sent[answered..] {
            let took = seen.ended - *sent;
            let state = arrived.get(id).copied();
            record.tell(&format!(
                "client {index}: {id} has no whole answer {:.3} s after it was sent and {:.3} s \
                 after the stop; at the target it {}",
                took.as_secs_f64(),
                after.as_secs_f64(),
                state.unwrap_or("was not: it was not passed on")
            ));
            // A request that was not passed on isn't counted, nor one whose time was over.
            if state.is_some() && is_around_stop && took + Duration::from_millis(200) < DEADLINE {
                lost += 1;
            }
        }
    }
    record.tell(&format!(
        "{whole} answers came whole, {lost} to requests that ran were lost"
    ));
    record.tell(&format!("box 1 ended: {:?}", boxes[0].ended()));
    if whole == 0 {
        return Err(io::Error::other("no request was answered"));
    }
    Ok(lost > 0)
}
