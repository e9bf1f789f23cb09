//! Transfer of snapshots that are too large for one envelope.

use base::Name;
use bytes::Bytes;
use keeper::transfer;
use keeper::transfer::Assembler;
use keeper::transfer::CHUNK_BYTES;
use raft::Message;
use raft::message::Body;
use raft::message::Members;
use raft::message::Snapshot;
use wire::keeper::Chunk;
use wire::keeper::Envelope;

/// The size of the snapshot, in bytes.
const SNAPSHOT_BYTES: usize = 2 * CHUNK_BYTES + 7;

fn envelope(length: usize) -> Envelope {
    let data: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let members = Members::default();
    let snapshot = Snapshot { index: 9, term: 2, members, data: Bytes::from(data) };
    let message = Message { term: 2, body: Body::Install { snapshot, round: 1 } };
    let host = Name::from("h0");
    Envelope { group: 1, from: 2, host, to: 3, messages: vec![message] }
}

fn chunks(envelope: &Envelope) -> Vec<Chunk> {
    let mut rest = envelope.clone();
    let chunks = transfer::split(&mut rest).remove(0);
    assert!(rest.messages.is_empty());
    chunks
}

#[test]
fn small_snapshot_stays_in_its_envelope() {
    let mut envelope = envelope(CHUNK_BYTES);
    assert!(transfer::split(&mut envelope).is_empty());
    assert_eq!(envelope.messages.len(), 1);
}

#[test]
fn chunks_are_reassembled_to_the_message() {
    let envelope = envelope(SNAPSHOT_BYTES);
    let mut assembler = Assembler::default();
    let mut whole: Vec<Envelope> =
        chunks(&envelope).into_iter().filter_map(|chunk| assembler.add(chunk)).collect();
    assert_eq!(whole.len(), 1);
    assert_eq!(whole.remove(0).messages, envelope.messages);
}

#[test]
fn gap_or_other_sender_ends_the_transfer() {
    let sent = chunks(&envelope(SNAPSHOT_BYTES));
    let mut assembler = Assembler::default();
    assert!(assembler.add(sent[0].clone()).is_none());
    assert!(assembler.add(sent[2].clone()).is_none());
    assert!(assembler.add(sent[1].clone()).is_none());
    let mut other = sent[1].clone();
    other.parcel.from = 8;
    assert!(assembler.add(sent[0].clone()).is_none());
    assert!(assembler.add(other).is_none());
    assert!(assembler.add(sent[2].clone()).is_none());
    let whole: Vec<_> = sent.into_iter().filter_map(|chunk| assembler.add(chunk)).collect();
    assert_eq!(whole.len(), 1);
}
