//! Admission: arriving requests, grants, denials and cancellations.

use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use fleet::message::Denial;
use fleet::message::Grant;
use fleet::message::Query;
use fleet::message::Running;
use fleet::message::Submission;

use crate::action::Action;
use crate::action::Reason;
use crate::candidate::Candidate;
use crate::prefix::Prefixes;
use crate::request::Assignment;
use crate::request::Key;
use crate::request::Pending;
use crate::request::Phase;
use crate::scheduler::EXPIRY_GRACE;
use crate::scheduler::Scheduler;
use crate::scheduler::URGENCY_ON_TIME;

/// Whether the queue has room for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// It has.
    Admitted,
    /// The queue is full, and the request replaces the queued one with this index.
    Displaces(usize),
    /// The queue is full.
    Full,
}

impl Scheduler {
    /// Schedules a new request of a gate in the failure domain `domain`: grants it, queues it or
    /// refuses it.
    pub fn submit(
        &mut self,
        gate: u64,
        domain: &Name,
        submission: impl Into<Submission>,
        now: Duration,
    ) {
        let pending = self.pending(gate, domain, submission.into(), now);
        if self.popularity.record(&pending.query.adapter, now) {
            self.engines.mark_all_changed();
        }
        self.retries.record_arrival(&pending.query);
        if self.lacks_build(&pending) {
            return self.deny(&pending, Code::BuildUnavailable, None, now);
        }
        if let Some(pending) = self.schedule(pending, now) {
            match self.admission(&pending) {
                Admission::Admitted => {}
                Admission::Full => {
                    self.fairness.record_shortage(now);
                    return self.deny(&pending, Code::QueueFull, None, now);
                }
                Admission::Displaces(index) => {
                    self.fairness.record_shortage(now);
                    if let Some(displaced) = self.queue.remove(index) {
                        self.deny(&displaced, Code::QueueFull, None, now);
                    }
                }
            }
            base::event!(
                INFO, Event::Waiting, gate, request = pending.query.request, adapter = %pending.query.adapter,
                endpoint = pending.awaited_engine.as_deref().unwrap_or_default(),
                target_ms = pending.target_ms(now), waiting = self.queue.len()
            );
            self.queue.push_back(pending);
        }
    }

    /// Returns a new request without an engine.
    pub(super) fn pending(
        &self,
        gate: u64,
        domain: &Name,
        submission: Submission,
        now: Duration,
    ) -> Pending {
        let Submission { query, tenant, gap_ms } = submission;
        let first_received_at = self.retries.first_received_at(&query, now);
        let own_refusals = u32::from(first_received_at < now);
        let unmet = self.unmet.refusals(&query.adapter, now).saturating_sub(own_refusals);
        Pending {
            key: (gate, query.request),
            domain: domain.clone(),
            prefixes: Prefixes::new(&query.adapter, &query.parts),
            query,
            tenant,
            gap_ms,
            received_at: now,
            first_received_at,
            awaited_engine: None,
            awaits_gap: false,
            unmet,
        }
    }

    /// Returns whether no engine has the build that a request needs.
    pub(super) fn lacks_build(&self, pending: &Pending) -> bool {
        let Query { service, build, .. } = &pending.query;
        build.as_ref().is_some_and(|build| !self.engines.has_build(service, build))
    }

    /// Returns whether the queue has room for a request.
    pub(super) fn admission(&self, pending: &Pending) -> Admission {
        if self.queue.len() < self.settings.max_queued {
            return Admission::Admitted;
        }
        let displaced = self.fairness.displaced(self.queue.iter(), pending);
        displaced.map_or(Admission::Full, Admission::Displaces)
    }

    /// Removes a request that has no engine yet or whose grant was not used.
    pub fn cancel(&mut self, gate: u64, request: u64, now: Duration) {
        let key = (gate, request);
        self.queue.retain(|pending| pending.key != key);
        let Some(assignment) = self.release(key, now) else { return };
        if !matches!(assignment.phase, Phase::Granted) {
            return;
        }
        self.fairness.refund(&assignment, now);
        if let Some(engine) = self.engines.get_mut(&assignment.engine)
            && let Some(limit) = &mut engine.limit
        {
            limit.give_back();
        }
    }

    /// Restores the requests that a gate has at engines, after a change of the leader.
    pub fn restore_running(&mut self, gate: u64, running: &[Running], now: Duration) {
        for request in running {
            let Some(engine) = self.engines.get_mut(&request.endpoint) else { continue };
            engine.running += 1;
            engine.kv_tokens += u64::from(request.tokens);
            if let Some(slot) = engine.adapter_slots.get_mut(&request.adapter) {
                slot.users += 1;
            }
            let assignment = Assignment {
                engine: request.endpoint.clone(),
                adapter: request.adapter.clone(),
                prefill_tokens: 0.0,
                kv_tokens: u64::from(request.tokens),
                output_tokens: 0,
                tenant: None,
                gap_ms: 0,
                queued_prefill_tokens: 0.0,
                batch: None,
                urgency: URGENCY_ON_TIME,
                phase: Phase::Started(now),
                expires_at: now + Duration::from_millis(u64::from(request.left_ms)) + EXPIRY_GRACE,
            };
            self.next_expiry = self.next_expiry.min(assignment.expires_at);
            self.assignments.insert((gate, request.request), assignment);
        }
    }

    /// Grants a request whose adapter has been loaded.
    pub(crate) fn grant_reserved(&mut self, key: Key, now: Duration) {
        let Some(assignment) = self.assignments.get(&key) else { return };
        let Phase::Reserved(pending) = &assignment.phase else { return };
        let pending = pending.clone();
        if self.is_outdated(assignment, &pending.query) {
            return self.requeue(key, now);
        }
        let (id, prefill_tokens) = (assignment.engine.clone(), assignment.prefill_tokens);
        if !self.wait_for_pace(&pending, &id, prefill_tokens, now) {
            self.send_reserved(key, now);
        }
    }

    /// Grants a request whose adapter is loaded and whose prompt the engine can read now.
    pub(super) fn send_reserved(&mut self, key: Key, now: Duration) {
        let Some(assignment) = self.assignments.get(&key) else { return };
        let Phase::Reserved(pending) = &assignment.phase else { return };
        let pending = pending.clone();
        if self.is_outdated(assignment, &pending.query) {
            return self.requeue(key, now);
        }
        let (id, prefill_tokens) = (assignment.engine.clone(), assignment.prefill_tokens);
        let paced = self.pace_limit(pending.gap_ms, &pending.query.service, &id).is_some();
        let queued_tokens =
            self.queued_tokens(&pending, &id) + if paced { prefill_tokens } else { 0.0 };
        let Some(assignment) = self.assignments.get_mut(&key) else { return };
        assignment.phase = Phase::Granted;
        let Some(engine) = self.engines.get(&id) else { return };
        assignment.queued_prefill_tokens = queued_tokens;
        let expected_ms = queued_tokens / engine.queue_speed() + self.settings.first_event_ms;
        let urgency = assignment.urgency;
        self.grant(&pending, &id, expected_ms, urgency, now);
    }

    /// Returns whether a newer version came into force while an adapter was loaded for a request.
    pub(super) fn is_outdated(&self, assignment: &Assignment, query: &Query) -> bool {
        let engine = self.engines.get(&assignment.engine);
        let slot = engine.and_then(|engine| engine.adapter_slots.get(&assignment.adapter));
        slot.is_some_and(|slot| slot.version < self.min_version(query))
    }

    /// Grants a request. Its first event is overdue after 1.5 times the expected time plus 100 ms.
    pub(super) fn grant(
        &mut self,
        pending: &Pending,
        id: &Name,
        expected_ms: f64,
        urgency: u8,
        now: Duration,
    ) {
        let version = self.required_version(&pending.query);
        self.record_sent(pending, id, urgency, now);
        self.unmet.record_grant(&pending.query.adapter);
        let prefill_tokens =
            self.assignments.get(&pending.key).map_or(0.0, |assignment| assignment.prefill_tokens);
        let Some(engine) = self.engines.get_mut(id) else { return };
        engine.pacing.send(prefill_tokens);
        let overdue = Duration::from_secs_f64((expected_ms * 1.5 + 100.0) / 1e3);
        engine.start_deadlines.push((pending.key, now + overdue));
        let reason = Reason {
            expected_ms,
            backlog: engine.backlog_tokens,
            running: engine.running,
            held_ms: pending.held_ms(now),
            cold: false,
            loads: self.store.loading,
        };
        let request = pending.query.request;
        let endpoint = engine.endpoint.clone();
        let grant = Grant { request, endpoint, version, urgency };
        self.actions.push(Action::Grant { gate: pending.key.0, grant, reason });
    }

    /// Moves a request that waits for its adapter back to the queue.
    pub(crate) fn requeue(&mut self, key: Key, now: Duration) {
        if let Some(Assignment { phase: Phase::Reserved(pending), .. }) = self.release(key, now) {
            self.queue.push_back(*pending);
        }
    }

    /// Returns the state of the store, to be logged with the denial of a request for which it has no room.
    pub(super) fn store_reason(&self, pending: &Pending, now: Duration) -> Reason {
        let queued_loads = self.engines.queued_store_loads(u8::MAX);
        Reason {
            expected_ms: self.store.expected_ms(queued_loads) + self.settings.first_event_ms,
            backlog: 0.0,
            running: 0,
            held_ms: pending.held_ms(now),
            cold: true,
            loads: self.store.loading + queued_loads,
        }
    }

    /// Returns the state of the best engine, to be logged with the denial of a request.
    pub(super) fn denial_reason(
        &self,
        pending: &Pending,
        best: &Candidate,
        now: Duration,
    ) -> Reason {
        let engine = self.engines.get(&best.engine);
        Reason {
            expected_ms: best.expected_ms,
            backlog: engine.map_or(0.0, |engine| engine.backlog_tokens),
            running: engine.map_or(0, |engine| engine.running),
            held_ms: pending.held_ms(now),
            cold: best.cold,
            loads: self.store.loading + self.engines.queued_store_loads(u8::MAX),
        }
    }

    /// Refuses a request, with a retry delay of up to twice `wait`, so that callers do not retry together.
    pub(super) fn deny_for(
        &mut self,
        pending: &Pending,
        code: Code,
        wait: Duration,
        now: Duration,
    ) {
        let (min, _) = self.settings.retry_after_ms;
        let retry_ms = (wait.as_secs_f64() * 1e3).max(min) * (1.0 + spread(&pending.query));
        self.refuse(pending, code, None, retry_ms as u32, now);
    }

    /// Refuses a request, with a retry delay after which an engine should have capacity.
    pub(super) fn deny(
        &mut self,
        pending: &Pending,
        code: Code,
        reason: Option<Reason>,
        now: Duration,
    ) {
        self.engines.refresh();
        let queue_ms = self.engines.min_queue_ms(now).unwrap_or(f64::MAX);
        let excess_ms = queue_ms - f64::from(pending.query.target_ms) / 2.0;
        let (min, max) = self.settings.retry_after_ms;
        let retry_ms = (excess_ms.max(min) * (1.0 + spread(&pending.query))).clamp(min, max);
        self.refuse(pending, code, reason, retry_ms as u32, now);
    }

    fn refuse(
        &mut self,
        pending: &Pending,
        code: Code,
        reason: Option<Reason>,
        retry_ms: u32,
        now: Duration,
    ) {
        self.retries.record_refusal(&pending.query, pending.first_received_at, now);
        let adapter = pending.query.adapter.clone();
        self.unmet.record_refusal(&adapter, pending.is_retry(), now);
        let unmet = self.unmet.refusals(&adapter, now);
        let denial = Denial { request: pending.query.request, code, retry_ms };
        self.actions.push(Action::Deny { gate: pending.key.0, denial, reason, adapter, unmet });
    }
}

/// Returns a number from 0 to 1 by which callers that are refused together retry at different times.
fn spread(query: &Query) -> f64 {
    (base::digest(&query.request.to_le_bytes()) % 1_000) as f64 / 1e3
}
