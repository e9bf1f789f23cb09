//! Limits of the replicated state.

/// One hour in milliseconds.
const HOUR_MS: u64 = 3_600_000;
/// One day in milliseconds.
const DAY_MS: u64 = 24 * HOUR_MS;

/// Limits of the replicated state.
///
/// Invariant: equal on all replicas, because outcomes depend on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The retention period of answers in the journal, in milliseconds.
    pub retention_ms: u64,
    /// The maximum size of an answer's body in the journal, in bytes.
    pub answer_bytes: usize,
    /// The total size of all bodies in the journal, in bytes, from which new keys are refused.
    pub total_bytes: usize,
    /// The number of keys in the journal from which new keys are refused.
    pub keys: usize,
    /// The maximum number of operators' command ids kept for deduplication.
    pub command_ids: usize,
    /// The maximum number of ended gate incarnations kept.
    pub ended_incarnations: usize,
    /// The maximum number of crashes kept.
    pub crashes: usize,
    /// The maximum number of quarantined requests; the oldest are released first.
    pub quarantine: usize,
    /// The maximum number of endpoints; further ones are refused.
    pub endpoints: usize,
    /// The retention period of crashes, in milliseconds.
    pub crash_retention_ms: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            retention_ms: DAY_MS,
            answer_bytes: 64 << 10,
            total_bytes: 64 << 20,
            keys: 1_000_000,
            command_ids: 10_000,
            ended_incarnations: 4_096,
            crashes: 1_024,
            quarantine: 10_000,
            endpoints: 10_000,
            crash_retention_ms: HOUR_MS,
        }
    }
}
