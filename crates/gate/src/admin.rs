//! The HTTP API for operators.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Json;
use axum::Router;
use axum::body::Bytes;
use axum::extract::Path;
use axum::extract::Request;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use base::Code;
use base::Event;
use base::Name;
use state::Command;
use state::Outcome;
use state::command::Configure;
use wire::admin::Explanation;
use wire::admin::InForce;
use wire::admin::Receipt;
use wire::admin::Status;

use crate::caller;
use crate::clock::now_ms;
use crate::context::Context;
use crate::refusal::Refusal;
use crate::request;
use crate::summary;
use crate::token;

/// Returns the routes of the operator API.
pub(crate) fn router(context: Arc<Context>) -> Router {
    let protected = Router::new()
        .route("/v1/commands", post(command))
        .route("/v1/in-force/{revision}", get(in_force))
        .route("/v1/view", get(view))
        .route("/v1/status", get(status))
        .route("/v1/explain/{request}", get(explain))
        .layer(middleware::from_fn_with_state(Arc::clone(&context), authorize));
    Router::new()
        .route("/metrics", get(metrics))
        .route("/healthz", get(healthz))
        .merge(protected)
        .fallback(caller::unknown)
        .method_not_allowed_fallback(caller::wrong_method)
        .with_state(context)
}

async fn authorize(State(context): State<Arc<Context>>, message: Request, next: Next) -> Response {
    if !token::bearer_matches(message.headers(), context.config.tokens.operator.as_ref()) {
        return Refusal::new(Code::Unauthorized).response(&context, &request::id());
    }
    next.run(message).await
}

async fn metrics(State(context): State<Arc<Context>>) -> String {
    context.metrics.text()
}

async fn healthz(State(context): State<Arc<Context>>) -> (StatusCode, &'static str) {
    if context.board.serving() {
        return (StatusCode::OK, "serving\n");
    }
    (StatusCode::SERVICE_UNAVAILABLE, "not serving\n")
}

async fn command(State(context): State<Arc<Context>>, body: Bytes) -> Response {
    match commit(&context, &body).await {
        Ok(receipt) => Json(receipt).into_response(),
        Err(refusal) => refusal.response(&context, &request::id()),
    }
}

async fn commit(context: &Context, body: &[u8]) -> Result<Receipt, Refusal> {
    let received: wire::admin::Command = serde_json::from_slice(body)
        .map_err(|error| Refusal::with(Code::BadRequest, error.to_string()))?;
    let command = Command::Configure(Configure {
        id: received.id.clone(),
        expect: received.expect,
        author: received.author.clone(),
        change: received.change,
        now_ms: now_ms(),
    });
    let timeout = context.call_timeout() * 4;
    let outcome = context.keepers.submit(&command, timeout).await?;
    base::event!(INFO, Event::Commanded, id = %received.id, author = %received.author, ?outcome);
    match outcome {
        Outcome::Done { revision } => {
            let in_force = is_in_force(context, revision).await.unwrap_or_else(|refusal| {
                // The command is accepted all the same; its sender asks again until it is in force.
                base::event!(WARN, Event::Fault, code = refusal.code.number(), revision);
                false
            });
            Ok(Receipt { status: Name::from("accepted"), revision, in_force })
        }
        Outcome::Refused { code, detail, revision } => {
            Err(Refusal::with(code, format!("{detail} (revision in force: {revision})")))
        }
        _ => Err(Refusal::new(Code::Internal)),
    }
}

/// Returns whether a revision of the configuration is in force on every gate.
async fn is_in_force(context: &Context, revision: u64) -> Result<bool, Refusal> {
    if context.in_force.load(Ordering::Relaxed) >= revision {
        return Ok(true);
    }
    let in_force = context.keepers.in_force(revision).await?;
    if in_force {
        context.in_force.fetch_max(revision, Ordering::Relaxed);
    }
    Ok(in_force)
}

async fn in_force(State(context): State<Arc<Context>>, Path(revision): Path<u64>) -> Response {
    match is_in_force(&context, revision).await {
        Ok(in_force) => Json(InForce { revision, in_force }).into_response(),
        Err(refusal) => refusal.response(&context, &request::id()),
    }
}

async fn view(State(context): State<Arc<Context>>) -> Response {
    match context.keepers.view().await {
        Ok(view) => Json(view).into_response(),
        Err(fault) => Refusal::from(fault).response(&context, &request::id()),
    }
}

async fn status(State(context): State<Arc<Context>>) -> Json<Status> {
    let mut gates = context.board.peers.lock().summaries();
    gates.push(summary::build(&context));
    gates.sort_by(|left, right| left.gate.cmp(&right.gate));
    let configuration = context.board.view.read().configuration;
    Json(Status {
        gate: context.entry.host.clone(),
        serving: context.board.serving(),
        configuration,
        keepers: context.keepers.status().await,
        gates,
    })
}

async fn explain(
    State(context): State<Arc<Context>>,
    Path(request): Path<Name>,
) -> Json<Explanation> {
    let local_lines = context.trace.find(&request);
    let mut lines: Vec<String> =
        local_lines.into_iter().map(|line| format!("{}: {line}", context.entry.host)).collect();
    let hosts: Vec<Name> = context.board.view.read().gates.keys().cloned().collect();
    for host in hosts.into_iter().filter(|host| *host != context.entry.host) {
        let Some(remote) = context.remote(&host) else { continue };
        let remote_lines = context.peer_clients.explain(&remote.peer, request.clone()).await;
        lines.extend(remote_lines.into_iter().map(|line| format!("{host}: {line}")));
    }
    Json(Explanation { request, lines })
}
