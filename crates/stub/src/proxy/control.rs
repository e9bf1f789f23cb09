//! The control API of a proxy: `GET /links`, `GET /links/NAME`, `PUT /links/NAME`.
//!
//! In a `PUT`, a name that ends with `*` matches all links whose names have that prefix.

use std::collections::BTreeMap;
use std::sync::Arc;

use axum::Json;
use axum::Router;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use base::Map;
use base::Name;
use tokio::net::TcpListener;

use crate::proxy::Proxy;
use crate::proxy::link::Link;
use crate::proxy::link::Status;
use crate::proxy::rule::Rules;
use crate::server;
use crate::server::Switch;

type Links = Arc<Map<Name, Arc<Link>>>;

/// Serves the control API for the current links of the proxy until the future is dropped.
pub async fn serve(listener: TcpListener, proxy: &Proxy) {
    let links: Links = Arc::new(proxy.links());
    let router = Router::new()
        .route("/links", get(list))
        .route("/links/{name}", get(read).put(set))
        .with_state(links);
    server::serve(listener, router, Switch::default()).await;
}

async fn list(State(links): State<Links>) -> Json<BTreeMap<Name, Status>> {
    Json(links.iter().map(|(name, link)| (name.clone(), link.status())).collect())
}

async fn read(State(links): State<Links>, Path(name): Path<String>) -> Response {
    match links.get(name.as_str()) {
        Some(link) => Json(link.status()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn set(
    State(links): State<Links>,
    Path(name): Path<String>,
    Json(rules): Json<Rules>,
) -> StatusCode {
    let mut found = false;
    for (known, link) in links.iter() {
        let matches = match name.strip_suffix('*') {
            Some(prefix) => known.starts_with(prefix),
            None => known.as_str() == name,
        };
        if matches {
            link.set(rules.clone());
            found = true;
        }
    }
    if found { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }
}
