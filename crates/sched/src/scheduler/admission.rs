//! Requests that arrive, are granted, refused or withdrawn.

use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use fleet::message::Denial;
use fleet::message::Grant;
use fleet::message::Query;
use fleet::message::Running;

use crate::action::Action;
use crate::action::Reason;
use crate::choose::Candidate;
use crate::ledger::Key;
use crate::ledger::Part;
use crate::ledger::Run;
use crate::ledger::Wait;
use crate::scheduler::GRACE;
use crate::scheduler::Scheduler;
use crate::scheduler::URGENCY;

impl Scheduler {
    /// Takes a request.
    pub fn submit(&mut self, gate: u64, domain: &Name, ask: Query, now: Duration) {
        self.popularity.hit(&ask.adapter, now);
        let key = (gate, ask.request);
        let first = self.returns.first(&ask, now);
        let wait = Wait { key, domain: domain.clone(), ask, since: now, first, awaits: None };
        let struck = self.strikes.get(&wait.ask.fingerprint).copied().unwrap_or_default();
        if struck >= self.settings.strikes {
            return self.deny(&wait, Code::Suspected, None, now);
        }
        if let Some(wait) = self.place(wait, now) {
            if self.waiting.len() >= self.settings.waiting {
                return self.deny(&wait, Code::QueueFull, None, now);
            }
            base::event!(
                INFO, Event::Waiting, gate, request = wait.ask.request, adapter = %wait.ask.adapter,
                endpoint = wait.awaits.as_deref().unwrap_or_default(),
                target_ms = wait.target_ms(now), waiting = self.waiting.len()
            );
            self.waiting.push_back(wait);
        }
    }

    /// Takes back a request that has no engine yet, or whose grant was not used.
    pub fn cancel(&mut self, gate: u64, request: u64, now: Duration) {
        let key = (gate, request);
        self.waiting.retain(|wait| wait.key != key);
        self.release(key, now);
    }

    /// Takes the requests that a gate has at engines, after a change of the leader.
    pub fn restore_running(&mut self, gate: u64, running: &[Running], now: Duration) {
        for told in running {
            let Some(engine) = self.engines.get_mut(&told.endpoint) else { continue };
            engine.running += 1;
            engine.tokens += u64::from(told.tokens);
            if let Some(copy) = engine.copies.get_mut(&told.adapter) {
                copy.users += 1;
            }
            let run = Run {
                engine: told.endpoint.clone(),
                adapter: told.adapter.clone(),
                fingerprint: 0,
                prefill: 0.0,
                tokens: u64::from(told.tokens),
                output: 0,
                ahead: 0.0,
                urgency: URGENCY,
                part: Part::Begun(now),
                ends: now + Duration::from_millis(u64::from(told.left_ms)) + GRACE,
            };
            self.runs.insert((gate, told.request), run);
        }
    }

    /// Grants a request whose adapter is there now.
    pub(crate) fn grant_reserved(&mut self, key: Key, now: Duration) {
        let Some(run) = self.runs.get(&key) else { return };
        let Part::Reserved(wait) = &run.part else { return };
        let wait = wait.clone();
        if self.is_outdated(run, &wait.ask) {
            return self.wait_again(key, now);
        }
        let Some(run) = self.runs.get_mut(&key) else { return };
        run.part = Part::Granted;
        let id = run.engine.clone();
        let Some(engine) = self.engines.get(&id) else { return };
        run.ahead = engine.backlog;
        let expected = engine.backlog / engine.pace.tokens_per_ms + self.settings.first_event_ms;
        let urgency = run.urgency;
        self.grant(&wait, &id, expected, urgency, now);
    }

    /// Returns whether a newer version came into force while an adapter was loaded for a request.
    pub(super) fn is_outdated(&self, run: &Run, ask: &Query) -> bool {
        let engine = self.engines.get(&run.engine);
        let copy = engine.and_then(|engine| engine.copies.get(&run.adapter));
        copy.is_some_and(|copy| copy.version < self.least_version(ask))
    }

    pub(super) fn grant(
        &mut self,
        wait: &Wait,
        id: &Name,
        expected_ms: f64,
        urgency: u8,
        now: Duration,
    ) {
        let version = self.version(&wait.ask);
        let Some(engine) = self.engines.get_mut(id) else { return };
        let late = Duration::from_secs_f64((expected_ms * 1.5 + 100.0) / 1e3);
        engine.expecting.push((wait.key, now + late));
        let reason = Reason {
            expected_ms,
            backlog: engine.backlog,
            running: engine.running,
            held_ms: wait.held_ms(now),
            cold: false,
            loads: self.store.loading,
        };
        let request = wait.ask.request;
        let endpoint = engine.endpoint.clone();
        let grant = Grant { request, endpoint, version, urgency };
        self.actions.push(Action::Grant { gate: wait.key.0, grant, reason });
    }

    /// Takes a request that waits for its adapter away from its engine.
    pub(crate) fn wait_again(&mut self, key: Key, now: Duration) {
        if let Some(Run { part: Part::Reserved(wait), .. }) = self.release(key, now) {
            self.waiting.push_back(*wait);
        }
    }

    /// Returns what the best engine could have done for a request.
    pub(super) fn reason(&self, wait: &Wait, best: &Candidate, now: Duration) -> Reason {
        let engine = self.engines.get(&best.engine);
        Reason {
            expected_ms: best.expected_ms,
            backlog: engine.map_or(0.0, |engine| engine.backlog),
            running: engine.map_or(0, |engine| engine.running),
            held_ms: wait.held_ms(now),
            cold: best.cold,
            loads: self.store.loading + self.queued_loads(u8::MAX),
        }
    }

    /// Refuses a request, with a time to come back at which its engines should have room.
    pub(super) fn deny(&mut self, wait: &Wait, code: Code, reason: Option<Reason>, now: Duration) {
        let queues = self.engines.values().map(|engine| engine.queue_ms(now));
        let queue_ms = queues.min_by(f64::total_cmp).unwrap_or(f64::MAX);
        let excess = queue_ms - f64::from(wait.ask.target_ms) / 2.0;
        let (least, most) = self.settings.retry_ms;
        // Spread by the request, so that callers refused together do not return together.
        let spread = (base::digest(&wait.ask.request.to_le_bytes()) % 1_000) as f64 / 1e3;
        let retry_ms = (excess.max(least) * (1.0 + spread)).clamp(least, most) as u32;
        self.returns.refuse(&wait.ask, wait.first, now);
        let denial = Denial { request: wait.ask.request, code, retry_ms };
        self.actions.push(Action::Deny { gate: wait.key.0, denial, reason });
    }
}
