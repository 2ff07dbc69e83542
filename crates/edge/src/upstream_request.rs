//! Builds the request that an upstream gets from the client's.

use crate::attempt::{Identity, OutgoingBody};
use crate::body::{AnyBody, full};
use crate::clock::Deadline;
use crate::dialect::Dialect;
use crate::request::end_to_end;
use brasswinch_framing::frame_request;
use brasswinch_types::{UpstreamId, Workspace};
use http::{HeaderValue, Request, header};
use hyper::body::Body;

/// What the head of a request to an upstream is built from.
pub(crate) struct Head<'a> {
    pub(crate) parts: &'a http::request::Parts,
    pub(crate) deadline: &'a Deadline,
    pub(crate) identity: Identity<'a>,
}

impl Head<'_> {
    /// Builds the request to an upstream: adds the remaining time, the intended upstream and the
    /// workspace's name, and removes the key where it is meant for this system.
    pub(crate) fn request_to(
        &self,
        upstream: &UpstreamId,
        body: OutgoingBody,
        dialect: &Dialect,
    ) -> Request<AnyBody> {
        let mut headers = end_to_end(&self.parts.headers);
        headers.remove(&dialect.workspace);
        if self.identity.strips_credential {
            headers.remove(header::AUTHORIZATION);
        }
        if let Some(workspace) = self.identity.workspace {
            headers.insert(&dialect.workspace, workspace_header(workspace));
        }
        let left = self.deadline.left().as_millis() as u64;
        headers.insert(&dialect.deadline_ms, HeaderValue::from(left));
        // The store's reader accepts only ids that are valid header values.
        if let Ok(id) = HeaderValue::from_str(upstream.as_str()) {
            headers.insert(&dialect.intended_upstream, id);
        }
        let body = match body {
            OutgoingBody::Buffered(bytes) => full(bytes),
            OutgoingBody::Streamed(body) => body,
        };
        frame_request(&self.parts.headers, &mut headers, body.size_hint().exact());
        let mut request = Request::new(body);
        *request.method_mut() = self.parts.method.clone();
        let path_and_query = self.parts.uri.path_and_query();
        if let Some(path_and_query) = path_and_query {
            *request.uri_mut() = http::Uri::from(path_and_query.clone());
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns a workspace's name as a header value. The configuration allows only names that are
/// valid header values.
fn workspace_header(workspace: &Workspace) -> HeaderValue {
    HeaderValue::from_str(workspace.as_str()).unwrap_or(HeaderValue::from_static(""))
}
