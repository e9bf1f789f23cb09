//! The state machine of the replicated log.

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
use crate::editor::Editor;
use crate::history::History;
use crate::limits::Limits;
use crate::owner::Owners;
use crate::record::Records;
use crate::refusal::Refusal;
use crate::view::Delta;
use crate::view::View;

/// The maximum length of an operator's command id, in bytes.
const MAX_ID_BYTES: usize = 128;
/// The version of the snapshot format.
const FORMAT_VERSION: u8 = 1;

/// The replicated state, equal on all replicas that have applied the same commands.
#[derive(Clone, Debug)]
pub struct Machine {
    limits: Limits,
    state: State,
}

/// The content of a snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    view: View,
    /// The maximum of the leaders' clocks, in milliseconds since the Unix epoch.
    ///
    /// Invariant: never decreases.
    now_ms: u64,
    owners: Owners,
    memory: History,
    records: Records,
    crashes: Crashes,
}

/// A snapshot that cannot be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the snapshot of the state cannot be decoded: {0}")]
pub struct Corrupt(String);

impl Machine {
    /// Creates an empty state.
    pub fn new(limits: Limits) -> Machine {
        Machine { limits, state: State::default() }
    }

    /// Applies a command and returns its outcome with the deltas of the view, in order.
    pub fn apply(&mut self, command: Command) -> (Outcome, Vec<Delta>) {
        self.advance(&command);
        let is_configure = matches!(command, Command::Configure(_));
        let mut view = std::mem::take(&mut self.state.view);
        let mut editor = Editor::new(&mut view);
        let result = self.dispatch(&mut editor, command);
        let deltas = editor.finish();
        self.state.view = view;
        let revision =
            if is_configure { self.state.view.configuration } else { self.state.view.revision };
        let outcome = match result {
            Ok(Some(outcome)) => outcome,
            Ok(None) => Outcome::Done { revision },
            Err(refusal) => self.refused(refusal),
        };
        (outcome, deltas)
    }

    /// Returns the part of the state that is replicated to gates.
    pub fn view(&self) -> &View {
        &self.state.view
    }

    /// Returns the number of keys in the journal.
    pub fn journal_keys(&self) -> usize {
        self.state.records.len()
    }

    /// Returns the total size of the answers' bodies in the journal, in bytes.
    pub fn journal_bytes(&self) -> usize {
        self.state.records.bytes()
    }

    /// Encodes the complete state.
    pub fn snapshot(&self) -> Bytes {
        let bytes =
            postcard::to_stdvec(&(FORMAT_VERSION, &self.state)).expect("the state can be encoded");
        Bytes::from(bytes)
    }

    /// Decodes a state encoded by [`Machine::snapshot`].
    ///
    /// Returns [`Corrupt`] if the format version differs or the content cannot be decoded.
    pub fn restore(limits: Limits, snapshot: &[u8]) -> Result<Machine, Corrupt> {
        match snapshot.first() {
            Some(&FORMAT_VERSION) => {}
            version => {
                let detail = format!("format version {version:?}, expected {FORMAT_VERSION}");
                return Err(Corrupt(detail));
            }
        }
        let (_, mut state): (u8, State) =
            postcard::from_bytes(snapshot).map_err(|error| Corrupt(error.to_string()))?;
        state.records.rebuild_index();
        Ok(Machine { limits, state })
    }

    /// Computes a digest of the complete state; equal states have equal digests.
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
        let journal = (state.records.sorted(), state.records.last_claim(), state.records.bytes());
        let rest = (&state.owners, state.memory.entries(), journal, &state.crashes);
        let bytes = postcard::to_stdvec(&(tables, scalars, rest)).expect("the state is encodable");
        base::digest(&bytes)
    }

    /// Advances the time and expires records that are due.
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
        editor: &mut Editor,
        command: Command,
    ) -> Result<Option<Outcome>, Refusal> {
        let limits = &self.limits;
        let state = &mut self.state;
        let now_ms = state.now_ms;
        match command {
            Command::Configure(command) => return self.configure(editor, &command),
            Command::Join { gate } => {
                state.owners.join(editor, &gate, limits.ended_incarnations)?;
            }
            Command::Expire { gate, incarnation } => {
                state.owners.expire(editor, &gate, incarnation, limits.ended_incarnations)?;
            }
            Command::Register { endpoint } => {
                state.owners.register(editor, &endpoint, limits.endpoints)?;
            }
            Command::Forget { endpoint } => state.owners.forget(editor, &endpoint)?,
            Command::Assign { endpoint, fence, gate } => {
                state.owners.assign(editor, &endpoint, fence, &gate)?;
            }
            Command::Claim { claim, .. } => {
                return state.records.claim(editor.view(), &claim, now_ms, limits).map(Some);
            }
            Command::Finish { key, claim, answer, .. } => {
                state.records.finish(&key, claim, &answer, now_ms, limits)?;
            }
            Command::Release { key, claim } => state.records.release(&key, claim)?,
            Command::Implicate { endpoint, generation, fingerprints, .. } => {
                state.crashes.implicate(
                    editor,
                    &endpoint,
                    generation,
                    &fingerprints,
                    now_ms,
                    limits,
                );
            }
            Command::Withdraw { endpoint, fence } => {
                state.owners.withdraw(editor, &endpoint, fence)?;
            }
            Command::Clear { fingerprints } => state.crashes.clear(editor, &fingerprints),
        }
        Ok(None)
    }

    fn configure(
        &mut self,
        editor: &mut Editor,
        command: &Configure,
    ) -> Result<Option<Outcome>, Refusal> {
        if command.id.is_empty() || command.id.len() > MAX_ID_BYTES {
            let detail = format!("the command id is not 1 to {MAX_ID_BYTES} bytes long");
            return Err(Refusal::new(Code::Invalid, detail));
        }
        if let Some(outcome) = self.state.memory.find_outcome(command)? {
            return Ok(Some(outcome));
        }
        let result = self.change(editor, command);
        let configuration = editor.view().configuration;
        let outcome = match result {
            Ok(()) => Outcome::Done { revision: configuration },
            Err(refusal) => refused(refusal, configuration),
        };
        self.state.memory.record(command, &outcome, self.limits.command_ids);
        Ok(Some(outcome))
    }

    fn change(&mut self, editor: &mut Editor, command: &Configure) -> Result<(), Refusal> {
        let revision = editor.view().configuration;
        if let Some(expected) = command.expect.filter(|expected| *expected != revision) {
            let detail = format!("revision {expected} was expected, {revision} is in force");
            return Err(Refusal::new(Code::Conflict, detail));
        }
        let state = &mut self.state;
        configure::apply(editor, &command.change, &command.author, state.now_ms)?;
        match &command.change {
            Change::Drain { .. } => state.owners.assign_unowned(editor),
            Change::Pardon { fingerprint } => state.crashes.clear(editor, &[*fingerprint]),
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
