//! The way back when the majority is lost for good.

use crate::message::Entry;
use crate::message::HardState;
use crate::message::Member;
use crate::message::Members;
use crate::message::Payload;
use crate::node::PersistentState;

/// Returns what makes the log of one replica that of a new group in which only `member` votes: an entry
/// to append and the hard state.
///
/// What only lost replicas held is lost, and entries that were never committed may come into force. The
/// caller must choose a new id for the replica and a new number for the group, so that a former replica
/// which comes back is a stranger; and must do this on the replica with the highest last term and index.
pub fn recover(stored: &PersistentState, member: Member) -> (Entry, HardState) {
    let start = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let index = stored.entries.last().map_or(start, |entry| entry.index) + 1;
    let term = stored.hard_state.term + 1;
    let vote = Some(member.id);
    let members = Members { voters: vec![member], learners: Vec::new() };
    let entry = Entry { index, term, payload: Payload::Members(members) };
    (entry, HardState { term, vote, commit: index })
}
