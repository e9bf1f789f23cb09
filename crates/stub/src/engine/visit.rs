//! Admission: the hold on an adapter, the seat in the batch, the recorded run.

use std::sync::Arc;

use axum::http::HeaderMap;
use base::Name;
use tokio_util::sync::CancellationToken;
use wire::endpoint::Model;
use wire::endpoint::Reason;
use wire::header;

use crate::engine::ask::Ask;
use crate::engine::batch::Seat;
use crate::engine::shared::Shared;
use crate::record::End;
use crate::record::Start;
use crate::service::number;
use crate::service::text;

/// The priority of a request that states none.
const PRIORITY: u64 = 5;

/// Admits a request: fencing number, loaded adapter, a seat in the batch.
pub(crate) async fn admit(
    shared: &Arc<Shared>,
    ask: &Ask,
    headers: &HeaderMap,
    fence: u64,
) -> Result<Work, Reason> {
    if shared.injector.faults().refuse {
        return Err(Reason::Busy);
    }
    if headers.contains_key(header::FENCE) {
        shared.check_fence(fence, "request")?;
    }
    let visit = Visit::begin(shared, ask)?;
    let priority =
        text(headers, header::PRIORITY).map_or(PRIORITY, |_| number(headers, header::PRIORITY));
    let seat = tokio::select! {
        seat = shared.batch.seat(priority) => seat,
        () = visit.cancel.cancelled() => None,
    };
    let Some(seat) = seat else {
        shared.table.lock().book.totals().busy += 1;
        return Err(Reason::Busy);
    };
    let start = Start {
        request: ask.request.clone(),
        model: Some(ask.model.clone()),
        key: text(headers, header::IDEMPOTENCY_KEY),
        digest: ask.prompt,
        fence,
    };
    let run = shared.table.lock().book.begin(start);
    Ok(Work { run, end: End::Cancelled, _seat: seat, visit })
}

/// A request's hold on its adapter while it waits or runs; let go when dropped.
pub(crate) struct Visit {
    pub(crate) shared: Arc<Shared>,
    pub(crate) request: Name,
    pub(crate) model: Model,
    pub(crate) generation: u64,
    pub(crate) arrival: u64,
    pub(crate) cancel: CancellationToken,
}

impl Visit {
    pub(crate) fn begin(shared: &Arc<Shared>, ask: &Ask) -> Result<Visit, Reason> {
        let mut table = shared.table.lock();
        match table.slots.get_mut(&ask.model) {
            Some(slot) if slot.loaded => slot.users += 1,
            _ => {
                table.book.totals().not_loaded += 1;
                return Err(Reason::NotLoaded);
            }
        }
        table.arrivals += 1;
        let arrival = table.arrivals;
        let cancel = CancellationToken::new();
        table.cancels.insert(ask.request.clone(), (arrival, cancel.clone()));
        Ok(Visit {
            shared: shared.clone(),
            request: ask.request.clone(),
            model: ask.model.clone(),
            generation: table.book.generation(),
            arrival,
            cancel,
        })
    }
}

impl Drop for Visit {
    fn drop(&mut self) {
        let mut table = self.shared.table.lock();
        if table.book.generation() != self.generation {
            return;
        }
        if let Some(slot) = table.slots.get_mut(&self.model) {
            slot.users -= 1;
        }
        if table.cancels.get(&self.request).is_some_and(|(arrival, _)| *arrival == self.arrival) {
            table.cancels.remove(&self.request);
        }
    }
}

/// A request in the batch; its end is recorded when dropped.
pub(crate) struct Work {
    pub(crate) run: u64,
    pub(crate) end: End,
    _seat: Seat,
    pub(crate) visit: Visit,
}

impl Drop for Work {
    fn drop(&mut self) {
        self.visit.shared.table.lock().book.end(self.run, self.end);
    }
}
