//! Linearizable reads, confirmed by a majority.

use crate::node::Node;
use crate::node::NotLeader;

/// A read that is not confirmed yet.
#[derive(Debug)]
pub(crate) struct Read {
    /// The driver's identifier of the read.
    pub(crate) token: u64,
    /// The first heartbeat round that starts after the read; responses to it confirm the read.
    pub(crate) round: u64,
}

impl Node {
    /// Starts a linearizable read. The token is returned in [`crate::node::Ready::reads`] once a
    /// majority confirms that this replica was still the leader after this call, and everything
    /// committed before the call is applied. Dropped on loss of leadership.
    pub fn read(&mut self, token: u64) -> Result<(), NotLeader> {
        self.check_leader()?;
        let round = self.round + 1;
        self.reads.push_back(Read { token, round });
        Ok(())
    }

    /// Starts a heartbeat round if a read needs one.
    pub(crate) fn start_read_round(&mut self) {
        let needed = self.reads.back().is_some_and(|read| read.round > self.round);
        if needed {
            self.start_heartbeat_round();
        }
    }

    /// Returns the tokens of confirmed reads.
    ///
    /// The commit index of a new leader may be behind its predecessor's until an entry of its own
    /// term is committed, so no read is confirmed before that.
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

    /// Returns whether this replica leads and has applied an entry of its own term, and so
    /// everything that earlier leaders committed.
    pub fn is_caught_up_leader(&self) -> bool {
        self.has_committed_in_term() && self.applied >= self.term_start_index
    }

    /// Returns whether this replica leads and has committed an entry of its own term.
    pub(crate) fn has_committed_in_term(&self) -> bool {
        self.is_leader() && self.commit >= self.term_start_index
    }

    /// Returns the latest heartbeat round answered by a majority.
    fn confirmed_round(&self) -> u64 {
        let rounds = self.members().voters.iter().map(|member| {
            if member.id == self.id {
                return self.round;
            }
            self.progress.get(&member.id).map_or(0, |progress| progress.round)
        });
        majority_value(rounds.collect())
    }
}

/// Returns the highest value that a majority of `values` has reached.
pub(crate) fn majority_value(mut values: Vec<u64>) -> u64 {
    if values.is_empty() {
        return 0;
    }
    values.sort_unstable_by(|a, b| b.cmp(a));
    values[values.len() / 2]
}
