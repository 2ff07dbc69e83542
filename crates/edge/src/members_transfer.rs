//! Fetches members from another box when this one lacks too many for datagrams.

use crate::context::Context;
use crate::relay;
use brasswinch_observe::{Event, emit};
use brasswinch_routing::NeededTransfer;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether a transfer of members to this box is in progress.
#[derive(Debug, Default)]
pub(crate) struct MembersTransfer {
    in_progress: AtomicBool,
}

/// Starts the transfer that the membership needs, unless another one is in progress.
pub(crate) fn start_if_needed(context: &Arc<Context>) {
    let Some(needed) = context.swim().take_needed_transfer() else {
        return;
    };
    let in_progress = &context.members_transfer.in_progress;
    if in_progress.swap(true, Ordering::Relaxed) {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        transfer(&context, needed).await;
        let in_progress = &context.members_transfer.in_progress;
        in_progress.store(false, Ordering::Relaxed);
    });
}

async fn transfer(context: &Context, needed: NeededTransfer) {
    let reply = relay::request_members(context, needed.peer, needed.request).await;
    let now = context.clock.now();
    match reply {
        Ok(members) => context.swim().merge_members(members, now),
        Err(error) => {
            emit(
                Event::PeerDown,
                format_args!("{}: members: {error}", needed.peer),
            );
            context.swim().record_failed_transfer(now);
        }
    }
}
