//! Catches up with boxes that know more of the store than this one.

use crate::context::Context;
use crate::relay;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, Member, Revision, Scope};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for which a box that follows the store itself leaves the news to its own watch.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(250);

/// Pause after an answer that did not help.
const PAUSE: Duration = Duration::from_millis(100);

/// How long a box that did not help is asked only where nobody else knows more.
const AVOID: Duration = Duration::from_secs(2);

/// Boxes that did not help, and until when they are avoided.
type Avoided = HashMap<SocketAddr, Instant>;

/// Catches up whenever another box turns out to know more.
pub(crate) async fn catch_up(context: Arc<Context>) {
    let mut avoided = Avoided::new();
    loop {
        context.heard.notified().await;
        avoided.retain(|_, until| *until > Instant::now());
        for scope in [Scope::Operator, Scope::Upstreams] {
            if ahead(&context, scope, &avoided).is_none() {
                continue;
            }
            if context.watches_store() && context.fleet().newest(scope).is_some() {
                sleep(OWN_WATCH_FIRST).await;
            }
            if let Some((peer, revision)) = ahead(&context, scope, &avoided) {
                ask(&context, scope, peer, revision, &mut avoided).await;
            }
        }
    }
}

async fn ask(
    context: &Context,
    scope: Scope,
    peer: SocketAddr,
    revision: Revision,
    avoided: &mut Avoided,
) {
    let after = context.fleet().newest(scope);
    match relay::ask(context, peer, scope, after).await {
        Ok(news) => {
            let now = context.clock.now();
            let changed = context.fleet().catch_up(news, now);
            if changed {
                context.publish();
            }
            context.told(scope, &peer);
        }
        Err(error) => emit(Event::PeerDown, format_args!("{peer}: {error}")),
    }
    let is_caught_up = context.fleet().newest(scope) >= Some(revision);
    if !is_caught_up {
        avoided.insert(peer, Instant::now() + AVOID);
        sleep(PAUSE).await;
    }
}

/// A box that knows more of `scope` than this one: near ones first, and of those any.
fn ahead(context: &Context, scope: Scope, avoided: &Avoided) -> Option<(SocketAddr, Revision)> {
    let mine = context.fleet().newest(scope).unwrap_or_default();
    let swim = context.swim();
    if swim.newest_heard(scope) <= mine {
        return None;
    }
    let mut ahead: Vec<(u8, SocketAddr, Revision)> = swim
        .members()
        .filter(|member| member.liveness == Liveness::Alive)
        .filter(|member| member.record.revision(scope) > mine)
        .map(|member| {
            let peer = member.record.peer_address;
            let distance = if avoided.contains_key(&peer) {
                FARTHEST
            } else {
                distance(context, member)
            };
            (distance, peer, member.record.revision(scope))
        })
        .collect();
    let nearest = ahead.iter().map(|(distance, ..)| *distance).min()?;
    ahead.retain(|(distance, ..)| *distance == nearest);
    let drawn = (rand::random::<f64>() * ahead.len() as f64) as usize;
    let (_, peer, revision) = ahead.swap_remove(drawn.min(ahead.len() - 1));
    Some((peer, revision))
}

/// Distance of boxes that are asked last.
const FARTHEST: u8 = 3;

/// How far another box is: its zone, its region, or elsewhere.
fn distance(context: &Context, member: &Member) -> u8 {
    let (mine, other) = (&context.settings.zone, &member.record.zone);
    if mine == other {
        return 0;
    }
    let zones = &context.settings.zones;
    if zones.get(mine) == zones.get(other) {
        1
    } else {
        2
    }
}
