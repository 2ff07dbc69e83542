//! What operators' commands do: calls of the administration API.

use crate::commands::{EXIT_FAILED, EXIT_OK, EXIT_SUPERSEDED, EXIT_UNKNOWN, EXIT_WRONG};
use brasswinch_daemon::{PolicyView, StatusView, SubmitAnswer, SubmitOutcome};
use brasswinch_edge::BoxStatus;
use brasswinch_lab::callers::{Caller, Job, Tally, open_load};
use brasswinch_lab::http::{LabClient, LabError, decode};
use serde_json::json;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// Environment variable with the credential.
const TOKEN_VARIABLE: &str = "BRASSWINCH_TOKEN";

/// A box's administration API, with the operator's credential.
pub(crate) struct Connection {
    client: LabClient,
    admin: SocketAddr,
    token: String,
}

impl Connection {
    pub(crate) fn new(admin: SocketAddr) -> Result<Self, LabError> {
        let token = credential()?;
        Ok(Self {
            client: LabClient::default(),
            admin,
            token,
        })
    }

    async fn status(&self) -> Result<StatusView, LabError> {
        self.client
            .get(self.admin, "/v1/status", Some(&self.token))
            .await
    }
}

fn credential() -> Result<String, LabError> {
    std::env::var(TOKEN_VARIABLE).map_err(|_| {
        LabError::Answer(format!(
            "no credential: set {TOKEN_VARIABLE} to the workspace's token"
        ))
    })
}

fn read(file: &Path) -> Result<String, LabError> {
    Ok(std::fs::read_to_string(file)?)
}

/// `policy check`.
pub(crate) async fn check(connection: &Connection, file: &Path) -> Result<u8, LabError> {
    let body = json!({ "source": read(file)? });
    let token = Some(connection.token.as_str());
    let answer = connection
        .client
        .post(connection.admin, "/v1/policy/check", token, &body)
        .await?;
    let value: serde_json::Value = decode(&answer)?;
    println!("{value:#}");
    Ok(match answer.status {
        200 => EXIT_OK,
        422 => EXIT_WRONG,
        _ => EXIT_FAILED,
    })
}

/// `policy submit`.
pub(crate) async fn submit(
    connection: &Connection,
    file: &Path,
    expected_version: Option<u64>,
    submission: Option<String>,
) -> Result<u8, LabError> {
    let body = json!({
        "source": read(file)?,
        "expected_version": expected_version,
        "submission": submission,
    });
    send_change(connection, "/v1/policy", &body).await
}

/// `drain start` and `drain cancel`.
pub(crate) async fn drain(
    connection: &Connection,
    service: &str,
    upstream: &str,
    reason: &str,
    cancel: bool,
) -> Result<u8, LabError> {
    let body = json!({
        "service": service,
        "upstream": upstream,
        "reason": reason,
        "cancel": cancel,
    });
    send_change(connection, "/v1/drains", &body).await
}

async fn send_change(
    connection: &Connection,
    path: &str,
    body: &serde_json::Value,
) -> Result<u8, LabError> {
    let token = Some(connection.token.as_str());
    let answer = connection
        .client
        .post(connection.admin, path, token, body)
        .await?;
    let answer: SubmitAnswer = decode(&answer)?;
    let version = answer.version.map(|version| format!(", version {version}"));
    println!(
        "{:?}{}, submission {}",
        answer.outcome,
        version.unwrap_or_default(),
        answer.submission
    );
    if let Some(reason) = &answer.reason {
        println!("{reason}");
    }
    Ok(match answer.outcome {
        SubmitOutcome::Accepted => EXIT_OK,
        SubmitOutcome::Superseded => EXIT_SUPERSEDED,
        SubmitOutcome::Unknown => EXIT_UNKNOWN,
        SubmitOutcome::Refused => EXIT_WRONG,
        SubmitOutcome::Unavailable => EXIT_FAILED,
    })
}

/// `policy show`.
pub(crate) async fn show(connection: &Connection) -> Result<u8, LabError> {
    let token = Some(connection.token.as_str());
    let policy: PolicyView = connection
        .client
        .get(connection.admin, "/v1/policy", token)
        .await?;
    println!(
        "// version {}, submission {}",
        policy.version, policy.submission
    );
    print!("{}", policy.source);
    Ok(EXIT_OK)
}

/// `policy status`.
pub(crate) async fn in_force(connection: &Connection) -> Result<u8, LabError> {
    let status = connection.status().await?;
    match &status.policy {
        Some(policy) => println!("version {} at {}", policy.version, status.answered_by),
        None => println!("no policy at {}", status.answered_by),
    }
    for known in &status.boxes {
        let word = match (known.heard, known.in_force) {
            (false, _) => "not heard",
            (true, true) => "in force",
            (true, false) => "other configuration",
        };
        println!("{:24} {:16} {word}", known.id, known.zone);
    }
    Ok(EXIT_OK)
}

/// `drain status`.
pub(crate) async fn drains(connection: &Connection) -> Result<u8, LabError> {
    for drain in connection.status().await?.drains {
        println!("{drain}");
    }
    Ok(EXIT_OK)
}

/// `status` of a box on the users' platform, from its figures' address.
pub(crate) async fn box_status(figures: SocketAddr, as_json: bool) -> Result<u8, LabError> {
    let client = LabClient::default();
    let status: BoxStatus = client.get(figures, "/status", None).await?;
    if as_json {
        println!("{:#}", json!(status));
    } else {
        print!("{status}");
    }
    Ok(EXIT_OK)
}

/// `status`.
pub(crate) async fn status(connection: &Connection, as_json: bool) -> Result<u8, LabError> {
    let status = connection.status().await?;
    if as_json {
        println!("{:#}", json!(status));
        return Ok(EXIT_OK);
    }
    println!(
        "{} in {} is {}; store {}",
        status.answered_by,
        status.zone,
        status.state,
        if status.store_reached {
            "answers"
        } else {
            "does not answer"
        }
    );
    if !status.unreachable_zones.is_empty() {
        println!("zones not heard: {}", status.unreachable_zones.join(", "));
    }
    for service in &status.services {
        let class = service.class.as_deref().unwrap_or("no policy");
        println!("{} ({class})", service.service);
        for (zone, load) in &service.zones {
            println!("  {zone:16} {} of {} slots idle", load.idle, load.total);
        }
        for origin in &service.origins {
            println!("  callers of {}: {:?}", origin.origin, origin.shares);
        }
        if !service.leaving.is_empty() {
            println!("  leaving: {}", service.leaving.join(", "));
        }
    }
    for known in &status.boxes {
        let heard = if known.heard { "" } else { ", not heard" };
        println!("box {} in {}: {}{heard}", known.id, known.zone, known.state);
    }
    Ok(EXIT_OK)
}

/// A load that `lab callers` sends.
pub(crate) struct Load {
    pub(crate) from: IpAddr,
    pub(crate) boxes: Vec<SocketAddr>,
    pub(crate) workspace: String,
    pub(crate) service: String,
    pub(crate) per_second: f64,
    pub(crate) seconds: u64,
    pub(crate) upload_bytes: usize,
}

/// `lab callers`.
pub(crate) async fn callers(load: Load) -> Result<u8, LabError> {
    if load.boxes.is_empty() {
        return Err(LabError::Answer(
            "name at least one box's caller address".into(),
        ));
    }
    let tally = Arc::new(Tally::default());
    let caller = Caller::new(load.from, load.boxes);
    let mut job = Job::small(&load.workspace, &credential()?, &load.service, "");
    job.upload_bytes = load.upload_bytes;
    let duration = Duration::from_secs(load.seconds);
    open_load(caller, job, load.per_second, duration, Arc::clone(&tally)).await;
    let latencies = tally.latencies()?;
    println!("{:?}", tally.by_outcome());
    for quantile in [0.5, 0.99, 0.999] {
        let ms = latencies.value_at_quantile(quantile) as f64 / 1_000.0;
        println!("p{}: {ms:.2} ms", quantile * 100.0);
    }
    Ok(EXIT_OK)
}
