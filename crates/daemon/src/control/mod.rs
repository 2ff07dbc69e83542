//! The control thread: it owns all control state and publishes what traffic reads.

mod config;
mod heartbeats;
mod links;
mod loans;
mod messages;
mod platform;
mod shares;
mod state;
mod status;
mod units;
mod voids;

use crate::admin::StatusView;
use crate::context::Context;
use brasswinch_decide::slots::Returned;
use brasswinch_peer::LinkEvent;
use brasswinch_store::{ListedBox, Store};
use brasswinch_types::{
    BoxId, ConfigEntry, ConfigKey, Incarnation, ServiceKey, UnitTable, UpstreamId, Workspace,
};
use state::Control;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

/// Interval of the less frequent periodic tasks.
const SLOW_TICK: Duration = Duration::from_millis(500);

/// Link events that may wait for the control thread.
const LINK_EVENTS: usize = 4_096;

/// What other parts tell the control thread.
pub(crate) enum Command {
    /// Traffic found no slot.
    WantLoan { service: ServiceKey, want: u32 },
    /// A borrowed slot goes back.
    ReturnLoan {
        service: ServiceKey,
        returned: Returned,
    },
    /// A ticket of another box should be voided there.
    VoidTicket {
        box_id: BoxId,
        incarnation: Incarnation,
        sealed: String,
        answer: oneshot::Sender<bool>,
    },
    /// An upstream said that it is leaving.
    UpstreamLeaving {
        service: ServiceKey,
        upstream: UpstreamId,
        sequence: u64,
    },
    /// The store's configuration was read whole.
    StoreListing(Vec<StoredEntry>),
    /// The store reported changes.
    StoreChanges(Vec<ConfigEntry>),
    /// The store did not answer.
    StoreFailed(String),
    /// The platform's list was read.
    BoxesListed(Vec<ListedBox>),
    /// The zone's unit table was read.
    UnitsRead(Option<StoredTable>),
    /// The zone's unit table could not be read.
    UnitsUnread(String),
    /// A write of the zone's unit table ended.
    UnitsWritten(units::UnitWrite),
    /// An entry was accepted by the store.
    Accepted(ConfigEntry),
    /// Requests the entry in force.
    Held {
        key: ConfigKey,
        answer: oneshot::Sender<Option<ConfigEntry>>,
    },
    /// Requests the status of a workspace.
    Status {
        workspace: Workspace,
        answer: oneshot::Sender<StatusView>,
    },
    /// Stop when the last request has ended.
    Stop,
}

/// A configuration entry as the store holds it.
pub(crate) struct StoredEntry {
    pub(crate) entry: ConfigEntry,
    pub(crate) revision: i64,
}

/// A unit table as the store holds it.
pub(crate) struct StoredTable {
    pub(crate) table: UnitTable,
    pub(crate) revision: i64,
}

/// What the control thread is started with.
pub(crate) struct ControlInputs {
    pub(crate) context: Arc<Context>,
    pub(crate) peer_listener: TcpListener,
    pub(crate) addresses: crate::start::ListenAddresses,
    pub(crate) commands: mpsc::UnboundedReceiver<Command>,
    pub(crate) store: Store,
    /// Notified when traffic may end.
    pub(crate) traffic_stop: watch::Sender<bool>,
}

/// Runs until the daemon was stopped and its last request has finished.
pub(crate) async fn run(inputs: ControlInputs) {
    let context = inputs.context;
    let mut commands = inputs.commands;
    let (link_events, mut link_inbox) = mpsc::channel::<LinkEvent>(LINK_EVENTS);
    let limits = links::limits(&context);
    tokio::spawn(brasswinch_peer::listen(
        inputs.peer_listener,
        limits,
        link_events.clone(),
    ));
    let (watching, watching_seen) = watch::channel(true);
    platform::spawn(&context, inputs.store.clone(), watching_seen);
    tokio::spawn(crate::probe::run(Arc::clone(&context)));
    let mut control = Control::new(
        Arc::clone(&context),
        inputs.store,
        inputs.addresses,
        link_events,
        watching,
    );
    let peers = &context.settings.this_box.peers;
    let mut heartbeat = tokio::time::interval(Duration::from_millis(peers.heartbeat_ms));
    heartbeat.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut slow = tokio::time::interval(SLOW_TICK);
    slow.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while !control.is_finished() {
        tokio::select! {
            Some(event) = link_inbox.recv() => control.on_link(event),
            Some(command) = commands.recv() => control.on_command(command),
            _ = heartbeat.tick() => control.on_heartbeat(),
            _ = slow.tick() => control.on_slow_tick(),
        }
    }
    let _ = inputs.traffic_stop.send(true);
}
