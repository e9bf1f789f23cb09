//! Requests that were in progress when an endpoint crashed.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use base::Event;
use base::Name;
use state::Command;

use crate::context::Context;

/// How long the keepers are asked to note a crash.
const PATIENCE: Duration = Duration::from_secs(30);

/// Notes that the connection of a request broke before its answer ended.
pub(crate) fn broken(context: &Context, endpoint: &Name, fence: u64, fingerprint: u64) {
    context.suspects.lock().insert(fingerprint);
    let mut floor = context.board.floor.lock();
    if let Some(own) = floor.endpoints.get_mut(endpoint).filter(|own| own.fence == fence)
        && !own.broken.contains(&fingerprint)
    {
        own.broken.push(fingerprint);
    }
}

/// Reports the requests that ran in `generation` of an endpoint when it crashed.
pub(crate) fn crashed(context: &Arc<Context>, endpoint: &Name) {
    let mut floor = context.board.floor.lock();
    let Some(own) = floor.endpoints.get_mut(endpoint) else { return };
    if own.broken.is_empty() {
        return;
    }
    let mut fingerprints = std::mem::take(&mut own.broken);
    for flight in own.in_flight.values() {
        if !fingerprints.contains(&flight.fingerprint) {
            fingerprints.push(flight.fingerprint);
        }
    }
    let generation = own.info.generation;
    drop(floor);
    base::event!(WARN, Event::EndpointCrashed, endpoint = %endpoint, generation,
        requests = fingerprints.len());
    context.suspects.lock().extend(fingerprints.iter().copied());
    let command = Command::Implicate {
        endpoint: endpoint.clone(),
        generation,
        fingerprints,
        now_ms: now_ms(),
    };
    let context = Arc::clone(context);
    tokio::spawn(async move {
        if context.keepers.submit(&command, PATIENCE).await.is_ok() {
            base::event!(INFO, Event::Implicated, generation);
        }
    });
}

/// Returns the wall clock in milliseconds since 1970.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
