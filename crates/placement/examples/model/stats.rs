//! The results of simulation runs.

/// The results of one or more runs.
#[derive(Default)]
pub(crate) struct Stats {
    /// The load stalls of the answered requests, in milliseconds.
    pub(crate) stalls: Vec<u64>,
    pub(crate) refused: u64,
    /// The refused requests for cold adapters.
    pub(crate) refused_cold: u64,
    /// All requests for cold adapters.
    pub(crate) cold: u64,
    pub(crate) loads: u64,
    /// The loads of adapters that were evicted less than a minute before.
    pub(crate) regretted: u64,
    /// The sum over engines of the time with at least one request, in milliseconds.
    pub(crate) busy_ms: u64,
    /// The integral of the batch size over the busy time, in request milliseconds.
    pub(crate) batch_ms: u64,
    pub(crate) elapsed_ms: u64,
}

impl Stats {
    /// The column names of [`Stats::row`].
    pub(crate) const HEADER: &'static str = "  p50 ms  p95 ms  p99 ms stalled refused    cold \
                                           refused  loads/s regret  batch engine-s/answer";

    pub(crate) fn add(&mut self, other: Stats) {
        self.stalls.extend(other.stalls);
        self.refused += other.refused;
        self.refused_cold += other.refused_cold;
        self.cold += other.cold;
        self.loads += other.loads;
        self.regretted += other.regretted;
        self.busy_ms += other.busy_ms;
        self.batch_ms += other.batch_ms;
        self.elapsed_ms += other.elapsed_ms;
    }

    pub(crate) fn row(mut self) -> String {
        self.stalls.sort_unstable();
        let answered = self.stalls.len().max(1);
        let at = |percent: usize| self.stalls.get(answered * percent / 100).copied().unwrap_or(0);
        let stalled = self.stalls.iter().filter(|stall| **stall > 0).count();
        let percent = |part: u64, whole: u64| 100.0 * part as f64 / whole.max(1) as f64;
        format!(
            "{:8}{:8}{:8}{:7.1}%{:7.2}%{:14.2}%{:10.2}{:6.1}%{:7.2}{:10.3}",
            at(50),
            at(95),
            at(99),
            percent(stalled as u64, answered as u64),
            percent(self.refused, self.refused + answered as u64),
            percent(self.refused_cold, self.cold),
            self.loads as f64 * 1_000.0 / self.elapsed_ms as f64,
            percent(self.regretted, self.loads),
            self.batch_ms as f64 / self.busy_ms.max(1) as f64,
            self.busy_ms as f64 / 1_000.0 / answered as f64,
        )
    }
}
