//! The closed list of log events. `docs/EVENTS.md` is held to it by a test.

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// Normal operation.
    Info,
    /// Something failed and is being dealt with.
    Warn,
    /// An operator should look.
    Error,
}

/// One row of the catalogue.
#[derive(Clone, Copy, Debug)]
pub struct EventRow {
    /// The event.
    pub event: Event,
    /// Its number; never used again for another event.
    pub number: u16,
    /// Its severity.
    pub severity: Severity,
    /// What happened.
    pub meaning: &'static str,
    /// What an operator does.
    pub action: &'static str,
}

macro_rules! events {
    ($($number:literal $severity:ident $name:ident $meaning:literal $action:literal;)*) => {
        /// Everything that is logged.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $(#[doc = $meaning] $name,)*
        }

        impl Event {
            /// The catalogue, by number.
            pub const ALL: &'static [EventRow] = &[
                $(EventRow {
                    event: Event::$name,
                    number: $number,
                    severity: Severity::$severity,
                    meaning: $meaning,
                    action: $action,
                },)*
            ];
        }
    };
}

events! {
    100 Info Started "The daemon has started and listens." "None.";
    101 Info Serving "The daemon knows its policy and load and is handed out by look-ups." "None.";
    102 Info Leaving "The daemon was asked to stop and takes no new work." "None; it exits when its last request ends.";
    103 Info Stopped "The daemon has finished every request and exits." "None.";
    110 Error BindFailed "An address could not be listened on." "Check the address in the settings and what else uses it.";
    111 Error BlocksUnread "The file of client blocks could not be read again." "Check the file; callers in blocks that are missing count as the answering box's zone's.";
    112 Warn SettingsUnread "The settings could not be read again; those before stay in force." "Correct the settings file and ask for a reload.";
    200 Warn StoreUnreachable "The platform's store did not answer." "Check the platform. Boxes serve on with the configuration they hold.";
    201 Info StoreReached "The platform's store answers again." "None.";
    202 Error StoreWentBack "The store holds an older version than the one in force." "The store was restored from a copy. Boxes keep the newer version and write it back.";
    203 Warn ListUnreachable "The platform's list of boxes could not be read." "Check the platform. Units of failed boxes are not taken over meanwhile.";
    210 Info ConfigInForce "A newer configuration entry is in force here." "None.";
    211 Error PolicyRefused "A stored policy could not be evaluated; the one before stays in force." "Submit a corrected policy.";
    212 Warn ConfigMalformed "A stored configuration value can't be read." "Submit the entry again.";
    213 Warn ConfigIncomplete "Part of the configuration can't be used; the rest is in force. The line names the entry, the reason and what follows." "Correct the entry, or finish the roll-out of a build that knows it.";
    220 Info NewsLearned "Changes of configuration or upstreams were learned, from the store or another box." "None.";
    221 Info Registered "This box stands in the store's list of boxes." "None.";
    222 Info StrangersFound "The store lists boxes that the membership does not know; they are asked." "If it repeats, check the links between boxes.";
    223 Info NewsOutdated "What another box told of the configuration is for a version that is no longer held here; the box asks again." "None, unless it repeats.";
    225 Info EntriesKept "Upstreams whose entries were lost together with many others stay in use for a short time; the line names the first few." "If they stay away, check the platform's store and the upstreams.";
    226 Info ViewOld "No other box has lately confirmed that this one knows everything; it asks the store itself." "If it repeats, check the links between boxes.";
    227 Info FleetSize "How many boxes share what the whole fleet may do, as this box now knows it." "None, unless it is not the number of boxes.";
    228 Warn FleetSizeUnknown "Neither the store nor another box told how many boxes there are; this one goes by those that it hears." "Check the platform's store and the links between boxes.";
    229 Warn StoreRestored "The store came back from an older copy; what it holds was listed anew." "Check that what was written lately is there.";
    300 Info PeerUp "A link to another box is up." "None.";
    301 Warn PeerDown "A link to another box went down." "Check the box and the network between the zones.";
    302 Warn PeerMalformed "A peer sent a message that can't be read; its link was closed." "Check that all boxes run versions that speak the same protocol.";
    303 Warn PeerVersion "A peer speaks another version of the protocol; its link was closed." "Finish the roll-out of one version.";
    400 Info UnitsClaimed "This box took units of its zone's load." "None.";
    401 Info UnitsGivenUp "This box gave units of its zone's load up." "None.";
    402 Warn UnitsTakenOver "This box took over units of a box that is gone." "None; check why the box went.";
    403 Info HoldBackEnded "Peers reported what they use of this box's load; the rest is free to use." "None.";
    404 Warn UnitsUnclaimed "This box could not claim units and serves on borrowed load." "Check the platform's store.";
    410 Warn WorkspaceAtQuota "A workspace has nearly or wholly used up its quota; boxes ask its keeper before they send." "None, unless the workspace should have more.";
    411 Warn SlotMissing "A request got no slot of its service in time and was refused; the line tells of the slots at that moment." "If slots were idle elsewhere, check the links between the zone's boxes and their processors.";
    412 Warn QuotaQueueFull "As many requests wait for grants at this box as it queues; further ones are refused at once." "Check which workspace exceeds its quota; its limit may be too low.";
    500 Warn UpstreamFailed "An upstream could not be reached or broke off." "Check the upstream.";
    501 Info UpstreamLeaving "An upstream said that it is leaving." "None.";
    502 Info UpstreamRestarted "An upstream has started again under its name; nothing known of it before holds." "None, unless it repeats.";
    503 Info UpstreamLimited "An upstream names how many requests a second it takes from all boxes together, or another number than before." "If it lasts, look at what the upstream is short of, or add upstreams to its service.";
    504 Info UpstreamUnlimited "An upstream names no limit any more." "None.";
    505 Warn SignalUnreadable "An upstream says something of itself that can't be meant; it is passed over, and the answer is delivered." "Correct the upstream.";
    506 Info UpstreamResting "An upstream refused a request and asked this box for rest." "If it lasts, look at what the upstream is short of, or add upstreams.";
    507 Warn UpstreamCold "An upstream was asked how it is, since the store was silent, and is cold; it gets few requests for a time." "None.";
    508 Info HealthUnanswered "An upstream that was asked how it is gave no answer that can be used." "If it repeats while requests are served, check the upstream's health path.";
    514 Warn UpstreamPathLost "This box reaches no upstream; it uses connections of other boxes." "Check the network between the box and the upstreams.";
    515 Info UpstreamPathRestored "This box reaches upstreams again." "None.";
    516 Info RetryBudgetUsed "Requests of a service are retried; the line has this box's counts since its start, and what its share of the budget has left." "If retries are denied for long, check the service's upstreams.";
    517 Warn ResponseDiscarded "An upstream's response was discarded; the line tells why. Its request may have run." "Check the upstream.";
    310 Info MemberHeard "Other boxes are heard again, or for the first time." "None.";
    311 Warn MemberSilent "Other boxes are no longer heard." "Check the boxes and the network between the zones.";
    510 Info RequestServed "A routed request got an upstream's answer." "None.";
    511 Warn RequestRetried "A routed request goes to another upstream." "Check the upstream, if one stands out.";
    512 Warn RequestRefused "A routed request was refused; it has not run." "Compare the service's load with its upstreams.";
    513 Warn RequestFailed "A routed request failed after it may have run." "Check the upstream.";
    520 Warn RequestSuspected "Upstreams ended under a request twice, one after the other; the line names them." "Look at what they logged as they ended.";
    521 Error RequestShutOut "Upstreams ended under a request again and again; no box sends it any more for a time." "Find out what in the request ends them; status lists how long it is held back.";
    522 Info RequestCleared "A suspected request was answered by an upstream." "None.";
    523 Info RequestLetOut "A request that was shut out may be sent again; one more upstream that ends under it shuts it out for longer." "None.";
    600 Warn CallerCut "An answer or an upload was cut short." "Check the upstream and the caller's network.";
    601 Warn ClaimLost "A claim's outcome is not known; the request was not run." "Check the platform's store.";
    602 Warn ResponseUnacknowledged "A client's connection failed or stalled while it was being closed, before the client had acknowledged all of its response." "If many come together, check the clients' network and the time that the platform gives boxes to stop.";
    700 Warn MetricsFailed "Metrics could not be sent." "Check the metrics address.";
}

impl Event {
    /// The event's row in the catalogue.
    pub fn row(self) -> &'static EventRow {
        // The macro writes variants and rows in the same order.
        &Self::ALL[self as usize]
    }
}
