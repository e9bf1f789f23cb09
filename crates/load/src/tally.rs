//! Histograms and counters of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use base::Ran;
use hdrhistogram::Histogram;

use crate::report::Quantiles;
use crate::report::Report;
use crate::send::Outcome;
pub use crate::send::Sample;

/// Upper bound of the histograms; longer times are recorded as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Precision of the histograms, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum number of problems described in the report.
const MAX_PROBLEMS: usize = 20;

/// Minimum wait for the adapter with which a request counts as stalled.
const STALL_THRESHOLD: Duration = Duration::from_millis(1);

/// Aggregates the samples of a run into a [`Report`].
pub struct Tally {
    deadline: Duration,
    warmup: Duration,
    first: Histogram<u64>,
    between: Histogram<u64>,
    total: Histogram<u64>,
    call: Histogram<u64>,
    stall: Histogram<u64>,
    stalled: u64,
    report: Report,
}

impl Tally {
    /// Creates an empty tally; samples scheduled before `warmup` are not counted.
    pub fn new(deadline: Duration, warmup: Duration) -> Tally {
        Tally {
            deadline,
            warmup,
            first: histogram(),
            between: histogram(),
            total: histogram(),
            call: histogram(),
            stall: histogram(),
            stalled: 0,
            report: Report::default(),
        }
    }

    /// Counts an arrival that was not sent because too many were in progress.
    pub fn add_unsent(&mut self, at: Duration) {
        if at >= self.warmup {
            self.report.unsent += 1;
        }
    }

    /// Adds a sample; a wrong response in the warm-up is also described as a problem.
    pub fn add(&mut self, sample: Sample) {
        if let Outcome::Wrong(what) = &sample.outcome {
            self.add_problem(what.clone());
        }
        if sample.at < self.warmup {
            return;
        }
        self.report.sent += 1;
        self.report.retries += u64::from(sample.retries);
        match &sample.outcome {
            Outcome::Answered(answer) => {
                self.report.answered += 1;
                self.report.in_deadline += u64::from(sample.total <= self.deadline);
                self.add_answer(&sample, answer.stall, &answer.gaps);
            }
            Outcome::Refused(error) => {
                let name = format!("{} {}", error.code.number(), error.code.name());
                let refused: &mut BTreeMap<String, u64> = &mut self.report.refused;
                *refused.entry(name).or_default() += 1;
                self.report.maybe_ran += u64::from(error.ran == Ran::Unknown);
            }
            Outcome::Unreachable => self.report.unreachable += 1,
            Outcome::Broken(what) => {
                self.report.broken += 1;
                self.add_problem(what.clone());
            }
            Outcome::Wrong(_) => self.report.wrong += 1,
        }
    }

    /// Returns the report; `seconds` is the duration of arrivals after the warm-up.
    pub fn finish(mut self, seconds: f64) -> Report {
        self.report.seconds = seconds;
        self.report.goodput = self.report.in_deadline as f64 / seconds;
        self.report.first_ms = Quantiles::of(&self.first);
        self.report.between_ms = Quantiles::of(&self.between);
        self.report.total_ms = Quantiles::of(&self.total);
        self.report.call_ms = Quantiles::of(&self.call);
        self.report.stall_ms = Quantiles::of(&self.stall);
        self.report.stalled_share = self.stalled as f64 / (self.stall.len() as f64).max(1.0);
        self.report
    }

    fn add_answer(&mut self, sample: &Sample, stall: Option<Duration>, gaps: &[Duration]) {
        if !sample.completion {
            record(&mut self.call, sample.total);
            return;
        }
        record(&mut self.total, sample.total);
        if let Some(first) = sample.first {
            record(&mut self.first, first);
        }
        for gap in gaps {
            record(&mut self.between, *gap);
        }
        if let Some(stall) = stall {
            record(&mut self.stall, stall);
            self.stalled += u64::from(stall >= STALL_THRESHOLD);
        }
    }

    fn add_problem(&mut self, what: String) {
        if self.report.problems.len() < MAX_PROBLEMS {
            self.report.problems.push(what);
        }
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros);
}
