//! Claims on callers' own keys: at most one for each key, for a day.
//!
//! A claim is a create-if-absent in the platform's store, bound to a lease. It is
//! written before anything is sent to an upstream.

use crate::config_store::claim_key;
use brasswinch_observe::{Event, emit};
use brasswinch_store::{CasOutcome, Store, StoreError};
use brasswinch_types::{ErrorKind, ServiceKey};
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// How long a claim is kept at least.
const KEEP: Duration = Duration::from_secs(24 * 3_600);

/// How long one lease is used for new claims.
const LEASE_IN_USE: Duration = Duration::from_secs(3_600);

/// A claim that this daemon holds.
pub(crate) struct Claim {
    name: String,
    revision: i64,
}

/// Claims keys for one daemon.
pub(crate) struct Claims {
    store: Store,
    lease: Mutex<Option<(i64, Instant)>>,
}

impl Claims {
    pub(crate) fn new(store: Store) -> Self {
        Self {
            store,
            lease: Mutex::new(None),
        }
    }

    /// Claims `key`. On `Ok` nobody claimed it before, and nobody else can.
    ///
    /// Where the answer was lost, reading back settles it: the value names this claim.
    /// Where even that fails, the request isn't run; the key may then stay claimed.
    pub(crate) async fn claim(&self, service: &ServiceKey, key: &str) -> Result<Claim, ErrorKind> {
        let name = claim_key(service, key);
        let mine = format!("{:032x}", rand::random::<u128>()).into_bytes();
        let lease = self
            .lease()
            .await
            .map_err(|_| ErrorKind::ClaimUnavailable)?;
        match self
            .store
            .compare_and_swap(&name, 0, &mine, Some(lease))
            .await
        {
            Ok(CasOutcome::Written(revision)) => Ok(Claim { name, revision }),
            Ok(CasOutcome::Conflict(_)) => Err(ErrorKind::AlreadySubmitted),
            Err(error) if error.may_have_taken_effect() => self.settle(name, &mine).await,
            Err(_) => Err(ErrorKind::ClaimUnavailable),
        }
    }

    /// Gives a claim up after its request certainly didn't run, so that the caller can
    /// come back with the same key. Where that fails the key stays claimed.
    pub(crate) async fn release(&self, claim: Claim) {
        let released = self.store.delete_if(&claim.name, claim.revision).await;
        if released.is_err() {
            emit(Event::ClaimLost, format_args!("{} stays", claim.name));
        }
    }

    async fn settle(&self, name: String, mine: &[u8]) -> Result<Claim, ErrorKind> {
        match self.store.get(&name).await {
            Ok(Some(held)) if held.value == mine => Ok(Claim {
                name,
                revision: held.revision,
            }),
            Ok(Some(_)) => Err(ErrorKind::AlreadySubmitted),
            // A write that is still under way may land after this reading.
            Ok(None) | Err(_) => {
                emit(Event::ClaimLost, format_args!("{name}"));
                Err(ErrorKind::ClaimUnavailable)
            }
        }
    }

    async fn lease(&self) -> Result<i64, StoreError> {
        let mut held = self.lease.lock().await;
        if let Some((lease, granted)) = *held
            && granted.elapsed() < LEASE_IN_USE
        {
            return Ok(lease);
        }
        let lease = self.store.grant_lease(KEEP + LEASE_IN_USE).await?;
        *held = Some((lease, Instant::now()));
        Ok(lease)
    }
}
