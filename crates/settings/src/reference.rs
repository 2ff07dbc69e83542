//! Every field of a box's file: unit, range and meaning.
//!
//! `docs/SETTINGS.md` is held to this table and the defaults by a test.

/// Least and greatest value of a number.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    /// The least allowed value.
    pub least: u64,
    /// The greatest allowed value.
    pub most: u64,
}

/// One field.
#[derive(Clone, Copy, Debug)]
pub struct FieldReference {
    /// Path in the file.
    pub path: &'static str,
    /// Unit, or the kind of value.
    pub unit: &'static str,
    /// Allowed range of a number.
    pub range: Option<Range>,
    /// What it does.
    pub meaning: &'static str,
}

const fn text(path: &'static str, unit: &'static str, meaning: &'static str) -> FieldReference {
    FieldReference {
        path,
        unit,
        range: None,
        meaning,
    }
}

const fn number(
    path: &'static str,
    unit: &'static str,
    least: u64,
    most: u64,
    meaning: &'static str,
) -> FieldReference {
    FieldReference {
        path,
        unit,
        range: Some(Range { least, most }),
        meaning,
    }
}

/// All fields, in the order of the file.
#[rustfmt::skip]
pub const REFERENCE: &[FieldReference] = &[
    text("id", "name", "Name of this box; a replaced box gets a new one. Required."),
    text("zone", "name", "Availability zone of this box; one of the deployment's. Required."),
    text("caller_address", "address", "Where callers connect. Port 0 takes a free one."),
    text("peer_address", "address", "Where other boxes connect. Port 0 takes a free one."),
    text("admin_address", "address", "Where operators connect. Port 0 takes a free one."),
    text("advertised_caller_address", "address", "What callers are told, where it differs; empty tells the real one."),
    text("advertised_peer_address", "address", "What peers are told, where it differs; empty tells the real one."),
    text("metrics_address", "address", "Where metrics are sent, in StatsD form; empty sends none."),
    text("deployment", "path", "The deployment's file, relative to this one."),
    number("traffic_threads", "threads", 0, 256, "Threads that carry traffic; 0 takes one for each core."),
    text("platform.store_address", "address", "The store's JSON gateway."),
    text("platform.list_address", "address", "The platform's list of boxes."),
    number("platform.call_timeout_ms", "ms", 10, 60_000, "Longest wait for one call to the platform."),
    number("platform.list_interval_ms", "ms", 100, 600_000, "Time between readings of the list."),
    number("platform.compare_interval_ms", "ms", 100, 3_600_000, "Time between full comparisons with the store."),
    number("platform.watchers_per_zone", "boxes", 1, 64, "Boxes of a zone that watch the store; the others hear from them."),
    number("platform.unlisted_grace_ms", "ms", 0, 86_400_000, "How long a box that was never seen listed is waited for before its units are taken over."),
    text("peers.seeds", "addresses", "Peers to ask first."),
    number("peers.heartbeat_ms", "ms", 20, 60_000, "Least time between heartbeats inside the zone; it grows with the neighbours."),
    number("peers.links_per_zone", "links", 1, 64, "Boxes of this zone that link to each other zone."),
    number("peers.far_heartbeat_factor", "times", 1, 1_000, "Heartbeats to other zones are this many times rarer."),
    number("peers.queue_messages", "messages", 16, 1_000_000, "Messages that wait on one link before it is dropped."),
    number("peers.message_bytes", "bytes", 65_536, 67_108_864, "Longest message between boxes."),
    text("loans.borrow", "true or false", "Whether this box borrows from its neighbours; without, it serves on its own load."),
    number("loans.term_ms", "ms", 50, 600_000, "Time from asking in which a borrower may start work."),
    number("loans.margin_ms", "ms", 0, 600_000, "Allowance for clocks that differ and late cancellation."),
    number("loans.orphan_grace_ms", "ms", 0, 600_000, "Time after a restart in which work of the earlier run may still end."),
    number("loans.queue_wait_ms", "ms", 0, 10_000, "Longest wait of a request for a slot while others have been waiting for a second."),
    number("limits.requests_per_workspace", "requests", 1, 1_000_000, "Most requests of one workspace on this box at a time."),
    number("limits.waiting_per_service", "requests", 0, 100_000, "Most requests of one service that wait for a slot here."),
    number("limits.lookup_ttl_ms", "ms", 0, 600_000, "How long callers may keep a look-up's answer."),
    number("limits.ticket_ttl_ms", "ms", 1_000, 86_400_000, "How long a ticket may be presented."),
    number("limits.connect_timeout_ms", "ms", 1, 60_000, "Longest wait for a connection to an upstream."),
    number("limits.idle_body_ms", "ms", 100, 3_600_000, "Longest time in which a body makes no progress."),
];
