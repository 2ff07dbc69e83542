//! Reads what callers send: credential, workspace, service, headers.

use super::{DEADLINE_HEADER, KEY_HEADER, TICKET_HEADER};
use crate::context::{Context, WorkspaceRuntime};
use crate::service::ServiceRuntime;
use brasswinch_types::{ErrorKind, Millis, ServiceKey};
use http::{HeaderMap, header};
use std::sync::Arc;

/// Longest key of a caller, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// The workspace whose caller credential the request carries.
pub(crate) fn caller_workspace(
    context: &Context,
    headers: &HeaderMap,
) -> Result<Arc<WorkspaceRuntime>, ErrorKind> {
    let token = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(ErrorKind::Unauthenticated)?;
    context
        .callers
        .get(token)
        .cloned()
        .ok_or(ErrorKind::Unauthenticated)
}

/// The service that `name` means to `workspace`.
pub(crate) fn service_of(
    context: &Context,
    workspace: &WorkspaceRuntime,
    name: &str,
) -> Result<Arc<ServiceRuntime>, ErrorKind> {
    let key = ServiceKey::new(workspace.name.clone(), name);
    context
        .services
        .get(&key)
        .cloned()
        .ok_or(ErrorKind::UnknownService)
}

/// A header as text; present but unreadable is malformed.
fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, ErrorKind> {
    headers
        .get(name)
        .map(|value| value.to_str().map_err(|_| ErrorKind::MalformedRequest))
        .transpose()
}

/// The sealed ticket.
pub(crate) fn ticket(headers: &HeaderMap) -> Result<Option<&str>, ErrorKind> {
    text(headers, TICKET_HEADER)
}

/// The caller's own key.
pub(crate) fn key(headers: &HeaderMap) -> Result<Option<&str>, ErrorKind> {
    let key = text(headers, KEY_HEADER)?;
    if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
        return Err(ErrorKind::MalformedRequest);
    }
    Ok(key)
}

/// The time the request may take: the caller's, but at most the policy's.
pub(crate) fn deadline_ms(headers: &HeaderMap, most: Millis) -> Result<Millis, ErrorKind> {
    let Some(text) = text(headers, DEADLINE_HEADER)? else {
        return Ok(most);
    };
    let wanted: Millis = text.parse().map_err(|_| ErrorKind::MalformedRequest)?;
    Ok(wanted.min(most))
}
