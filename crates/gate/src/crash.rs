//! Requests that were in progress when an endpoint crashed.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use base::Event;
use base::Map;
use base::Name;
use board::Crash;
use parking_lot::Mutex;
use state::Command;
use tokio::time::Instant;

use crate::context::Context;

/// How long the keepers are asked to note a crash.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a request runs alone at this gate after a crash.
const MEMORY: Duration = Duration::from_secs(60);

/// The requests that were in progress at an endpoint when its connections broke.
///
/// The keepers judge them later; until then they run alone at this gate.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    since: Mutex<Map<u64, Instant>>,
}

impl Suspects {
    /// Adds a request.
    pub(crate) fn add(&self, fingerprint: u64) {
        let now = Instant::now();
        let mut since = self.since.lock();
        since.retain(|_, added| now.duration_since(*added) < MEMORY);
        since.insert(fingerprint, now);
    }

    /// Returns whether a request has to run alone.
    pub(crate) fn has(&self, fingerprint: u64) -> bool {
        let since = self.since.lock();
        since.get(&fingerprint).is_some_and(|added| added.elapsed() < MEMORY)
    }
}

/// Notes that the connection of a request broke before its answer ended.
pub(crate) fn broken(context: &Context, endpoint: &Name, fence: u64, fingerprint: u64) {
    context.suspects.add(fingerprint);
    let mut floor = context.board.floor.lock();
    if let Some(own) = floor.endpoints.get_mut(endpoint).filter(|own| own.fence == fence) {
        // A state that was read before says nothing about the crash.
        own.orders += 1;
        own.broken.push(fingerprint);
    }
}

/// Notes the crash of an endpoint that fell silent after connections to it broke.
pub(crate) fn silent(context: &Context, endpoint: &Name) {
    let mut floor = context.board.floor.lock();
    let crash = floor.endpoints.get_mut(endpoint).and_then(|own| own.crash(false));
    floor.crashes.extend(crash);
}

/// Reports all crashes that were noted.
pub(crate) fn report(context: &Arc<Context>) {
    let crashes = std::mem::take(&mut context.board.floor.lock().crashes);
    for crash in crashes {
        base::event!(WARN, Event::EndpointCrashed, endpoint = %crash.endpoint,
            generation = crash.generation, requests = crash.fingerprints.len());
        for fingerprint in &crash.fingerprints {
            context.suspects.add(*fingerprint);
        }
        tokio::spawn(implicate(Arc::clone(context), crash));
    }
}

async fn implicate(context: Arc<Context>, crash: Crash) {
    let generation = crash.generation;
    let endpoint = crash.endpoint.clone();
    let command = Command::Implicate {
        endpoint: crash.endpoint,
        generation,
        fingerprints: crash.fingerprints,
        now_ms: now_ms(),
    };
    if context.keepers.submit(&command, PATIENCE).await.is_ok() {
        base::event!(INFO, Event::Implicated, endpoint = %endpoint, generation);
    }
}

/// Returns the wall clock in milliseconds since 1970.
pub(crate) fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
