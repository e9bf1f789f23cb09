//! Snapshots that are too large for one parcel.

use bytes::Bytes;
use bytes::BytesMut;
use raft::Message;
use raft::message::Body;
use raft::message::Snapshot;
use wire::keeper::Chunk;
use wire::keeper::Envelope;

/// The length of a piece, in bytes; a shorter snapshot goes in one parcel.
pub const PIECE_BYTES: usize = 1 << 20;
/// The largest snapshot that is taken, in bytes.
const TOTAL_BYTES: u64 = 1 << 30;

/// Takes the messages with a large snapshot out of a parcel, each cut into pieces.
pub fn split(parcel: &mut Envelope) -> Vec<Vec<Chunk>> {
    let is_large = |message: &mut Message| match &message.body {
        Body::Install { snapshot, .. } => snapshot.data.len() > PIECE_BYTES,
        _ => false,
    };
    let large: Vec<Message> = parcel.messages.extract_if(.., is_large).collect();
    large.into_iter().map(|message| pieces(parcel, message)).collect()
}

/// Cuts a message with a snapshot into pieces.
fn pieces(parcel: &Envelope, mut message: Message) -> Vec<Chunk> {
    let Body::Install { snapshot, .. } = &mut message.body else { return Vec::new() };
    let data = std::mem::take(&mut snapshot.data);
    let parcel = Envelope { messages: vec![message], ..parcel.clone() };
    let piece = |offset: usize| Chunk {
        parcel: parcel.clone(),
        offset: offset as u64,
        total: data.len() as u64,
        bytes: data.slice(offset..data.len().min(offset + PIECE_BYTES)),
    };
    (0..data.len()).step_by(PIECE_BYTES).map(piece).collect()
}

/// Puts the pieces of a snapshot together.
#[derive(Debug, Default)]
pub struct Assembly {
    /// The replica that sends, with the index and the term of its snapshot.
    source: Option<(u64, u64, u64)>,
    data: BytesMut,
}

impl Assembly {
    /// Adds a piece and returns the parcel when it was the last one.
    ///
    /// A piece that does not follow the last one ends the transfer; the leader starts it again.
    pub fn add(&mut self, piece: Chunk) -> Option<Envelope> {
        let Chunk { mut parcel, offset, total, bytes } = piece;
        let from = parcel.from;
        let snapshot = snapshot(&mut parcel)?;
        let source = Some((from, snapshot.index, snapshot.term));
        if offset == 0 {
            self.data.clear();
            self.source = source;
        }
        let fits = self.source == source && offset == self.data.len() as u64;
        if !fits || total > TOTAL_BYTES {
            self.source = None;
            return None;
        }
        self.data.extend_from_slice(&bytes);
        if (self.data.len() as u64) < total {
            return None;
        }
        self.source = None;
        snapshot.data = Bytes::from(std::mem::take(&mut self.data));
        Some(parcel)
    }
}

/// Finds the snapshot of the message of a piece.
fn snapshot(parcel: &mut Envelope) -> Option<&mut Snapshot> {
    match &mut parcel.messages.first_mut()?.body {
        Body::Install { snapshot, .. } => Some(snapshot),
        _ => None,
    }
}
