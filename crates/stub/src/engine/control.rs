//! State, cancellation, and the control face for tests.

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

/// What `GET /control/record` takes.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Parts {
    /// Whether the lists are left out.
    summary: bool,
}

/// What `POST /control/restart` takes.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(crate) struct Down {
    /// How long the engine is down, in milliseconds.
    down_ms: Option<u64>,
}

/// Answers nothing while the engine is deaf.
pub(crate) async fn deaf(
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
    Query(parts): Query<Parts>,
) -> Json<Record> {
    let recorder = &mut shared.inner.lock().recorder;
    Json(if parts.summary { recorder.summary() } else { recorder.snapshot() })
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
    Query(down): Query<Down>,
) -> StatusCode {
    connection.keep_open();
    let down = down.down_ms.map_or(shared.settings.down, Duration::from_millis);
    shared.restart(down);
    StatusCode::NO_CONTENT
}

pub(crate) async fn leave(State(shared): State<Arc<Shared>>) {
    shared.inner.lock().leaving = true;
}
