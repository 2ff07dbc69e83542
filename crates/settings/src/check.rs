//! Checks values that have the right shape: ranges, references, duplicates.

use crate::{BoxSettings, Deployment, Problem, reference};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Shortest ticket secret and credential, in characters.
const SHORTEST_SECRET: usize = 16;

/// Most slots that an upstream can have.
const MOST_SLOTS: u32 = 4_096;

/// Checks every number of a box's file against its range, and what must be given.
pub(crate) fn check_box(value: &Value, settings: &BoxSettings, problems: &mut Vec<Problem>) {
    for field in reference::REFERENCE {
        let pointer = format!("/{}", field.path.replace('.', "/"));
        let Some(number) = value.pointer(&pointer).and_then(Value::as_u64) else {
            continue;
        };
        if let Some(range) = field.range
            && !(range.least..=range.most).contains(&number)
        {
            problems.push(Problem::new(
                field.path,
                format!("{number} is outside {} to {}", range.least, range.most),
            ));
        }
    }
    required("id", &settings.id, problems);
    required("zone", &settings.zone, problems);
    for (path, address) in [
        ("metrics_address", &settings.metrics_address),
        (
            "advertised_caller_address",
            &settings.advertised_caller_address,
        ),
        ("advertised_peer_address", &settings.advertised_peer_address),
    ] {
        optional_address(path, address, problems);
    }
}

/// Checks a deployment's file.
pub(crate) fn check_deployment(deployment: &Deployment, problems: &mut Vec<Problem>) {
    secret("ticket_secret", &deployment.ticket_secret, problems);
    let zones = check_zones(deployment, problems);
    for (index, block) in deployment.client_blocks.iter().enumerate() {
        let path = format!("client_blocks[{index}].zone");
        known_zone(&path, &block.zone, &zones, problems);
    }
    let mut names = BTreeSet::new();
    let mut tokens = BTreeSet::new();
    for (index, workspace) in deployment.workspaces.iter().enumerate() {
        let path = format!("workspaces[{index}]");
        unique(
            &format!("{path}.name"),
            &workspace.name,
            &mut names,
            problems,
        );
        for (field, token) in [
            ("caller_token", &workspace.caller_token),
            ("operator_token", &workspace.operator_token),
        ] {
            let path = format!("{path}.{field}");
            secret(&path, token, problems);
            if !token.is_empty() && !tokens.insert(token.clone()) {
                problems.push(Problem::new(path, "another credential has the same value"));
            }
        }
        check_services(&path, workspace, &zones, problems);
    }
}

fn check_zones(deployment: &Deployment, problems: &mut Vec<Problem>) -> BTreeSet<String> {
    let mut regions = BTreeSet::new();
    let mut zones = BTreeSet::new();
    if deployment.regions.is_empty() {
        problems.push(Problem::new("regions", "at least one region is needed"));
    }
    for (index, region) in deployment.regions.iter().enumerate() {
        let path = format!("regions[{index}]");
        unique(
            &format!("{path}.name"),
            &region.name,
            &mut regions,
            problems,
        );
        for (zone_index, zone) in region.zones.iter().enumerate() {
            let path = format!("{path}.zones[{zone_index}].name");
            unique(&path, &zone.name, &mut zones, problems);
        }
    }
    zones
}

fn check_services(
    path: &str,
    workspace: &crate::WorkspaceSettings,
    zones: &BTreeSet<String>,
    problems: &mut Vec<Problem>,
) {
    let mut names = BTreeSet::new();
    for (index, service) in workspace.services.iter().enumerate() {
        let path = format!("{path}.services[{index}]");
        unique(&format!("{path}.name"), &service.name, &mut names, problems);
        if !(1..=MOST_SLOTS).contains(&service.slots) {
            problems.push(Problem::new(
                format!("{path}.slots"),
                format!("{} is outside 1 to {MOST_SLOTS}", service.slots),
            ));
        }
        if service.connections < service.slots {
            problems.push(Problem::new(
                format!("{path}.connections"),
                "fewer connections than slots leave slots unused",
            ));
        }
        let mut upstreams = BTreeSet::new();
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let path = format!("{path}.upstreams[{index}]");
            unique(
                &format!("{path}.id"),
                &upstream.id,
                &mut upstreams,
                problems,
            );
            known_zone(&format!("{path}.zone"), &upstream.zone, zones, problems);
        }
    }
}

/// Checks that the box's zone is one of the deployment's.
pub(crate) fn check_together(
    settings: &BoxSettings,
    deployment: &Deployment,
    problems: &mut Vec<Problem>,
) {
    let zones = deployment
        .zones()
        .iter()
        .map(|zone| zone.as_str().to_owned())
        .collect();
    if !settings.zone.is_empty() {
        known_zone("zone", &settings.zone, &zones, problems);
    }
}

fn optional_address(path: &str, address: &str, problems: &mut Vec<Problem>) {
    if address.is_empty() || address.parse::<SocketAddr>().is_ok() {
        return;
    }
    let reason = format!("`{address}` is not an IP address and port, such as 10.0.0.1:8080");
    problems.push(Problem::new(path, reason));
}

fn required(path: &str, value: &str, problems: &mut Vec<Problem>) {
    if value.is_empty() {
        problems.push(Problem::new(path, "a name is needed"));
    }
}

fn secret(path: &str, value: &str, problems: &mut Vec<Problem>) {
    if value.len() < SHORTEST_SECRET {
        problems.push(Problem::new(
            path,
            format!("at least {SHORTEST_SECRET} characters are needed"),
        ));
    }
}

fn unique(path: &str, name: &str, seen: &mut BTreeSet<String>, problems: &mut Vec<Problem>) {
    required(path, name, problems);
    if !name.is_empty() && !seen.insert(name.to_owned()) {
        problems.push(Problem::new(path, format!("`{name}` stands here twice")));
    }
}

fn known_zone(path: &str, zone: &str, zones: &BTreeSet<String>, problems: &mut Vec<Problem>) {
    if zones.contains(zone) {
        return;
    }
    let known: Vec<&str> = zones.iter().map(String::as_str).collect();
    problems.push(Problem::new(
        path,
        format!("no zone `{zone}`; known zones: {}", known.join(", ")),
    ));
}
