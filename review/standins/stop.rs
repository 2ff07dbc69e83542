//! A planned stop of one box, and requests that reach it on kept connections shortly before it
//! closes them.

use crate::client::{config, new_id, order, Seen};
use crate::place::*;
use crate::target::{Arrived, Kind, Target};
use std::collections::HashSet;
use std::io;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Requests that a target works on at once, and how long each takes there. The site's sheet has
/// four slots, and work of 640 ms on average and of 1,920 ms at most.
const SLOTS: usize = 4;
const WORK: Duration = Duration::from_millis(1_350);
/// How long clients wait for an answer, and the route's time-out.
const DEADLINE: Duration = Duration::from_secs(3);
/// Clients that keep a connection to the box.
const CLIENTS: usize = 8;
/// When they send, from the SIGTERM on: more than 3 s after it, all within 80 ms.
const SENT_AFTER: Duration = Duration::from_millis(3_060);

/// Plays the case. Returns whether the rule was broken.
pub fn play(place: &Place, has_trouble: bool) -> io::Result<bool> {
    let record = place.record.clone();
    let arrived = Arrived::default();
    place
        .store
        .put("op/config", &config(&[("ledger", "unsafe", SERVICE)]));
    let kind = Kind {
        service: SERVICE,
        slots: SLOTS,
        work: WORK,
        body_bytes: 0,
        is_told: true,
    };
    for (zone, _) in ZONES {
        Target::start(place, &kind, zone, &arrived)?;
    }
    let mut boxes = Vec::new();
    for index in 1..=place.boxes {
        boxes.push(place.start_box(index)?);
    }
    place.wait_until_ready()?;
    // The boxes and what they know settle for longer than `contactS`.
    sleep(Duration::from_secs(6));

    // Each client keeps a connection to box 1 and has had an order answered there.
    let front = place.front(1);
    let mut streams = Vec::new();
    let objects: Vec<usize> = (0..CLIENTS).collect();
    for group in objects.chunks(SLOTS) {
        let clients = group.iter().map(|object| {
            let object = *object;
            std::thread::spawn(move || {
                let mut stream = connect(front)?;
                let seen = order(&mut stream, object, &new_id(), DEADLINE);
                Ok::<_, io::Error>((object, stream, seen))
            })
        });
        let clients: Vec<_> = clients.collect();
        for client in clients {
            let (object, stream, seen) = client.join().map_err(|_| io::Error::other("panic"))??;
            record.tell(&format!("client {object}, before: {:?}", seen.result));
            if seen.result == Ok(200) {
                streams.push((object, stream));
            }
        }
    }
    // A look-up right before the stop; some clients hold its answer for three times its span.
    let (zone, region) = place.zone(1);
    let path = format!("/api/resolve?name={HOST}&region={region}&zone={zone}");
    let found = ask(place.directory(1), &path)?;
    let looked_up = Instant::now();
    let text = String::from_utf8_lossy(&found.body).into_owned();
    record.tell(&format!("look-up: {text}"));
    if !text.contains(&format!("\"{front}\"")) {
        return Err(io::Error::other("the look-up doesn't name the box"));
    }
    let ttl_s = crate::json::Json::parse(&found.body);
    let ttl_s = match ttl_s.get("ttlS") {
        Some(crate::json::Json::Number(seconds)) => seconds.min(5.0),
        _ => 0.0,
    };

    let stopped = Instant::now();
    if has_trouble {
        record.tell("SIGTERM to box 1");
        boxes[0].signal(SIGTERM);
    }
    sleep(SENT_AFTER.saturating_sub(stopped.elapsed()));
    let mut clients = Vec::new();
    for (object, mut stream) in streams {
        let id = new_id();
        record.tell(&format!("client {object} sends {id}"));
        clients.push(std::thread::spawn(move || {
            order(&mut stream, object, &id, DEADLINE)
        }));
        sleep(Duration::from_millis(5));
    }
    let seen: Vec<Seen> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    let mut cut = HashSet::new();
    let arrived = arrived.lock().unwrap();
    for one in &seen {
        let after = one.sent.saturating_duration_since(stopped).as_secs_f64();
        let took = one.ended.saturating_duration_since(one.sent);
        let passed_on = arrived.get(&one.id).copied().unwrap_or("reached no target");
        record.tell(&format!(
            "{} sent {after:.3} s after the stop, took {:.3} s: {:?}; at the target it {passed_on}",
            one.id,
            took.as_secs_f64(),
            one.result
        ));
        let held_for = one.sent.saturating_duration_since(looked_up).as_secs_f64();
        let is_held = held_for < 3.0 * ttl_s;
        let is_counted = is_held
            && after > 3.0
            && took + Duration::from_millis(200) < DEADLINE
            && arrived.contains_key(&one.id)
            && one.ended.saturating_duration_since(stopped) < Duration::from_secs(GRACE_S);
        if is_counted && one.result.is_err() {
            cut.insert(one.id.clone());
        }
    }
    drop(arrived);
    if has_trouble {
        let until = stopped + Duration::from_secs(GRACE_S);
        while boxes[0].ended().is_none() && Instant::now() < until {
            sleep(Duration::from_millis(20));
        }
        let how = boxes[0].ended();
        record.tell(&format!("box 1 ended: {how:?}"));
        boxes[0].signal(SIGKILL);
    }
    let answered = seen.iter().filter(|one| one.result == Ok(200)).count();
    record.tell(&format!(
        "{answered} answered with 200, {} cut, of {}",
        cut.len(),
        seen.len()
    ));
    if answered == 0 {
        return Err(io::Error::other("no order was answered"));
    }
    Ok(!cut.is_empty())
}
