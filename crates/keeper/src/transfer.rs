//! Transfer of snapshots that are too large for one envelope.

use bytes::Bytes;
use bytes::BytesMut;
use raft::Message;
use raft::message::Body;
use raft::message::Snapshot;
use wire::keeper::Chunk;
use wire::keeper::Envelope;

/// The size of a chunk, in bytes; a snapshot up to this size is sent in one envelope.
pub const CHUNK_BYTES: usize = 1 << 20;
/// The maximum size of a received snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: u64 = 1 << 30;

/// Removes the messages with a large snapshot from an envelope and returns each as a list of chunks.
pub fn split(envelope: &mut Envelope) -> Vec<Vec<Chunk>> {
    let is_large = |message: &mut Message| match &message.body {
        Body::Install { snapshot, .. } => snapshot.data.len() > CHUNK_BYTES,
        _ => false,
    };
    let large: Vec<Message> = envelope.messages.extract_if(.., is_large).collect();
    large.into_iter().map(|message| chunks(envelope, message)).collect()
}

/// Splits a message with a snapshot into chunks.
fn chunks(envelope: &Envelope, mut message: Message) -> Vec<Chunk> {
    let Body::Install { snapshot, .. } = &mut message.body else { return Vec::new() };
    let data = std::mem::take(&mut snapshot.data);
    let envelope = Envelope { messages: vec![message], ..envelope.clone() };
    let chunk = |offset: usize| Chunk {
        parcel: envelope.clone(),
        offset: offset as u64,
        total: data.len() as u64,
        bytes: data.slice(offset..data.len().min(offset + CHUNK_BYTES)),
    };
    (0..data.len()).step_by(CHUNK_BYTES).map(chunk).collect()
}

/// Reassembles a snapshot from its chunks.
#[derive(Debug, Default)]
pub struct Assembler {
    /// The sending replica with the index and the term of its snapshot, while a transfer is in progress.
    source: Option<(u64, u64, u64)>,
    data: BytesMut,
}

impl Assembler {
    /// Adds a chunk and returns the complete envelope after the last one.
    ///
    /// A chunk out of order ends the transfer; the leader restarts it.
    pub fn add(&mut self, chunk: Chunk) -> Option<Envelope> {
        let Chunk { parcel: mut envelope, offset, total, bytes } = chunk;
        let from = envelope.from;
        let snapshot = snapshot(&mut envelope)?;
        let source = Some((from, snapshot.index, snapshot.term));
        if offset == 0 {
            self.data.clear();
            self.source = source;
        }
        let is_next = self.source == source && offset == self.data.len() as u64;
        if !is_next || total > MAX_SNAPSHOT_BYTES {
            self.source = None;
            return None;
        }
        self.data.extend_from_slice(&bytes);
        if (self.data.len() as u64) < total {
            return None;
        }
        self.source = None;
        snapshot.data = Bytes::from(std::mem::take(&mut self.data));
        Some(envelope)
    }
}

/// Returns the snapshot in the message of a chunk, or `None` if the message has none.
fn snapshot(envelope: &mut Envelope) -> Option<&mut Snapshot> {
    match &mut envelope.messages.first_mut()?.body {
        Body::Install { snapshot, .. } => Some(snapshot),
        _ => None,
    }
}
