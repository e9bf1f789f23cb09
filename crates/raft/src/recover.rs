//! Manual recovery of a group whose majority is permanently lost.

use crate::message::Entry;
use crate::message::HardState;
use crate::message::Member;
use crate::message::Members;
use crate::message::Payload;
use crate::node::PersistentState;

/// Returns an entry to append and the hard state to write that turn one replica's log into that of
/// a new group in which only `member` votes.
///
/// Entries held only by lost replicas are lost, and entries that were never committed may take
/// effect. The caller must use the replica with the highest last term and index, and must choose a
/// new replica id and a new group id, so that a lost replica that comes back is not accepted as a
/// member.
pub fn recover(stored: &PersistentState, member: Member) -> (Entry, HardState) {
    let start = stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let index = stored.entries.last().map_or(start, |entry| entry.index) + 1;
    let term = stored.hard_state.term + 1;
    let vote = Some(member.id);
    let members = Members { voters: vec![member], learners: Vec::new() };
    let entry = Entry { index, term, payload: Payload::Members(members) };
    (entry, HardState { term, vote, commit: index })
}
