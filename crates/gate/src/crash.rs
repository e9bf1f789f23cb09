//! Requests that were in progress when an endpoint crashed.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use blackboard::Crash;
use blackboard::Ticket;
use parking_lot::Mutex;
use state::Command;
use tokio::time::Instant;

use crate::clock::now_ms;
use crate::context::Context;

/// The timeout for notifying the other gates of a suspect.
const NOTIFY_TIMEOUT: Duration = Duration::from_millis(100);
/// The timeout of a commit at the keepers, including retries.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(30);
/// The time for which a suspect request must run alone on this gate.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);
/// The maximum time for which a request that was in progress at [`CRASH_LIMIT`] crashes is refused while
/// the keepers decide whether to quarantine it.
const DECISION_TIMEOUT: Duration = Duration::from_secs(5);
/// The number of crashes from which a request is refused until the keepers decide whether to quarantine it.
const CRASH_LIMIT: u32 = 2;

/// The requests, by fingerprint, that were in progress at an endpoint when its connections broke.
///
/// The keepers decide later whether to quarantine them; until then they run alone at this gate.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    entries: Mutex<Map<u64, Suspect>>,
}

#[derive(Clone, Copy, Debug)]
struct Suspect {
    since: Instant,
    crashes: u32,
}

impl Suspects {
    /// Adds a request without counting a crash.
    pub(crate) fn add(&self, fingerprint: u64) {
        self.record(fingerprint, 0);
    }

    /// Adds a request that was in progress at a crash seen by this or another gate.
    pub(crate) fn add_crash(&self, fingerprint: u64) {
        self.record(fingerprint, 1);
    }

    /// Removes a request that completed while it ran alone; returns whether it was a suspect.
    pub(crate) fn clear(&self, fingerprint: u64) -> bool {
        self.entries.lock().remove(&fingerprint).is_some()
    }

    fn record(&self, fingerprint: u64, crashes: u32) {
        let now = Instant::now();
        let mut entries = self.entries.lock();
        entries.retain(|_, suspect| now.duration_since(suspect.since) < SUSPECT_RETENTION);
        let suspect = entries.entry(fingerprint).or_insert(Suspect { since: now, crashes: 0 });
        suspect.since = now;
        suspect.crashes += crashes;
    }

    /// Returns whether a request is refused until the keepers decide whether to quarantine it.
    pub(crate) fn awaiting_decision(&self, fingerprint: u64) -> bool {
        let entries = self.entries.lock();
        let suspect = entries.get(&fingerprint);
        suspect.is_some_and(|suspect| {
            suspect.crashes >= CRASH_LIMIT && suspect.since.elapsed() < DECISION_TIMEOUT
        })
    }

    /// Returns whether a request must run alone.
    pub(crate) fn contains(&self, fingerprint: u64) -> bool {
        let entries = self.entries.lock();
        entries.get(&fingerprint).is_some_and(|suspect| suspect.since.elapsed() < SUSPECT_RETENTION)
    }
}

/// Records that the connection of a request broke before the end of its response.
pub(crate) fn record_disconnect(context: &Context, ticket: &Ticket, fingerprint: u64) {
    context.suspects.add(fingerprint);
    context.board.record_disconnect(&ticket.endpoint, ticket.generation, fingerprint);
}

/// Notifies all gates of a request whose endpoint crashed, before its caller can send it again.
pub(crate) async fn notify_peers(context: &Arc<Context>, fingerprint: u64) {
    context.suspects.add_crash(fingerprint);
    let hosts: Vec<Name> = {
        let view = context.board.view.read();
        view.gates.keys().filter(|host| **host != context.entry.host).cloned().collect()
    };
    let remotes = hosts.iter().filter_map(|host| context.remote(host));
    let calls = remotes.map(|remote| {
        let context = Arc::clone(context);
        tokio::spawn(async move { context.peer_clients.suspect(&remote.peer, fingerprint).await })
    });
    let calls: Vec<_> = calls.collect();
    tokio::time::timeout(NOTIFY_TIMEOUT, futures::future::join_all(calls)).await.ok();
}

/// Clears a suspect that completed while it ran alone.
pub(crate) fn clear_suspect(context: &Arc<Context>, fingerprint: u64) {
    let known = context.board.view.read().suspects.contains(&fingerprint);
    if !context.suspects.clear(fingerprint) && !known {
        return;
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let command = Command::Clear { fingerprints: vec![fingerprint] };
        context.keepers.submit(&command, COMMIT_TIMEOUT).await.ok();
    });
}

/// Returns whether a request must run alone.
pub(crate) fn suspected(context: &Context, fingerprint: u64) -> bool {
    context.suspects.contains(fingerprint)
        || context.board.view.read().suspects.contains(&fingerprint)
}

/// Reports the recorded crashes to the keepers.
pub(crate) fn report(context: &Arc<Context>) {
    let crashes = std::mem::take(&mut context.board.pool.lock().crashes);
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
    if context.keepers.submit(&command, COMMIT_TIMEOUT).await.is_ok() {
        base::event!(INFO, Event::Implicated, endpoint = %endpoint, generation);
    }
}
