//! A caller's request while the gate serves it.

use std::sync::Arc;

use base::Name;
use bytes::Bytes;
use fleet::endpoint::Endpoint;
use fleet::origin;
use fleet::origin::Origin;
use fleet::plan::Kind;
use fleet::plan::Route;
use fleet::quarantine::Fingerprint;
use fleet::tenant::Tenant;
use hyper::http::request::Parts;
use tokio::time::Instant;

use crate::identity::Sender;
use crate::protocol::Request;
use crate::upload;

/// A caller's request with its route.
pub(crate) struct Call {
    pub(crate) request: Request,
    /// The route, with the rank of the tenant.
    pub(crate) route: Route,
    /// The tenant that sent the request.
    pub(crate) tenant: Option<Arc<Tenant>>,
    /// Whether the plan has tenants.
    pub(crate) checked: bool,
    /// The version of the plan by which the tenant was determined.
    pub(crate) version: u64,
    /// The service that was picked from the route's splits.
    pub(crate) service: Name,
    /// Where the stream began, if the request resumes one.
    pub(crate) origin: Option<Origin>,
    pub(crate) fingerprint: Arc<Fingerprint>,
    /// The head as received.
    pub(crate) parts: Parts,
    pub(crate) body: Bytes,
    /// The memory of the body.
    pub(crate) _memory: upload::Reservation,
    /// The time at which the head was received.
    pub(crate) received: Instant,
    pub(crate) deadline: Instant,
}

impl Call {
    /// Returns the digest of the attempt that began the stream which the request resumes.
    pub(crate) fn resumed_stream(&self) -> Option<u64> {
        let began = self.request.resumes.as_ref()?;
        matches!(self.route.kind, Kind::Stream { .. }).then(|| base::digest(began.as_bytes()))
    }

    /// Returns the origin of the stream that the request begins at an endpoint; `None` if it resumes one or if the
    /// route's streams cannot be resumed.
    pub(crate) fn new_origin(&self, endpoint: &Endpoint) -> Option<Origin> {
        let resumable = self.route.kind == Kind::Stream { resumable: true };
        if !resumable || self.request.resumes.is_some() {
            return None;
        }
        let stream = base::digest(self.request.id.as_bytes());
        let left = self.request.deadline.unwrap_or(self.route.timeout) + origin::GRACE;
        Some(Origin {
            stream,
            service: endpoint.service.clone(),
            build: endpoint.build.clone(),
            left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Returns the sender, as endpoints are told.
    pub(crate) fn sender(&self) -> Sender {
        match &self.tenant {
            Some(tenant) => Sender::Tenant(tenant.name.clone()),
            None if self.checked => Sender::Anonymous,
            None => Sender::Unchecked,
        }
    }

    /// Returns whether an endpoint may run the request.
    pub(crate) fn admits(&self, endpoint: &Endpoint) -> bool {
        endpoint.service == self.service
            && self.origin.as_ref().is_none_or(|origin| origin.build == endpoint.build)
    }
}
