//! The gate addresses given to callers and endpoints.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use axum::Json;
use axum::extract::State;
use base::Name;
use state::view;
use tokio::time::Instant;
use wire::http::Address;
use wire::http::Addresses;

use crate::context::Context;

/// The load-balancing weight of each gate; all are equal.
const WEIGHT: u32 = 100;

/// Handles `GET /v1/addresses`.
pub(crate) async fn handle(State(context): State<Arc<Context>>) -> Json<Addresses> {
    let timing = &context.config.timing;
    let addresses = list(&context, true);
    if addresses.is_empty() {
        // Without a lease this gate may know of no other gate; callers can still ask those in the settings.
        return Json(Addresses { addresses: configured(&context), keep_ms: timing.renew_ms });
    }
    Json(Addresses { addresses, keep_ms: timing.addresses_ms })
}

/// Returns the other gates in the settings, whether or not they accept requests.
fn configured(context: &Context) -> Vec<Address> {
    let others = context.config.entries.iter().filter(|entry| entry.host != context.entry.host);
    others.map(|entry| Address { address: entry.gate.clone(), weight: WEIGHT }).collect()
}

/// Returns the other gates that accept requests.
pub(crate) fn others(context: &Context) -> Vec<Address> {
    list(context, false)
}

/// Returns the gates that an endpoint can announce itself to, its owner first.
pub(crate) fn for_endpoint(context: &Context, owner: Option<&Name>) -> Vec<Name> {
    let owner = {
        let view = context.board.view.read();
        owner.and_then(|owner| view.gates.get(owner)).map(|gate| gate.address.clone())
    };
    let mut all: Vec<Name> =
        list(context, true).into_iter().map(|address| address.address).collect();
    if let Some(owner) = owner {
        all.retain(|address| *address != owner);
        all.insert(0, owner);
    }
    all
}

fn list(context: &Context, include_self: bool) -> Vec<Address> {
    let now = Instant::now();
    let max_age = Duration::from_millis(context.config.timing.lease_ms);
    let view = context.board.view.read();
    let serving = context.board.serving() && !context.draining.load(Ordering::Relaxed);
    let peers = context.board.peers.lock();
    let accepts = |gate: &view::Gate| {
        if view.draining.contains(&gate.name) {
            return false;
        }
        if gate.name == context.entry.host {
            return include_self && serving;
        }
        // A gate without a summary may have just started; one whose summary is too old may be partitioned.
        peers.get(&gate.name, gate.incarnation).is_none_or(|peer| {
            !peer.summary.draining && now.duration_since(peer.received) <= max_age
        })
    };
    let mut gates: Vec<&view::Gate> = view.gates.values().filter(|gate| accepts(gate)).collect();
    gates.sort_by_key(|gate| &gate.name);
    let address = |gate: &view::Gate| Address { address: gate.address.clone(), weight: WEIGHT };
    gates.into_iter().map(address).collect()
}
