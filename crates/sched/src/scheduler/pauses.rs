//! The pauses of streams while engines read prompts: what is recorded of them, and when a request waits for a gap.

use std::time::Duration;

use base::Event;
use base::Name;

use crate::candidate::Candidate;
use crate::pause::Bound;
use crate::pause::Pauses;
use crate::reading::Steps;
use crate::request::Pending;
use crate::request::Phase;
use crate::scheduler::Scheduler;
use crate::scheduler::placement::URGENCY_LATE;

/// The margin by which a request that waits for a gap must still meet its target.
const GAP_SLACK_MS: f64 = 40.0;
/// The expected number of streams that may pause for too long before a request waits instead.
const MAX_STALLED: f64 = 0.25;
/// The pace of a host, relative to the usual time, up to which pauses are learned from. It is not known how much of a pause
/// was in a time in which the host was slow.
const MAX_LEARNED_PACE: f64 = 1.1;
/// The range of the time of a decoding step, relative to the default.
const STEP_RANGE: (f64, f64) = (0.5, 2.0);

impl Scheduler {
    /// Returns the learned number of prompt tokens that the engines of each service read within the decoding steps of one
    /// event.
    pub fn pause_bounds(&self) -> impl Iterator<Item = (&Name, Bound)> {
        self.pauses.iter().filter_map(|(service, pauses)| Some((service, pauses.bound()?)))
    }

    /// Returns the decoding steps of the engines of a service.
    pub(super) fn steps(&self, service: &Name) -> Steps {
        let stride = self.specs.get(service).map_or(1, |spec| spec.stride.max(1));
        let default_ms = self.settings.decode_ms_per_token;
        let learned = self.pauses.get(service).map(|known| known.base_ms() / f64::from(stride));
        let (min, max) = STEP_RANGE;
        let ms = learned.unwrap_or(default_ms).clamp(default_ms * min, default_ms * max);
        Steps { stride, time: Duration::from_secs_f64(ms / 1e3) }
    }

    /// Records that a request is granted: its engine reads its prompt, during which the streams there pause, and then the
    /// request may be such a stream.
    pub(super) fn record_sent(&mut self, pending: &Pending, id: &Name, urgency: u8, now: Duration) {
        let service = &pending.query.service;
        // Without a bound on pauses, nothing reads what would be recorded.
        if pending.gap_ms == 0 && !self.pauses.contains_key(service) {
            return;
        }
        let steps = self.steps(service);
        let Some(assignment) = self.assignments.get_mut(&pending.key) else { return };
        let Some(engine) = self.engines.get_mut(id) else { return };
        let tokens = assignment.prefill_tokens;
        let speed = engine.current_reading_speed(now);
        if let Some(pauses) = self.pauses.get(service) {
            let window = engine.reading.window(tokens, now, steps);
            // A stream that is late already has nothing to lose by another pause.
            engine
                .streams
                .retain(|(_, gap_ms)| pauses.late_share(window, speed, f64::from(*gap_ms)) < 0.5);
        }
        let time = Duration::from_secs_f64(tokens / speed / 1e3);
        assignment.batch = Some(engine.reading.add(tokens, time, now, steps));
        if pending.gap_ms > 0 && urgency < URGENCY_LATE {
            engine.streams.push((pending.key, pending.gap_ms));
        }
    }

    /// Records the longest pause between two events of a request whose stream ends; returns the expected one if there is
    /// evidence for it.
    pub fn request_paused(
        &mut self,
        gate: u64,
        request: u64,
        longest: Duration,
        now: Duration,
    ) -> Option<Duration> {
        let assignment = self.assignments.get(&(gate, request))?;
        let (batch, engine) = (assignment.batch?, self.engines.get(&assignment.engine)?);
        let service = engine.endpoint.service.clone();
        let steps = self.steps(&service);
        let Phase::Started(began) = assignment.phase else { return None };
        let window = engine.reading.worst_window(batch, began, now, steps)?;
        // Without a good estimate of the speed, pauses don't show the number of tokens.
        let speed = engine.fitted_speed()?;
        if engine.host_pace.is_some_and(|pace| pace.expected(now) > MAX_LEARNED_PACE) {
            return None;
        }
        let pause_ms = longest.as_secs_f64() * 1e3;
        let base_ms = f64::from(steps.stride) * self.settings.decode_ms_per_token;
        let pauses = self.pauses.entry(service).or_insert_with(|| Pauses::new(base_ms));
        let expected_ms = pauses.expected_read(window).map(|read| pauses.base_ms() + read / speed);
        if pause_ms > f64::from(assignment.gap_ms) {
            base::event!(
                DEBUG, Event::StreamPaused, gate, request, endpoint = %assignment.engine, pause_ms,
                expected_ms, gap_ms = assignment.gap_ms, window
            );
        }
        pauses.observe(window, pause_ms, speed);
        expected_ms.map(|ms| Duration::from_secs_f64(ms / 1e3))
    }

    /// Returns whether a request should wait until the engine has read the prompts before it, because its own prompt would
    /// make streams there pause for too long, and it can still meet its target then.
    pub(super) fn should_await_gap(
        &self,
        pending: &Pending,
        best: &Candidate,
        target_ms: f64,
        now: Duration,
    ) -> bool {
        let limit_ms = f64::from(pending.query.target_ms) * self.settings.warm_queue_target_share;
        if best.stalled < MAX_STALLED || pending.held_ms(now) >= limit_ms {
            return false;
        }
        let Some(engine) = self.engines.get(&best.engine) else { return false };
        let Some(pauses) = self.pauses.get(&pending.query.service) else { return false };
        let speed = engine.current_reading_speed(now);
        let gaps = engine.streams.iter().map(|(_, gap_ms)| f64::from(*gap_ms));
        let alone: f64 =
            gaps.map(|gap_ms| pauses.late_share(best.prefill_tokens, speed, gap_ms)).sum();
        if alone >= MAX_STALLED {
            return false;
        }
        let clear_at = engine.reading.clear_at(self.steps(&pending.query.service));
        let wait_ms = clear_at.saturating_sub(now).as_secs_f64() * 1e3;
        let expected_ms =
            wait_ms + best.prefill_tokens / speed + self.settings.first_event_ms + GAP_SLACK_MS;
        expected_ms <= target_ms && pending.held_ms(now) + wait_ms < limit_ms
    }
}
