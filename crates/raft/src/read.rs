//! Reads that a majority confirms.

use crate::message::Index;
use crate::node::Node;
use crate::node::NotLeader;

/// A read that is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Read {
    /// The driver's name for it.
    pub(crate) token: u64,
    /// The round of heartbeats that confirms it: begun after the read was asked for.
    pub(crate) round: u64,
}

impl Node {
    /// Asks to be told in [`crate::node::Ready::reads`] when it is certain that this replica was the
    /// leader after this call and has applied all that was committed before it. Dropped on loss of
    /// leadership.
    pub fn read(&mut self, token: u64) -> Result<(), NotLeader> {
        self.check_leader()?;
        let round = self.round + 1;
        self.reads.push_back(Read { token, round });
        Ok(())
    }

    /// Starts a round of heartbeats if a read needs one.
    pub(crate) fn begin_round(&mut self) {
        let wanted = self.reads.back().is_some_and(|read| read.round > self.round);
        if wanted {
            self.beat();
        }
    }

    /// Takes the reads that are confirmed.
    ///
    /// The committed index of a new leader may be behind what its predecessor committed, until an
    /// entry of its own term is committed.
    pub(crate) fn take_reads(&mut self) -> Vec<u64> {
        let mut tokens = Vec::new();
        if !self.has_committed_in_term() {
            return tokens;
        }
        let confirmed = self.confirmed_round();
        while let Some(read) = self.reads.front() {
            if read.round > confirmed {
                break;
            }
            tokens.push(read.token);
            self.reads.pop_front();
        }
        tokens
    }

    /// Returns whether this replica leads, has committed an entry of its term and applied all that was
    /// committed before.
    pub fn is_caught_up_leader(&self) -> bool {
        self.has_committed_in_term() && self.applied >= self.first_index
    }

    /// Returns whether this replica leads and has committed an entry of its term.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.is_leader() && self.commit >= self.first_index
    }

    /// Returns the latest round that a majority has answered.
    fn confirmed_round(&self) -> Index {
        let rounds = self.members().voters.iter().map(|member| {
            if member.id == self.id {
                return self.round;
            }
            self.progress.get(&member.id).map_or(0, |progress| progress.round)
        });
        majority(rounds.collect())
    }
}

/// Returns the highest value that a majority has reached.
pub(crate) fn majority(mut values: Vec<u64>) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable_by(|a, b| b.cmp(a));
    values[values.len() / 2]
}
