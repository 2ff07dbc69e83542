//! Catches up with boxes that know more of the store than this one.

use crate::context::Context;
use crate::relay::{self, Answered};
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Candidate, Distance, Liveness, Member, NewsSources, Scope};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which a box that follows the store itself leaves the news to its own watch.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(250);

/// Pause after an answer that did not help.
const PAUSE: Duration = Duration::from_millis(100);

/// Catches up whenever another box turns out to know more of `scope`. Each scope has a
/// task of its own: upstreams that leave must not wait for a large configuration.
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

async fn ask(context: &Context, scope: Scope, source: Candidate, sources: &mut NewsSources) {
    let peer = source.peer;
    match relay::ask(context, peer, scope).await {
        Ok(answered) => learn(context, peer, scope, answered),
        Err(error) => emit(Event::PeerDown, format_args!("{peer}: {error}")),
    }
    if context.fleet().newest(scope) >= Some(source.revision) {
        sources.helped(peer);
    } else {
        sources.failed(peer, context.clock.now());
        sleep(PAUSE).await;
    }
}

fn learn(context: &Context, peer: SocketAddr, scope: Scope, answered: Answered) {
    let now = context.clock.now();
    let learned = context.fleet().catch_up(answered.news, now);
    match learned {
        Ok(true) => context.publish(),
        Ok(false) => {}
        // The configuration went on while the answer came; the box asks again.
        Err(mismatch) => emit(Event::NewsOutdated, format_args!("{peer}: {mismatch}")),
    }
    let (bytes, took) = (answered.bytes, answered.took.as_millis());
    context.told(scope, &format_args!("{peer} bytes={bytes} ms={took}"));
}

/// Boxes that know more of `scope` than this one.
fn ahead(context: &Context, scope: Scope) -> Vec<Candidate> {
    let mine = context.fleet().newest(scope).unwrap_or_default();
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
