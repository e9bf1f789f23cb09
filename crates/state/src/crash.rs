//! Crashes of endpoints and the requests that were in progress.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::draft::Draft;
use crate::limits::Limits;
use crate::view::Patch;

/// The crashes that a request must be part of before it is quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// The remembered crashes, the oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Crashes {
    crashes: VecDeque<Crash>,
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Crash {
    /// The endpoint.
    endpoint: Name,
    /// The generation that crashed.
    generation: u64,
    /// When it was reported, in milliseconds since 1970.
    at_ms: u64,
    /// Whether one request alone was in progress.
    alone: bool,
    /// Whether a quarantined request was in progress, so that the others are no suspects.
    explained: bool,
    /// The requests in progress that may be the cause.
    fingerprints: BTreeSet<u64>,
}

impl Crashes {
    /// Takes the report of a crash; the same crash counts once.
    ///
    /// A request is quarantined when an endpoint crashed with it alone and it was part of at least
    /// [`QUARANTINE_CRASHES`] crashes that nothing else explains.
    pub(crate) fn implicate(
        &mut self,
        draft: &mut Draft,
        endpoint: &Name,
        generation: u64,
        fingerprints: &[u64],
        now_ms: u64,
        limits: &Limits,
    ) {
        self.crashes.retain(|crash| crash.at_ms.saturating_add(limits.crash_retention_ms) > now_ms);
        let at = self.report(endpoint, generation, fingerprints, now_ms);
        let quarantined = |fingerprint| draft.view().quarantine.contains_key(fingerprint);
        if fingerprints.iter().any(quarantined) {
            self.crashes[at].explained = true;
        }
        if let Some(culprit) = self.culprit(at) {
            draft.set(Patch::Quarantine(culprit, Some(now_ms)));
            self.explain(culprit);
            bound(draft, limits.quarantine);
        }
        while self.crashes.len() > limits.crashes {
            self.crashes.pop_front();
        }
        self.refresh(draft);
    }

    /// Takes back the suspicion of requests that ran alone to their end.
    pub(crate) fn clear(&mut self, draft: &mut Draft, fingerprints: &[u64]) {
        for crash in &mut self.crashes {
            crash.fingerprints.retain(|known| !fingerprints.contains(known));
        }
        self.refresh(draft);
    }

    /// Keeps the report and returns its position.
    fn report(&mut self, endpoint: &Name, generation: u64, reported: &[u64], now_ms: u64) -> usize {
        let same = |crash: &Crash| crash.endpoint == *endpoint && crash.generation == generation;
        if let Some(at) = self.crashes.iter().position(same) {
            let crash = &mut self.crashes[at];
            crash.fingerprints.extend(reported);
            crash.alone &= crash.fingerprints.len() <= 1;
            return at;
        }
        let fingerprints: BTreeSet<u64> = reported.iter().copied().collect();
        self.crashes.push_back(Crash {
            endpoint: endpoint.clone(),
            generation,
            at_ms: now_ms,
            alone: fingerprints.len() == 1,
            explained: false,
            fingerprints,
        });
        self.crashes.len() - 1
    }

    /// Finds the request that is proven to have caused a crash.
    fn culprit(&self, at: usize) -> Option<u64> {
        let crash = &self.crashes[at];
        if !crash.alone || crash.explained {
            return None;
        }
        let fingerprint = *crash.fingerprints.first()?;
        let part = |crash: &&Crash| !crash.explained && crash.fingerprints.contains(&fingerprint);
        let count = self.crashes.iter().filter(part).count();
        (count >= QUARANTINE_CRASHES).then_some(fingerprint)
    }

    /// Marks the crashes that a quarantined request explains.
    fn explain(&mut self, culprit: u64) {
        for crash in &mut self.crashes {
            crash.explained |= crash.fingerprints.contains(&culprit);
        }
    }

    /// Brings the suspects of the view up to date.
    fn refresh(&self, draft: &mut Draft) {
        let open = self.crashes.iter().filter(|crash| !crash.explained);
        let suspects: BTreeSet<u64> = open.flat_map(|crash| crash.fingerprints.clone()).collect();
        let known: BTreeSet<u64> = draft.view().suspects.iter().copied().collect();
        for fingerprint in known.difference(&suspects) {
            draft.set(Patch::Suspect(*fingerprint, false));
        }
        for fingerprint in suspects.difference(&known) {
            if !draft.view().quarantine.contains_key(fingerprint) {
                draft.set(Patch::Suspect(*fingerprint, true));
            }
        }
    }
}

/// Lets the oldest quarantined request go if there are too many.
fn bound(draft: &mut Draft, limit: usize) {
    let quarantine = &draft.view().quarantine;
    if quarantine.len() <= limit {
        return;
    }
    let oldest = quarantine.iter().min_by_key(|(fingerprint, at_ms)| (**at_ms, **fingerprint));
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        draft.set(Patch::Quarantine(fingerprint, None));
    }
}
