//! Tests of the store: crashes, torn writes, failing syncs and damage.

mod crashes;
mod damage;
mod memory;
mod writes;

use bytes::Bytes;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Index;
use raft::message::Member;
use raft::message::Members;
use raft::message::Payload;
use raft::message::Snapshot;
use raft::message::Term;

fn entry(index: Index, term: Term) -> Entry {
    let payload = Payload::Data(Bytes::from(format!("value {index} of term {term}")));
    Entry { index, term, payload }
}

fn entries(first: Index, last: Index, term: Term) -> Vec<Entry> {
    (first..=last).map(|index| entry(index, term)).collect()
}

fn hard_state(term: Term, vote: u64, commit: Index) -> HardState {
    HardState { term, vote: Some(vote), commit }
}

fn snapshot(index: Index, term: Term) -> Snapshot {
    let voters = vec![Member { id: 5, host: "h1".into() }];
    let members = Members { voters, learners: Vec::new() };
    Snapshot { index, term, members, data: Bytes::from(format!("state at {index}")) }
}
