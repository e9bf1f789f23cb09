//! The HTTP API for operators: metrics and health.

use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::StatusCode;
use axum::routing::get;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::metrics::Metrics;
use crate::request::Request;

/// The time within which a healthy keeper returns its status.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The state shared by the handlers.
#[derive(Clone, Debug)]
struct Context {
    metrics: Metrics,
    driver: mpsc::Sender<Request>,
}

/// Serves `GET /metrics` and `GET /healthz` until it is aborted.
pub(crate) async fn serve(
    listener: TcpListener,
    metrics: Metrics,
    driver: mpsc::Sender<Request>,
) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/metrics", get(async |State(context): State<Context>| context.metrics.text()))
        .route("/healthz", get(health))
        .with_state(Context { metrics, driver });
    axum::serve(listener, routes).await
}

/// Responds with 200 if the driver is running and knows a leader, with 503 otherwise.
async fn health(State(context): State<Context>) -> (StatusCode, String) {
    let (reply, status) = oneshot::channel();
    context.driver.try_send(Request::Status(reply)).ok();
    match tokio::time::timeout(STATUS_TIMEOUT, status).await {
        Ok(Ok(status)) if status.leader.is_some() => (StatusCode::OK, "ok\n".to_owned()),
        Ok(Ok(_)) => (StatusCode::SERVICE_UNAVAILABLE, "no leader\n".to_owned()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "no answer\n".to_owned()),
    }
}
