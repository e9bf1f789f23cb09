//! The state machine behind the replicated log.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use base::Code;
use base::Map;
use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Change;
use crate::command::Command;
use crate::command::Configure;
use crate::command::Outcome;
use crate::configure;
use crate::crash::Crashes;
use crate::draft::Draft;
use crate::limits::Limits;
use crate::memory::Memory;
use crate::owner::Owners;
use crate::record::Records;
use crate::refusal::Refusal;
use crate::view::Delta;
use crate::view::View;

/// The longest id of an operator's command, in bytes.
const ID_BYTES: usize = 128;
/// The number of the snapshot's form.
const FORM: u8 = 1;

/// The replicated state: equal on all replicas that applied the same commands.
#[derive(Clone, Debug)]
pub struct Machine {
    limits: Limits,
    state: State,
}

/// What a snapshot contains.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    view: View,
    /// The latest of the leaders' clocks, in milliseconds since 1970.
    ///
    /// Invariant: never goes back.
    now_ms: u64,
    owners: Owners,
    memory: Memory,
    records: Records,
    crashes: Crashes,
}

/// A snapshot that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the snapshot of the state cannot be decoded: {0}")]
pub struct Corrupt(String);

impl Machine {
    /// Makes an empty state.
    pub fn new(limits: Limits) -> Machine {
        Machine { limits, state: State::default() }
    }

    /// Applies a command and returns its outcome with the changes of the view, in order.
    pub fn apply(&mut self, command: Command) -> (Outcome, Vec<Delta>) {
        self.advance(&command);
        let configure = matches!(command, Command::Configure(_));
        let mut view = std::mem::take(&mut self.state.view);
        let mut draft = Draft::new(&mut view);
        let result = self.dispatch(&mut draft, command);
        let deltas = draft.finish();
        self.state.view = view;
        let done = if configure { self.state.view.configuration } else { self.state.view.revision };
        let outcome = match result {
            Ok(Some(outcome)) => outcome,
            Ok(None) => Outcome::Done { revision: done },
            Err(refusal) => self.refused(refusal),
        };
        (outcome, deltas)
    }

    /// Returns the part of the state that gates keep.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// Returns the number of keys in the journal.
    pub fn journal_keys(&self) -> usize {
        self.state.records.len()
    }

    /// Returns the bytes of all answers' bodies in the journal.
    pub fn journal_bytes(&self) -> usize {
        self.state.records.bytes()
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Bytes {
        let bytes = postcard::to_stdvec(&(FORM, &self.state)).expect("the state can be encoded");
        Bytes::from(bytes)
    }

    /// Decodes a state that [`Machine::snapshot`] encoded.
    pub fn restore(limits: Limits, snapshot: &[u8]) -> Result<Machine, Corrupt> {
        match snapshot.first() {
            Some(&FORM) => {}
            form => return Err(Corrupt(format!("form {form:?} instead of {FORM}"))),
        }
        let (_, mut state): (u8, State) =
            postcard::from_bytes(snapshot).map_err(|error| Corrupt(error.to_string()))?;
        state.records.restore();
        Ok(Machine { limits, state })
    }

    /// Computes a digest of the whole state; equal states have equal digests.
    pub fn digest(&self) -> u64 {
        let state = &self.state;
        let view = &state.view;
        let tables = (
            sorted(&view.adapters),
            sorted(&view.exceptions),
            sorted(&view.services),
            sorted(&view.endpoints),
            sorted(&view.gates),
            sorted(&view.quarantine),
            view.draining.iter().collect::<BTreeSet<_>>(),
            view.suspects.iter().collect::<BTreeSet<_>>(),
        );
        let scalars = (view.revision, view.configuration, &view.defaults, state.now_ms);
        let journal = (state.records.list(), state.records.claims(), state.records.bytes());
        let rest = (&state.owners, state.memory.list(), journal, &state.crashes);
        let bytes = postcard::to_stdvec(&(tables, scalars, rest)).expect("the state is encodable");
        base::digest(&bytes)
    }

    /// Moves the time on and expires what is due.
    fn advance(&mut self, command: &Command) {
        let now_ms = match command {
            Command::Configure(configure) => configure.now_ms,
            Command::Claim { now_ms, .. }
            | Command::Finish { now_ms, .. }
            | Command::Implicate { now_ms, .. } => *now_ms,
            _ => 0,
        };
        let state = &mut self.state;
        state.now_ms = state.now_ms.max(now_ms);
        state.records.expire(&state.view, state.now_ms, &self.limits);
    }

    fn dispatch(
        &mut self,
        draft: &mut Draft,
        command: Command,
    ) -> Result<Option<Outcome>, Refusal> {
        let limits = &self.limits;
        let state = &mut self.state;
        let now_ms = state.now_ms;
        match command {
            Command::Configure(command) => return self.configure(draft, &command),
            Command::Join { gate } => state.owners.join(draft, &gate, limits.ended_runs)?,
            Command::Expire { gate, incarnation } => {
                state.owners.expire(draft, &gate, incarnation, limits.ended_runs)?;
            }
            Command::Register { endpoint } => {
                state.owners.register(draft, &endpoint, limits.endpoints)?;
            }
            Command::Forget { endpoint } => state.owners.forget(draft, &endpoint)?,
            Command::Assign { endpoint, fence, gate } => {
                state.owners.assign(draft, &endpoint, fence, &gate)?;
            }
            Command::Claim { claim, .. } => {
                return state.records.claim(draft.view(), &claim, now_ms, limits).map(Some);
            }
            Command::Finish { key, claim, answer, .. } => {
                state.records.finish(&key, claim, &answer, now_ms, limits)?;
            }
            Command::Release { key, claim } => state.records.release(&key, claim)?,
            Command::Implicate { endpoint, generation, fingerprints, .. } => {
                state.crashes.implicate(
                    draft,
                    &endpoint,
                    generation,
                    &fingerprints,
                    now_ms,
                    limits,
                );
            }
            Command::Withdraw { endpoint, fence } => {
                state.owners.withdraw(draft, &endpoint, fence)?;
            }
            Command::Clear { fingerprints } => state.crashes.clear(draft, &fingerprints),
        }
        Ok(None)
    }

    fn configure(
        &mut self,
        draft: &mut Draft,
        command: &Configure,
    ) -> Result<Option<Outcome>, Refusal> {
        if command.id.is_empty() || command.id.len() > ID_BYTES {
            let detail = format!("the command id is not 1 to {ID_BYTES} bytes long");
            return Err(Refusal::new(Code::Invalid, detail));
        }
        if let Some(outcome) = self.state.memory.recall(command)? {
            return Ok(Some(outcome));
        }
        let result = self.change(draft, command);
        let configuration = draft.view().configuration;
        let outcome = match result {
            Ok(()) => Outcome::Done { revision: configuration },
            Err(refusal) => refused(refusal, configuration),
        };
        self.state.memory.keep(command, &outcome, self.limits.command_ids);
        Ok(Some(outcome))
    }

    fn change(&mut self, draft: &mut Draft, command: &Configure) -> Result<(), Refusal> {
        let revision = draft.view().configuration;
        if let Some(expected) = command.expect.filter(|expected| *expected != revision) {
            let detail = format!("revision {expected} was expected, {revision} is in force");
            return Err(Refusal::new(Code::Conflict, detail));
        }
        let state = &mut self.state;
        configure::change(draft, &command.change, &command.author, state.now_ms)?;
        match &command.change {
            Change::Drain { .. } => state.owners.settle(draft),
            Change::Pardon { fingerprint } => state.crashes.clear(draft, &[*fingerprint]),
            _ => {}
        }
        Ok(())
    }

    fn refused(&self, refusal: Refusal) -> Outcome {
        refused(refusal, self.state.view.configuration)
    }
}

fn refused(refusal: Refusal, revision: u64) -> Outcome {
    Outcome::Refused { code: refusal.code, detail: refusal.detail, revision }
}

fn sorted<K: Ord, V>(map: &Map<K, V>) -> BTreeMap<&K, &V> {
    map.iter().collect()
}
