//! Bounds of the replicated state.

/// One hour in milliseconds.
const HOUR_MS: u64 = 3_600_000;
/// One day in milliseconds.
const DAY_MS: u64 = 24 * HOUR_MS;

/// Bounds of the replicated state.
///
/// Invariant: equal on all replicas, since outcomes depend on them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long the journal keeps answers, in milliseconds.
    pub retention_ms: u64,
    /// The largest body of an answer that the journal keeps, in bytes.
    pub answer_bytes: usize,
    /// The bytes of all bodies that the journal keeps; new keys are refused beyond.
    pub total_bytes: usize,
    /// The keys that the journal keeps at once; new keys are refused beyond.
    pub keys: usize,
    /// The operators' command ids that are remembered.
    pub command_ids: usize,
    /// The ended runs of gates that are remembered.
    pub ended_runs: usize,
    /// The crashes that are remembered.
    pub crashes: usize,
    /// The quarantined requests; the oldest are let go beyond.
    pub quarantine: usize,
    /// The endpoints; more are refused.
    pub endpoints: usize,
    /// How long a crash is remembered, in milliseconds.
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
            ended_runs: 4_096,
            crashes: 1_024,
            quarantine: 10_000,
            endpoints: 10_000,
            crash_retention_ms: HOUR_MS,
        }
    }
}
