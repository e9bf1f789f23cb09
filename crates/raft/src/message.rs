//! What replicas send each other and keep.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// A replica: random for each new, empty replica, so that a lost disk is another replica.
pub type Id = u64;
/// A position in the log; the first entry has 1.
pub type Index = u64;
/// An election period.
pub type Term = u64;

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The position.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Nothing: a new leader's first entry.
    Empty,
    /// A command of the driver.
    Data(Bytes),
    /// The members from this entry on.
    Members(Members),
}

/// The replicas of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The replicas that vote and count for the majority.
    pub voters: Vec<Member>,
    /// The replicas that only receive the log.
    pub learners: Vec<Member>,
}

/// A replica and where it runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The replica.
    pub id: Id,
    /// The name of its host; a host has one replica that counts.
    pub host: String,
}

/// The state that must be on disk before a message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The replica voted for in `term`.
    pub vote: Option<Id>,
    /// A lower bound of the committed index.
    pub commit: Index,
}

/// The state at a position of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it contains.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The driver's state.
    pub data: Bytes,
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The term of the sender.
    pub term: Term,
    /// The content.
    pub body: Body,
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A candidate asks for a vote; with `pre`, whether it would get one.
    Vote {
        /// The last entry of the candidate's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether it only asks, without a new term.
        pre: bool,
    },
    /// The answer to [`Body::Vote`].
    Voted {
        /// Whether the vote is given.
        granted: bool,
        /// Whether it was only asked for.
        pre: bool,
    },
    /// The leader's entries; without entries a heartbeat.
    Append {
        /// The entry before the first one sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's committed index.
        commit: Index,
        /// The round of heartbeats, by which reads are confirmed.
        round: u64,
    },
    /// The answer to [`Body::Append`].
    Appended {
        /// Whether the entries fit.
        success: bool,
        /// The last entry known to be equal to the leader's, or a hint where to go on.
        index: Index,
        /// The round that is answered.
        round: u64,
    },
    /// The leader's snapshot, for a replica that is behind the log's start.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The round of heartbeats.
        round: u64,
    },
}
