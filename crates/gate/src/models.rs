//! The list of adapter versions for callers.

use std::sync::Arc;

use axum::Json;
use axum::extract::Query;
use axum::extract::State;
use axum::http::HeaderMap;
use axum::response::IntoResponse;
use axum::response::Response;
use base::Name;
use serde::Deserialize;
use state::view::Adapter;
use wire::http::Model;
use wire::http::Models;

use crate::context::Context;
use crate::request;

/// The models in a page if the caller sets no limit.
const DEFAULT_PAGE_SIZE: usize = 100;
/// The maximum number of models in a page.
const MAX_PAGE_SIZE: usize = 1_000;

/// The query of `GET /v1/models`.
#[derive(Debug, Deserialize)]
pub(crate) struct Page {
    /// The model after which the page starts.
    after: Option<Name>,
    /// The maximum number of models in the page.
    limit: Option<usize>,
}

/// Handles `GET /v1/models`.
pub(crate) async fn handle(
    State(context): State<Arc<Context>>,
    Query(page): Query<Page>,
    headers: HeaderMap,
) -> Response {
    let id = request::id();
    if let Err(refusal) = context.tenants.authenticate(&id, &headers) {
        return refusal.response(&context, &id);
    }
    let limit = page.limit.unwrap_or(DEFAULT_PAGE_SIZE).clamp(1, MAX_PAGE_SIZE);
    let view = context.board.view.read();
    let mut all: Vec<Model> =
        view.adapters.iter().flat_map(|(name, adapter)| versions(name, adapter)).collect();
    drop(view);
    all.sort_by(|left, right| left.id.cmp(&right.id));
    if let Some(after) = page.after {
        all.retain(|model| model.id > after);
    }
    let has_more = all.len() > limit;
    all.truncate(limit);
    Json(Models { object: Name::from("list"), data: all, has_more }).into_response()
}

fn versions(name: &Name, adapter: &Adapter) -> Vec<Model> {
    let model = |version: &state::view::Version| Model {
        id: Name::from(format!("{name}@{}", version.name)),
        object: Name::from("model"),
        base: adapter.base.clone(),
        default: adapter.default.as_ref() == Some(&version.name),
        deprecated: version.deprecated,
    };
    adapter.versions.iter().map(model).collect()
}
