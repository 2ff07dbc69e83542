//! The replay itself: events in order of time.

use super::fleet::Fleet;
use super::network::{Place, way_ms};
use super::objects::{Objects, pause_ms};
use super::outcome::{GOAL_MS, Outcome, WINDOW_S, WindowOutcome, WorkspaceOutcome};
use super::pattern::{Disturbance, LoadPattern, REGIONS};
use super::upstream::{Begun, Job, Upstream};
use brasswinch_routing::{
    Advice, Choice, CompletionReport, LoadReport, Rank, Refusal, RegionLimits, UpstreamOutcome,
    UpstreamRequest, object_hash,
};
use brasswinch_types::{BoxId, Millis, UpstreamId, Workspace};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashSet};
use std::f64::consts::TAU;

/// How far the rate of a region's callers swings, as a part of its mean.
const SWING: f64 = 0.55;

/// How long a swing takes, in seconds.
const SWING_S: f64 = 36.0;

/// When the first request comes: boxes count from 1, and know of no time before.
const START_MS: f64 = 1_000.0;

/// Longest time that a request may take.
const DEADLINE_MS: f64 = 6_000.0;

/// Interval at which boxes receive the demand of callers.
const DEMAND_MS: f64 = 2_000.0;

/// How a decision knows the load of upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// Each box goes by its own requests and by what upstreams answer it.
    Own,
    /// Each box first queries the upstream's coordinator.
    Keeper,
    /// The same, but so many of 100 questions are not answered.
    LossyKeeper(u32),
}

#[derive(Clone, Debug)]
enum Event {
    /// Callers of a region send a request, and the next one follows.
    Arrival { region: usize },
    /// A refused caller comes back.
    Return { request: usize },
    /// A request reaches its upstream.
    Reaches { request: usize, upstream: usize },
    /// An upstream is done with one.
    Done { job: Job, upstream: usize },
    /// An answer reaches its box.
    Answered {
        request: usize,
        outcome: UpstreamOutcome,
        report: LoadReport,
    },
    /// Boxes receive the demand of callers.
    Demand,
    /// A box starts again.
    Restart { number: usize },
    /// The speed of a machine changes.
    Speed { machine: usize, is_slow: bool },
    /// One of the pattern's disturbances begins.
    Disturb { index: usize },
}

/// An event with its time in microseconds; the number keeps the order of equal times.
struct Due {
    at_us: u64,
    number: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at_us, self.number).cmp(&(other.at_us, other.number))
    }
}

/// A request on its way.
struct Request {
    object: u64,
    sent_ms: f64,
    at_box: usize,
    origin: usize,
    workspace: Option<usize>,
    comebacks: u32,
    tried: Vec<UpstreamId>,
    choice: Option<Choice>,
    /// The box that counts it, and the question's number.
    keeper: Option<(BoxId, u64)>,
    was_known: bool,
}

struct Play {
    pattern: LoadPattern,
    knowledge: Knowledge,
    fleet: Fleet,
    upstreams: Vec<Upstream>,
    runs: Vec<u32>,
    objects: Vec<Objects>,
    workspaces: Vec<Workspace>,
    requests: Vec<Request>,
    run_before: HashSet<u64>,
    queue: BinaryHeap<Reverse<Due>>,
    numbers: u64,
    now_ms: f64,
    random: StdRng,
    outcome: Outcome,
}

/// Replays `pattern`; the same seed gives the same replay.
pub fn play(pattern: &LoadPattern, knowledge: Knowledge, seed: u64) -> Outcome {
    let mut play = Play::new(pattern.clone(), knowledge, seed);
    play.run();
    play.outcome.busiest = play.runs.iter().copied().max().unwrap_or(0);
    play.outcome.runs = (play.runs.iter().sum(), play.runs.len());
    play.outcome
}

impl Play {
    fn new(pattern: LoadPattern, knowledge: Knowledge, seed: u64) -> Self {
        let fleet = Fleet::new(&pattern);
        let count = fleet.upstream_places.len();
        let objects = pattern.objects_per_upstream * count as f64 / REGIONS.len() as f64;
        let objects = objects as usize;
        let of_region = |region: usize| Objects::new((region * objects) as u64, objects);
        let workspaces = pattern.workspaces.map_or(0, |loads| loads.count);
        let windows = (pattern.length_s / WINDOW_S).ceil() as usize;
        Self {
            knowledge,
            upstreams: vec![Upstream::default(); count],
            runs: vec![0; count],
            objects: (0..REGIONS.len()).map(of_region).collect(),
            workspaces: (0..workspaces)
                .map(|number| Workspace::new(format!("w{number}")))
                .collect(),
            requests: Vec::new(),
            run_before: HashSet::new(),
            queue: BinaryHeap::new(),
            numbers: 0,
            now_ms: START_MS,
            random: StdRng::seed_from_u64(seed),
            outcome: Outcome {
                windows: vec![WindowOutcome::default(); windows],
                workspaces: vec![WorkspaceOutcome::default(); workspaces],
                ..Outcome::default()
            },
            fleet,
            pattern,
        }
    }

    fn run(&mut self) {
        for region in 0..REGIONS.len() {
            self.after(0.0, Event::Arrival { region });
        }
        self.after(DEMAND_MS, Event::Demand);
        if let Some(speeds) = self.pattern.speeds {
            for machine in 0..self.upstreams.len().div_ceil(speeds.per_machine) {
                self.change_speed(machine, false);
            }
        }
        for index in 0..self.pattern.disturbances.len() {
            match self.pattern.disturbances[index] {
                Disturbance::ColdZone { at_s, .. } => {
                    self.after(at_s * 1_000.0, Event::Disturb { index });
                }
                Disturbance::BoxesRestart { at_s, for_s, part } => {
                    self.plan_restarts(at_s, for_s, part);
                }
                Disturbance::Burst { .. } | Disturbance::CallersMove { .. } => {}
            }
        }
        while let Some(Reverse(due)) = self.queue.pop() {
            self.now_ms = due.at_us as f64 / 1_000.0;
            self.happen(due.event);
        }
    }

    fn after(&mut self, wait_ms: f64, event: Event) {
        self.numbers += 1;
        self.queue.push(Reverse(Due {
            at_us: ((self.now_ms + wait_ms) * 1_000.0) as u64,
            number: self.numbers,
            event,
        }));
    }

    fn now(&self) -> Millis {
        self.now_ms as Millis
    }

    fn played_s(&self) -> f64 {
        (self.now_ms - START_MS) / 1_000.0
    }

    fn is_over(&self) -> bool {
        self.played_s() >= self.pattern.length_s
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Arrival { region } => self.arrive(region),
            Event::Return { request } => self.come_back(request),
            Event::Reaches { request, upstream } => self.reach(request, upstream),
            Event::Done { job, upstream } => self.done(job, upstream),
            Event::Answered {
                request,
                outcome,
                report,
            } => self.answered(request, outcome, report),
            Event::Demand if !self.is_over() => {
                let rates: Vec<f64> = (0..REGIONS.len()).map(|at| self.per_s(at)).collect();
                self.fleet.tell_demand(&rates);
                self.after(DEMAND_MS, Event::Demand);
            }
            Event::Demand => {}
            Event::Restart { number } => self.fleet.restart(number, self.now()),
            Event::Speed { .. } if self.is_over() => {}
            Event::Speed { machine, is_slow } => self.change_speed(machine, is_slow),
            Event::Disturb { index } => self.disturb(index),
        }
    }

    fn change_speed(&mut self, machine: usize, is_slow: bool) {
        let Some(speeds) = self.pattern.speeds else {
            return;
        };
        let percent = if is_slow { speeds.slow_percent } else { 100 };
        let upstreams = self.upstreams.iter_mut();
        let of_machine = upstreams.skip(machine * speeds.per_machine);
        for upstream in of_machine.take(speeds.per_machine) {
            upstream.set_duration(percent, speeds.are_reported);
        }
        let wait_ms = pause_ms(1_000.0 / speeds.mean_ms(is_slow), &mut self.random);
        let is_slow = !is_slow;
        self.after(wait_ms, Event::Speed { machine, is_slow });
    }

    fn plan_restarts(&mut self, at_s: f64, for_s: f64, part: f64) {
        let count = (self.fleet.boxes.len() as f64 * part) as usize;
        for number in 0..count {
            let wait_s = at_s + for_s * number as f64 / count as f64;
            self.after(wait_s * 1_000.0, Event::Restart { number });
        }
    }

    fn disturb(&mut self, index: usize) {
        if let Disturbance::ColdZone { region, .. } = self.pattern.disturbances[index] {
            for upstream in self.fleet.chill(region, self.now()) {
                self.upstreams[upstream].forget();
            }
        }
    }

    /// Requests a second that callers of a region send now.
    fn per_s(&self, region: usize) -> f64 {
        let workspaces = self.pattern.workspaces;
        let load_factor = workspaces.map_or(1.0, |loads| loads.load_factor());
        let all = self.pattern.per_upstream * self.upstreams.len() as f64 * load_factor;
        let phase = region as f64 / REGIONS.len() as f64;
        let swing = 1.0 + SWING * (TAU * (self.played_s() / SWING_S + phase)).sin();
        let played_s = self.played_s();
        let factor = |disturbance: &Disturbance| match disturbance {
            Disturbance::Burst {
                at_s,
                for_s,
                factor,
            } if (*at_s..at_s + for_s).contains(&played_s) => *factor,
            _ => 1.0,
        };
        let factors = self.pattern.disturbances.iter().map(factor);
        all / REGIONS.len() as f64 * swing * factors.product::<f64>()
    }

    /// Where callers of `origin` send their requests now.
    fn called_region(&mut self, origin: usize) -> usize {
        let drawn: f64 = self.random.random();
        let played_s = self.played_s();
        let mut disturbances = self.pattern.disturbances.iter();
        let moved = disturbances.find_map(|disturbance| match disturbance {
            Disturbance::CallersMove {
                at_s,
                for_s,
                part,
                from,
                to,
            } if *from == origin && (*at_s..at_s + for_s).contains(&played_s) && drawn < *part => {
                Some(*to)
            }
            _ => None,
        });
        moved.unwrap_or(origin)
    }

    /// A box of the region, any of which may be called.
    fn some_box(&mut self, region: usize) -> usize {
        let regions = REGIONS.len();
        let count = (self.fleet.boxes.len() + regions - 1 - region) / regions;
        self.random.random_range(0..count) * regions + region
    }

    fn arrive(&mut self, origin: usize) {
        if self.is_over() {
            return;
        }
        let pause = pause_ms(self.per_s(origin), &mut self.random);
        self.after(pause, Event::Arrival { region: origin });
        let called = self.called_region(origin);
        let at_box = self.some_box(called);
        let object = self.objects[origin].draw(&mut self.random);
        let window = self.window(self.now_ms);
        self.outcome.windows[window].requests += 1;
        let workspace = match self.pattern.workspaces {
            Some(loads) => Some(loads.draw(self.random.random())),
            None => None,
        };
        if let Some(workspace) = workspace {
            self.outcome.workspaces[workspace].requests += 1;
        }
        self.requests.push(Request {
            object,
            sent_ms: self.now_ms,
            at_box,
            origin,
            workspace,
            comebacks: 0,
            tried: Vec::new(),
            choice: None,
            keeper: None,
            was_known: false,
        });
        self.decide(self.requests.len() - 1);
    }

    fn come_back(&mut self, request: usize) {
        let origin = self.requests[request].origin;
        let called = self.called_region(origin);
        self.requests[request].at_box = self.some_box(called);
        self.decide(request);
    }

    fn window(&self, sent_ms: f64) -> usize {
        let window = (sent_ms - START_MS) / 1_000.0 / WINDOW_S;
        (window as usize).min(self.outcome.windows.len() - 1)
    }

    /// The box decides where the request goes.
    fn decide(&mut self, request: usize) {
        let now = self.now();
        let held = &self.requests[request];
        let (at_box, object) = (held.at_box, held.object.to_le_bytes());
        let (tried, anywhere) = (held.tried.clone(), BTreeSet::new());
        let service = self.fleet.service.clone();
        let loads = self.pattern.workspaces;
        let workspace = held
            .workspace
            .filter(|_| loads.is_some_and(|loads| loads.are_known))
            .map(|workspace| self.workspaces[workspace].clone());
        let wanted = UpstreamRequest {
            service: &service,
            object: Some(&object),
            workspace: workspace.as_ref(),
            rank: Rank::default(),
            regions: RegionLimits {
                route: &anywhere,
                workspace: None,
            },
            tried: &tried,
        };
        let asked = self.ask(request, &wanted, now);
        let (keeper, advice) =
            asked.map_or((None, None), |(keeper, advice)| (Some(keeper), advice));
        let random = self.random.random();
        let placement = &mut self.fleet.boxes[at_box].placement;
        let chosen = placement.choose_advised(&wanted, advice.as_ref(), random, now);
        self.requests[request].keeper = keeper;
        match chosen {
            Ok(choice) => {
                let upstream = self.fleet.upstreams[&choice.upstream];
                let advised = advice.filter(|advice| advice.upstream == choice.upstream);
                self.note_error(
                    &choice,
                    upstream,
                    advised.map(|advice| f64::from(advice.fullness)),
                );
                let way = self.way(request, upstream);
                self.requests[request].choice = Some(choice);
                self.after(way, Event::Reaches { request, upstream });
            }
            Err(refusal) => {
                self.tell_keeper(request, None, UpstreamOutcome::Abandoned, None);
                self.refuse(request, &refusal);
            }
        }
    }

    /// Queries the coordinator of the object's home, if boxes do so.
    fn ask(
        &mut self,
        request: usize,
        wanted: &UpstreamRequest<'_>,
        now: Millis,
    ) -> Option<((BoxId, u64), Option<Advice>)> {
        let lost_of_100 = match self.knowledge {
            Knowledge::Own => return None,
            Knowledge::Keeper => 0,
            Knowledge::LossyKeeper(lost) => lost,
        };
        if !wanted.tried.is_empty() {
            return None;
        }
        self.numbers += 1;
        let id = self.numbers;
        let at_box = self.requests[request].at_box;
        let left_ms = DEADLINE_MS as Millis;
        let placement = &mut self.fleet.boxes[at_box].placement;
        let (keeper, advice_query) = placement.advice_query(wanted, id, left_ms, now)?;
        let is_lost = self.random.random_range(0..100) < lost_of_100;
        let asked = self.fleet.by_id[&keeper];
        let advice = if is_lost {
            None
        } else {
            self.fleet.boxes[asked].placement.advise(&advice_query, now)
        };
        Some(((keeper, id), advice))
    }

    fn note_error(&mut self, choice: &Choice, upstream: usize, advised: Option<f64>) {
        let own = choice.basis.home.as_ref();
        let own = own.filter(|home| home.upstream == choice.upstream);
        let Some(taken_for) = advised.or(own.map(|home| home.fullness)) else {
            return;
        };
        let error = (taken_for - self.upstreams[upstream].fullness()).abs();
        self.outcome.load_error.0 += error;
        self.outcome.load_error.1 += 1;
    }

    fn refuse(&mut self, request: usize, refusal: &Refusal) {
        self.outcome.refused += 1;
        let is_final = self.requests[request].comebacks > 0;
        if let Some(workspace) = self.requests[request].workspace {
            let outcome = &mut self.outcome.workspaces[workspace];
            outcome.refusals += 1;
            outcome.given_up += u32::from(is_final);
        }
        let Refusal::Busy { retry_after_ms, .. } = refusal else {
            return;
        };
        let held = &mut self.requests[request];
        if held.comebacks == 0 {
            held.comebacks += 1;
            held.tried.clear();
            self.after(*retry_after_ms as f64, Event::Return { request });
        }
    }

    fn way(&self, request: usize, upstream: usize) -> f64 {
        let from: Place = self.fleet.boxes[self.requests[request].at_box].place;
        way_ms(from, self.fleet.upstream_places[upstream])
    }

    fn reach(&mut self, request: usize, upstream: usize) {
        let job = Job {
            request,
            object: self.requests[request].object,
        };
        let random = self.random.random();
        match self.upstreams[upstream].take(job, random) {
            Some(begun) => {
                self.runs[upstream] += 1;
                self.begin(begun, upstream);
            }
            None => {
                self.outcome.shed += 1;
                self.answer(request, upstream, UpstreamOutcome::Shed);
            }
        }
    }

    fn begin(&mut self, begun: Option<Begun>, upstream: usize) {
        let Some(begun) = begun else {
            return;
        };
        let is_first = self.run_before.insert(begun.job.object);
        self.requests[begun.job.request].was_known = begun.is_known;
        if is_first {
            self.outcome.first_runs += 1;
        } else if !begun.is_known {
            self.outcome.copies += 1;
        }
        let job = begun.job;
        self.after(begun.work_ms, Event::Done { job, upstream });
    }

    fn done(&mut self, job: Job, upstream: usize) {
        self.answer(job.request, upstream, UpstreamOutcome::Answered);
        let random = self.random.random();
        let next = self.upstreams[upstream].done(random);
        self.begin(next, upstream);
    }

    fn answer(&mut self, request: usize, upstream: usize, outcome: UpstreamOutcome) {
        let report = self.upstreams[upstream].report();
        let way = self.way(request, upstream);
        self.after(
            way,
            Event::Answered {
                request,
                outcome,
                report,
            },
        );
    }

    fn answered(&mut self, request: usize, outcome: UpstreamOutcome, report: LoadReport) {
        let now = self.now();
        let Some(choice) = self.requests[request].choice.take() else {
            return;
        };
        let at_box = self.requests[request].at_box;
        let placement = &mut self.fleet.boxes[at_box].placement;
        placement.reported(&choice, report, now);
        placement.ended(&choice, outcome, now);
        let upstream = Some(choice.upstream.clone());
        self.tell_keeper(request, upstream, outcome, Some(report));
        if outcome != UpstreamOutcome::Answered {
            let tried = &mut self.requests[request].tried;
            tried.push(choice.upstream);
            if tried.len() < 2 {
                self.decide(request);
            }
            return;
        }
        self.count(request, &choice);
    }

    fn count(&mut self, request: usize, choice: &Choice) {
        let held = &self.requests[request];
        let took_ms = self.now_ms - held.sent_ms;
        let ran = self.fleet.upstream_places[self.fleet.upstreams[&choice.upstream]];
        if ran.region != held.origin {
            self.outcome.elsewhere += 1;
        }
        let window = self.window(held.sent_ms);
        if took_ms <= GOAL_MS {
            self.outcome.windows[window].in_time += 1;
        } else if took_ms <= DEADLINE_MS {
            self.outcome.windows[window].late += 1;
            self.outcome.late_at_known += u32::from(held.was_known);
        }
    }

    fn tell_keeper(
        &mut self,
        request: usize,
        upstream: Option<UpstreamId>,
        outcome: UpstreamOutcome,
        report: Option<LoadReport>,
    ) {
        let Some((keeper, id)) = self.requests[request].keeper.take() else {
            return;
        };
        let object = self.requests[request].object.to_le_bytes();
        let ending = CompletionReport {
            started: None,
            id,
            service: self.fleet.service.clone(),
            object: object_hash(self.fleet.service.as_str(), &object),
            upstream,
            outcome,
            report,
        };
        let now = self.now();
        let keeper = self.fleet.by_id[&keeper];
        let placement = &mut self.fleet.boxes[keeper].placement;
        placement.record_completion(&ending, now);
    }
}
