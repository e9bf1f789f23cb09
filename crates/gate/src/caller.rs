//! The HTTP API for callers and endpoints.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::ConnectInfo;
use axum::extract::Request;
use axum::extract::State;
use axum::response::Response;
use axum::routing::any;
use axum::routing::get;
use axum::routing::post;
use base::Code;
use base::Name;
use tokio::time::Instant;
use wire::header;

use crate::addresses;
use crate::announce;
use crate::at_most_once;
use crate::attempt;
use crate::context::Context;
use crate::crash;
use crate::models;
use crate::parse;
use crate::refusal::Refusal;
use crate::request;
use crate::request::Resolved;

/// Returns the routes of the API for callers and endpoints.
pub(crate) fn router(context: Arc<Context>) -> Router {
    Router::new()
        .route("/v1/addresses", get(addresses::handle))
        .route("/v1/models", get(models::handle))
        .route("/v1/completions", post(handle))
        .route("/v1/chat/completions", post(handle))
        .route("/v1/services/{kind}", any(handle))
        .route("/v1/services/{kind}/{*path}", any(handle))
        .route("/v1/announce", post(announce::handle))
        .fallback(unknown)
        .method_not_allowed_fallback(wrong_method)
        .with_state(context)
}

/// Refuses a request for an unknown path.
pub(crate) async fn unknown(State(context): State<Arc<Context>>) -> Response {
    Refusal::new(Code::UnknownPath).response(&context, &request::id())
}

/// Refuses a method that a resource does not allow.
pub(crate) async fn wrong_method(State(context): State<Arc<Context>>) -> Response {
    Refusal::new(Code::WrongMethod).response(&context, &request::id())
}

async fn handle(
    State(context): State<Arc<Context>>,
    ConnectInfo(remote): ConnectInfo<SocketAddr>,
    message: Request,
) -> Response {
    let id = request::id();
    match answer(&context, &id, remote, message).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&context, &id),
    }
}

async fn answer(
    context: &Arc<Context>,
    id: &Name,
    remote: SocketAddr,
    message: Request,
) -> Result<Response, Refusal> {
    let received = Instant::now();
    if context.refusing.load(Ordering::Relaxed) {
        return Err(Refusal::new(Code::Draining));
    }
    if !context.board.serving() {
        return Err(Refusal::new(Code::NotServing));
    }
    let (parts, body) = message.into_parts();
    let caller = match context.tenants.authenticate(id, &parts.headers)? {
        Some(tenant) => tenant,
        // A name without proof.
        None => parse::text(&parts.headers, header::CALLER)?
            .unwrap_or_else(|| Name::from(remote.ip().to_string())),
    };
    let caller_limit = context.board.view.read().defaults.caller_limit as usize;
    let guard =
        context.admission.admit(&caller, context.config.limits.in_progress, caller_limit)?;
    let body = parse::body(context, body).await?;
    let parsed = parse::request(id.clone(), &parts, body, caller, received)?;
    let request = resolve(context, parsed)?;
    context.deposit_retry();
    let answer = match request.stage.key.clone() {
        Some(key) => at_most_once::run(context, &request, &key).await,
        None => attempt::run(context, request.clone()).await,
    };
    let answer = answer.map_err(|failure| failure.refusal())?;
    Ok(answer.response(context, &request, guard))
}

fn resolve(
    context: &Context,
    parsed: request::Request<request::Parsed>,
) -> Result<request::Request<Resolved>, Refusal> {
    let limit = context.config.limits.deadline_ms;
    let mut request = parsed.resolve(&context.board.view.read(), None, limit)?;
    if context.suspects.awaiting_decision(request.stage.fingerprint) {
        return Err(Refusal::new(Code::Suspected));
    }
    request.stage.suspect = crash::suspected(context, request.stage.fingerprint);
    Ok(request)
}
