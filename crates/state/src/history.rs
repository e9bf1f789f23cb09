//! Deduplication of operators' commands by id.

use std::collections::VecDeque;

use base::Code;
use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Configure;
use crate::command::Outcome;
use crate::refusal::Refusal;

/// The outcomes of the latest operators' commands by id.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct History {
    /// The first command with each id.
    outcomes: Map<Name, Entry>,
    /// The ids in order of their commands.
    ///
    /// Invariant: the keys of `outcomes`, each once.
    order: VecDeque<Name>,
}

/// The first command with an id.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    /// The digest of the command's content.
    digest: u64,
    /// The outcome of the command.
    outcome: Outcome,
}

impl History {
    /// Returns the outcome of an earlier command with the same id, or refuses the command if its content
    /// differs.
    pub(crate) fn find_outcome(&self, command: &Configure) -> Result<Option<Outcome>, Refusal> {
        let Some(entry) = self.outcomes.get(&command.id) else {
            return Ok(None);
        };
        if entry.digest != digest(command) {
            let detail = format!("command id '{}' was used with other content", command.id);
            return Err(Refusal::new(Code::CommandReused, detail));
        }
        Ok(Some(entry.outcome.clone()))
    }

    /// Records the outcome of a command with a new id and removes the oldest ids above `limit`.
    pub(crate) fn record(&mut self, command: &Configure, outcome: &Outcome, limit: usize) {
        let entry = Entry { digest: digest(command), outcome: outcome.clone() };
        self.outcomes.insert(command.id.clone(), entry);
        self.order.push_back(command.id.clone());
        while self.order.len() > limit {
            let Some(oldest) = self.order.pop_front() else { break };
            self.outcomes.remove(&oldest);
        }
    }

    /// Returns the ids, the digests of the commands and their outcomes in order.
    pub(crate) fn entries(&self) -> Vec<(&Name, u64, &Outcome)> {
        let lookup = |id| {
            let entry: &Entry = &self.outcomes[id];
            (id, entry.digest, &entry.outcome)
        };
        self.order.iter().map(lookup).collect()
    }
}

/// Computes the digest of a command's content, which excludes the leader's clock.
fn digest(command: &Configure) -> u64 {
    let content = (&command.expect, &command.author, &command.change);
    let bytes = postcard::to_stdvec(&content).expect("a command can be encoded");
    base::digest(&bytes)
}
