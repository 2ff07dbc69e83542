//! The routes of the administration API.

use super::submit::{Submission, submit};
use super::views::{PolicyView, StatusView, SubmitAnswer, SubmitOutcome};
use crate::context::Context;
use crate::control::Command;
use brasswinch_policy::{PolicyLimits, evaluate};
use brasswinch_store::Store;
use brasswinch_types::{
    ConfigDocument, ConfigKey, DrainNotice, PolicyText, Service, SubmissionId, Tombstone,
    UpstreamId, Workspace,
};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use warp::Filter;
use warp::http::StatusCode;
use warp::reply::{Json, WithStatus, json, with_status};

/// Longest body of a call, in bytes: a policy in JSON.
const MAX_BODY_BYTES: u64 = 256 * 1024;

/// A policy to be submitted.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct PolicyBody {
    source: String,
    expected_version: Option<u64>,
    submission: Option<String>,
}

/// A drain to be announced or cancelled.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    service: String,
    upstream: String,
    #[serde(default)]
    reason: String,
    #[serde(default)]
    cancel: bool,
}

/// An error of the API.
#[derive(Debug, Serialize)]
struct ApiError {
    error: &'static str,
    text: String,
}

type Answer = WithStatus<Json>;

/// Latencies of one class.
#[derive(Debug, Serialize)]
struct LatencyView {
    class: &'static str,
    count: u64,
    p50_us: u64,
    p99_us: u64,
    p999_us: u64,
}

/// Serves operators until the process ends.
pub(crate) async fn serve(context: Arc<Context>, store: Store, listener: TcpListener) {
    let api = Api { context, store };
    let api = warp::any().map(move || api.clone());
    let operator = warp::header::optional::<String>("authorization");
    let body = warp::body::content_length_limit(MAX_BODY_BYTES);
    let status = warp::path!("v1" / "status")
        .and(warp::get())
        .and(api.clone())
        .and(operator)
        .then(Api::status);
    let policy = warp::path!("v1" / "policy")
        .and(warp::get())
        .and(api.clone())
        .and(operator)
        .then(Api::policy);
    let submit_policy = warp::path!("v1" / "policy")
        .and(warp::post())
        .and(api.clone())
        .and(operator)
        .and(body)
        .and(warp::body::json())
        .then(Api::submit_policy);
    let check_policy = warp::path!("v1" / "policy" / "check")
        .and(warp::post())
        .and(api.clone())
        .and(operator)
        .and(body)
        .and(warp::body::json())
        .then(Api::check_policy);
    let drain = warp::path!("v1" / "drains")
        .and(warp::post())
        .and(api.clone())
        .and(operator)
        .and(body)
        .and(warp::body::json())
        .then(Api::drain);
    let latency = warp::path!("v1" / "latency")
        .and(warp::get())
        .and(api)
        .and(operator)
        .then(Api::latency);
    let routes = status
        .or(policy)
        .unify()
        .or(submit_policy)
        .unify()
        .or(check_policy)
        .unify()
        .or(drain)
        .unify()
        .or(latency)
        .unify()
        .recover(rejected);
    warp::serve(routes).incoming(listener).run().await;
}

#[derive(Clone)]
struct Api {
    context: Arc<Context>,
    store: Store,
}

impl Api {
    async fn status(self, credential: Option<String>) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        match self.status_of(workspace).await {
            Some(status) => ok(&status),
            None => stopping(),
        }
    }

    async fn policy(self, credential: Option<String>) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        let policy: Option<Option<PolicyView>> =
            self.status_of(workspace).await.map(|status| status.policy);
        match policy {
            Some(Some(policy)) => ok(&policy),
            Some(None) => failed(StatusCode::NOT_FOUND, "no_policy", "no policy is in force"),
            None => stopping(),
        }
    }

    async fn submit_policy(self, credential: Option<String>, body: PolicyBody) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        let Some(id) = submission_id(body.submission.as_deref()) else {
            return failed(
                StatusCode::BAD_REQUEST,
                "malformed_request",
                "a submission is 16 hexadecimal digits",
            );
        };
        if let Err(error) = self.evaluate(&workspace, &body.source) {
            return with_status(
                json(&refused(id, error.to_string())),
                StatusCode::UNPROCESSABLE_ENTITY,
            );
        }
        let submission = Submission {
            id,
            key: ConfigKey::Policy(workspace),
            document: ConfigDocument::Policy(PolicyText {
                source: body.source,
            }),
            expected_version: body.expected_version,
        };
        submitted(&submit(&self.context, &self.store, submission).await)
    }

    async fn check_policy(self, credential: Option<String>, body: PolicyBody) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        match self.evaluate(&workspace, &body.source) {
            Ok(plan) => ok(&plan),
            Err(error) => with_status(json(&error), StatusCode::UNPROCESSABLE_ENTITY),
        }
    }

    async fn drain(self, credential: Option<String>, body: DrainBody) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        let id = SubmissionId(rand::random());
        let service = Service::new(&body.service);
        let upstream = UpstreamId::new(&body.upstream);
        let inventory = self.context.settings.deployment.inventory(&workspace);
        let known = inventory
            .services
            .get(&service)
            .is_some_and(|service| service.upstreams.contains(&upstream));
        if !known {
            let reason = format!("no upstream `{upstream}` of a service `{service}`");
            return with_status(json(&refused(id, reason)), StatusCode::UNPROCESSABLE_ENTITY);
        }
        let document = if body.cancel {
            ConfigDocument::Withdrawn(Tombstone {})
        } else {
            ConfigDocument::Drain(DrainNotice {
                reason: body.reason,
            })
        };
        let submission = Submission {
            id,
            key: ConfigKey::Drain(workspace, service, upstream),
            document,
            expected_version: None,
        };
        submitted(&submit(&self.context, &self.store, submission).await)
    }

    async fn latency(self, credential: Option<String>) -> Answer {
        let Some(workspace) = self.workspace(credential) else {
            return unauthenticated();
        };
        let views: Vec<LatencyView> = self
            .context
            .latency
            .summary()
            .into_iter()
            .filter(|latency| latency.workspace == workspace)
            .map(|latency| LatencyView {
                class: latency.class,
                count: latency.count,
                p50_us: latency.p50_us,
                p99_us: latency.p99_us,
                p999_us: latency.p999_us,
            })
            .collect();
        ok(&views)
    }

    fn workspace(&self, credential: Option<String>) -> Option<Workspace> {
        let credential = credential?;
        let token = credential.strip_prefix("Bearer ")?;
        self.context.operators.get(token).cloned()
    }

    fn evaluate(
        &self,
        workspace: &Workspace,
        source: &str,
    ) -> Result<brasswinch_types::Plan, brasswinch_policy::PolicyError> {
        let inventory = self.context.settings.deployment.inventory(workspace);
        evaluate(source, inventory, PolicyLimits::default())
    }

    async fn status_of(&self, workspace: Workspace) -> Option<StatusView> {
        let (answer, status) = oneshot::channel();
        self.context.tell(Command::Status { workspace, answer });
        status.await.ok()
    }
}

fn submission_id(text: Option<&str>) -> Option<SubmissionId> {
    let Some(text) = text else {
        return Some(SubmissionId(rand::random()));
    };
    u64::from_str_radix(text, 16).ok().map(SubmissionId)
}

fn refused(id: SubmissionId, reason: String) -> SubmitAnswer {
    SubmitAnswer {
        outcome: SubmitOutcome::Refused,
        version: None,
        submission: id.to_string(),
        reason: Some(reason),
    }
}

fn submitted(answer: &SubmitAnswer) -> Answer {
    let status = match answer.outcome {
        SubmitOutcome::Accepted => StatusCode::OK,
        SubmitOutcome::Superseded => StatusCode::CONFLICT,
        SubmitOutcome::Refused => StatusCode::UNPROCESSABLE_ENTITY,
        SubmitOutcome::Unknown => StatusCode::GATEWAY_TIMEOUT,
        SubmitOutcome::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    };
    with_status(json(answer), status)
}

fn ok<T: Serialize>(value: &T) -> Answer {
    with_status(json(value), StatusCode::OK)
}

fn unauthenticated() -> Answer {
    failed(
        StatusCode::UNAUTHORIZED,
        "unauthenticated",
        "a workspace's operator credential is needed",
    )
}

fn stopping() -> Answer {
    failed(
        StatusCode::SERVICE_UNAVAILABLE,
        "box_leaving",
        "this box is stopping; ask another",
    )
}

fn failed(status: StatusCode, error: &'static str, text: &str) -> Answer {
    let body = ApiError {
        error,
        text: text.to_owned(),
    };
    with_status(json(&body), status)
}

async fn rejected(rejection: warp::Rejection) -> Result<Answer, Infallible> {
    let (status, error) = if rejection.is_not_found() {
        (StatusCode::NOT_FOUND, "not_found")
    } else {
        (StatusCode::BAD_REQUEST, "malformed_request")
    };
    Ok(failed(
        status,
        error,
        "the call can't be read or isn't known",
    ))
}
