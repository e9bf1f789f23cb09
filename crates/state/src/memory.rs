//! The outcomes of operators' commands by id.

use std::collections::VecDeque;

use base::Code;
use base::Map;
use base::Name;
use serde::Deserialize;
use serde::Serialize;

use crate::command::Configure;
use crate::command::Outcome;
use crate::refusal::Refusal;

/// The outcomes of operators' commands by id; the oldest go first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Memory {
    /// The first outcome of each id.
    outcomes: Map<Name, First>,
    /// The ids in the order of their commands.
    ///
    /// Invariant: the keys of `outcomes`, each once.
    order: VecDeque<Name>,
}

/// The first command with an id.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct First {
    /// The digest of the command's content.
    digest: u64,
    /// What became of it.
    outcome: Outcome,
}

impl Memory {
    /// Finds the first outcome of a command; refuses an id that had other content.
    pub(crate) fn recall(&self, command: &Configure) -> Result<Option<Outcome>, Refusal> {
        let Some(first) = self.outcomes.get(&command.id) else {
            return Ok(None);
        };
        if first.digest != digest(command) {
            let detail = format!("command id '{}' was used with other content", command.id);
            return Err(Refusal::new(Code::CommandReused, detail));
        }
        Ok(Some(first.outcome.clone()))
    }

    /// Keeps the outcome of a command whose id is new; `limit` is the number of ids kept.
    pub(crate) fn keep(&mut self, command: &Configure, outcome: &Outcome, limit: usize) {
        let first = First { digest: digest(command), outcome: outcome.clone() };
        self.outcomes.insert(command.id.clone(), first);
        self.order.push_back(command.id.clone());
        while self.order.len() > limit {
            let Some(oldest) = self.order.pop_front() else { break };
            self.outcomes.remove(&oldest);
        }
    }

    /// Lists the ids, their contents' digests and their outcomes in order.
    pub(crate) fn list(&self) -> Vec<(&Name, u64, &Outcome)> {
        let entry = |id| {
            let first: &First = &self.outcomes[id];
            (id, first.digest, &first.outcome)
        };
        self.order.iter().map(entry).collect()
    }
}

/// Computes the digest of a command's content; the leader's clock is no part of it.
fn digest(command: &Configure) -> u64 {
    let content = (&command.expect, &command.author, &command.change);
    let bytes = postcard::to_stdvec(&content).expect("a command can be encoded");
    base::digest(&bytes)
}
