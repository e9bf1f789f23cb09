//! Bounds in bytes of what a keeper holds, as shares of the memory of its host.

/// The share of the memory that an entry or a snapshot may have. A keeper holds up to four
/// snapshots: the latest one, one that is being sent, one that is being received or encoded, and the
/// decoded state, which takes twice as much.
const OBJECT_SHARE: usize = 16;
/// The share of an object that one change may have. A snapshot contains the last plan, which is almost
/// all of a large change, and the versions of adapters, the quarantine and the departures.
const CHANGE_SHARE: usize = 2;
/// The share for the log entries behind the latest snapshot.
const RETAINED_SHARE: usize = 16;
/// The share for all log entries in memory, those not committed yet included.
const LOG_SHARE: usize = 5;
/// The share for the entries that are on the way to one replica.
const IN_FLIGHT_SHARE: usize = 256;

/// Bounds in bytes, listed in `docs/design/memory.md`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    /// The largest entry or snapshot.
    pub(crate) object: usize,
    /// The largest command that is proposed.
    pub(crate) change: usize,
    /// The log entries behind the latest snapshot.
    pub(crate) retained: usize,
    /// All log entries in memory; a leader accepts no further command above it.
    pub(crate) log: usize,
    /// The entries on the way to one replica.
    pub(crate) in_flight: usize,
}

impl Budget {
    pub(crate) fn new(memory_bytes: usize) -> Budget {
        Budget {
            object: memory_bytes / OBJECT_SHARE,
            change: memory_bytes / OBJECT_SHARE / CHANGE_SHARE,
            retained: memory_bytes / RETAINED_SHARE,
            log: memory_bytes / LOG_SHARE,
            in_flight: memory_bytes / IN_FLIGHT_SHARE,
        }
    }
}
