//! What a run is measured by.

/// The measures of one run or of several.
#[derive(Default)]
pub(crate) struct Stats {
    /// The waits for an adapter, in milliseconds, of the answered requests.
    pub(crate) stalls: Vec<u64>,
    pub(crate) refused: u64,
    /// The refused requests for adapters outside the hottest.
    pub(crate) refused_cold: u64,
    pub(crate) cold: u64,
    pub(crate) loads: u64,
    /// Loads of an adapter that was evicted less than a minute before.
    pub(crate) regretted: u64,
    /// The time in which engines had at least one request, in milliseconds.
    pub(crate) busy_ms: u64,
    /// The sum over that time of the requests in the batch.
    pub(crate) batch_ms: u64,
    pub(crate) elapsed_ms: u64,
}

impl Stats {
    /// The names of the columns of a row.
    pub(crate) const HEAD: &'static str = "  p50 ms  p95 ms  p99 ms stalled refused one-off \
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
