//! Look-ups: which entry boxes a caller should use, in order, and for how long.

use super::answer::json_answer;
use super::body::AnswerBody;
use super::request;
use crate::context::{Candidate, Context, Snapshot};
use crate::service::ServiceRuntime;
use crate::steering;
use brasswinch_decide::members::BoxState;
use brasswinch_types::{ErrorKind, Ticket, Zone};
use http::{HeaderMap, Response, Uri};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Most boxes that one answer names.
const MOST_BOXES: usize = 3;

/// The answer to a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupAnswer {
    /// The region chosen.
    pub region: String,
    /// The boxes to use, in this order.
    pub boxes: Vec<LookupBox>,
    /// How long the answer may be kept, in milliseconds.
    pub ttl_ms: u64,
    /// The ticket, for services whose requests run at most once. It names the first box.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ticket: Option<String>,
}

/// A box that a look-up hands out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookupBox {
    /// Its name.
    pub id: String,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
}

/// Answers `GET /v1/lookup?service=NAME[&key=KEY]`.
pub(crate) fn lookup(
    context: &Context,
    uri: &Uri,
    headers: &HeaderMap,
    peer: IpAddr,
) -> Result<Response<AnswerBody>, ErrorKind> {
    let workspace = request::caller_workspace(context, headers)?;
    let name = query_value(uri, "service").ok_or(ErrorKind::MalformedRequest)?;
    let service = request::service_of(context, &workspace, name)?;
    let key = request::key(headers)?;
    let snapshot = context.snapshot.load();
    if snapshot.state == BoxState::Starting {
        return Err(ErrorKind::BoxStarting);
    }
    let plan = service.plan.load_full().ok_or(ErrorKind::NoPolicy)?;
    let caller_zone = context.blocks.zone_of(peer).unwrap_or(&context.zone);
    let origin = context
        .settings
        .deployment
        .region_of(caller_zone)
        .ok_or(ErrorKind::NoRegion)?;
    let region = steering::pick_region(context, &service, &plan, &snapshot, &origin)?;
    let zones = steering::rank_zones(context, &service, &snapshot, &region, caller_zone);
    let most = if plan.class.needs_ticket() {
        1
    } else {
        MOST_BOXES
    };
    let boxes = boxes_of(&snapshot, &zones, most);
    let Some(first) = boxes.first() else {
        return Err(ErrorKind::ShiftCapped);
    };
    count_sent(context, &service, zones.first());
    let ticket = plan
        .class
        .needs_ticket()
        .then(|| issue_ticket(context, &service, first, key));
    Ok(json_answer(&LookupAnswer {
        region: region.as_str().to_owned(),
        ttl_ms: context.settings.this_box.limits.lookup_ttl_ms,
        ticket,
        boxes: boxes
            .iter()
            .map(|candidate| LookupBox {
                id: candidate.id.as_str().to_owned(),
                address: candidate.address,
            })
            .collect(),
    }))
}

/// Up to `most` boxes, zone by zone, each zone from a random start so that callers spread.
fn boxes_of<'a>(snapshot: &'a Snapshot, zones: &[Zone], most: usize) -> Vec<&'a Candidate> {
    let mut boxes = Vec::with_capacity(most);
    for zone in zones {
        let Some(candidates) = snapshot.candidates.get(zone) else {
            continue;
        };
        let start = rand::random::<u32>() as usize % candidates.len().max(1);
        let turned = candidates.iter().cycle().skip(start).take(candidates.len());
        boxes.extend(turned.take(most - boxes.len()));
    }
    boxes
}

fn count_sent(context: &Context, service: &ServiceRuntime, zone: Option<&Zone>) {
    let index = zone.and_then(|zone| context.zone_index(zone));
    if let Some(cell) = index.and_then(|index| service.zone_loads.get(index)) {
        cell.count_sent();
    }
}

fn issue_ticket(
    context: &Context,
    service: &ServiceRuntime,
    candidate: &Candidate,
    key: Option<&str>,
) -> String {
    let ttl_ms = context.settings.this_box.limits.ticket_ttl_ms;
    context.ticket_key.seal(&Ticket {
        service: service.key.clone(),
        box_id: candidate.id.clone(),
        incarnation: candidate.incarnation,
        nonce: rand::random(),
        key: key.map(str::to_owned),
        expires_ms: context.clock.wall_ms() + ttl_ms,
    })
}

fn query_value<'a>(uri: &'a Uri, name: &str) -> Option<&'a str> {
    uri.query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
