//! Many depots send their logs at once, in chunks, while others send orders through the same box.

use crate::client::{config, new_id, order, upload, Log, Seen};
use crate::place::*;
use crate::target::{Arrived, Kind, Target};
use std::collections::HashSet;
use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, Builder};
use std::time::{Duration, Instant};

/// Depots that usually send at the same time, and the largest burst that the site file names.
const USUAL: usize = 140;
const BURST: f64 = 1.7;
/// A log, and how long it is on its way: all of a burst together take 830 of the 1,000 Mbit/s.
const LOG_BYTES: usize = 1_000_000;
const LOG_TAKES: Duration = Duration::from_millis(2_300);
const DEADLINE: Duration = Duration::from_secs(3);
/// Clients that send one order after the other, each on a connection that it keeps.
const BUYERS: usize = 12;
/// As many orders or logs may be lost from kept connections at any point.
const MOST_LOST: usize = 3;

/// The box under the limit on its memory.
struct Machine {
    process: Mutex<BoxProcess>,
    peak_kb: Mutex<u64>,
    was_killed: AtomicBool,
    is_over: AtomicBool,
}

/// Kills the box as the platform does if it holds more memory than it may.
fn limit_memory(place: &Place, machine: &Machine) {
    while !machine.is_over.load(Ordering::Relaxed) {
        let process = machine.process.lock().unwrap();
        let memory_kb = process.memory_kb();
        let mut peak_kb = machine.peak_kb.lock().unwrap();
        *peak_kb = memory_kb.max(*peak_kb);
        if memory_kb > MEMORY_MB * 1024 && !machine.was_killed.load(Ordering::Relaxed) {
            process.signal(SIGKILL);
            machine.was_killed.store(true, Ordering::Relaxed);
            place.record.tell(&format!(
                "box 1 holds {memory_kb} kB, over {MEMORY_MB} MB: the platform kills it"
            ));
        }
        drop((process, peak_kb));
        sleep(Duration::from_millis(10));
    }
}

/// Sends a wave of logs at once; returns what the depots saw.
fn wave(place: &Place, depots: usize) -> io::Result<Vec<Seen>> {
    let front = place.front(1);
    place
        .record
        .tell(&format!("{depots} depots send {LOG_BYTES} bytes each"));
    let mut threads = Vec::new();
    for object in 0..depots {
        let send = move || {
            let id = new_id();
            let log = Log {
                object,
                bytes: LOG_BYTES,
                takes: LOG_TAKES,
            };
            let began = Instant::now();
            let mut stream = match connect(front) {
                Ok(stream) => stream,
                Err(error) => {
                    let result = Err(format!("no connection: {error}"));
                    return Seen {
                        id,
                        sent: began,
                        ended: Instant::now(),
                        result,
                    };
                }
            };
            upload(&mut stream, &log, &id, DEADLINE)
        };
        threads.push(Builder::new().stack_size(128 * 1024).spawn(send)?);
    }
    Ok(threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect())
}

/// Sends orders one after the other until told to end; returns those of kept connections whose
/// connection ended without an answer.
fn buy(place: &Place, buyer: usize, is_over: &AtomicBool) -> (usize, Vec<Seen>) {
    let (mut answered, mut cut) = (0, Vec::new());
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut stream) = connect(place.front(1)) else {
            sleep(Duration::from_millis(200));
            continue;
        };
        let mut is_kept = false;
        while !is_over.load(Ordering::Relaxed) {
            let seen = order(&mut stream, buyer, &new_id(), DEADLINE);
            let is_cut = seen.result.is_err() && seen.ended - seen.sent < DEADLINE;
            answered += usize::from(seen.result == Ok(200));
            if seen.result != Ok(200) {
                place
                    .record
                    .tell(&format!("buyer {buyer}: {} {:?}", seen.id, seen.result));
            }
            if seen.result.is_err() {
                if is_cut && is_kept {
                    cut.push(seen);
                }
                break;
            }
            is_kept = true;
        }
    }
    (answered, cut)
}

fn tell_wave(record: &Record, seen: &[Seen]) {
    let mut results: Vec<String> = seen.iter().map(|one| format!("{:?}", one.result)).collect();
    results.sort();
    let kinds: HashSet<&String> = results.iter().collect();
    for kind in kinds {
        let count = results.iter().filter(|result| *result == kind).count();
        record.tell(&format!("{count} logs: {kind}"));
    }
}

/// Plays the case. Returns whether the rule was broken.
pub fn play(place: &Place, has_trouble: bool) -> io::Result<bool> {
    let record = place.record.clone();
    let routes = [
        ("ledger", "unsafe", "ledger"),
        ("logs", "upload", "logsink"),
    ];
    place.store.put("op/config", &config(&routes));
    let arrived = Arrived::default();
    for (zone, _) in ZONES {
        for _ in 0..6 {
            let work = Duration::from_millis(640);
            let kind = Kind {
                service: "ledger",
                slots: 4,
                work,
                body_bytes: 0,
                is_told: false,
            };
            Target::start(place, &kind, zone, &arrived)?;
            let work = Duration::from_millis(560);
            let kind = Kind {
                service: "logsink",
                slots: 3,
                work,
                body_bytes: 0,
                is_told: false,
            };
            Target::start(place, &kind, zone, &arrived)?;
        }
    }
    let machine = Arc::new(Machine {
        process: Mutex::new(place.start_box(1)?),
        peak_kb: Mutex::new(0),
        was_killed: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    });
    let _other = place.start_box(2)?;
    place.wait_until_ready()?;
    // The boxes and what they know settle for longer than `contactS`.
    sleep(Duration::from_secs(6));

    let (watched, watching) = (place.clone(), Arc::clone(&machine));
    let platform = std::thread::spawn(move || limit_memory(&watched, &watching));
    let buyers: Vec<_> = (0..BUYERS)
        .map(|buyer| {
            let (place, machine) = (place.clone(), Arc::clone(&machine));
            std::thread::spawn(move || buy(&place, buyer, &machine.is_over))
        })
        .collect();
    sleep(Duration::from_secs(2));
    tell_wave(&record, &wave(place, USUAL)?);
    record.tell(&format!(
        "box 1 held {} kB at most",
        machine.peak_kb.lock().unwrap()
    ));
    sleep(Duration::from_secs(1));
    let depots = if has_trouble {
        (USUAL as f64 * BURST) as usize
    } else {
        USUAL
    };
    tell_wave(&record, &wave(place, depots)?);
    record.tell(&format!(
        "box 1 held {} kB at most",
        machine.peak_kb.lock().unwrap()
    ));
    sleep(Duration::from_secs(1));
    machine.is_over.store(true, Ordering::Relaxed);
    let _ = platform.join();
    let (mut answered, mut lost) = (0, 0);
    let arrived = arrived.lock().unwrap();
    for buyer in buyers {
        let (count, cut) = buyer
            .join()
            .map_err(|_| io::Error::other("a buyer panicked"))?;
        answered += count;
        for seen in cut {
            if let Some(state) = arrived.get(&seen.id) {
                lost += 1;
                record.tell(&format!(
                    "order {} was cut; at a sound target it {state}",
                    seen.id
                ));
            }
        }
    }
    let was_killed = machine.was_killed.load(Ordering::Relaxed);
    let ended = machine.process.lock().unwrap().ended();
    record.tell(&format!(
        "{answered} orders answered, {lost} lost; box 1 ended: {ended:?}"
    ));
    if answered == 0 {
        return Err(io::Error::other("no order was answered"));
    }
    if ended.is_some() && !was_killed {
        record.tell("box 1 ended, and not by the platform's limit");
    }
    Ok(ended.is_some() && lost > MOST_LOST)
}
