//! Messages between replicas, and the state that replicas persist.

use std::fmt;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

/// Id of a replica. It is random for each new, empty replica, so a replica whose disk was lost
/// comes back with another id.
pub type Id = u64;
/// A position in the log. The first entry has index 1.
pub type Index = u64;
/// A Raft term.
pub type Term = u64;

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The index.
    pub index: Index,
    /// The term of the leader that appended it.
    pub term: Term,
    /// The content.
    pub payload: Payload,
}

/// The content of an entry. The `Debug` output of data has its length and a digest only, since it may contain secrets.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Empty. A new leader appends one to commit the entries of earlier terms.
    Empty,
    /// A command of the driver.
    Data(Bytes),
    /// The members in force from this entry on.
    Members(Members),
}

impl fmt::Debug for Payload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Payload::Empty => f.write_str("Empty"),
            Payload::Data(data) => write!(f, "Data({})", summary(data)),
            Payload::Members(members) => f.debug_tuple("Members").field(members).finish(),
        }
    }
}

/// Returns the length and a digest of data.
pub(crate) fn summary(data: &[u8]) -> String {
    format!("{} bytes, {:016x}", data.len(), base::digest(data))
}

/// The members of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Members {
    /// The replicas that vote and count towards the majority.
    pub voters: Vec<Member>,
    /// The replicas that only receive the log.
    pub learners: Vec<Member>,
}

/// A replica and its host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The replica's id.
    pub id: Id,
    /// The host. Each host has at most one voter.
    pub host: String,
}

/// The state that must be on disk before a message that depends on it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The replica voted for in `term`.
    pub vote: Option<Id>,
    /// A lower bound of the commit index: its value at the last write.
    pub commit: Index,
}

/// A snapshot of the driver's state. Its `Debug` output has the length and a digest of the data.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The index of the last entry included.
    pub index: Index,
    /// The term of that entry.
    pub term: Term,
    /// The members at that entry.
    pub members: Members,
    /// The encoded state of the driver.
    pub data: Bytes,
}

impl fmt::Debug for Snapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Snapshot")
            .field("index", &self.index)
            .field("term", &self.term)
            .field("members", &self.members)
            .field("data", &format_args!("{}", summary(&self.data)))
            .finish()
    }
}

/// A message between replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's term.
    pub term: Term,
    /// The content.
    pub body: Body,
}

impl Message {
    /// Returns the size of the commands, parts and snapshots that the message contains, in bytes.
    pub fn data_bytes(&self) -> usize {
        let entry_bytes = |entry: &Entry| match &entry.payload {
            Payload::Data(data) => data.len(),
            Payload::Empty | Payload::Members(_) => 0,
        };
        match &self.body {
            Body::Append { entries, .. } => entries.iter().map(entry_bytes).sum(),
            Body::Install { snapshot, .. } => snapshot.data.len(),
            Body::Part { part, .. } => part.data.len(),
            _ => 0,
        }
    }
}

/// The content of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// A request for a vote, or for a pre-vote if `pre` is set.
    Vote {
        /// The index of the last entry in the candidate's log.
        last_index: Index,
        /// The term of that entry.
        last_term: Term,
        /// Whether this is a pre-vote, which starts no new term.
        pre: bool,
    },
    /// The response to [`Body::Vote`].
    Voted {
        /// Whether the vote was granted.
        granted: bool,
        /// Whether this responds to a pre-vote.
        pre: bool,
    },
    /// Entries from the leader. Without entries it is a heartbeat.
    Append {
        /// The index before the first entry sent.
        prev_index: Index,
        /// The term of that entry.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
        /// The heartbeat round, by which reads are confirmed.
        round: u64,
    },
    /// The response to [`Body::Append`] and [`Body::Install`].
    Appended {
        /// Whether the receiver's log matched at `prev_index`.
        success: bool,
        /// On success the last index known to match the leader's log, otherwise a hint for the next
        /// attempt.
        index: Index,
        /// The heartbeat round of the message to which this responds.
        round: u64,
    },
    /// The leader's snapshot, for a replica that needs entries the leader no longer holds.
    Install {
        /// The snapshot.
        snapshot: Snapshot,
        /// The heartbeat round.
        round: u64,
    },
    /// A part of a snapshot or entry that is too large for one message. Earlier releases do not know
    /// it, see [`crate::Node::set_part_receivers`].
    Part {
        /// The part.
        part: Part,
        /// The heartbeat round.
        round: u64,
    },
    /// The response to [`Body::Part`], unless the object is complete: then it is
    /// [`Body::Appended`].
    PartReceived {
        /// The digest of the object.
        digest: u64,
        /// The offset of the part to which this responds.
        offset: u64,
        /// The number of bytes that the receiver has, from the first one on.
        received: u64,
        /// The heartbeat round of that part.
        round: u64,
    },
}

/// A part of a snapshot or entry. Its `Debug` output has the length and a digest of the data.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// What the part belongs to.
    pub object: Object,
    /// The digest of the object's data. The snapshots of two leaders at the same index may differ
    /// in the order of their content.
    pub digest: u64,
    /// The size of the object's data, in bytes.
    pub total: u64,
    /// The offset of this part in the data.
    pub offset: u64,
    /// The bytes from there on.
    pub data: Bytes,
}

impl fmt::Debug for Part {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Part")
            .field("object", &self.object)
            .field("digest", &self.digest)
            .field("total", &self.total)
            .field("offset", &self.offset)
            .field("data", &format_args!("{}", summary(&self.data)))
            .finish()
    }
}

/// A snapshot or entry without its data.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Object {
    /// A snapshot; see [`Snapshot`].
    Snapshot {
        /// The index of the last entry included.
        index: Index,
        /// The term of that entry.
        term: Term,
        /// The members at that entry.
        members: Members,
    },
    /// A command in the log.
    Entry {
        /// The index.
        index: Index,
        /// The term of the leader that appended it.
        term: Term,
        /// The term of the entry before it.
        prev_term: Term,
    },
}

impl Object {
    /// Returns the index of the entry, or of the last one that the snapshot includes.
    pub fn index(&self) -> Index {
        match self {
            Object::Snapshot { index, .. } | Object::Entry { index, .. } => *index,
        }
    }
}
