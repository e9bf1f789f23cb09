//! How requests go on and end.

use std::collections::VecDeque;
use std::time::Duration;

use base::Code;
use base::Event;
use fleet::message::Outcome;

use crate::engine::Copy;
use crate::engine::OrderState;
use crate::ledger::Key;
use crate::ledger::Part;
use crate::ledger::Run;
use crate::ledger::Wait;
use crate::scheduler::LATE_SHARE;
use crate::scheduler::Scheduler;

/// The time for which a full engine gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// The time for which an engine under a lost request is remembered.
const STRIKES_KEPT: usize = 4_096;

impl Scheduler {
    /// Notes that a request's first event came so long after it was sent.
    pub fn request_began(&mut self, gate: u64, request: u64, after: Duration, now: Duration) {
        let Some(run) = self.runs.get_mut(&(gate, request)) else { return };
        if !matches!(run.part, Part::Granted) {
            return;
        }
        run.part = Part::Begun(now);
        let Some(engine) = self.engines.get_mut(&run.engine) else { return };
        if let Some(copy) = engine.copies.get_mut(&run.adapter) {
            copy.expect_end((gate, request), now + self.speech.time(run.output));
        }
        engine.backlog = (engine.backlog - run.prefill).max(0.0);
        engine.expecting.retain(|(key, _)| *key != (gate, request));
        let ms = after.as_secs_f64() * 1e3 - self.settings.first_event_ms;
        engine.pace.observe(run.ahead, ms);
        self.dirty = true;
    }

    /// Notes how a request ended.
    pub fn request_ended(&mut self, gate: u64, request: u64, outcome: Outcome, now: Duration) {
        let Some(run) = self.release((gate, request), now) else { return };
        if matches!(outcome, Outcome::Lost) && run.fingerprint != 0 {
            if self.strikes.len() >= STRIKES_KEPT {
                self.strikes.clear();
            }
            *self.strikes.entry(run.fingerprint).or_default() += 1;
        }
        let Some(engine) = self.engines.get_mut(&run.engine) else { return };
        match outcome {
            Outcome::Done => {
                if let Part::Begun(began) = run.part {
                    self.speech.observe(run.output, now.saturating_sub(began));
                }
                if engine.health.succeeded() {
                    base::event!(INFO, Event::EndpointTrusted, endpoint = %run.engine);
                }
            }
            Outcome::Failed | Outcome::Lost => {
                if engine.health.failed(now) {
                    base::event!(WARN, Event::EndpointSuspected, endpoint = %run.engine);
                }
            }
            Outcome::Refused => engine.full_until = now + FULL_PAUSE,
            Outcome::Misdirected => {
                if engine.copies.get(&run.adapter).is_some_and(Copy::is_idle) {
                    engine.copies.remove(&run.adapter);
                }
                if matches!(engine.order_state, OrderState::Idle(_)) {
                    engine.order_state =
                        OrderState::Unknown { least: engine.order_state.least(), at: now };
                }
            }
            Outcome::Cancelled => {}
        }
    }

    /// Takes a request's share of its engine back.
    pub(super) fn release(&mut self, key: Key, now: Duration) -> Option<Run> {
        let run = self.runs.remove(&key)?;
        self.dirty = true;
        let Some(engine) = self.engines.get_mut(&run.engine) else { return Some(run) };
        engine.running = engine.running.saturating_sub(1);
        engine.tokens = engine.tokens.saturating_sub(run.tokens);
        engine.expecting.retain(|(expected, _)| *expected != key);
        if !matches!(run.part, Part::Begun(_)) {
            engine.backlog = (engine.backlog - run.prefill).max(0.0);
        }
        if let Some(copy) = engine.copies.get_mut(&run.adapter) {
            copy.users = copy.users.saturating_sub(1);
            copy.used = now;
            copy.ends.retain(|(known, _)| *known != key);
            copy.waiting.retain(|waiting| *waiting != key);
        }
        self.retire(&run.engine, &run.adapter);
        Some(run)
    }

    /// Forgets the requests of a gate whose link was lost; it tells anew what it has at engines.
    pub fn gate_disconnected(&mut self, gate: u64, now: Duration) {
        self.waiting.retain(|wait| wait.key.0 != gate);
        let lost: Vec<Key> = self.runs.keys().filter(|key| key.0 == gate).copied().collect();
        for key in lost {
            self.release(key, now);
        }
    }

    /// Ends what has waited or run for too long.
    pub(super) fn expire(&mut self, now: Duration) {
        let hold = self.settings.hold;
        let patient = |wait: &Wait| wait.held_ms(now) < f64::from(wait.ask.target_ms) * hold;
        let (kept, late): (VecDeque<Wait>, VecDeque<Wait>) =
            std::mem::take(&mut self.waiting).into_iter().partition(patient);
        self.waiting = kept;
        for wait in late {
            self.deny(&wait, Code::NoEndpoint, None, now);
        }
        let ended = self.runs.iter().filter(|(_, run)| match &run.part {
            Part::Reserved(wait) => wait.held_ms(now) > f64::from(wait.ask.left_ms) * LATE_SHARE,
            Part::Granted | Part::Begun(_) => now >= run.ends,
        });
        let ended: Vec<Key> = ended.map(|(key, _)| *key).collect();
        for key in ended {
            if let Some(Run { part: Part::Reserved(wait), .. }) = self.release(key, now) {
                self.deny(&wait, Code::LoadFailed, None, now);
            }
        }
    }
}
