//! A simulation of boxes whose workspace is over its quota with three kinds of requests, in
//! simulated time: messages are lost or late, clients disconnect, and the coordinator fails. The
//! decisions are made by the real code; a seed determines everything else.

mod workload;

use brasswinch_routing::{
    Admission, KnownSize, QueuedGrant, QuotaBox, QuotaClass, QuotaCount, QuotaReply, Quotas,
    ToCoordinator,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
pub(crate) use workload::{
    APPROVALS, CALM_END_MS, DOWNLOADS, END_MS, Fault, KINDS, LIMIT, LOOK_UPS,
};
use workload::{
    BOUNDS, DETECTION_MS, DISCONNECTED, FAULT_AT_MS, FAULT_ENDS_MS, MAX_EXCESS_MS,
    OVERLOAD_FROM_MS, OVERLOAD_PER_S, REPLY_TIMEOUT_MS, STEP_MS, TICK_MS, TRAFFIC_FROM_MS,
    USUAL_PER_S, address, class_of, index_of, quota_box, workspace,
};

enum Message {
    Count(QuotaCount),
    Reply(QuotaReply),
}

/// A request without a decision.
struct Pending {
    kind: usize,
    class: QuotaClass,
    started_at: u64,
    until: u64,
    query: Option<ToCoordinator>,
    queued: Option<QueuedGrant>,
    is_last: bool,
}

struct ModelBox {
    quotas: Quotas,
    pending: BTreeMap<u64, Pending>,
}

pub(crate) struct Model {
    fault: Fault,
    coordinator: usize,
    random: StdRng,
    now: u64,
    boxes: Vec<ModelBox>,
    /// Messages by arrival: receiver, sender and content.
    in_flight: BTreeMap<(u64, u64), (usize, usize, Message)>,
    sent: u64,
    /// When each request ran, and its kind.
    pub(crate) runs: Vec<(u64, usize)>,
    ran: HashSet<u64>,
    /// When each request arrived, and its kind.
    pub(crate) requests: Vec<(u64, usize)>,
    pub(crate) waited: u64,
}

impl Model {
    /// Simulates a fleet; `seed` determines everything but the decisions.
    pub(crate) fn run(boxes: usize, fault: Fault, seed: u64) -> Self {
        let model_box = |index: usize| {
            let mut quotas = Quotas::new(quota_box(index).id, BOUNDS);
            quotas.set_fleet_size(KnownSize::Reported(boxes));
            quotas.set_boxes((0..boxes).map(quota_box).collect(), boxes, 1);
            ModelBox {
                quotas,
                pending: BTreeMap::new(),
            }
        };
        let mut model = Self {
            fault,
            coordinator: 0,
            random: StdRng::seed_from_u64(seed),
            now: 0,
            boxes: (0..boxes).map(model_box).collect(),
            in_flight: BTreeMap::new(),
            sent: 0,
            runs: Vec::new(),
            ran: HashSet::new(),
            requests: Vec::new(),
            waited: 0,
        };
        let coordinator = model.boxes[0].quotas.coordinator(&workspace()).unwrap();
        model.coordinator = index_of(coordinator.address);
        let end_ms = if fault == Fault::None {
            CALM_END_MS
        } else {
            END_MS
        };
        while model.now < end_ms {
            model.now += STEP_MS;
            model.step();
        }
        model
    }

    /// Whether the fault affects the box now.
    fn is_faulty(&self, index: usize, fault: Fault) -> bool {
        let ends = if fault == Fault::Dies {
            u64::MAX
        } else {
            FAULT_ENDS_MS
        };
        self.fault == fault && index == self.coordinator && (FAULT_AT_MS..ends).contains(&self.now)
    }

    fn is_down(&self, index: usize) -> bool {
        self.is_faulty(index, Fault::Dies) || self.is_faulty(index, Fault::Suspended)
    }

    fn step(&mut self) {
        let is_lasting = self.fault != Fault::None && self.fault != Fault::OlderBuild;
        if is_lasting && self.now == FAULT_AT_MS + DETECTION_MS {
            self.set_boxes(true);
        }
        if is_lasting && self.fault != Fault::Dies && self.now == FAULT_ENDS_MS + DETECTION_MS / 2 {
            self.set_boxes(false);
        }
        self.deliver();
        let per_s = match self.now {
            ..TRAFFIC_FROM_MS => 0.0,
            TRAFFIC_FROM_MS..OVERLOAD_FROM_MS => USUAL_PER_S,
            _ => OVERLOAD_PER_S,
        };
        let mut left = per_s * STEP_MS as f64 / 1_000.0;
        while left > 0.0 {
            if self.random.random::<f64>() < left {
                self.request();
            }
            left -= 1.0;
        }
        for index in 0..self.boxes.len() {
            if self.is_down(index) {
                continue;
            }
            self.expire_pending(index);
            if self.now.is_multiple_of(TICK_MS) {
                self.boxes[index].quotas.tick(self.now);
            }
            self.send_replies(index);
        }
    }

    /// Updates what the boxes know of each other when the coordinator is missed or found again.
    fn set_boxes(&mut self, is_missed: bool) {
        let boxes = self.boxes.len();
        for index in 0..boxes {
            if self.is_down(index) {
                continue;
            }
            let knows = |other: &usize| {
                let is_apart = (*other == self.coordinator) != (index == self.coordinator);
                !(is_missed && is_apart)
            };
            let known: Vec<QuotaBox> = (0..boxes).filter(knows).map(quota_box).collect();
            let count = known.len();
            self.boxes[index].quotas.set_boxes(known, count, self.now);
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_cut = self.is_faulty(from, Fault::CutOff) || self.is_faulty(to, Fault::CutOff);
        if is_cut || self.random.random::<f64>() < 0.01 {
            return;
        }
        let arrives = self.now + self.random.random_range(2..14);
        self.sent += 1;
        self.in_flight
            .insert((arrives, self.sent), (to, from, message));
    }

    fn send_count(&mut self, from: usize, outgoing: Option<ToCoordinator>) {
        if let Some(ToCoordinator { address, count }) = outgoing {
            self.send(from, index_of(address), Message::Count(count));
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (to, from, message) = entry.remove();
            if self.is_faulty(to, Fault::Dies) {
                continue;
            }
            if self.is_faulty(to, Fault::Suspended) {
                self.sent += 1;
                let key = (FAULT_ENDS_MS, self.sent);
                self.in_flight.insert(key, (to, from, message));
                continue;
            }
            match message {
                Message::Count(count) => self.handle_count(to, from, count),
                Message::Reply(reply) => self.handle_reply(to, from, &reply),
            }
        }
    }

    fn handle_count(&mut self, index: usize, from: usize, mut count: QuotaCount) {
        if self.fault == Fault::OlderBuild && index == self.coordinator {
            count.class = 0;
            count.priority = 0;
            count.max_wait_ms = 0;
            count.withdraw = false;
        }
        let quotas = &mut self.boxes[index].quotas;
        let reply = quotas.handle_count(&count, address(from), LIMIT, self.now);
        if let Some(reply) = reply.filter(|_| count.id != 0) {
            self.send(index, from, Message::Reply(reply));
        }
        self.send_replies(index);
    }

    /// Sends a box's broadcasts and its replies to requests that waited.
    fn send_replies(&mut self, index: usize) {
        for queued in self.boxes[index].quotas.take_grants(self.now) {
            let to = index_of(queued.address);
            if to == index {
                self.handle_reply(index, index, &queued.reply);
            } else {
                self.send(index, to, Message::Reply(queued.reply));
            }
        }
        let broadcasts = self.boxes[index].quotas.take_broadcasts();
        let others: Vec<SocketAddr> = self.boxes[index].quotas.others().collect();
        for reply in broadcasts {
            for other in &others {
                self.send(index, index_of(*other), Message::Reply(reply.clone()));
            }
        }
    }

    fn handle_reply(&mut self, index: usize, from: usize, reply: &QuotaReply) {
        let model_box = &mut self.boxes[index];
        let Some(pending) = model_box.pending.remove(&reply.id) else {
            let quotas = &mut model_box.quotas;
            let outgoing = quotas.handle_reply(reply, address(from), LIMIT, self.now);
            return self.send_count(index, outgoing);
        };
        let random = self.random.random();
        let quotas = &mut model_box.quotas;
        let admission =
            quotas.handle_grant_reply(reply, address(from), pending.class, random, self.now);
        self.apply(index, reply.id, pending, admission);
    }

    fn expire_pending(&mut self, index: usize) {
        let now = self.now;
        let over = |_: &u64, pending: &mut Pending| pending.until <= now;
        let over: Vec<_> = self.boxes[index].pending.extract_if(.., over).collect();
        for (id, mut pending) in over {
            let random = self.random.random();
            let quotas = &mut self.boxes[index].quotas;
            let admission = match pending.queued.take() {
                Some(queued) => {
                    pending.class.max_wait_ms = 0;
                    quotas.handle_wait_end(queued, LIMIT, random, now)
                }
                None => {
                    let query = pending.query.take().unwrap();
                    quotas.handle_timeout(query, LIMIT, pending.is_last, now)
                }
            };
            pending.is_last = true;
            self.apply(index, id, pending, admission);
        }
    }

    fn request(&mut self) {
        let index = self.random.random_range(0..self.boxes.len());
        let mut draw: f64 = self.random.random();
        let kind = KINDS.iter().position(|kind| {
            draw -= kind.share;
            draw < 0.0
        });
        if self.is_down(index) {
            return;
        }
        let kind = kind.unwrap_or(LOOK_UPS);
        self.requests.push((self.now, kind));
        let is_older = self.fault == Fault::OlderBuild && index == self.coordinator;
        let class = if is_older {
            QuotaClass::default()
        } else {
            class_of(kind)
        };
        let (id, random) = (self.random.random(), self.random.random());
        let quotas = &mut self.boxes[index].quotas;
        let admission = quotas.admit(&workspace(), LIMIT, class, id, random, self.now);
        let pending = Pending {
            kind,
            class,
            started_at: self.now,
            until: 0,
            query: None,
            queued: None,
            is_last: false,
        };
        self.apply(index, id, pending, admission);
    }

    fn apply(&mut self, index: usize, id: u64, mut pending: Pending, admission: Admission) {
        match admission {
            Admission::Ask(query) => {
                pending.until = self.now + REPLY_TIMEOUT_MS;
                pending.query = Some(query.clone());
                self.boxes[index].pending.insert(id, pending);
                return self.send_count(index, Some(query));
            }
            Admission::Wait(queued) => {
                self.waited += 1;
                if self.random.random::<f64>() < DISCONNECTED {
                    let quotas = &mut self.boxes[index].quotas;
                    let outgoing = quotas.withdraw(&queued, self.now);
                    return self.send_count(index, outgoing);
                }
                pending.until = queued.until;
                pending.queued = Some(queued);
                self.boxes[index].pending.insert(id, pending);
                return;
            }
            Admission::Send(outgoing) => {
                assert!(self.ran.insert(id), "a request ran twice");
                self.runs.push((self.now, pending.kind));
                self.send_count(index, outgoing);
            }
            Admission::Refuse { retry_after_ms } => assert!(retry_after_ms <= 10_000),
        }
        let elapsed_ms = self.now - pending.started_at;
        let max_ms = class_of(pending.kind).max_wait_ms + MAX_EXCESS_MS;
        let was_suspended = self.fault == Fault::Suspended && index == self.coordinator;
        assert!(
            elapsed_ms <= max_ms || was_suspended,
            "{elapsed_ms} ms to a decision"
        );
    }

    /// Returns the largest number of requests in any span of the window's length.
    fn max_in_window(&self) -> usize {
        let window_ms = (BOUNDS.window_s * 1_000.0) as u64;
        let runs_from = |first: usize| {
            let until = self.runs[first].0 + window_ms;
            self.runs.partition_point(|(ran_at, _)| *ran_at <= until) - first
        };
        (0..self.runs.len()).map(runs_from).max().unwrap_or(0)
    }

    pub(crate) fn assert_within_bound(&self) {
        let allowed = LIMIT.rate_per_s * BOUNDS.window_s + LIMIT.burst + BOUNDS.overage(LIMIT);
        let max_runs = self.max_in_window();
        assert!(
            max_runs as f64 <= allowed,
            "{max_runs} requests, of {allowed} allowed"
        );
    }
}
