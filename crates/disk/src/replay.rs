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

/// Suffix of the file name of a segment.
const SEGMENT_SUFFIX: &str = ".log";

/// A record of the log. A frame contains several in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Record {
    /// An entry. It replaces earlier entries with the same or a higher index.
    Entry(Entry),
    /// The hard state.
    Hard(HardState),
    /// Discards all entries before it.
    Reset,
}

/// A file of the log.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Segment {
    /// The segment number. Numbers are consecutive.
    pub(crate) number: u64,
    /// The length in bytes.
    pub(crate) length: u64,
    /// The highest index of an entry in the segment; 0 if it has none.
    pub(crate) last: Index,
}

impl Segment {
    pub(crate) fn new(number: u64) -> Segment {
        Segment { number, length: 0, last: 0 }
    }

    /// Returns the file name.
    pub(crate) fn name(&self) -> String {
        format!("{:016x}{SEGMENT_SUFFIX}", self.number)
    }
}

/// The state read from the segments.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    /// The segments, oldest first.
    pub(crate) segments: Vec<Segment>,
    pub(crate) hard_state: HardState,
    /// The entries.
    ///
    /// Invariant: their indices are consecutive.
    pub(crate) entries: Vec<Entry>,
}

impl Replay {
    /// Reads all segments and truncates a torn tail.
    pub(crate) fn read(files: &mut dyn Files) -> Result<Replay, Error> {
        let mut replay = Replay::default();
        let numbers = segment_numbers(files)?;
        for number in &numbers {
            let segment = Segment::new(*number);
            let follows = replay.segments.last().is_none_or(|before| before.number + 1 == *number);
            if !follows {
                return Err(Error::damaged(&segment.name(), 0, "the previous segment is missing"));
            }
            let last = numbers.last() == Some(number);
            replay.read_segment(files, segment, last)?;
        }
        Ok(replay)
    }

    /// Reads a segment. Only in the last one may the tail be torn.
    fn read_segment(
        &mut self,
        files: &mut dyn Files,
        mut segment: Segment,
        last: bool,
    ) -> Result<(), Error> {
        let name = segment.name();
        let bytes = files.read(&name).map_err(Error::io(&name))?.unwrap_or_default();
        let mut offset = 0;
        while let Some((content, end)) = frame::read(segment.number, &bytes, offset) {
            self.apply_frame(&mut segment, content, offset as u64)?;
            offset = end;
        }
        if offset < bytes.len() {
            let torn = last && !frame::any_after(segment.number, &bytes, offset);
            if !torn {
                return Err(Error::damaged(
                    &name,
                    offset as u64,
                    "invalid frame before the end of the log",
                ));
            }
            truncate_torn_tail(files, &name, offset as u64, bytes.len())?;
        }
        segment.length = offset as u64;
        self.segments.push(segment);
        Ok(())
    }

    /// Applies the records of a frame.
    fn apply_frame(
        &mut self,
        segment: &mut Segment,
        content: &[u8],
        offset: u64,
    ) -> Result<(), Error> {
        let damaged = |message| Error::damaged(&segment.name(), offset, message);
        let records: Vec<Record> =
            postcard::from_bytes(content).map_err(|_| damaged("failed to decode a frame"))?;
        for record in records {
            match record {
                Record::Hard(hard_state) => self.hard_state = hard_state,
                Record::Reset => self.entries.clear(),
                Record::Entry(entry) => {
                    segment.last = segment.last.max(entry.index);
                    if !self.apply_entry(entry) {
                        return Err(Error::damaged(
                            &segment.name(),
                            offset,
                            "gap in the log entries",
                        ));
                    }
                }
            }
        }
        Ok(())
    }

    /// Applies an entry. Returns `false` if an entry before it is missing.
    fn apply_entry(&mut self, entry: Entry) -> bool {
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

/// Returns the segment numbers in order.
fn segment_numbers(files: &dyn Files) -> Result<Vec<u64>, Error> {
    let names = files.list().map_err(Error::io("."))?;
    let stems = names.iter().filter_map(|name| name.strip_suffix(SEGMENT_SUFFIX));
    let mut numbers: Vec<u64> =
        stems.filter_map(|stem| u64::from_str_radix(stem, 16).ok()).collect();
    numbers.sort_unstable();
    Ok(numbers)
}

/// Truncates the incomplete data that a crash left after the last valid frame.
fn truncate_torn_tail(
    files: &mut dyn Files,
    name: &str,
    offset: u64,
    length: usize,
) -> Result<(), Error> {
    base::event!(WARN, Event::LogTornTail, file = name, offset = offset, length = length);
    files.truncate(name, offset).map_err(Error::io(name))?;
    files.sync(name).map_err(Error::io(name))
}
