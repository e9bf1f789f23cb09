//! Crashes of endpoints and the quarantine of the requests that cause them.

use std::collections::BTreeSet;
use std::collections::VecDeque;

use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::editor::Editor;
use crate::limits::Limits;
use crate::view::Patch;

/// The number of unexplained crashes with which a request must be involved to be quarantined.
const QUARANTINE_CRASHES: usize = 2;

/// The recent crashes, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Crashes {
    crashes: VecDeque<Crash>,
}

/// A crash of an endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct Crash {
    /// The name of the endpoint.
    endpoint: Name,
    /// The generation that crashed.
    generation: u64,
    /// The time of the first report, in milliseconds since the Unix epoch.
    at_ms: u64,
    /// Whether exactly one request was in progress.
    alone: bool,
    /// Whether a quarantined request was in progress, which explains the crash and clears the others.
    explained: bool,
    /// The fingerprints of the requests in progress that may have caused the crash.
    fingerprints: BTreeSet<u64>,
}

impl Crashes {
    /// Records a report of a crash; repeated reports of the same crash count once.
    ///
    /// A request is quarantined if an endpoint crashed while running it alone, and it was in progress in at
    /// least [`QUARANTINE_CRASHES`] crashes that no other request explains.
    pub(crate) fn implicate(
        &mut self,
        editor: &mut Editor,
        endpoint: &Name,
        generation: u64,
        fingerprints: &[u64],
        now_ms: u64,
        limits: &Limits,
    ) {
        self.crashes.retain(|crash| crash.at_ms.saturating_add(limits.crash_retention_ms) > now_ms);
        let index = self.record(endpoint, generation, fingerprints, now_ms);
        let quarantined = |fingerprint| editor.view().quarantine.contains_key(fingerprint);
        if fingerprints.iter().any(quarantined) {
            self.crashes[index].explained = true;
        }
        // The crash that proves the cause may have been reported before this one.
        let proven = (0..self.crashes.len()).find_map(|index| self.proven_cause(index));
        if let Some(cause) = proven {
            editor.set(Patch::Quarantine(cause, Some(now_ms)));
            self.mark_explained(cause);
            limit_quarantine(editor, limits.quarantine);
        }
        while self.crashes.len() > limits.crashes {
            self.crashes.pop_front();
        }
        self.update_suspects(editor);
    }

    /// Clears the suspicion of requests.
    pub(crate) fn clear(&mut self, editor: &mut Editor, fingerprints: &[u64]) {
        for crash in &mut self.crashes {
            crash.fingerprints.retain(|fingerprint| !fingerprints.contains(fingerprint));
        }
        self.update_suspects(editor);
    }

    /// Records a crash, or merges the report into a recorded one, and returns its index.
    fn record(&mut self, endpoint: &Name, generation: u64, reported: &[u64], now_ms: u64) -> usize {
        let same = |crash: &Crash| crash.endpoint == *endpoint && crash.generation == generation;
        if let Some(index) = self.crashes.iter().position(same) {
            let crash = &mut self.crashes[index];
            crash.fingerprints.extend(reported);
            crash.alone &= crash.fingerprints.len() <= 1;
            return index;
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

    /// Returns the request that is proven to have caused a crash, if any.
    fn proven_cause(&self, index: usize) -> Option<u64> {
        let crash = &self.crashes[index];
        if !crash.alone || crash.explained {
            return None;
        }
        let fingerprint = *crash.fingerprints.first()?;
        let involved =
            |crash: &&Crash| !crash.explained && crash.fingerprints.contains(&fingerprint);
        let count = self.crashes.iter().filter(involved).count();
        (count >= QUARANTINE_CRASHES).then_some(fingerprint)
    }

    /// Marks the crashes that a quarantined request explains.
    fn mark_explained(&mut self, cause: u64) {
        for crash in &mut self.crashes {
            crash.explained |= crash.fingerprints.contains(&cause);
        }
    }

    /// Updates the suspects of the view from the unexplained crashes.
    fn update_suspects(&self, editor: &mut Editor) {
        let unexplained = self.crashes.iter().filter(|crash| !crash.explained);
        let suspects: BTreeSet<u64> =
            unexplained.flat_map(|crash| crash.fingerprints.clone()).collect();
        let current: BTreeSet<u64> = editor.view().suspects.iter().copied().collect();
        for fingerprint in current.difference(&suspects) {
            editor.set(Patch::Suspect(*fingerprint, false));
        }
        for fingerprint in suspects.difference(&current) {
            if !editor.view().quarantine.contains_key(fingerprint) {
                editor.set(Patch::Suspect(*fingerprint, true));
            }
        }
    }
}

/// Releases the oldest quarantined request if there are more than `limit`.
fn limit_quarantine(editor: &mut Editor, limit: usize) {
    let quarantine = &editor.view().quarantine;
    if quarantine.len() <= limit {
        return;
    }
    let oldest = quarantine.iter().min_by_key(|(fingerprint, at_ms)| (**at_ms, **fingerprint));
    if let Some(fingerprint) = oldest.map(|(fingerprint, _)| *fingerprint) {
        editor.set(Patch::Quarantine(fingerprint, None));
    }
}
