//! Admission control: marks the adapter as in use, acquires a batch permit and records the run.

use std::sync::Arc;

use axum::http::HeaderMap;
use base::Name;
use tokio_util::sync::CancellationToken;
use wire::endpoint::Model;
use wire::endpoint::Reason;
use wire::header;

use crate::engine::batch::Permit;
use crate::engine::request::Request;
use crate::engine::shared::Shared;
use crate::record::Start;
use crate::record::Status;
use crate::service::header_number;
use crate::service::header_text;

/// Priority of a request without a priority header.
const DEFAULT_PRIORITY: u64 = 5;

/// Admits a request: checks the fencing token and that the adapter is loaded, then waits for a permit.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    request: &Request,
    headers: &HeaderMap,
    fence: u64,
) -> Result<Execution, Reason> {
    if shared.injector.faults().refuse {
        return Err(Reason::Busy);
    }
    if headers.contains_key(header::FENCE) {
        shared.check_fence(fence, "request")?;
    }
    let admission = Admission::begin(shared, request)?;
    let priority = header_text(headers, header::PRIORITY)
        .map_or(DEFAULT_PRIORITY, |_| header_number(headers, header::PRIORITY));
    let permit = tokio::select! {
        permit = shared.batch.acquire(priority) => permit,
        () = admission.cancel.cancelled() => None,
    };
    let Some(permit) = permit else {
        shared.inner.lock().recorder.totals().busy += 1;
        return Err(Reason::Busy);
    };
    let start = Start {
        request: request.id.clone(),
        model: Some(request.model.clone()),
        key: header_text(headers, header::IDEMPOTENCY_KEY),
        digest: request.prompt_digest,
        fence,
    };
    let run = shared.inner.lock().recorder.begin(start);
    Ok(Execution { run, end: Status::Cancelled, _permit: permit, admission })
}

/// A request that waits or runs; its adapter counts as in use until this is dropped.
pub(crate) struct Admission {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: Name,
    pub(crate) model: Model,
    pub(crate) generation: u64,
    pub(crate) arrival: u64,
    pub(crate) cancel: CancellationToken,
}

impl Admission {
    pub(crate) fn begin(shared: &Arc<Shared>, request: &Request) -> Result<Admission, Reason> {
        let mut inner = shared.inner.lock();
        match inner.slots.get_mut(&request.model) {
            Some(slot) if slot.loaded => slot.users += 1,
            _ => {
                inner.recorder.totals().not_loaded += 1;
                return Err(Reason::NotLoaded);
            }
        }
        inner.arrivals += 1;
        let arrival = inner.arrivals;
        let cancel = CancellationToken::new();
        inner.cancels.insert(request.id.clone(), (arrival, cancel.clone()));
        Ok(Admission {
            shared: shared.clone(),
            request: request.id.clone(),
            model: request.model.clone(),
            generation: inner.recorder.generation(),
            arrival,
            cancel,
        })
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let mut inner = self.shared.inner.lock();
        if inner.recorder.generation() != self.generation {
            return;
        }
        if let Some(slot) = inner.slots.get_mut(&self.model) {
            slot.users -= 1;
        }
        if inner.cancels.get(&self.request).is_some_and(|(arrival, _)| *arrival == self.arrival) {
            inner.cancels.remove(&self.request);
        }
    }
}

/// A request in the batch; records the end of the run when dropped.
pub(crate) struct Execution {
    pub(crate) run: u64,
    pub(crate) end: Status,
    _permit: Permit,
    pub(crate) admission: Admission,
}

impl Drop for Execution {
    fn drop(&mut self) {
        self.admission.shared.inner.lock().recorder.end(self.run, self.end);
    }
}
