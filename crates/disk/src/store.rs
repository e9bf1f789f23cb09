//! What a replica keeps on disk.

use std::collections::VecDeque;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use base::Event;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Index;
use raft::message::Snapshot;
use raft::message::Term;
use raft::node::PersistentState;

use crate::atomic_file;
use crate::error::Error;
use crate::files::Directory;
use crate::files::Files;
use crate::files::sync_parent;
use crate::frame;
use crate::identity::Identity;
use crate::replay::Record;
use crate::replay::Replay;
use crate::replay::Segment;

/// The file of the snapshot.
const SNAPSHOT: &str = "snapshot";
/// The file of the identity.
const IDENTITY: &str = "identity";
/// The length from which a new segment is begun, in bytes.
const SEGMENT_BYTES: u64 = 8 << 20;
/// The folders set aside that can stand beside each other.
const SET_ASIDE: u32 = 10_000;

/// What a replica keeps on disk. After an error it takes no more writes: what is on disk is unknown
/// then, and a sync that is tried again may report success for what was lost.
pub struct Store {
    files: Box<dyn Files>,
    /// The segments, the oldest first; the last one is written to.
    ///
    /// Invariant: never empty.
    segments: VecDeque<Segment>,
    segment_bytes: u64,
    hard_state: HardState,
    /// Index and term of the entries behind the snapshot, with those that are not written yet.
    terms: VecDeque<(Index, Term)>,
    /// What the next sync writes.
    pending: Vec<Record>,
    failed: bool,
}

impl Store {
    /// Opens the folder of a replica, creates it if needed, and cuts a torn tail of the log.
    pub fn open(
        path: impl AsRef<Path>,
    ) -> Result<(Store, PersistentState, Option<Identity>), Error> {
        Store::with_files(Directory::open(path)?)
    }

    /// Opens a store over other files.
    pub fn with_files(
        mut files: impl Files + 'static,
    ) -> Result<(Store, PersistentState, Option<Identity>), Error> {
        atomic_file::clean(&mut files)?;
        let identity = atomic_file::read(&files, IDENTITY)?;
        let snapshot: Option<Snapshot> = atomic_file::read(&files, SNAPSHOT)?;
        let Replay { segments, hard_state, entries } = Replay::read(&mut files)?;
        let mut store = Store {
            files: Box::new(files),
            segments: segments.into(),
            segment_bytes: SEGMENT_BYTES,
            hard_state,
            terms: entries.iter().map(|entry| (entry.index, entry.term)).collect(),
            pending: Vec::new(),
            failed: false,
        };
        if store.segments.is_empty() {
            store.segments.push_back(Segment::new(1));
        }
        let entries = store.fit(snapshot.as_ref(), entries)?;
        Ok((store, PersistentState { hard_state, snapshot, entries }, identity))
    }

    /// Sets the length from which a new segment is begun, in bytes.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Returns the entries behind a snapshot; none if the log does not hold its last entry.
    fn fit(
        &mut self,
        snapshot: Option<&Snapshot>,
        entries: Vec<Entry>,
    ) -> Result<Vec<Entry>, Error> {
        let start = snapshot.map_or(0, |snapshot| snapshot.index);
        if let Some(snapshot) = snapshot {
            self.drop_covered(snapshot);
        }
        let first = self.terms.front().map_or(start + 1, |(index, _)| *index);
        if first > start + 1 {
            return Err(Error::damaged(&self.current().name(), 0, "entries are missing"));
        }
        let left = if self.terms.is_empty() { Index::MAX } else { first };
        Ok(entries.into_iter().filter(|entry| entry.index >= left).collect())
    }

    /// Writes and syncs who the replica is.
    pub fn write_identity(&mut self, identity: &Identity) -> Result<(), Error> {
        self.attempt(|store| atomic_file::write(&mut *store.files, IDENTITY, identity))
    }

    /// Appends entries; those on disk from the first one's index on are cut. They last after
    /// [`Store::sync`].
    pub fn append(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            while self.terms.back().is_some_and(|(index, _)| *index >= entry.index) {
                self.terms.pop_back();
            }
            self.terms.push_back((entry.index, entry.term));
            self.pending.push(Record::Entry(entry));
        }
    }

    /// Replaces the hard state. It lasts after [`Store::sync`].
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.pending.push(Record::Hard(hard_state));
    }

    /// Writes and syncs a snapshot and removes the segments that it covers. The entries behind it stay
    /// if the log holds its last entry.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.attempt(|store| {
            atomic_file::write(&mut *store.files, SNAPSHOT, snapshot)?;
            store.drop_covered(snapshot);
            store.remove_segments(snapshot.index)
        })
    }

    /// Drops what a snapshot covers, and everything if the log does not hold its last entry.
    fn drop_covered(&mut self, snapshot: &Snapshot) {
        let last = (snapshot.index, snapshot.term);
        let held = self.terms.binary_search(&last).is_ok();
        let behind = self.terms.front().is_some_and(|(index, _)| *index > snapshot.index);
        if held || behind {
            self.terms.retain(|(index, _)| *index > snapshot.index);
        } else {
            // Also without entries: those that an earlier snapshot covered may stand in the segments.
            self.terms.clear();
            self.pending.push(Record::Reset);
        }
    }

    /// Removes the oldest segments that hold nothing behind `index`, one after the other so that a
    /// crash leaves no gap.
    fn remove_segments(&mut self, index: Index) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last <= index {
            let name = self.segments[0].name();
            self.files.remove(&name).map_err(Error::io(&name))?;
            self.files.sync_directory().map_err(Error::io(&name))?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Makes all that was handed over last; only then may a message that depends on it be sent.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.attempt(Store::write)
    }

    /// Writes what is pending as one frame.
    fn write(&mut self) -> Result<(), Error> {
        if self.pending.is_empty() {
            return Ok(());
        }
        if self.current().length >= self.segment_bytes {
            let number = self.current().number + 1;
            self.segments.push_back(Segment::new(number));
        }
        let new = self.current().length == 0;
        let mut records = std::mem::take(&mut self.pending);
        if new {
            // Older segments may go, so each one has the hard state.
            records.push(Record::Hard(self.hard_state));
        }
        self.write_frame(&records)?;
        if new {
            let name = self.current().name();
            self.files.sync_directory().map_err(Error::io(&name))?;
        }
        Ok(())
    }

    /// Appends a frame to the last segment and syncs it.
    fn write_frame(&mut self, records: &[Record]) -> Result<(), Error> {
        let Segment { number, length, .. } = *self.current();
        let name = self.current().name();
        let content = postcard::to_stdvec(records).expect("records can be encoded");
        let bytes = frame::write(number, length, &content);
        self.files.append(&name, &bytes).map_err(Error::io(&name))?;
        self.files.sync(&name).map_err(Error::io(&name))?;
        let segment = self.segments.back_mut().expect("never empty");
        segment.length += bytes.len() as u64;
        for record in records {
            if let Record::Entry(entry) = record {
                segment.last = segment.last.max(entry.index);
            }
        }
        Ok(())
    }

    /// Returns the segment that is written to.
    fn current(&self) -> &Segment {
        self.segments.back().expect("never empty")
    }

    /// Runs a write unless an earlier one failed.
    fn attempt(
        &mut self,
        write: impl FnOnce(&mut Store) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.failed {
            return Err(Error::WriteFailed);
        }
        let result = write(self);
        self.failed = result.is_err();
        result
    }
}

/// Moves a damaged folder aside, beside its old place, and returns where it is now.
pub fn move_aside(path: impl AsRef<Path>) -> Result<PathBuf, Error> {
    let path = path.as_ref();
    let shown = path.to_string_lossy().into_owned();
    let places = (1..SET_ASIDE).map(|number| PathBuf::from(format!("{shown}.damaged-{number}")));
    let mut free = places.filter(|place| !place.exists());
    let place = free.next().ok_or(Error::WriteFailed)?;
    fs::rename(path, &place).map_err(Error::io(&shown))?;
    sync_parent(path).map_err(Error::io(&shown))?;
    base::event!(ERROR, Event::LogDamaged, folder = shown, moved_to = %place.display());
    Ok(place)
}
