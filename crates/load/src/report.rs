//! The report of a run, as text and as JSON.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use serde::Deserialize;
use serde::Serialize;

/// Microseconds per millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

/// The measurements of a run, without the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The measured duration of arrivals, in seconds.
    pub seconds: f64,
    /// The requests that were sent.
    pub sent: u64,
    /// The arrivals that were not sent because too many were in progress.
    pub unsent: u64,
    /// The requests with a correct response.
    pub answered: u64,
    /// The requests with a correct response within the deadline, measured from the scheduled time.
    pub in_deadline: u64,
    /// The correct responses within the deadline, per second.
    pub goodput: f64,
    /// The refusals by result code.
    pub refused: BTreeMap<String, u64>,
    /// The refusals that leave unknown whether the request ran.
    pub maybe_ran: u64,
    /// The requests for which no gate could be reached.
    pub unreachable: u64,
    /// The requests whose connection broke or that timed out.
    pub broken: u64,
    /// The wrong responses that looked complete; must be 0.
    pub wrong: u64,
    /// The attempts after the first.
    pub retries: u64,
    /// Time to first token of streamed completions, from the scheduled time, in milliseconds.
    pub first_ms: Quantiles,
    /// Time between tokens, in milliseconds.
    pub between_ms: Quantiles,
    /// Latency of completions, from the scheduled time, in milliseconds.
    pub total_ms: Quantiles,
    /// Latency of service calls, from the scheduled time, in milliseconds.
    pub call_ms: Quantiles,
    /// Time that answered completions waited for their adapter to load, in milliseconds.
    pub stall_ms: Quantiles,
    /// The share of answered completions that waited at least 1 ms for their adapter, from 0 to 1.
    pub stalled_share: f64,
    /// The records of the engines; `None` if the settings name none.
    pub engines: Option<Engines>,
    /// The violations recorded by engines and the store; must be 0.
    pub violations: u64,
    /// Descriptions of the first problems.
    pub problems: Vec<String>,
}

/// The records of the engines after the warm-up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Engines {
    /// The engines left out because they did not return their records.
    pub unread: u64,
    /// Mean batch fill while engines were busy, from 0 to 1.
    pub fill: f64,
    /// The time that engines were busy, in seconds.
    pub busy_seconds: f64,
    /// The busy engine-seconds per request answered in the run.
    pub seconds_per_answer: f64,
    /// The successful loads per second.
    pub loads_per_second: f64,
    /// The loads that failed.
    pub failed_loads: u64,
    /// The evictions.
    pub evictions: u64,
    /// The evictions whose adapter was loaded again within 60 s.
    pub regretted: u64,
}

/// Statistics of a distribution.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The number of values.
    pub count: u64,
    /// The mean.
    pub mean: f64,
    /// The 50th percentile.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The largest value.
    pub max: f64,
}

impl Quantiles {
    /// Returns the statistics, in milliseconds, of a histogram of microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Quantiles {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
        Quantiles {
            count: histogram.len(),
            mean: histogram.mean() / MICROS_PER_MILLI,
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
            max: histogram.max() as f64 / MICROS_PER_MILLI,
        }
    }
}

impl Report {
    /// Returns the number of refusals of all codes.
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
