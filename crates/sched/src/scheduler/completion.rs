//! Progress of granted requests: first events, ends and expiry.

use std::collections::VecDeque;
use std::time::Duration;

use base::Code;
use base::Event;
use fleet::message::Outcome;

use crate::engine::OrderState;
use crate::engine::Slot;
use crate::request::Assignment;
use crate::request::Key;
use crate::request::Pending;
use crate::request::Phase;
use crate::scheduler::DEADLINE_SHARE;
use crate::scheduler::Scheduler;
use crate::speed::Pace;

/// The time for which an engine gets no requests after it refused one.
const FULL_BACKOFF: Duration = Duration::from_millis(100);
/// The part of the time to a first event that passes before its prompt is read: the end of the step in progress, less the
/// time of the messages between leader and gate.
const ARRIVAL_DELAY: Duration = Duration::from_millis(5);

impl Scheduler {
    /// Records how long work takes on the host of a request's engine at the moment, in percent of the usual time.
    pub fn record_pace(&mut self, gate: u64, request: u64, pace: u32, now: Duration) {
        let Some(assignment) = self.assignments.get(&(gate, request)) else { return };
        if let Some(engine) = self.engines.get_mut(&assignment.engine) {
            engine.host_pace = Some(Pace::new(pace, now));
        }
    }

    /// Records the first event of a request, `after` it was sent to its engine.
    pub fn request_began(&mut self, gate: u64, request: u64, after: Duration, now: Duration) {
        let Some(assignment) = self.assignments.get_mut(&(gate, request)) else { return };
        if !matches!(assignment.phase, Phase::Granted) {
            return;
        }
        assignment.phase = Phase::Started(now);
        self.paths.record_response(gate);
        let Some(engine) = self.engines.get_mut(&assignment.engine) else { return };
        if let Some(slot) = engine.adapter_slots.get_mut(&assignment.adapter) {
            slot.expect_end((gate, request), now + self.decode.duration(assignment.output_tokens));
        }
        // Prompts that are read before or after this one, until its first event, delay that event.
        let alone = assignment.queued_prefill_tokens == assignment.prefill_tokens
            && engine.backlog_tokens == assignment.prefill_tokens;
        engine.backlog_tokens = (engine.backlog_tokens - assignment.prefill_tokens).max(0.0);
        engine.pacing.record_read(assignment.prefill_tokens);
        let id = assignment.engine.clone();
        engine.start_deadlines.retain(|(key, _)| *key != (gate, request));
        if let Some(batch) = assignment.batch {
            let ms = engine.first_event_ms().unwrap_or(self.settings.first_event_ms);
            let delay = Duration::from_secs_f64(ms / 1e3).saturating_sub(ARRIVAL_DELAY);
            engine.reading.record_first_event(batch, now.saturating_sub(delay), now);
        }
        let ms = after.as_secs_f64() * 1e3 - self.settings.first_event_ms;
        engine.prefill_speed.observe(assignment.queued_prefill_tokens, ms);
        if alone {
            let pace = engine.host_pace.map_or(1.0, |pace| pace.stated());
            let ms = after.as_secs_f64() * 1e3 / pace;
            engine.fit.observe(assignment.prefill_tokens, ms);
            let speed = self.speeds.entry(engine.endpoint.service.clone()).or_default();
            speed.observe(assignment.prefill_tokens, ms);
        }
        let speed = self.speeds.get(&engine.endpoint.service);
        engine.service_speed =
            speed.and_then(|speed| speed.tokens_per_ms(self.settings.prefill_tokens_per_ms));
        self.dirty = true;
        self.release_paced(&id, now);
    }

    /// Records the end of a request.
    pub fn request_ended(&mut self, gate: u64, request: u64, outcome: Outcome, now: Duration) {
        let Some(assignment) = self.release((gate, request), now) else { return };
        match outcome {
            Outcome::Done | Outcome::Failed | Outcome::Refused | Outcome::Misdirected => {
                self.paths.record_response(gate);
            }
            Outcome::Lost if !self.paths.record_loss(gate, &assignment.engine) => {
                base::event!(INFO, Event::LossAttributed, gate, request, endpoint = %assignment.engine);
                return;
            }
            Outcome::Lost | Outcome::Cancelled => {}
        }
        let Some(engine) = self.engines.get_mut(&assignment.engine) else { return };
        match outcome {
            Outcome::Done => {
                if let Phase::Started(began) = assignment.phase {
                    self.decode.observe(assignment.output_tokens, now.saturating_sub(began));
                }
                if engine.health.record_success(now) {
                    base::event!(INFO, Event::EndpointTrusted, endpoint = %assignment.engine);
                }
            }
            Outcome::Failed | Outcome::Lost => {
                if engine.health.record_failure(now) {
                    base::event!(WARN, Event::EndpointSuspected, endpoint = %assignment.engine);
                }
            }
            Outcome::Refused => engine.full_until = now + FULL_BACKOFF,
            Outcome::Misdirected => {
                if engine.adapter_slots.get(&assignment.adapter).is_some_and(Slot::is_idle) {
                    engine.adapter_slots.remove(&assignment.adapter);
                }
                if matches!(engine.order_state, OrderState::Idle(_)) {
                    engine.order_state = OrderState::Unknown {
                        min_sequence: engine.order_state.min_sequence(),
                        inspect_at: now,
                    };
                }
            }
            Outcome::Cancelled => {}
        }
    }

    /// Removes a request from its engine, and returns its assignment.
    pub(super) fn release(&mut self, key: Key, now: Duration) -> Option<Assignment> {
        let assignment = self.assignments.remove(&key)?;
        self.dirty = true;
        if matches!(assignment.phase, Phase::Reserved(_)) {
            self.fairness.refund(&assignment, now);
        }
        let Some(engine) = self.engines.get_mut(&assignment.engine) else {
            return Some(assignment);
        };
        if let (Phase::Reserved(_), Some(limit)) = (&assignment.phase, &mut engine.limit) {
            limit.give_back();
        }
        engine.running = engine.running.saturating_sub(1);
        engine.kv_tokens = engine.kv_tokens.saturating_sub(assignment.kv_tokens);
        engine.start_deadlines.retain(|(user, _)| *user != key);
        engine.streams.retain(|(stream, _)| *stream != key);
        engine.pacing.remove(key);
        if matches!(assignment.phase, Phase::Granted) {
            engine.pacing.record_read(assignment.prefill_tokens);
        }
        if !matches!(assignment.phase, Phase::Started(_)) {
            engine.backlog_tokens = (engine.backlog_tokens - assignment.prefill_tokens).max(0.0);
        }
        if let Some(slot) = engine.adapter_slots.get_mut(&assignment.adapter) {
            slot.users = slot.users.saturating_sub(1);
            slot.last_used_at = now;
            slot.expected_ends.retain(|(user, _)| *user != key);
            slot.waiting.retain(|waiting| *waiting != key);
        }
        self.unload_outdated(&assignment.engine, &assignment.adapter);
        self.release_paced(&assignment.engine, now);
        Some(assignment)
    }

    /// Removes the requests of a gate whose link was lost. The gate reports those at engines again
    /// when it reconnects.
    pub fn gate_disconnected(&mut self, gate: u64, now: Duration) {
        self.queue.retain(|pending| pending.key.0 != gate);
        self.paths.record_response(gate);
        let lost: Vec<Key> = self.assignments.keys().filter(|key| key.0 == gate).copied().collect();
        for key in lost {
            self.release(key, now);
        }
    }

    /// Refuses requests that were queued for too long, and removes those that are past their
    /// deadline.
    pub(super) fn expire(&mut self, now: Duration) {
        let share = self.settings.queue_target_share;
        let in_time =
            |pending: &Pending| pending.held_ms(now) < f64::from(pending.query.target_ms) * share;
        if !self.queue.iter().all(in_time) {
            let (kept, expired): (VecDeque<Pending>, VecDeque<Pending>) =
                std::mem::take(&mut self.queue).into_iter().partition(in_time);
            self.queue = kept;
            for pending in expired {
                self.deny(&pending, Code::NoEndpoint, None, now);
            }
        }
        if now < self.next_expiry {
            return;
        }
        let expired = self.assignments.iter().filter(|(_, assignment)| match &assignment.phase {
            Phase::Reserved(pending) => {
                pending.held_ms(now) > f64::from(pending.query.left_ms) * DEADLINE_SHARE
            }
            Phase::Granted | Phase::Started(_) => now >= assignment.expires_at,
        });
        let expired: Vec<Key> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            if let Some(Assignment { phase: Phase::Reserved(pending), .. }) = self.release(key, now)
            {
                self.deny(&pending, Code::LoadFailed, None, now);
            }
        }
        let expiries = self.assignments.values().map(Assignment::earliest_expiry);
        self.next_expiry = expiries.min().unwrap_or(Duration::MAX);
    }
}
