//! State, cancellation, and the control API for tests.

use std::sync::Arc;
use std::time::Duration;

use axum::Extension;
use axum::Json;
use axum::extract::Path;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware::Next;
use axum::response::Response;
use serde::Deserialize;
use wire::endpoint;

use crate::engine::shared::Shared;
use crate::fault::Faults;
use crate::record::Record;
use crate::server::Connection;

/// The query of `GET /control/record`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Selection {
    /// Whether runs, changes and keys are omitted.
    summary: bool,
}

/// The query of `POST /control/restart`.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Restart {
    /// The time that the engine is unreachable, in milliseconds.
    down_ms: Option<u64>,
}

/// Middleware that never responds while the `deaf` fault is set.
pub(crate) async fn hang_if_deaf(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    if shared.injector.faults().deaf {
        std::future::pending::<()>().await;
    }
    next.run(request).await
}

pub(crate) async fn state(State(shared): State<Arc<Shared>>) -> Json<endpoint::State> {
    Json(shared.state())
}

pub(crate) async fn cancel(
    State(shared): State<Arc<Shared>>,
    Path(id): Path<String>,
) -> StatusCode {
    let token = shared.inner.lock().cancels.get(id.as_str()).map(|(_, token)| token.clone());
    let Some(token) = token else { return StatusCode::NOT_FOUND };
    token.cancel();
    StatusCode::NO_CONTENT
}

pub(crate) async fn read_record(
    State(shared): State<Arc<Shared>>,
    Query(selection): Query<Selection>,
) -> Json<Record> {
    let recorder = &mut shared.inner.lock().recorder;
    Json(if selection.summary { recorder.summary() } else { recorder.snapshot() })
}

pub(crate) async fn reset_record(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().recorder.reset();
}

pub(crate) async fn read_faults(State(shared): State<Arc<Shared>>) -> Json<Faults> {
    Json(shared.injector.faults())
}

pub(crate) async fn set_faults(State(shared): State<Arc<Shared>>, Json(faults): Json<Faults>) {
    shared.injector.set(faults);
}

pub(crate) async fn restart(
    State(shared): State<Arc<Shared>>,
    Extension(connection): Extension<Connection>,
    Query(options): Query<Restart>,
) -> StatusCode {
    connection.keep_open();
    let downtime = options.down_ms.map_or(shared.settings.downtime, Duration::from_millis);
    shared.restart(downtime);
    StatusCode::NO_CONTENT
}

pub(crate) async fn leave(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().leaving = true;
}
