//! The report of a run: as a table for people, as JSON for scripts.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// The microseconds of a millisecond.
const MICROS: f64 = 1_000.0;

/// What a run measured, the warm-up left out.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The time of arrivals that was counted, in seconds.
    pub seconds: f64,
    /// The requests that were sent.
    pub sent: u64,
    /// The arrivals that were not sent because too many were in progress.
    pub unsent: u64,
    /// The right answers.
    pub answered: u64,
    /// The right answers within the deadline, counted from the intended time.
    pub in_deadline: u64,
    /// The right answers within the deadline, a second.
    pub goodput: f64,
    /// The refusals by code.
    pub refused: BTreeMap<String, u64>,
    /// The refusals that left open whether the request ran.
    pub maybe_ran: u64,
    /// The requests for which no gate could be reached.
    pub unreachable: u64,
    /// The requests whose connection broke, or without an answer in time.
    pub broken: u64,
    /// The wrong answers that looked right; must be 0.
    pub wrong: u64,
    /// The attempts after the first.
    pub retries: u64,
    /// The times from the intended start to the first token of a stream, in milliseconds.
    pub first_ms: Quantiles,
    /// The times between tokens, in milliseconds.
    pub between_ms: Quantiles,
    /// The times from the intended start to the end of a completion, in milliseconds.
    pub total_ms: Quantiles,
    /// The times from the intended start to the end of a service's call, in milliseconds.
    pub call_ms: Quantiles,
    /// The times that answered completions waited for their adapter, in milliseconds.
    pub stall_ms: Quantiles,
    /// The share of answered completions that waited for their adapter at all.
    pub stalled_share: f64,
    /// What the engines recorded, where they were named.
    pub engines: Option<Engines>,
    /// What engines and the store recorded that must never happen; must be 0.
    pub violations: u64,
    /// Some problems word by word.
    pub problems: Vec<String>,
}

/// What the engines recorded behind the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engines {
    /// The engines that are left out because they did not answer for their records.
    pub unread: u64,
    /// How full batches were while engines were busy, from 0 to 1.
    pub fill: f64,
    /// The time that engines were busy, in seconds.
    pub busy_seconds: f64,
    /// The busy engine-seconds per request answered in the run.
    pub seconds_per_answer: f64,
    /// The loads a second.
    pub loads_per_second: f64,
    /// The loads that failed.
    pub failed_loads: u64,
    /// The evictions.
    pub evictions: u64,
    /// The evictions whose adapter was loaded again within 60 s.
    pub regretted: u64,
}

/// Some quantiles of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The median.
    pub p50: f64,
    /// What 95 of 100 do not exceed.
    pub p95: f64,
    /// What 99 of 100 do not exceed.
    pub p99: f64,
    /// The largest value.
    pub max: f64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram of microseconds, in milliseconds.
    pub fn of(histogram: &Histogram<u64>) -> Quantiles {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS;
        Quantiles {
            count: histogram.len(),
            mean: histogram.mean() / MICROS,
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS,
        }
    }
}

impl Report {
    /// Returns the refusals of all codes.
    pub fn refusals(&self) -> u64 {
        self.refused.values().sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "counted               {:.1} s", self.seconds)?;
        writeln!(f, "sent, unsent          {}, {}", self.sent, self.unsent)?;
        writeln!(f, "answered              {}", self.answered)?;
        writeln!(f, "within the deadline   {} ({:.2}/s)", self.in_deadline, self.goodput)?;
        writeln!(f, "wrong answers         {}", self.wrong)?;
        writeln!(f, "broken, unreachable   {}, {}", self.broken, self.unreachable)?;
        writeln!(f, "retries               {}", self.retries)?;
        writeln!(f, "refused, may have run {}, {}", self.refusals(), self.maybe_ran)?;
        for (code, count) in &self.refused {
            writeln!(f, "  {code:<20}{count}")?;
        }
        writeln!(
            f,
            "\n{:<22}{:>8}{:>9}{:>9}{:>9}{:>9}",
            "ms", "count", "p50", "p95", "p99", "max"
        )?;
        row(f, "first token", &self.first_ms)?;
        row(f, "between tokens", &self.between_ms)?;
        row(f, "completion", &self.total_ms)?;
        row(f, "service call", &self.call_ms)?;
        row(f, "load stall", &self.stall_ms)?;
        writeln!(f, "\nstalled               {:.1}%", self.stalled_share * 100.0)?;
        if let Some(engines) = &self.engines {
            engines.fmt(f)?;
        }
        writeln!(f, "violations            {}", self.violations)?;
        for problem in &self.problems {
            writeln!(f, "problem: {problem}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Engines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.unread > 0 {
            writeln!(f, "engines left out      {} (no answer)", self.unread)?;
        }
        writeln!(f, "batch fill while busy {:.1}%", self.fill * 100.0)?;
        writeln!(f, "engine-s per answer   {:.3}", self.seconds_per_answer)?;
        writeln!(
            f,
            "loads a second        {:.2} ({} failed)",
            self.loads_per_second, self.failed_loads
        )?;
        writeln!(f, "evictions, regretted  {}, {}", self.evictions, self.regretted)
    }
}

fn row(f: &mut fmt::Formatter<'_>, name: &str, values: &Quantiles) -> fmt::Result {
    let Quantiles { count, p50, p95, p99, max, .. } = values;
    writeln!(f, "{name:<22}{count:>8}{p50:>9.1}{p95:>9.1}{p99:>9.1}{max:>9.1}")
}
