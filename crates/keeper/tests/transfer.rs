//! Snapshots that are too large for one parcel.

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

/// The length of the snapshot, in bytes.
const LENGTH: usize = 2 * CHUNK_BYTES + 7;

fn parcel(length: usize) -> Envelope {
    let data: Vec<u8> = (0..length).map(|index| (index % 251) as u8).collect();
    let members = Members::default();
    let snapshot = Snapshot { index: 9, term: 2, members, data: Bytes::from(data) };
    let message = Message { term: 2, body: Body::Install { snapshot, round: 1 } };
    let host = Name::from("h0");
    Envelope { group: 1, from: 2, host, to: 3, messages: vec![message] }
}

fn pieces(parcel: &Envelope) -> Vec<Chunk> {
    let mut rest = parcel.clone();
    let pieces = transfer::split(&mut rest).remove(0);
    assert!(rest.messages.is_empty());
    pieces
}

#[test]
fn a_small_snapshot_stays_in_its_parcel() {
    let mut parcel = parcel(CHUNK_BYTES);
    assert!(transfer::split(&mut parcel).is_empty());
    assert_eq!(parcel.messages.len(), 1);
}

#[test]
fn the_pieces_make_the_message_again() {
    let parcel = parcel(LENGTH);
    let mut assembler = Assembler::default();
    let mut whole: Vec<Envelope> =
        pieces(&parcel).into_iter().filter_map(|piece| assembler.add(piece)).collect();
    assert_eq!(whole.len(), 1);
    assert_eq!(whole.remove(0).messages, parcel.messages);
}

#[test]
fn a_gap_or_another_sender_ends_the_transfer() {
    let sent = pieces(&parcel(LENGTH));
    let mut assembler = Assembler::default();
    assert!(assembler.add(sent[0].clone()).is_none());
    assert!(assembler.add(sent[2].clone()).is_none());
    assert!(assembler.add(sent[1].clone()).is_none());
    let mut other = sent[1].clone();
    other.parcel.from = 8;
    assert!(assembler.add(sent[0].clone()).is_none());
    assert!(assembler.add(other).is_none());
    assert!(assembler.add(sent[2].clone()).is_none());
    let whole: Vec<_> = sent.into_iter().filter_map(|piece| assembler.add(piece)).collect();
    assert_eq!(whole.len(), 1);
}
