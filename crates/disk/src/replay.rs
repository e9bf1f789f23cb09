//! Reads the segments of the log.

use base::Event;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Index;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::files::Files;
use crate::frame;

/// The end of the name of a segment.
const SUFFIX: &str = ".log";

/// What a frame of the log holds, several in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// An entry; those before it with the same or a later index are cut.
    Entry(Entry),
    /// The hard state.
    Hard(HardState),
    /// All entries before it are cut.
    Reset,
}

/// A file of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// Its number; they grow by one.
    pub(crate) number: u64,
    /// The length in bytes.
    pub(crate) length: u64,
    /// The highest index of an entry in it.
    pub(crate) last: Index,
}

impl Segment {
    /// Creates an empty one.
    pub(crate) fn new(number: u64) -> Segment {
        Segment { number, length: 0, last: 0 }
    }

    /// Returns the name of the file.
    pub(crate) fn name(&self) -> String {
        format!("{:016x}{SUFFIX}", self.number)
    }
}

/// What the segments say.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The segments, the oldest first.
    pub(crate) segments: Vec<Segment>,
    /// The hard state.
    pub(crate) hard_state: HardState,
    /// The entries.
    ///
    /// Invariant: their indices grow by one.
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
    /// Reads all segments and cuts a torn tail.
    pub(crate) fn read(files: &mut dyn Files) -> Result<Replay, Error> {
        let mut replay = Replay::default();
        let numbers = numbers(files)?;
        for number in &numbers {
            let segment = Segment::new(*number);
            let follows = replay.segments.last().is_none_or(|before| before.number + 1 == *number);
            if !follows {
                return Err(Error::damaged(&segment.name(), 0, "the segment before it is missing"));
            }
            let last = numbers.last() == Some(number);
            replay.segment(files, segment, last)?;
        }
        Ok(replay)
    }

    /// Reads a segment.
    fn segment(
        &mut self,
        files: &mut dyn Files,
        mut segment: Segment,
        last: bool,
    ) -> Result<(), Error> {
        let name = segment.name();
        let bytes = files.read(&name).map_err(Error::io(&name))?.unwrap_or_default();
        let mut offset = 0;
        while let Some((content, end)) = frame::read(segment.number, &bytes, offset) {
            self.frame(&mut segment, content, offset as u64)?;
            offset = end;
        }
        if offset < bytes.len() {
            let torn = last && !frame::any_behind(segment.number, &bytes, offset);
            if !torn {
                return Err(Error::damaged(
                    &name,
                    offset as u64,
                    "a frame is bad and not the last",
                ));
            }
            cut(files, &name, offset as u64, bytes.len())?;
        }
        segment.length = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Takes the records of a frame.
    fn frame(&mut self, segment: &mut Segment, content: &[u8], offset: u64) -> Result<(), Error> {
        let damaged = |message| Error::damaged(&segment.name(), offset, message);
        let records: Vec<Record> =
            postcard::from_bytes(content).map_err(|_| damaged("a frame cannot be decoded"))?;
        for record in records {
            match record {
                Record::Hard(hard_state) => self.hard_state = hard_state,
                Record::Reset => self.entries.clear(),
                Record::Entry(entry) => {
                    segment.last = segment.last.max(entry.index);
                    if !self.entry(entry) {
                        return Err(Error::damaged(&segment.name(), offset, "an entry is missing"));
                    }
                }
            }
        }
        Ok(())
    }

    /// Takes an entry; returns false if one before it is missing.
    fn entry(&mut self, entry: Entry) -> bool {
        if let Some(first) = self.entries.first() {
            let kept = entry.index.saturating_sub(first.index) as usize;
            if kept > self.entries.len() {
                return false;
            }
            self.entries.truncate(kept);
        }
        self.entries.push(entry);
        true
    }
}

/// Lists the numbers of the segments in order.
fn numbers(files: &dyn Files) -> Result<Vec<u64>, Error> {
    let names = files.list().map_err(Error::io("."))?;
    let stems = names.iter().filter_map(|name| name.strip_suffix(SUFFIX));
    let mut numbers: Vec<u64> =
        stems.filter_map(|stem| u64::from_str_radix(stem, 16).ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Cuts what a crash left behind the last whole frame.
fn cut(files: &mut dyn Files, name: &str, offset: u64, length: usize) -> Result<(), Error> {
    base::event!(WARN, Event::LogTornTail, file = name, offset = offset, length = length);
    files.truncate(name, offset).map_err(Error::io(name))?;
    files.sync(name).map_err(Error::io(name))
}
