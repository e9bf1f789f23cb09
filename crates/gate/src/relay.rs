//! The HTTP API for requests that other gates relay.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use axum::Router;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::response::Response;
use base::Code;
use base::Name;
use tokio::time::Instant;
use wire::header;

use crate::at_most_once;
use crate::attempt;
use crate::context::Context;
use crate::crash;
use crate::parse;
use crate::refusal::Refusal;
use crate::request;
use crate::token;

/// Returns the routes of the relay API.
pub(crate) fn router(context: Arc<Context>) -> Router {
    Router::new().fallback(handle).with_state(context)
}

async fn handle(State(context): State<Arc<Context>>, message: Request) -> Response {
    let given = parse::text(message.headers(), header::REQUEST).ok().flatten();
    let id = given.unwrap_or_else(request::id);
    match answer(&context, &id, message).await {
        Ok(response) => response,
        Err(refusal) => refusal.response(&context, &id),
    }
}

async fn answer(context: &Arc<Context>, id: &Name, message: Request) -> Result<Response, Refusal> {
    let received = Instant::now();
    let (parts, body) = message.into_parts();
    let headers = &parts.headers;
    if !token::header_matches(headers, header::SITE_TOKEN, context.config.tokens.site.as_ref()) {
        return Err(Refusal::new(Code::Unauthorized));
    }
    if !context.board.serving() {
        return Err(Refusal::new(Code::NotServing));
    }
    let guard = context.admission.admit_unlimited();
    let body = parse::body(context, body).await?;
    let caller = parse::text(headers, header::CALLER)?.unwrap_or_default();
    let parsed = parse::request(id.clone(), &parts, body, caller, received)?;
    let model = parse::resolved_model(headers)?;
    let limit = context.config.limits.deadline_ms;
    let mut request = parsed.resolve(&context.board.view.read(), model, limit)?;
    let suspect = crash::suspected(context, request.stage.fingerprint);
    request.stage.suspect = suspect || parse::flag(headers, header::SUSPECT)?;
    request.stage.bound = parse::flag(headers, header::BOUND)?;
    let endpoint = parse::text(headers, header::ENDPOINT)?;
    if request.stage.key.is_some() && context.refusing.load(Ordering::Relaxed) {
        return Err(Refusal::new(Code::Draining));
    }
    let answer = match request.stage.key.clone() {
        Some(key) => at_most_once::run_local(context, &request, &key, endpoint.as_ref()).await,
        None => attempt::local(context, &request, endpoint.as_ref()).await,
    };
    let mut response = match answer {
        Ok(answer) => answer.response(context, &request, guard),
        Err(failure) => failure.refusal().response(context, id),
    };
    let visited = request.stage.visited.list().pop();
    if let Some(value) = visited.and_then(|name| HeaderValue::from_str(&name).ok()) {
        response.headers_mut().insert(header::ENDPOINT, value);
    }
    Ok(response)
}
