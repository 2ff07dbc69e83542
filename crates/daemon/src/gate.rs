//! Admission of requests to the slots of one service.
//!
//! A request that finds no slot waits a short, bounded time in a bounded queue:
//! a loan from a neighbour takes about a round trip. Then it is told no, unless
//!
//! * the queue has been empty lately: requests that run longer than usual for a moment fill a
//!   queue that empties again, while the queue of an overloaded service stands, or
//! * slots are idle and only the warming up of upstreams withholds them: these soon take one more.

use crate::control::Command;
use crate::service::ServiceRuntime;
use brasswinch_decide::health::{UpstreamHealth, UpstreamReport};
use brasswinch_decide::retry_budget::RetryBudget;
use brasswinch_decide::slots::{HoldBack, Loan, LoanTerms, Returned, SlotCounts, SlotPool};
use brasswinch_observe::{Event, emit_about};
use brasswinch_types::{BoxId, ErrorKind, Millis, UnitTable};
use std::collections::{BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};

use crate::clock::Clock;

/// Least time between two requests for loans of one service, and the time after which a request
/// that still waits asks again. It doubles with each time.
const ASK_INTERVAL_MS: Millis = 10;

/// How long a queue must have been non-empty to count as overload. Until then its requests wait on.
///
/// Requests that ran for some 100 ms instead of 5 ms on a busy machine made a service far below its
/// load refuse others.
const STANDING_QUEUE_MS: Millis = 1_000;

/// Borrowed slots are kept this long after the last request that needed one.
const KEEP_BORROWED_MS: Millis = 500;

/// The right to run one request on one upstream. Dropping it frees the slot.
pub(crate) struct Permit {
    service: Arc<ServiceRuntime>,
    slot: u32,
    /// Index into the service's upstreams.
    pub(crate) upstream: usize,
    send_before: Option<Millis>,
}

impl Permit {
    /// Whether work may still be sent under it.
    ///
    /// Asked again right before sending: the process may have been paused since
    /// the slot was given, past the end of a loan.
    pub(crate) fn may_send(&self, now: Millis) -> bool {
        self.send_before.is_none_or(|before| now < before)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.service
            .gate
            .finish(&self.service, self.slot, self.upstream);
    }
}

struct Waiter {
    answer: oneshot::Sender<Permit>,
}

struct State {
    pool: SlotPool,
    health: Vec<UpstreamHealth>,
    /// Upstreams that slots are spread over: all but the announced leavers.
    eligible: Vec<usize>,
    slots_per_upstream: u32,
    waiting: VecDeque<Waiter>,
    /// Since when the queue has not been empty.
    queued_since: Option<Millis>,
    budget: RetryBudget,
    asked_at: Millis,
    wanted_at: Millis,
    /// When work on a slot last ended.
    freed_at: Millis,
    closed: bool,
}

fn report_missing_slot(service: &ServiceRuntime, state: &State, now: Millis, waited: Duration) {
    let SlotCounts {
        held,
        idle,
        busy,
        borrowed,
        loaned,
    } = state.pool.counts(now);
    let (waited_ms, waiting) = (waited.as_millis(), state.waiting.len());
    let asked_ms = now.saturating_sub(state.asked_at);
    let freed_ms = now.saturating_sub(state.freed_at);
    emit_about(
        Event::SlotMissing,
        &service.key,
        format_args!(
            "service={} waited_ms={waited_ms} held={held} idle={idle} busy={busy} \
             borrowed={borrowed} lent={loaned} waiting={waiting} asked_ms_ago={asked_ms} \
             freed_ms_ago={freed_ms}",
            service.key
        ),
    );
}

/// The gate of one service.
pub(crate) struct Gate {
    state: Mutex<State>,
    clock: Clock,
    commands: mpsc::UnboundedSender<Command>,
    most_waiting: usize,
    queue_wait: Duration,
}

/// What a gate is made from.
pub(crate) struct GateSettings {
    pub(crate) me: BoxId,
    pub(crate) first_loan: u64,
    pub(crate) upstreams: usize,
    pub(crate) slots_per_upstream: u32,
    pub(crate) most_waiting: usize,
    pub(crate) queue_wait: Duration,
}

impl Gate {
    /// A gate that lets nothing through until it gets a load and units.
    pub(crate) fn new(
        settings: GateSettings,
        clock: Clock,
        commands: mpsc::UnboundedSender<Command>,
    ) -> Self {
        let terms = LoanTerms {
            term_ms: 0,
            max_run_ms: 0,
            margin_ms: 0,
        };
        Self {
            state: Mutex::new(State {
                pool: SlotPool::new(settings.me, terms, settings.first_loan),
                health: vec![UpstreamHealth::default(); settings.upstreams],
                eligible: (0..settings.upstreams).collect(),
                slots_per_upstream: settings.slots_per_upstream,
                waiting: VecDeque::new(),
                queued_since: None,
                budget: RetryBudget::default(),
                asked_at: 0,
                wanted_at: 0,
                freed_at: 0,
                closed: false,
            }),
            clock,
            commands,
            most_waiting: settings.most_waiting,
            queue_wait: settings.queue_wait,
        }
    }

    /// Waits for a slot, at most until the queue's wait or `until` has passed.
    pub(crate) async fn acquire(
        &self,
        service: &Arc<ServiceRuntime>,
        until: Millis,
    ) -> Result<Permit, ErrorKind> {
        let receiver = {
            let mut state = self.lock();
            let now = self.clock.now();
            if state.closed {
                return Err(ErrorKind::BoxLeaving);
            }
            state.budget.earn();
            state.remove_abandoned();
            if state.waiting.is_empty()
                && let Some(permit) = state.admit(service, now)
            {
                return Ok(permit);
            }
            self.want_loan(&mut state, service, now);
            if state.waiting.len() >= self.most_waiting {
                report_missing_slot(service, &state, now, Duration::ZERO);
                return Err(ErrorKind::AtCapacity);
            }
            let (answer, receiver) = oneshot::channel();
            state.waiting.push_back(Waiter { answer });
            state.queued_since.get_or_insert(now);
            receiver
        };
        self.wait(service, until, receiver).await
    }

    /// Waits for the slot that `receiver` brings: the queue's wait, on until the queue counts as
    /// standing, and where idle slots are withheld only while upstreams warm up, until one of these
    /// takes more.
    async fn wait(
        &self,
        service: &Arc<ServiceRuntime>,
        until: Millis,
        mut receiver: oneshot::Receiver<Permit>,
    ) -> Result<Permit, ErrorKind> {
        let began = Instant::now();
        let mut wait = self.queue_wait;
        let mut is_last = false;
        loop {
            let left = Duration::from_millis(until.saturating_sub(self.clock.now()));
            let received = self.receive(service, &mut receiver, wait.min(left));
            if let Some(result) = received.await {
                return result;
            }
            // A slot that is ready by now is known to nobody yet.
            let (warm_up_ms, standing_ms) = self.change(service, |state, now| {
                (state.warm_up_wait_ms(now), state.standing_wait_ms(now))
            });
            if let Ok(permit) = receiver.try_recv() {
                return Ok(permit);
            }
            if is_last || self.clock.now() >= until {
                break;
            }
            let wait_ms = match (standing_ms, warm_up_ms) {
                (Some(standing_ms), Some(warmer_ms)) => standing_ms.min(warmer_ms.max(1)),
                (Some(standing_ms), None) => standing_ms,
                (None, Some(warmer_ms)) => {
                    is_last = true;
                    warmer_ms
                }
                (None, None) => break,
            };
            wait = Duration::from_millis(wait_ms);
        }
        // After this nobody can bring a slot any more. The receiver is dropped before the lock is
        // taken, since dropping a permit takes it too.
        receiver.close();
        if let Ok(permit) = receiver.try_recv() {
            return Ok(permit);
        }
        drop(receiver);
        let mut state = self.lock();
        let now = self.clock.now();
        state.remove_abandoned();
        report_missing_slot(service, &state, now, began.elapsed());
        Err(ErrorKind::AtCapacity)
    }

    /// Waits for what `receiver` brings, at most for `wait`; `None` if it brings nothing.
    ///
    /// Asks for loans again meanwhile: a burst's first request asks for itself alone, and a lender
    /// grants half of its idle slots at a time.
    async fn receive(
        &self,
        service: &Arc<ServiceRuntime>,
        receiver: &mut oneshot::Receiver<Permit>,
        wait: Duration,
    ) -> Option<Result<Permit, ErrorKind>> {
        let end = Instant::now() + wait;
        let mut ask_after = Duration::from_millis(ASK_INTERVAL_MS);
        loop {
            let left = end.saturating_duration_since(Instant::now());
            match tokio::time::timeout(ask_after.min(left), &mut *receiver).await {
                Ok(Ok(permit)) => return Some(Ok(permit)),
                Ok(Err(_)) => return Some(Err(ErrorKind::BoxLeaving)),
                Err(_) => {}
            }
            if Instant::now() >= end {
                return None;
            }
            let now = self.clock.now();
            self.want_loan(&mut self.lock(), service, now);
            ask_after *= 2;
        }
    }

    /// Takes one retry out of the budget.
    pub(crate) fn may_retry(&self) -> bool {
        self.lock().budget.spend()
    }

    /// Takes a new plan.
    pub(crate) fn set_plan(
        &self,
        service: &Arc<ServiceRuntime>,
        zone_load: u32,
        terms: LoanTerms,
        announced: &[bool],
        table: &UnitTable,
        hold_back: HoldBack,
    ) {
        self.change(service, |state, now| {
            for (health, leaving) in state.health.iter_mut().zip(announced) {
                health.set_config_leaving(*leaving, now);
            }
            state.eligible = (0..announced.len()).filter(|i| !announced[*i]).collect();
            let capacity = state.eligible.len() as u32 * state.slots_per_upstream;
            let load = zone_load.min(capacity);
            state.pool.set_load(load, terms, table, hold_back, now);
        });
    }

    /// Takes a new unit table.
    pub(crate) fn set_table(
        &self,
        service: &Arc<ServiceRuntime>,
        table: &UnitTable,
        hold_back: HoldBack,
    ) {
        self.change(service, |state, now| {
            state.pool.set_table(table, hold_back, now);
        });
    }

    /// Lends to a neighbour.
    pub(crate) fn lend(&self, borrower: &BoxId, want: u32) -> Vec<Loan> {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.closed || !state.waiting.is_empty() {
            return Vec::new();
        }
        state.pool.lend(borrower, want, now)
    }

    /// Takes a neighbour's loans; returns those that can't be used.
    pub(crate) fn borrow(
        &self,
        service: &Arc<ServiceRuntime>,
        lender: &BoxId,
        loans: &[Loan],
        asked_at: Millis,
    ) -> Vec<Returned> {
        self.change(service, |state, now| {
            if state.closed {
                let give_back = |loan: &Loan| Returned {
                    lender: lender.clone(),
                    loan: *loan,
                };
                return loans.iter().map(give_back).collect();
            }
            state.pool.borrow(lender, loans, asked_at, now)
        })
    }

    /// Takes a returned loan.
    pub(crate) fn take_back(&self, service: &Arc<ServiceRuntime>, borrower: &BoxId, loan: Loan) {
        self.change(service, |state, _| state.pool.take_back(borrower, loan));
    }

    /// Hands back what a neighbour lent that is leaving or needs it, as far as it is idle.
    pub(crate) fn recall(&self, lender: &BoxId) -> Vec<Returned> {
        self.lock().pool.recall(lender)
    }

    /// The neighbours that hold slots on loan from this box.
    pub(crate) fn borrowers(&self) -> BTreeSet<BoxId> {
        self.lock().pool.borrowers()
    }

    /// The slots in use on loan from `lender`.
    pub(crate) fn in_use_from(&self, lender: &BoxId) -> Vec<u32> {
        self.lock().pool.in_use_from(lender)
    }

    /// Ends the holding back of slots that nobody reported in use.
    pub(crate) fn release_held_back(&self, service: &Arc<ServiceRuntime>, in_use: &[u32]) {
        self.change(service, |state, _| state.pool.release_held_back(in_use));
    }

    /// Whether a unit's slots are all at rest here.
    pub(crate) fn unit_is_unused(&self, unit: usize) -> bool {
        self.lock().pool.unit_is_unused(unit)
    }

    /// Lets nothing more through. Work in flight goes on.
    pub(crate) fn close(&self) {
        let waiting = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.waiting)
        };
        drop(waiting);
    }

    /// Counts the slots.
    pub(crate) fn counts(&self) -> SlotCounts {
        let now = self.clock.now();
        self.lock().pool.counts(now)
    }

    /// Regular work: serves waiters whose slot came free by time, returns loans that
    /// are not needed, asks for some where all are in use.
    pub(crate) fn tick(&self, service: &Arc<ServiceRuntime>) -> Vec<Returned> {
        self.change(service, |state, now| {
            let keep = now.saturating_sub(state.wanted_at) < KEEP_BORROWED_MS && !state.closed;
            let returned = state.pool.return_idle(keep, now);
            if !state.waiting.is_empty() {
                self.want_loan(state, service, now);
            }
            returned
        })
    }

    /// Updates the known state of an upstream.
    pub(crate) fn update_health(
        &self,
        upstream: usize,
        update: impl FnOnce(&mut UpstreamHealth, Millis),
    ) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(health) = state.health.get_mut(upstream) {
            update(health, now);
        }
    }

    /// Applies an upstream's own report. Returns whether it newly announced that it is leaving.
    pub(crate) fn report(&self, upstream: usize, report: UpstreamReport) -> bool {
        let mut state = self.lock();
        let Some(health) = state.health.get_mut(upstream) else {
            return false;
        };
        let before = health.is_leaving();
        health.report(report);
        !before && health.is_leaving()
    }

    /// The known state of each upstream.
    pub(crate) fn health(&self) -> Vec<UpstreamHealth> {
        self.lock().health.clone()
    }

    fn finish(&self, service: &Arc<ServiceRuntime>, slot: u32, upstream: usize) {
        let returned = self.change(service, |state, now| {
            state.freed_at = now;
            if let Some(health) = state.health.get_mut(upstream) {
                health.finished();
            }
            state.pool.finish(slot, now)
        });
        if let Some(returned) = returned {
            let _ = self.commands.send(Command::ReturnLoan {
                service: service.key.clone(),
                returned,
            });
        }
    }

    /// Changes the state, then serves waiters. Permits that nobody waits for any more
    /// are dropped after the lock, because dropping one takes it again.
    fn change<T>(
        &self,
        service: &Arc<ServiceRuntime>,
        change: impl FnOnce(&mut State, Millis) -> T,
    ) -> T {
        let mut unclaimed = Vec::new();
        let result = {
            let mut state = self.lock();
            let now = self.clock.now();
            let result = change(&mut state, now);
            state.serve_waiters(service, now, &mut unclaimed);
            result
        };
        drop(unclaimed);
        result
    }

    fn want_loan(&self, state: &mut State, service: &Arc<ServiceRuntime>, now: Millis) {
        state.wanted_at = now;
        if now.saturating_sub(state.asked_at) < ASK_INTERVAL_MS {
            return;
        }
        state.asked_at = now;
        let want = state.waiting.len() as u32 + 1;
        let _ = self.commands.send(Command::WantLoan {
            service: service.key.clone(),
            want,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn admit(&mut self, service: &Arc<ServiceRuntime>, now: Millis) -> Option<Permit> {
        if self.eligible.is_empty() {
            return None;
        }
        let (eligible, health) = (&self.eligible, &self.health);
        let per_upstream = self.slots_per_upstream;
        let upstream_of = |slot: u32| eligible[slot as usize % eligible.len()];
        let cost = |slot: u32| health.get(upstream_of(slot))?.cost(per_upstream, now);
        let grant = self.pool.admit(now, cost)?;
        let upstream = upstream_of(grant.slot);
        if let Some(health) = self.health.get_mut(upstream) {
            health.started(now);
        }
        Some(Permit {
            service: Arc::clone(service),
            slot: grant.slot,
            upstream,
            send_before: grant.send_before,
        })
    }

    /// How long it takes until an upstream that is warming up takes one more request, in
    /// milliseconds, where there is an idle slot for it.
    fn warm_up_wait_ms(&self, now: Millis) -> Option<Millis> {
        if self.pool.counts(now).idle == 0 {
            return None;
        }
        let eligible = self.eligible.iter();
        let warming = eligible
            .filter_map(|upstream| self.health.get(*upstream))
            .filter_map(|health| health.warm_up_wait_ms(self.slots_per_upstream, now));
        warming.min()
    }

    /// How long it takes until the queue counts as standing, in milliseconds.
    fn standing_wait_ms(&self, now: Millis) -> Option<Millis> {
        let since = self.queued_since?;
        let left = (since + STANDING_QUEUE_MS).saturating_sub(now);
        (left > 0).then_some(left)
    }

    /// Takes requests out of the queue that wait no longer. Left in, they would be counted against
    /// the queue's bound and have slots borrowed for them.
    fn remove_abandoned(&mut self) {
        self.waiting.retain(|waiter| !waiter.answer.is_closed());
        if self.waiting.is_empty() {
            self.queued_since = None;
        }
    }

    fn serve_waiters(
        &mut self,
        service: &Arc<ServiceRuntime>,
        now: Millis,
        unclaimed: &mut Vec<Permit>,
    ) {
        self.remove_abandoned();
        while !self.waiting.is_empty() {
            let Some(permit) = self.admit(service, now) else {
                return;
            };
            let Some(waiter) = self.waiting.pop_front() else {
                unclaimed.push(permit);
                return;
            };
            if let Err(permit) = waiter.answer.send(permit) {
                unclaimed.push(permit);
            }
        }
        self.queued_since = None;
    }
}
