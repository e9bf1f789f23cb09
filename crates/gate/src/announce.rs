//! Announcements from endpoints.

use std::sync::Arc;

use axum::Json;
use axum::body::Bytes;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use base::Code;
use base::Event;
use base::Name;
use state::Command;
use state::view;
use tokio::time::Instant;
use wire::endpoint::Acknowledgment;
use wire::endpoint::Announcement;

use crate::addresses;
use crate::context::Context;
use crate::refusal::Refusal;
use crate::request;
use crate::token;

/// Handles `POST /v1/announce`.
pub(crate) async fn handle(
    State(context): State<Arc<Context>>,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    match process(&context, &headers, &body).await {
        Ok(acknowledgment) => Json(acknowledgment).into_response(),
        Err(refusal) => refusal.response(&context, &request::id()),
    }
}

async fn process(
    context: &Arc<Context>,
    headers: &HeaderMap,
    body: &[u8],
) -> Result<Acknowledgment, Refusal> {
    if !token::bearer_matches(headers, context.config.tokens.endpoint.as_ref()) {
        return Err(Refusal::new(Code::Unauthorized));
    }
    let announcement: Announcement = serde_json::from_slice(body)
        .map_err(|error| Refusal::with(Code::BadRequest, error.to_string()))?;
    let known = lookup(context, &announcement.endpoint.name);
    let registered = known.as_ref().map(|(endpoint, _)| endpoint);
    let owner = known.as_ref().and_then(|(_, owner)| owner.clone());
    if owner.as_ref() == Some(&context.entry.host) {
        record(context, &announcement);
    } else if let Some(remote) = owner.as_ref().and_then(|owner| context.remote(owner)) {
        let context = Arc::clone(context);
        let copy = announcement.clone();
        tokio::spawn(async move { context.peer_clients.announce(&remote.peer, copy).await });
    }
    if needs_registration(registered, &announcement.endpoint) {
        register(context, &announcement).await?;
    }
    let owner = lookup(context, &announcement.endpoint.name).and_then(|(_, owner)| owner);
    Ok(Acknowledgment {
        interval_ms: context.config.timing.announce_ms,
        addresses: addresses::for_endpoint(context, owner.as_ref()),
    })
}

fn lookup(context: &Context, endpoint: &Name) -> Option<(view::Endpoint, Option<Name>)> {
    let view = context.board.view.read();
    let owned = view.endpoints.get(endpoint)?;
    Some((owned.endpoint.clone(), owned.owner.clone()))
}

/// Returns whether the announced endpoint is missing from the view or has changed; a delayed
/// announcement of an earlier generation is ignored.
fn needs_registration(known: Option<&view::Endpoint>, announced: &view::Endpoint) -> bool {
    known.is_none_or(|known| known.generation <= announced.generation && known != announced)
}

async fn register(context: &Context, announcement: &Announcement) -> Result<(), Refusal> {
    let endpoint = announcement.endpoint.clone();
    let (name, generation) = (endpoint.name.clone(), endpoint.generation);
    let command = Command::Register { endpoint };
    let timeout = context.call_timeout() * 2;
    context.keepers.submit(&command, timeout).await.map_err(Refusal::from)?;
    base::event!(INFO, Event::Announced, endpoint = %name, generation);
    Ok(())
}

/// Records an announcement of an endpoint if this gate owns it.
pub(crate) fn record(context: &Arc<Context>, announcement: &Announcement) {
    let name = &announcement.endpoint.name;
    let generation = announcement.endpoint.generation;
    let mut pool = context.board.pool.lock();
    let Some(endpoint) = pool.endpoints.get_mut(name) else { return };
    if generation < endpoint.info.generation {
        return;
    }
    endpoint.last_heard = Instant::now();
    endpoint.leaving = announcement.leaving;
    let restarted = generation > endpoint.info.generation;
    if restarted {
        endpoint.probed = false;
    }
    drop(pool);
    context.board.dispatch();
}
