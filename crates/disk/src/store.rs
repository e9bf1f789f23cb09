//! Persistent state of a replica.

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

/// File name of the snapshot.
const SNAPSHOT: &str = "snapshot";
/// File name of the identity.
const IDENTITY: &str = "identity";
/// Size in bytes at which a new segment is started.
const SEGMENT_BYTES: u64 = 8 << 20;
/// Maximum number of damaged directories kept next to each other.
const MAX_MOVED_DIRECTORIES: u32 = 10_000;

/// The persistent state of a replica. After an error it accepts no more writes: the content on disk
/// is unknown, and a repeated sync may report success for lost data.
pub struct Store {
    files: Box<dyn Files>,
    /// The segments, oldest first. Writes go to the last one.
    ///
    /// Invariant: never empty.
    segments: VecDeque<Segment>,
    segment_bytes: u64,
    hard_state: HardState,
    /// Index and term of the entries after the snapshot, including those not written yet.
    terms: VecDeque<(Index, Term)>,
    /// Records that the next sync writes.
    pending: Vec<Record>,
    failed: bool,
}

impl Store {
    /// Opens the directory of a replica, which is created if needed, and truncates a torn tail of
    /// the log.
    pub fn open(
        path: impl AsRef<Path>,
    ) -> Result<(Store, PersistentState, Option<Identity>), Error> {
        Store::with_files(Directory::open(path)?)
    }

    /// Opens a store over another implementation of [`Files`].
    pub fn with_files(
        mut files: impl Files + 'static,
    ) -> Result<(Store, PersistentState, Option<Identity>), Error> {
        atomic_file::remove_temporary_files(&mut files)?;
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
        let entries = store.apply_snapshot(snapshot.as_ref(), entries)?;
        Ok((store, PersistentState { hard_state, snapshot, entries }, identity))
    }

    /// Sets the size in bytes at which a new segment is started.
    pub fn set_segment_bytes(&mut self, bytes: u64) {
        self.segment_bytes = bytes;
    }

    /// Drops the entries covered by a snapshot and returns the rest: the entries after it if the
    /// log contains the snapshot's last entry, otherwise none. Fails if entries right after it are
    /// missing.
    fn apply_snapshot(
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
            return Err(Error::damaged(
                &self.current().name(),
                0,
                "entries after the snapshot are missing",
            ));
        }
        let first_kept = if self.terms.is_empty() { Index::MAX } else { first };
        Ok(entries.into_iter().filter(|entry| entry.index >= first_kept).collect())
    }

    /// Writes and syncs the replica's identity.
    pub fn write_identity(&mut self, identity: &Identity) -> Result<(), Error> {
        self.run_write(|store| atomic_file::write(&mut *store.files, IDENTITY, identity))
    }

    /// Appends entries, after discarding stored entries from the first one's index on. They are
    /// durable after [`Store::sync`].
    pub fn append(&mut self, entries: impl IntoIterator<Item = Entry>) {
        for entry in entries {
            while self.terms.back().is_some_and(|(index, _)| *index >= entry.index) {
                self.terms.pop_back();
            }
            self.terms.push_back((entry.index, entry.term));
            self.pending.push(Record::Entry(entry));
        }
    }

    /// Replaces the hard state. It is durable after [`Store::sync`].
    pub fn set_hard_state(&mut self, hard_state: HardState) {
        self.hard_state = hard_state;
        self.pending.push(Record::Hard(hard_state));
    }

    /// Writes and syncs a snapshot and removes the segments that it covers. Later entries are kept
    /// if the log contains the snapshot's last entry, otherwise all entries are discarded.
    pub fn write_snapshot(&mut self, snapshot: &Snapshot) -> Result<(), Error> {
        self.run_write(|store| {
            atomic_file::write(&mut *store.files, SNAPSHOT, snapshot)?;
            store.drop_covered(snapshot);
            store.remove_segments(snapshot.index)
        })
    }

    /// Drops the entries that a snapshot covers. Drops all entries if the log neither contains the
    /// snapshot's last entry nor starts after it.
    fn drop_covered(&mut self, snapshot: &Snapshot) {
        let last = (snapshot.index, snapshot.term);
        let contained = self.terms.binary_search(&last).is_ok();
        let already_dropped = self.terms.front().is_some_and(|(index, _)| *index > snapshot.index);
        if contained || already_dropped {
            self.terms.retain(|(index, _)| *index > snapshot.index);
        } else {
            // Needed even if `terms` is empty: segments may still contain entries covered by an
            // earlier snapshot.
            self.terms.clear();
            self.pending.push(Record::Reset);
        }
    }

    /// Removes the oldest segments that have no entries after `index`, one at a time so that a
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

    /// Makes all changes durable. Messages that depend on them may only be sent afterwards.
    pub fn sync(&mut self) -> Result<(), Error> {
        self.run_write(Store::write_pending)
    }

    /// Writes the pending records as one frame, to a new segment if the current one is full.
    fn write_pending(&mut self) -> Result<(), Error> {
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
            // Every segment has its own copy of the hard state, since older segments may be
            // removed.
            records.push(Record::Hard(self.hard_state));
        }
        self.write_frame(&records)?;
        if new {
            let name = self.current().name();
            self.files.sync_directory().map_err(Error::io(&name))?;
        }
        Ok(())
    }

    /// Appends a frame to the current segment and syncs it.
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
    fn run_write(
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

/// Renames a damaged directory to `PATH.damaged-N` and returns the new path.
pub fn move_aside(path: impl AsRef<Path>) -> Result<PathBuf, Error> {
    let path = path.as_ref();
    let folder = path.to_string_lossy().into_owned();
    let candidates = (1..MAX_MOVED_DIRECTORIES)
        .map(|number| PathBuf::from(format!("{folder}.damaged-{number}")));
    let mut free = candidates.filter(|target| !target.exists());
    let target = free.next().ok_or(Error::WriteFailed)?;
    fs::rename(path, &target).map_err(Error::io(&folder))?;
    sync_parent(path).map_err(Error::io(&folder))?;
    base::event!(ERROR, Event::LogDamaged, folder, moved_to = %target.display());
    Ok(target)
}
