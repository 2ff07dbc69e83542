//! Fetches updates from boxes that know a newer revision of the store.

use crate::context::Context;
use crate::relay::{self, CatchUpReply, RelayError};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{
    Candidate, Distance, Liveness, Member, PeerSelector, Revision, Scope, UpdatePacing,
};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a box that watches the store waits for its own watch before it requests updates
/// from another box.
const OWN_WATCH_HEAD_START: Duration = Duration::from_millis(250);

/// Pause after a reply that did not help.
const PAUSE: Duration = Duration::from_millis(100);

/// How long to wait for one box before a second one is queried in parallel. A box that replies
/// slowly could otherwise block the scope for the whole time limit of a large reply.
const HEDGE_DELAY: Duration = Duration::from_millis(600);

/// Interval of requests for a configuration while this box can't read the store's.
const CONFIG_REQUEST_INTERVAL: Duration = Duration::from_secs(1);

/// Requests updates whenever another box reports a newer revision of `scope`. Each scope has
/// its own task: leaving upstreams must not wait for a large configuration.
pub(crate) async fn catch_up(context: Arc<Context>, scope: Scope) {
    let mut sources = PeerSelector::default();
    let mut pacing = UpdatePacing::new(&context.view_limits);
    loop {
        if lacks_config(&context, scope) {
            sleep(CONFIG_REQUEST_INTERVAL).await;
        } else {
            context.peer_updates.notified(scope).await;
        }
        if peers_ahead(&context, scope).is_empty() {
            continue;
        }
        if context.watches_store() && context.fleet().newest(scope).is_some() {
            sleep(OWN_WATCH_HEAD_START).await;
        }
        sleep(Duration::from_millis(pacing.pause_ms(context.clock.now()))).await;
        let (candidates, now) = (peers_ahead(&context, scope), context.clock.now());
        if let Some(source) = sources.choose(&candidates, rand::random(), now) {
            let bytes = request_updates(&context, scope, source, &mut sources).await;
            pacing.record_reply(bytes, context.clock.now());
        }
    }
}

/// Whether this box needs another box's configuration because it can't read the store's.
fn lacks_config(context: &Context, scope: Scope) -> bool {
    scope == Scope::Operator && context.fleet().lacks_readable_config()
}

/// Requests updates and applies them. Returns the length of the reply in bytes, 0 without one.
async fn request_updates(
    context: &Context,
    scope: Scope,
    first: Candidate,
    sources: &mut PeerSelector,
) -> usize {
    let (source, reply) = request_with_hedge(context, scope, first, sources).await;
    let bytes = reply.as_ref().map_or(0, |reply| reply.bytes);
    match reply {
        Ok(reply) => apply_reply(context, source.peer, scope, reply),
        Err(error) => emit(Event::PeerDown, format_args!("{}: {error}", source.peer)),
    }
    let is_current = context.fleet().newest(scope) >= Some(source.revision);
    if is_current && !lacks_config(context, scope) {
        sources.record_success(source.peer);
    } else {
        sources.record_failure(source.peer, context.clock.now());
        sleep(PAUSE).await;
    }
    bytes
}

/// Requests updates from `first`, and also from another box if the reply is slow. Returns the
/// first complete reply.
async fn request_with_hedge(
    context: &Context,
    scope: Scope,
    first: Candidate,
    sources: &mut PeerSelector,
) -> (Candidate, Result<CatchUpReply, RelayError>) {
    let mut first_request = pin!(relay::request_changes(context, first.peer, scope));
    if let Ok(reply) = timeout(HEDGE_DELAY, &mut first_request).await {
        return (first, reply);
    }
    let now = context.clock.now();
    sources.record_failure(first.peer, now);
    let mut others = peers_ahead(context, scope);
    others.retain(|other| other.peer != first.peer);
    let Some(second) = sources.choose(&others, rand::random(), now) else {
        return (first, first_request.await);
    };
    let mut second_request = pin!(relay::request_changes(context, second.peer, scope));
    tokio::select! {
        reply = &mut first_request => match reply {
            Ok(_) => (first, reply),
            Err(_) => (second, second_request.await),
        },
        reply = &mut second_request => match reply {
            Ok(_) => (second, reply),
            Err(_) => (first, first_request.await),
        },
    }
}

fn apply_reply(context: &Context, peer: SocketAddr, scope: Scope, reply: CatchUpReply) {
    let now = context.clock.now();
    let age = context.view_age_ms(scope);
    let merged = context.fleet().catch_up(reply.changes, now);
    match merged {
        Ok(true) => context.publish(),
        Ok(false) => {}
        // The configuration changed while the reply was on its way; the box sends another
        // request.
        Err(mismatch) => emit(Event::NewsOutdated, format_args!("{peer}: {mismatch}")),
    }
    let (bytes, took) = (reply.bytes, reply.took.as_millis());
    context.announce_progress(scope, age, &format_args!("{peer} bytes={bytes} ms={took}"));
}

/// Returns the boxes with a newer revision of `scope`. Where some have the newest revision that
/// any box has reported, returns only those: after updates from a box that is barely ahead,
/// another request would be needed.
fn peers_ahead(context: &Context, scope: Scope) -> Vec<Candidate> {
    if lacks_config(context, scope) {
        return peers_beyond(context, scope, Revision::default());
    }
    let (own, pending) = {
        let fleet = context.fleet();
        (
            fleet.newest(scope).unwrap_or_default(),
            fleet.pending_revision(scope).unwrap_or_default(),
        )
    };
    let mut peers_ahead = peers_beyond(context, scope, own);
    if peers_ahead.iter().any(|other| other.revision >= pending) {
        peers_ahead.retain(|other| other.revision >= pending);
    }
    peers_ahead
}

fn peers_beyond(context: &Context, scope: Scope, own: Revision) -> Vec<Candidate> {
    let swim = context.swim();
    if swim.newest_reported(scope) <= own {
        return Vec::new();
    }
    swim.members()
        .filter(|member| member.liveness == Liveness::Alive)
        .filter(|member| member.record.revision(scope) > own)
        .map(|member| Candidate {
            peer: member.record.peer_address,
            distance: distance(context, member),
            revision: member.record.revision(scope),
        })
        .collect()
}

fn distance(context: &Context, member: &Member) -> Distance {
    let (own, other) = (&context.settings.zone, &member.record.zone);
    let zones = &context.settings.zones;
    if own == other {
        Distance::Zone
    } else if zones.get(own) == zones.get(other) {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}
