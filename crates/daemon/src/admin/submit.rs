//! Submits one change of configuration to the platform's store.
//!
//! A compare-and-swap orders racing submissions. Each carries an identifier of its
//! own, so that an answer that was lost is settled by reading back.

use super::views::{SubmitAnswer, SubmitOutcome};
use crate::config_store::{config_key, entry_bytes, entry_from};
use crate::context::Context;
use crate::control::Command;
use brasswinch_store::{CasOutcome, Store, StoreError, StoredValue};
use brasswinch_types::{ConfigDocument, ConfigEntry, ConfigKey, SubmissionId};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// How long a lost answer is looked for in the store.
const SETTLE_FOR: Duration = Duration::from_secs(4);

/// Pause between two readings while settling.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);

/// A change requested by an operator.
pub(super) struct Submission {
    pub(super) id: SubmissionId,
    pub(super) key: ConfigKey,
    pub(super) document: ConfigDocument,
    /// The version that the operator means to replace, where that matters.
    pub(super) expected_version: Option<u64>,
}

/// Submits the change and returns its outcome.
pub(super) async fn submit(
    context: &Context,
    store: &Store,
    submission: Submission,
) -> SubmitAnswer {
    let name = config_key(&submission.key);
    let current = match store.get(&name).await {
        Ok(current) => current,
        Err(error) => return unavailable(submission.id, &error),
    };
    let stored = current.as_ref().and_then(|value| entry_from(&value.value));
    // A submission made again after a lost answer is the one that is there already.
    if let Some(entry) = stored
        .as_ref()
        .filter(|entry| entry.submission == submission.id)
    {
        return accepted(context, entry.clone());
    }
    let held = held_entry(context, &submission.key).await;
    let newest = [stored, held]
        .into_iter()
        .flatten()
        .map(|e| e.version)
        .max();
    let newest = newest.unwrap_or(0);
    if submission
        .expected_version
        .is_some_and(|expected| expected != newest)
    {
        let reason = format!("version {newest} is in force, not the one you mean to replace");
        return superseded(submission.id, Some(newest), reason);
    }
    let entry = ConfigEntry {
        key: submission.key,
        version: newest + 1,
        submission: submission.id,
        document: submission.document,
    };
    let revision = current.map_or(0, |value| value.revision);
    let written = store
        .compare_and_swap(&name, revision, &entry_bytes(&entry), None)
        .await;
    match written {
        Ok(CasOutcome::Written(_)) => accepted(context, entry),
        Ok(CasOutcome::Conflict(held)) => judge(context, &entry, held),
        Err(error) if error.may_have_taken_effect() => settle(context, store, &name, entry).await,
        Err(error) => unavailable(entry.submission, &error),
    }
}

/// Reads the store until the outcome of writing `entry` is known.
///
/// A write whose answer was lost may still be under way, so an unchanged key says
/// nothing yet: the write is tried again, which can't take effect twice.
async fn settle(context: &Context, store: &Store, name: &str, entry: ConfigEntry) -> SubmitAnswer {
    let until = Instant::now() + SETTLE_FOR;
    while Instant::now() < until {
        tokio::time::sleep(SETTLE_PAUSE).await;
        let Ok(held) = store.get(name).await else {
            continue;
        };
        let version = held
            .as_ref()
            .and_then(|value| entry_from(&value.value))
            .map_or(0, |held| held.version);
        if version >= entry.version {
            return judge(context, &entry, held);
        }
        let revision = held.map_or(0, |value| value.revision);
        let again = store
            .compare_and_swap(name, revision, &entry_bytes(&entry), None)
            .await;
        match again {
            Ok(CasOutcome::Written(_)) => return accepted(context, entry),
            Ok(CasOutcome::Conflict(held)) => return judge(context, &entry, held),
            Err(_) => {}
        }
    }
    SubmitAnswer {
        outcome: SubmitOutcome::Unknown,
        version: Some(entry.version),
        submission: entry.submission.to_string(),
        reason: Some("the store's answer was lost and it can't be read; submit again with the same --submission to learn the outcome".into()),
    }
}

fn judge(context: &Context, entry: &ConfigEntry, held: Option<StoredValue>) -> SubmitAnswer {
    let held = held.and_then(|value| entry_from(&value.value));
    match held {
        Some(held) if held.submission == entry.submission => accepted(context, held),
        Some(held) => {
            let reason = format!("submission {} came first", held.submission);
            superseded(entry.submission, Some(held.version), reason)
        }
        None => superseded(entry.submission, None, "the entry was removed".into()),
    }
}

async fn held_entry(context: &Context, key: &ConfigKey) -> Option<ConfigEntry> {
    let (answer, held) = oneshot::channel();
    context.tell(Command::Held {
        key: key.clone(),
        answer,
    });
    held.await.ok().flatten()
}

fn accepted(context: &Context, entry: ConfigEntry) -> SubmitAnswer {
    let answer = SubmitAnswer {
        outcome: SubmitOutcome::Accepted,
        version: Some(entry.version),
        submission: entry.submission.to_string(),
        reason: None,
    };
    context.tell(Command::Accepted(entry));
    answer
}

fn superseded(id: SubmissionId, version: Option<u64>, reason: String) -> SubmitAnswer {
    SubmitAnswer {
        outcome: SubmitOutcome::Superseded,
        version,
        submission: id.to_string(),
        reason: Some(reason),
    }
}

fn unavailable(id: SubmissionId, error: &StoreError) -> SubmitAnswer {
    SubmitAnswer {
        outcome: SubmitOutcome::Unavailable,
        version: None,
        submission: id.to_string(),
        reason: Some(error.to_string()),
    }
}
