//! An endpoint as the leader sees it: its estimate, and the calls in progress there.

use std::time::Duration;

use base::Name;
use fleet::endpoint::Endpoint;
use fleet::explanation;
use fleet::explanation::Obstacle;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;

use crate::estimate::Estimate;
use crate::estimate::Run;
use crate::pick::millis;

/// The queue at an endpoint, as a share of the calls that it takes. Calls wait there for the time of one call at most, and
/// the slots remain in use while the end of a call is reported and the next one is sent. With half of it, 0.83% instead of
/// 0.65% of the calls missed the target in `tests/simulation.rs`.
const QUEUE_SHARE: f64 = 1.0;
/// The calls that an endpoint without stated slots gets before any run has shown how many it takes.
const UNKNOWN_TAKES: f64 = 16.0;
/// The weight of used slots in the cost, so that endpoints with free slots share the calls.
const USE_WEIGHT: f64 = 0.2;
/// The cost of an endpoint in another failure domain, in ms: the two-way time between domains.
const REMOTE_MS: f64 = 1.0;
/// The cost of an endpoint of which all calls fail, in ms; above the time of any call that is on time.
const FAILURE_MS: f64 = 2_000.0;
/// The difference of two costs up to which they are equal: the resolution of run times, and the error of an estimate from
/// some 50 runs.
const EQUAL_MS: f64 = 1.0;
const EQUAL_SHARE: f64 = 0.05;
/// The weight of the latest outcome in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// The half-life of the failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);
/// The half-life of calls that this leader has not placed; a few times that of a call.
const FOREIGN_HALF_LIFE: Duration = Duration::from_millis(150);
/// The time for which an endpoint that refused a call gets fewer calls than it had then.
const REFUSAL_HOLD: Duration = Duration::from_secs(1);
/// The time after which it gets one more, and another one after the same time.
const REFUSAL_STEP: Duration = Duration::from_millis(100);
/// The time without a call after which an endpoint gets one to learn whether it still is as slow.
const TRIAL_INTERVAL: Duration = Duration::from_secs(2);
/// The failure rate above which an endpoint gets no such call; one that failed a call gets none for some 4 s.
const MAX_TRIAL_FAILURES: f64 = 0.05;
/// The half-life of an estimate in the decision whether a trial is worth a call.
const TRIAL_HALF_LIFE: Duration = Duration::from_secs(5);

/// An endpoint of a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) id: Name,
    pub(crate) born: u64,
    domain: Name,
    build: Name,
    pub(crate) estimate: Estimate,
    /// The calls that this leader has placed there and whose end was not reported.
    pub(crate) in_progress: u32,
    /// The other calls there, as far as reported loads show them, and when they were counted.
    foreign: (f64, Duration),
    /// The calls that the endpoint had when it refused one, and when.
    refused: Option<(f64, Duration)>,
    /// The moving average of failures, and when it was updated.
    failures: (f64, Duration),
    /// When it last got a call.
    pub(crate) placed: Duration,
}

impl Site {
    pub(crate) fn new(endpoint: &Endpoint, now: Duration) -> Site {
        Site {
            id: endpoint.id.clone(),
            born: endpoint.born,
            domain: endpoint.domain.clone(),
            build: endpoint.build.clone(),
            estimate: Estimate::new(endpoint.slots),
            in_progress: 0,
            foreign: (0.0, now),
            refused: None,
            failures: (0.0, now),
            placed: now,
        }
    }

    /// Returns whether a call may be sent here at all.
    pub(crate) fn admits(&self, placement: &Placement) -> bool {
        !placement.excluded.contains(&self.id)
            && placement.build.as_ref().is_none_or(|build| *build == self.build)
    }

    /// Returns the number of calls here.
    pub(crate) fn calls(&self, now: Duration) -> f64 {
        let (foreign, at) = self.foreign;
        f64::from(self.in_progress) + decay(foreign, at, FOREIGN_HALF_LIFE, now)
    }

    /// Returns the number of calls that the endpoint takes before callers wait.
    pub(crate) fn takes(&self) -> f64 {
        self.estimate.takes().unwrap_or(UNKNOWN_TAKES)
    }

    /// Returns the most calls that are sent here: the slots that work at full speed and a short queue, fewer after a
    /// refusal.
    pub(crate) fn limit(&self, now: Duration) -> f64 {
        let takes = self.takes();
        let limit = takes.ceil() + (takes * QUEUE_SHARE).ceil();
        let Some((calls, at)) = self.refused else { return limit };
        let held = now.saturating_sub(at + REFUSAL_HOLD).as_secs_f64();
        limit.min((calls - 1.0).max(1.0) + (held / REFUSAL_STEP.as_secs_f64()).floor())
    }

    /// Returns whether the endpoint gets another call now.
    pub(crate) fn has_room(&self, now: Duration) -> bool {
        self.calls(now) + 1.0 <= self.limit(now)
    }

    /// Returns whether another call needs not wait for a slot.
    pub(crate) fn is_free(&self, now: Duration) -> bool {
        self.calls(now) + 1.0 <= self.takes()
    }

    /// Returns the time in ms that another call is expected to take, the wait in the endpoint's queue included. `work_ms` is
    /// that of the other endpoints, used if no run is known.
    pub(crate) fn expected_ms(&self, work_ms: f64, now: Duration) -> f64 {
        let work = self.estimate.work_ms(now).unwrap_or(work_ms * self.estimate.pace(now));
        work * (1.0f64).max((self.calls(now) + 1.0) / self.takes())
    }

    /// Returns the cost of another call.
    pub(crate) fn cost(&self, work_ms: f64, domain: &str, now: Duration) -> f64 {
        let expected = self.expected_ms(work_ms, now);
        let used = USE_WEIGHT * expected * self.calls(now) / self.takes();
        let remote = if &*self.domain == domain { 0.0 } else { REMOTE_MS };
        expected + used + remote + FAILURE_MS * self.failure_rate(now)
    }

    /// Returns what is known of the endpoint, with the estimate for another call.
    pub(crate) fn explain(
        &self,
        placement: &Placement,
        domain: &str,
        work_ms: f64,
        now: Duration,
    ) -> explanation::Estimate {
        let obstacle = self.obstacle(placement, now);
        let known = obstacle.is_none();
        explanation::Estimate {
            endpoint: self.id.clone(),
            obstacle,
            expected_ms: known.then(|| self.expected_ms(work_ms, now)),
            cost: known.then(|| self.cost(work_ms, domain, now)),
            backlog: self.calls(now) - f64::from(self.in_progress),
            running: self.in_progress,
            slots: self.takes(),
            speed: None,
            work_ms: self.estimate.work_ms(now),
            pace: self.estimate.pace(now) * 100.0,
            age_ms: self.estimate.age(now).map(millis),
            adapter: None,
            stalled: None,
        }
    }

    fn obstacle(&self, placement: &Placement, now: Duration) -> Option<Obstacle> {
        if !self.admits(placement) {
            let excluded = placement.excluded.contains(&self.id);
            return Some(if excluded { Obstacle::Excluded } else { Obstacle::Build });
        }
        let full = if self.refused.is_some() { Obstacle::Full } else { Obstacle::Slots };
        (!self.has_room(now)).then_some(full)
    }

    fn failure_rate(&self, now: Duration) -> f64 {
        let (rate, at) = self.failures;
        decay(rate, at, FAILURE_HALF_LIFE, now)
    }

    /// Returns whether the endpoint is due for a call although others may be faster. One at a time: it has none, and none
    /// has ended for a while.
    pub(crate) fn is_due(&self, work_ms: f64, left_ms: f64, now: Duration) -> bool {
        let idle = now.saturating_sub(self.placed);
        let failing = self.failure_rate(now) > MAX_TRIAL_FAILURES;
        if self.in_progress > 0 || idle < TRIAL_INTERVAL || failing || !self.has_room(now) {
            return false;
        }
        let expected = self.expected_ms(work_ms, now);
        decay(expected, self.placed, TRIAL_HALF_LIFE, now) <= left_ms / 2.0
    }

    /// Records that a call is sent here; returns the number of calls with it.
    pub(crate) fn add(&mut self, now: Duration) -> u32 {
        self.in_progress += 1;
        self.placed = now;
        self.calls(now).round() as u32
    }

    /// Records the end of a call. `calls` is the number of calls when it was sent; `None` if that is not known.
    pub(crate) fn end(
        &mut self,
        calls: Option<u32>,
        outcome: Outcome,
        ran: Duration,
        load: Option<Load>,
        now: Duration,
    ) {
        if let Some(load) = load {
            let counted = f64::from(self.in_progress);
            let reported = f64::from(load.running.saturating_add(load.queued).min(100_000));
            self.foreign = ((reported - counted).max(0.0), now);
        }
        let before = self.calls(now);
        self.in_progress = self.in_progress.saturating_sub(1);
        match (outcome, calls) {
            (Outcome::Done, Some(calls)) => {
                self.estimate.record_run(Run { ran, calls }, load, now);
            }
            _ => load.into_iter().for_each(|load| self.estimate.record_load(load, now)),
        }
        match outcome {
            Outcome::Done => self.record_failure(0.0, now),
            Outcome::Failed | Outcome::Lost => self.record_failure(1.0, now),
            Outcome::Refused => self.refused = Some((before, now)),
            // The endpoint may still run it.
            Outcome::Cancelled => {
                self.foreign = (self.calls(now) - f64::from(self.in_progress) + 1.0, now);
            }
            Outcome::Misdirected => {}
        }
        if self.refused.is_some_and(|(_, at)| now > at + REFUSAL_HOLD + 100 * REFUSAL_STEP) {
            self.refused = None;
        }
    }

    /// Forgets a call whose end will not be reported.
    pub(crate) fn forget(&mut self) {
        self.in_progress = self.in_progress.saturating_sub(1);
    }

    fn record_failure(&mut self, failed: f64, now: Duration) {
        let rate = self.failure_rate(now);
        self.failures = (rate + FAILURE_WEIGHT * (failed - rate), now);
    }

    /// Returns the calls per ms that the endpoint completes with all its slots in use; `None` without any run.
    pub(crate) fn rate(&self, now: Duration) -> Option<f64> {
        Some(self.takes() / self.estimate.work_ms(now)?.max(0.1))
    }
}

fn decay(value: f64, at: Duration, half_life: Duration, now: Duration) -> f64 {
    value * (-millis(now.saturating_sub(at)) / millis(half_life)).exp2()
}

/// Returns whether two costs differ by no more than the uncertainty of the speeds. The endpoint whose last call is the
/// longest ago goes first then. Otherwise one gets all calls as long as one call ends before the next, and another, which
/// may have named a limit, learns and lifts nothing.
pub(crate) fn is_equal(cost: f64, other: f64) -> bool {
    (cost - other).abs() <= EQUAL_MS + EQUAL_SHARE * cost.min(other)
}
