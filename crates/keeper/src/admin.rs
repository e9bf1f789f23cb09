//! The operators' face: metrics and health.

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

/// The time within which a healthy keeper tells how it is.
const HEALTH: Duration = Duration::from_secs(1);

/// What the handlers need.
#[derive(Clone, Debug)]
struct Face {
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
        .route("/metrics", get(async |State(face): State<Face>| face.metrics.text()))
        .route("/healthz", get(health))
        .with_state(Face { metrics, driver });
    axum::serve(listener, routes).await
}

/// Answers 200 if the driver runs and knows a leader, 503 otherwise.
async fn health(State(face): State<Face>) -> (StatusCode, String) {
    let (reply, answer) = oneshot::channel();
    face.driver.try_send(Request::Status(reply)).ok();
    match tokio::time::timeout(HEALTH, answer).await {
        Ok(Ok(status)) if status.leader.is_some() => (StatusCode::OK, "ok\n".to_owned()),
        Ok(Ok(_)) => (StatusCode::SERVICE_UNAVAILABLE, "no leader\n".to_owned()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, "no answer\n".to_owned()),
    }
}
