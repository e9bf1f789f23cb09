//! The journal: a record for each key of a non-idempotent request.

use std::collections::BTreeSet;

use base::Code;
use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Incarnation;
use crate::command::Outcome;
use crate::journal::Answer;
use crate::journal::Claim;
use crate::journal::Key;
use crate::limits::Limits;
use crate::refusal::Refusal;
use crate::view::View;

/// The maximum time by which a caller's clock may be ahead, in milliseconds. A key with a later creation
/// time is treated as one without.
const MAX_CLOCK_SKEW_MS: u64 = 300_000;
/// The maximum length of a key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The maximum number of records that one command expires.
const MAX_EXPIRED_PER_COMMAND: usize = 256;

type Result<T> = std::result::Result<T, Refusal>;

/// The records of all keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Records {
    /// The records by key.
    records: Map<Key, Record>,
    /// The expiry times of the records that are not tombstones, in milliseconds since the Unix epoch.
    ///
    /// Invariant: contains each key of `records` whose stage is not [`Stage::Expired`] once. Not part of a
    /// snapshot.
    #[serde(skip)]
    due: BTreeSet<(u64, Key)>,
    /// The number of the last claim.
    claims: u64,
    /// The total size of the recorded bodies, in bytes.
    bytes: usize,
}

/// The record of a key.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Record {
    /// The digest of method, path and body.
    digest: u64,
    /// The creation time of the key in milliseconds since the Unix epoch, if the key contains a plausible one.
    created_ms: Option<u64>,
    /// The expiry time of the record, in milliseconds since the Unix epoch.
    due_ms: u64,
    /// The stage of the request.
    stage: Stage,
}

/// The stage of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
enum Stage {
    /// The request may be running or may have run.
    Claimed {
        /// The number of the claim.
        claim: u64,
        /// The id of the request.
        request: Name,
        /// The claiming gate.
        gate: Name,
        /// The incarnation of the gate.
        incarnation: Incarnation,
    },
    /// The request ran.
    Finished {
        /// The number of the claim.
        claim: u64,
        /// The answer.
        answer: Answer,
    },
    /// The request may have run, and its answer is no longer kept; a tombstone.
    Expired,
}

impl Records {
    /// Claims a key, or returns the outcome of an earlier claim.
    pub(crate) fn claim(
        &mut self,
        view: &View,
        claim: &Claim,
        now_ms: u64,
        limits: &Limits,
    ) -> Result<Outcome> {
        if !holds_lease(view, &claim.gate, claim.incarnation) {
            let detail = format!("gate '{}' holds no lease", claim.gate);
            return Err(Refusal::new(Code::StaleLease, detail));
        }
        if claim.key.key.is_empty() || claim.key.key.len() > MAX_KEY_BYTES {
            let detail = format!("the key is not 1 to {MAX_KEY_BYTES} bytes long");
            return Err(Refusal::new(Code::Invalid, detail));
        }
        self.expire_key(view, &claim.key, now_ms, limits);
        match self.records.get(&claim.key) {
            Some(record) => existing_outcome(view, record, claim),
            None => self.insert_claim(claim, now_ms, limits),
        }
    }

    /// Records the answer of a claimed request.
    pub(crate) fn finish(
        &mut self,
        key: &Key,
        number: u64,
        answer: &Answer,
        now_ms: u64,
        limits: &Limits,
    ) -> Result<()> {
        let record = self.find(key)?;
        match &record.stage {
            Stage::Claimed { claim, .. } if *claim == number => {}
            Stage::Finished { claim, .. } if *claim == number => return Ok(()),
            Stage::Expired => {
                return Err(Refusal::new(Code::KeyExpired, "the record of the key has expired"));
            }
            _ => return Err(stale_claim(number)),
        }
        let body = answer.body.clone().filter(|body| body.len() <= limits.answer_bytes);
        let answer = Answer { body, ..answer.clone() };
        self.bytes += body_len(&answer);
        let stage = Stage::Finished { claim: number, answer };
        let due_ms = record.expiry(now_ms, limits);
        let record = Record { due_ms, stage, ..record };
        self.replace(key, Some(record));
        Ok(())
    }

    /// Removes a claim whose request did not run.
    pub(crate) fn release(&mut self, key: &Key, number: u64) -> Result<()> {
        let record = self.find(key)?;
        match &record.stage {
            Stage::Claimed { claim, .. } if *claim == number => {}
            _ => return Err(stale_claim(number)),
        }
        self.replace(key, None);
        Ok(())
    }

    /// Expires records that are due, at most [`MAX_EXPIRED_PER_COMMAND`].
    pub(crate) fn expire(&mut self, view: &View, now_ms: u64, limits: &Limits) {
        for _ in 0..MAX_EXPIRED_PER_COMMAND {
            let Some((due_ms, key)) = self.due.first().cloned() else { return };
            if due_ms > now_ms {
                return;
            }
            self.expire_key(view, &key, now_ms, limits);
        }
    }

    /// Rebuilds the expiry index after a snapshot was decoded.
    pub(crate) fn rebuild_index(&mut self) {
        let pending = self.records.iter().filter(|(_, record)| record.stage != Stage::Expired);
        self.due = pending.map(|(key, record)| (record.due_ms, key.clone())).collect();
    }

    /// Returns the number of keys.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the total size of the recorded bodies, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the records, sorted by key.
    pub(crate) fn sorted(&self) -> Vec<(&Key, &Record)> {
        let mut records: Vec<(&Key, &Record)> = self.records.iter().collect();
        records.sort_by_key(|(key, _)| *key);
        records
    }

    /// Returns the number of the last claim.
    pub(crate) fn last_claim(&self) -> u64 {
        self.claims
    }

    fn insert_claim(&mut self, claim: &Claim, now_ms: u64, limits: &Limits) -> Result<Outcome> {
        let created_ms = claim.created_ms.filter(|created| *created <= now_ms + MAX_CLOCK_SKEW_MS);
        if created_ms.is_some_and(|created| created + limits.retention_ms <= now_ms) {
            let detail = format!("the key is older than {} ms", limits.retention_ms);
            return Err(Refusal::new(Code::KeyExpired, detail));
        }
        if self.records.len() >= limits.keys || self.bytes >= limits.total_bytes {
            let detail = format!("{} keys, {} bytes", self.records.len(), self.bytes);
            return Err(Refusal::new(Code::JournalFull, detail));
        }
        self.claims += 1;
        let stage = Stage::Claimed {
            claim: self.claims,
            request: claim.request.clone(),
            gate: claim.gate.clone(),
            incarnation: claim.incarnation,
        };
        let mut record = Record { digest: claim.digest, created_ms, due_ms: 0, stage };
        record.due_ms = record.expiry(now_ms, limits);
        self.replace(&claim.key, Some(record));
        Ok(Outcome::Claimed { claim: self.claims })
    }

    /// Expires a record if it is due.
    fn expire_key(&mut self, view: &View, key: &Key, now_ms: u64, limits: &Limits) {
        let Some(record) = self.records.get(key) else { return };
        if record.due_ms > now_ms || record.stage == Stage::Expired {
            return;
        }
        let mut record = record.clone();
        if record.in_progress(view) {
            record.due_ms = record.expiry(now_ms, limits);
            return self.replace(key, Some(record));
        }
        if record.created_ms.is_some() {
            // From now on the key is refused by its creation time, so no tombstone is needed.
            return self.replace(key, None);
        }
        record.stage = Stage::Expired;
        self.replace(key, Some(record));
    }

    fn find(&self, key: &Key) -> Result<Record> {
        let found = self.records.get(key).cloned();
        found.ok_or_else(|| Refusal::unknown("key", format_args!("{}/{}", key.scope, key.key)))
    }

    /// Sets or removes a record and updates the expiry index.
    fn replace(&mut self, key: &Key, record: Option<Record>) {
        let former = match &record {
            Some(record) => self.records.insert(key.clone(), record.clone()),
            None => self.records.remove(key),
        };
        if let Some(former) = former {
            self.due.remove(&(former.due_ms, key.clone()));
            if let Stage::Finished { answer, .. } = &former.stage {
                self.bytes -= body_len(answer);
            }
        }
        if let Some(record) = record.filter(|record| record.stage != Stage::Expired) {
            self.due.insert((record.due_ms, key.clone()));
        }
    }
}

impl Record {
    /// Returns the expiry time of the record if it last changed at `now_ms`.
    fn expiry(&self, now_ms: u64, limits: &Limits) -> u64 {
        now_ms.max(self.created_ms.unwrap_or(0)).saturating_add(limits.retention_ms)
    }

    /// Returns whether the gate that claimed the key still holds its lease and may finish the request.
    fn in_progress(&self, view: &View) -> bool {
        match &self.stage {
            Stage::Claimed { gate, incarnation, .. } => holds_lease(view, gate, *incarnation),
            _ => false,
        }
    }
}

/// Returns the outcome of a claim for a key that was claimed before.
fn existing_outcome(view: &View, record: &Record, claim: &Claim) -> Result<Outcome> {
    if record.digest != claim.digest {
        return Err(Refusal::new(Code::KeyReused, "the key was used with another body"));
    }
    match &record.stage {
        Stage::Finished { answer, .. } => Ok(Outcome::Recorded { answer: answer.clone() }),
        Stage::Expired => {
            Err(Refusal::new(Code::KeyExpired, "the answer of the key is no longer kept"))
        }
        Stage::Claimed { claim: number, request, gate, incarnation } => {
            let is_repeated =
                (request, gate, *incarnation) == (&claim.request, &claim.gate, claim.incarnation);
            if is_repeated {
                return Ok(Outcome::Claimed { claim: *number });
            }
            if record.in_progress(view) {
                let detail = format!("request '{request}' is in progress at gate '{gate}'");
                return Err(Refusal::new(Code::KeyInProgress, detail));
            }
            let detail = format!("request '{request}' was lost with gate '{gate}'");
            Err(Refusal::new(Code::OutcomeUnknown, detail))
        }
    }
}

fn stale_claim(number: u64) -> Refusal {
    Refusal::new(Code::StaleFence, format!("claim {number} does not hold the key"))
}

fn holds_lease(view: &View, gate: &Name, incarnation: Incarnation) -> bool {
    view.gates.get(gate).is_some_and(|holder| holder.incarnation == incarnation)
}

fn body_len(answer: &Answer) -> usize {
    answer.body.as_ref().map_or(0, |body| body.len())
}
