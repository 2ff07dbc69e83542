//! Stand-in of the store that holds configuration and upstreams, in memory.
//!
//! It keeps revisions and a history, and does wrong what the real one may: it turns a box
//! away, forgets its history, and loses the answers of watches.

use brasswinch_edge::{
    BoxRegistry, FleetSizeStore, FleetStore, LeaseId, OnReplyStart, QuarantineStore, Registration,
    StoreFailure, WatchReply,
};
use brasswinch_routing::{
    Change, ChangeKey, CrashReport, RequestDigest, Revised, Revision, Scope, Snapshot, StoreEra,
};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

#[derive(Default)]
struct State {
    revision: u64,
    entries: BTreeMap<ChangeKey, Revised>,
    history: Vec<Revised>,
    forgotten: u64,
    calls: u64,
    next_lease: u64,
    registrations: BTreeMap<u64, Registration>,
    quarantine: BTreeMap<RequestDigest, CrashReport>,
    fleet_size: Option<u32>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Notify,
}

/// What one box gets from the store instead of answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// Nothing is wrong.
    #[default]
    None,
    /// Each call fails at once.
    TurnedAway,
    /// Answers to watches are too large to come whole; listings are not.
    LargeWatches,
    /// Calls get no answer, and fail when that has lasted for [`SILENCE`].
    Silent,
    /// The same for watches that wait; calls that don't wait are answered.
    SilentWatches,
}

/// How long a call waits for an answer that doesn't begin.
const SILENCE: Duration = Duration::from_millis(800);

/// One box's access to the store. Clones of [`MemoryStore::handle`] share their data.
#[derive(Clone, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
    fault: Arc<Mutex<StoreFault>>,
    waits: Arc<Mutex<Vec<Duration>>>,
    link: Arc<Mutex<Link>>,
}

/// Faults between the store and one box.
#[derive(Clone, Copy, Debug, Default)]
struct Link {
    /// How long each configuration takes.
    per_config: Duration,
    /// How long each answer is under way.
    per_answer: Duration,
    /// Configurations that came over it.
    configs: usize,
    /// Whether answers to watches end with their first configuration.
    ends_with_config: bool,
}

impl MemoryStore {
    /// Access for another box, with faults of its own.
    pub fn handle(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            fault: Arc::default(),
            waits: Arc::default(),
            link: Arc::default(),
        }
    }

    /// Sets the fault for this box.
    pub fn set_fault(&self, fault: StoreFault) {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner) = fault;
    }

    /// Makes this box's link slow: each configuration in an answer takes `per_config`.
    pub fn set_slow_link(&self, per_config: Duration) {
        self.lock_link().per_config = per_config;
    }

    /// Makes each answer take `delay` to reach this box.
    pub fn set_answer_delay(&self, delay: Duration) {
        self.lock_link().per_answer = delay;
    }

    /// Ends each answer to a watch of this box with its first configuration, as a store
    /// whose answers have a longest length does with large ones.
    pub fn end_answers_with_a_config(&self) {
        self.lock_link().ends_with_config = true;
    }

    /// Configurations sent to this box, in listings and by watches.
    pub fn told_configs(&self) -> usize {
        self.lock_link().configs
    }

    /// Takes `entries` to the box; returns how long that took.
    async fn carry(&self, entries: &[Revised]) -> Duration {
        let configs = entries.iter().filter(|entry| is_config(entry)).count();
        let (took, delay) = {
            let mut link = self.lock_link();
            link.configs += configs;
            let took = link.per_config * u32::try_from(configs).unwrap_or(u32::MAX);
            (took, link.per_answer)
        };
        if !(took + delay).is_zero() {
            tokio::time::sleep(took + delay).await;
        }
        took
    }

    fn lock_link(&self) -> MutexGuard<'_, Link> {
        self.link.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn fault(&self) -> StoreFault {
        *self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes an entry, or takes one away.
    pub fn write(&self, change: Change) -> Revision {
        let mut state = self.state();
        state.revision += 1;
        let revision = Revision(state.revision);
        let key = change.key();
        let revised = Revised { revision, change };
        match revised.change {
            Change::Gone(_) => {
                state.entries.remove(&key);
            }
            _ => {
                state.entries.insert(key, revised.clone());
            }
        }
        state.history.push(revised);
        drop(state);
        self.shared.changed.notify_waiters();
        revision
    }

    /// Drops all history; watches from before it fail.
    pub fn forget_history(&self) {
        let mut state = self.state();
        state.history.clear();
        state.forgotten = state.revision;
    }

    /// Keys that no box follows change, and all changes are forgotten: watches end without
    /// having anything to tell.
    pub fn forget_unseen_changes(&self) {
        self.state().revision += 1;
        self.forget_history();
        self.shared.changed.notify_waiters();
    }

    /// Calls of all boxes so far.
    pub fn calls(&self) -> u64 {
        self.state().calls
    }

    /// Ends all leases, as an outage of the store may.
    pub fn end_leases(&self) {
        self.state().registrations.clear();
    }

    /// Requests that are kept as shut out.
    pub fn kept_requests(&self) -> usize {
        self.state().quarantine.len()
    }

    /// Keeps that the fleet has so many boxes.
    pub fn keep_fleet_size(&self, boxes: u32) {
        self.state().fleet_size = Some(boxes);
    }

    /// How many boxes the fleet has, as it is kept.
    pub fn kept_fleet_size(&self) -> Option<u32> {
        self.state().fleet_size
    }

    /// How long the watches of this box were to wait, oldest first.
    pub fn waits(&self) -> Vec<Duration> {
        self.lock_waits().clone()
    }

    fn lock_waits(&self) -> MutexGuard<'_, Vec<Duration>> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    /// Fails according to the fault, for a call that waits for changes for `wait`.
    async fn fail_if_told(&self, wait: Duration) -> Result<(), StoreFailure> {
        self.state().calls += 1;
        match self.fault() {
            StoreFault::None | StoreFault::LargeWatches => Ok(()),
            StoreFault::TurnedAway => Err(StoreFailure::Busy),
            StoreFault::SilentWatches if wait.is_zero() => Ok(()),
            StoreFault::Silent | StoreFault::SilentWatches => {
                tokio::time::sleep(wait + SILENCE).await;
                Err(StoreFailure::Unavailable("no answer in time".into()))
            }
        }
    }

    fn snapshot(&self, scope: Scope) -> Snapshot {
        let state = self.state();
        let entries = state.entries.values();
        let in_scope = entries.filter(|entry| entry.change.key().scope() == scope);
        Snapshot {
            scope,
            at: Revision(state.revision),
            entries: in_scope.cloned().collect(),
        }
    }

    /// Changes of `scope` after a revision, if there are any.
    fn news(&self, scope: Scope, after: Revision) -> Result<Option<WatchReply>, StoreFailure> {
        let state = self.state();
        if after.0 < state.forgotten {
            return Err(StoreFailure::HistoryGone);
        }
        let newer =
            |revised: &&Revised| revised.revision > after && revised.change.key().scope() == scope;
        let mut changes: Vec<Revised> = state.history.iter().filter(newer).cloned().collect();
        let mut at = Revision(state.revision);
        let first_config = changes.iter().position(is_config);
        if let Some(last) = first_config.filter(|_| self.lock_link().ends_with_config) {
            changes.truncate(last + 1);
            at = changes[last].revision;
        }
        let transfer = Duration::ZERO;
        Ok((!changes.is_empty()).then_some(WatchReply {
            at,
            changes,
            transfer,
        }))
    }
}

fn is_config(entry: &Revised) -> bool {
    entry.change.key() == ChangeKey::Config
}

impl FleetStore for MemoryStore {
    async fn list(&self, scope: Scope) -> Result<Snapshot, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        let snapshot = self.snapshot(scope);
        self.carry(&snapshot.entries).await;
        Ok(snapshot)
    }

    async fn watch(
        &self,
        scope: Scope,
        after: Revision,
        wait: Duration,
        begun: OnReplyStart<'_>,
    ) -> Result<WatchReply, StoreFailure> {
        self.lock_waits().push(wait);
        self.fail_if_told(wait).await?;
        let waiting = async {
            loop {
                let changed = self.shared.changed.notified();
                if let Some(news) = self.news(scope, after)? {
                    return Ok(news);
                }
                changed.await;
            }
        };
        let Ok(watched) = tokio::time::timeout(wait, waiting).await else {
            self.carry(&[]).await;
            return Ok(WatchReply {
                at: Revision(self.state().revision),
                changes: Vec::new(),
                transfer: Duration::ZERO,
            });
        };
        let mut watched = watched?;
        if self.fault() == StoreFault::LargeWatches {
            return Err(StoreFailure::Incomplete("it is too large".into()));
        }
        begun();
        watched.transfer = self.carry(&watched.changes).await;
        Ok(watched)
    }
}

impl BoxRegistry for MemoryStore {
    async fn register(
        &self,
        registration: &Registration,
        _ttl: Duration,
    ) -> Result<LeaseId, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        let mut state = self.state();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.registrations.insert(lease, registration.clone());
        Ok(lease_id(lease))
    }

    async fn renew(&self, lease: LeaseId) -> Result<(), StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        let is_held = self.state().registrations.contains_key(&lease.id);
        is_held.then_some(()).ok_or(StoreFailure::LeaseEnded)
    }

    async fn withdraw(&self, lease: LeaseId) -> Result<(), StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        let removed = self.state().registrations.remove(&lease.id);
        removed.map(|_| ()).ok_or(StoreFailure::LeaseEnded)
    }

    async fn registered(&self) -> Result<Vec<Registration>, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        Ok(self.state().registrations.values().cloned().collect())
    }
}

impl QuarantineStore for MemoryStore {
    async fn confirm(&self, report: &CrashReport, _ttl: Duration) -> Result<LeaseId, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        let mut state = self.state();
        state.next_lease += 1;
        state.quarantine.insert(report.digest, report.clone());
        Ok(lease_id(state.next_lease))
    }

    async fn confirmed(&self) -> Result<Vec<CrashReport>, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        Ok(self.state().quarantine.values().cloned().collect())
    }
}

impl FleetSizeStore for MemoryStore {
    async fn fleet_size(&self) -> Result<Option<u32>, StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        Ok(self.state().fleet_size)
    }

    async fn set_fleet_size(&self, boxes: u32) -> Result<(), StoreFailure> {
        self.fail_if_told(Duration::ZERO).await?;
        self.state().fleet_size = Some(boxes);
        Ok(())
    }
}

/// Returns a lease of this store, which is never restored.
fn lease_id(id: u64) -> LeaseId {
    LeaseId {
        era: StoreEra::default(),
        id,
    }
}
