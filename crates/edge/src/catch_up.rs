//! Catches up with boxes that know more of the store than this one.

use crate::context::Context;
use crate::relay;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::{Liveness, Revision, Scope};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

/// Time for which a box that follows the store itself leaves the news to its own watch.
const OWN_WATCH_FIRST: Duration = Duration::from_millis(250);

/// Pause after an answer that did not help.
const PAUSE: Duration = Duration::from_millis(150);

/// Catches up whenever another box turns out to know more.
pub(crate) async fn catch_up(context: Arc<Context>) {
    loop {
        context.heard.notified().await;
        for scope in [Scope::Operator, Scope::Targets] {
            if ahead(&context, scope).is_none() {
                continue;
            }
            if context.watches_store() && context.fleet().newest(scope).is_some() {
                sleep(OWN_WATCH_FIRST).await;
            }
            if let Some((peer, revision)) = ahead(&context, scope) {
                ask(&context, scope, peer, revision).await;
            }
        }
    }
}

async fn ask(context: &Context, scope: Scope, peer: SocketAddr, revision: Revision) {
    let after = context.fleet().newest(scope);
    match relay::ask(context, peer, scope, after).await {
        Ok(news) => {
            let now = context.clock.now();
            let changed = context.fleet().catch_up(news, now);
            if changed {
                context.publish();
            }
            context.told(scope);
            if context.fleet().newest(scope) < Some(revision) {
                sleep(PAUSE).await;
            }
        }
        Err(error) => {
            emit(Event::PeerDown, format_args!("{peer}: {error}"));
            sleep(PAUSE).await;
        }
    }
}

/// A box that knows more of `scope` than this one, drawn from all of them.
fn ahead(context: &Context, scope: Scope) -> Option<(SocketAddr, Revision)> {
    let mine = context.fleet().newest(scope).unwrap_or_default();
    let swim = context.swim();
    let mut ahead: Vec<(SocketAddr, Revision)> = swim
        .members()
        .filter(|member| member.liveness == Liveness::Alive)
        .map(|member| (member.record.peer_address, member.record.revision(scope)))
        .filter(|(_, revision)| *revision > mine)
        .collect();
    if ahead.is_empty() {
        return None;
    }
    let drawn = (rand::random::<f64>() * ahead.len() as f64) as usize;
    Some(ahead.swap_remove(drawn.min(ahead.len() - 1)))
}
