//! Fetches updates from boxes that know a newer revision of the store.

use crate::context::Context;
use crate::relay::{self, Answered, RelayError};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Candidate, Distance, Liveness, Member, NewsSources, Revision, Scope};
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// How long a box that watches the store waits for its own watch before it asks another box.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(250);

/// Pause after a reply that did not help.
const PAUSE: Duration = Duration::from_millis(100);

/// How long to wait for one box before a second one is asked in parallel. A box that replies
/// slowly could otherwise block the scope for the whole time limit of a large reply.
const SECOND_AFTER: Duration = Duration::from_millis(600);

/// Requests updates whenever another box reports a newer revision of `scope`. Each scope has
/// its own task: leaving upstreams must not wait for a large configuration.
pub(crate) async fn catch_up(context: Arc<Context>, scope: Scope) {
    let mut sources = NewsSources::default();
    loop {
        context.heard.notified(scope).await;
        if ahead(&context, scope).is_empty() {
            continue;
        }
        if context.watches_store() && context.fleet().newest(scope).is_some() {
            sleep(OWN_WATCH_FIRST).await;
        }
        let (candidates, now) = (ahead(&context, scope), context.clock.now());
        if let Some(source) = sources.choose(&candidates, rand::random(), now) {
            ask(&context, scope, source, &mut sources).await;
        }
    }
}

async fn ask(context: &Context, scope: Scope, first: Candidate, sources: &mut NewsSources) {
    let (source, answered) = ask_one_or_two(context, scope, first, sources).await;
    match answered {
        Ok(answered) => learn(context, source.peer, scope, answered),
        Err(error) => emit(Event::PeerDown, format_args!("{}: {error}", source.peer)),
    }
    if context.fleet().newest(scope) >= Some(source.revision) {
        sources.helped(source.peer);
    } else {
        sources.failed(source.peer, context.clock.now());
        sleep(PAUSE).await;
    }
}

/// Requests updates from `first`, and also from another box if the reply is slow. Returns the
/// first complete reply.
async fn ask_one_or_two(
    context: &Context,
    scope: Scope,
    first: Candidate,
    sources: &mut NewsSources,
) -> (Candidate, Result<Answered, RelayError>) {
    let mut asking = pin!(relay::ask(context, first.peer, scope));
    if let Ok(answered) = timeout(SECOND_AFTER, &mut asking).await {
        return (first, answered);
    }
    let now = context.clock.now();
    sources.failed(first.peer, now);
    let mut others = ahead(context, scope);
    others.retain(|other| other.peer != first.peer);
    let Some(second) = sources.choose(&others, rand::random(), now) else {
        return (first, asking.await);
    };
    let mut asking_second = pin!(relay::ask(context, second.peer, scope));
    tokio::select! {
        answered = &mut asking => match answered {
            Ok(_) => (first, answered),
            Err(_) => (second, asking_second.await),
        },
        answered = &mut asking_second => match answered {
            Ok(_) => (second, answered),
            Err(_) => (first, asking.await),
        },
    }
}

fn learn(context: &Context, peer: SocketAddr, scope: Scope, answered: Answered) {
    let now = context.clock.now();
    let age = context.view_age_ms(scope);
    let learned = context.fleet().catch_up(answered.news, now);
    match learned {
        Ok(true) => context.publish(),
        Ok(false) => {}
        // The configuration changed while the reply was on its way; the box asks again.
        Err(mismatch) => emit(Event::NewsOutdated, format_args!("{peer}: {mismatch}")),
    }
    let (bytes, took) = (answered.bytes, answered.took.as_millis());
    context.told(scope, age, &format_args!("{peer} bytes={bytes} ms={took}"));
}

/// Returns the boxes with a newer revision of `scope`. Where some have the newest revision that
/// this box has been told exists, returns only those: a box that is barely ahead would make it
/// ask again.
fn ahead(context: &Context, scope: Scope) -> Vec<Candidate> {
    let (mine, awaited) = {
        let fleet = context.fleet();
        (
            fleet.newest(scope).unwrap_or_default(),
            fleet.awaited(scope).unwrap_or_default(),
        )
    };
    let mut ahead = beyond(context, scope, mine);
    if ahead.iter().any(|other| other.revision >= awaited) {
        ahead.retain(|other| other.revision >= awaited);
    }
    ahead
}

fn beyond(context: &Context, scope: Scope, mine: Revision) -> Vec<Candidate> {
    let swim = context.swim();
    if swim.newest_heard(scope) <= mine {
        return Vec::new();
    }
    swim.members()
        .filter(|member| member.liveness == Liveness::Alive)
        .filter(|member| member.record.revision(scope) > mine)
        .map(|member| Candidate {
            peer: member.record.peer_address,
            distance: distance(context, member),
            revision: member.record.revision(scope),
        })
        .collect()
}

fn distance(context: &Context, member: &Member) -> Distance {
    let (mine, other) = (&context.settings.zone, &member.record.zone);
    let zones = &context.settings.zones;
    if mine == other {
        Distance::Zone
    } else if zones.get(mine) == zones.get(other) {
        Distance::Region
    } else {
        Distance::Elsewhere
    }
}
