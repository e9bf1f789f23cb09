//! Which engine a request gets, and whether it gets one at all.

use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use fleet::message::Query;

use crate::choose::Candidate;
use crate::choose::Context;
use crate::choose::Prospect;
use crate::choose::Way;
use crate::engine::Copy;
use crate::engine::Stage;
use crate::ledger::Part;
use crate::ledger::Run;
use crate::ledger::Wait;
use crate::scheduler::GRACE;
use crate::scheduler::LATE_SHARE;
use crate::scheduler::Scheduler;
use crate::scheduler::URGENCY;

/// The urgency at an engine of a request of rank 0 that misses its target.
const URGENCY_LATE: u8 = 7;
/// The last urgency.
const URGENCY_LAST: u8 = 9;
/// The part of the engines below which suspicion says nothing: what fails lies elsewhere then, and a
/// request that may fail is better than one that is refused.
const TRUSTED_SHARE: f64 = 0.5;
/// The version of an adapter until another one is announced.
const FIRST_VERSION: u64 = 1;
/// The time by which the way from the store must meet the target while a place is waited for, in ms.
const AWAIT_SLACK_MS: f64 = 40.0;

impl Scheduler {
    /// Gives a request to an engine or refuses it; returns it if it must wait.
    pub(super) fn place(&mut self, mut wait: Wait, now: Duration) -> Option<Wait> {
        let target = wait.target_ms(now) - self.settings.network_ms;
        let margin = 1.0 - self.settings.rank_margin * f64::from(wait.ask.rank).min(4.0);
        let best = self.best(&wait, target * margin, now);
        wait.awaits = self.awaited(&wait, best.as_ref(), target * margin, now);
        if wait.awaits.is_some() {
            return Some(wait);
        }
        let Some(best) = best else { return self.hold(wait, now) };
        if self.meets(&best, target * margin) {
            let urgency = (URGENCY + wait.ask.rank).min(URGENCY_LATE - 1);
            self.assign(wait, &best, urgency, now);
        } else if self.takes_late(&best, &wait, now) {
            let urgency = (URGENCY_LATE + wait.ask.rank).min(URGENCY_LAST);
            self.assign(wait, &best, urgency, now);
        } else {
            let reason = self.reason(&wait, &best, now);
            self.deny(&wait, Code::DeadlineUnreachable, Some(reason), now);
        }
        None
    }

    /// Keeps a request that no engine can take now for a part of its target, else refuses it.
    pub(super) fn hold(&mut self, wait: Wait, now: Duration) -> Option<Wait> {
        let patience = f64::from(wait.ask.target_ms) * self.settings.hold;
        if wait.held_ms(now) < patience && !self.engines.is_empty() {
            return Some(wait);
        }
        self.deny(&wait, Code::NoEndpoint, None, now);
        None
    }

    /// Returns the engine whose next free place is worth waiting for: it has the adapter at hand, so the
    /// load spares the store, and the target can be met there.
    pub(super) fn awaited(
        &self,
        wait: &Wait,
        best: Option<&Candidate>,
        target_ms: f64,
        now: Duration,
    ) -> Option<Name> {
        let meets = best.filter(|best| self.meets(best, target_ms));
        let patience = f64::from(wait.ask.target_ms) * self.settings.hold_warm;
        if meets.is_some_and(|best| !best.cold) || wait.held_ms(now) >= patience {
            return None;
        }
        let prospect = self.prospect(wait, now)?;
        let better = match meets {
            // The way from the store must stay open.
            Some(best) => {
                prospect.cost < best.cost && best.expected_ms + AWAIT_SLACK_MS <= target_ms
            }
            None => true,
        };
        (prospect.expected_ms <= target_ms && better).then_some(prospect.engine)
    }

    /// Returns the engine with a place soon that costs least.
    pub(super) fn prospect(&self, wait: &Wait, now: Duration) -> Option<Prospect> {
        let context = self.context(wait, now)?;
        let engines = self.engines.values();
        let engines = engines.filter(|engine| engine.endpoint.service == wait.ask.service);
        let mut before: Map<&Name, usize> = Map::default();
        for awaited in self.waiting.iter().filter_map(|other| other.awaits.as_ref()) {
            *before.entry(awaited).or_default() += 1;
        }
        let prospects = engines.filter_map(|engine| {
            let before = before.get(&engine.endpoint.id).copied().unwrap_or_default();
            context.prospect(engine, wait, before)
        });
        prospects.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns whether an engine has time for a request that misses its target.
    pub(super) fn takes_late(&self, best: &Candidate, wait: &Wait, now: Duration) -> bool {
        let Some(engine) = self.engines.get(&best.engine) else { return false };
        // It does not take the store from requests that are not late.
        let idle =
            self.store.use_share(self.queued_loads(u8::MAX)) < self.settings.late_store_share;
        (idle || !best.cold)
            && engine.queue_ms(now) <= self.settings.late_backlog_ms
            && best.expected_ms <= wait.left_ms(now) * LATE_SHARE
    }

    /// Returns the engine with the least cost among those that answer within `target_ms`, else the one
    /// that answers first.
    pub(super) fn best(&self, wait: &Wait, target_ms: f64, now: Duration) -> Option<Candidate> {
        let context = self.context(wait, now)?;
        let engines = self.engines.values();
        let engines = engines.filter(|engine| engine.endpoint.service == wait.ask.service);
        let candidates = engines.filter_map(|engine| context.candidate(engine, wait));
        let misses = |one: &Candidate| !self.meets(one, target_ms);
        let worth = |one: &Candidate| if misses(one) { one.expected_ms } else { one.cost };
        candidates
            .min_by(|a, b| misses(a).cmp(&misses(b)).then_with(|| worth(a).total_cmp(&worth(b))))
    }

    pub(super) fn context(&self, wait: &Wait, now: Duration) -> Option<Context<'_>> {
        Some(Context {
            settings: &self.settings,
            spec: self.specs.get(&wait.ask.service)?,
            store: &self.store,
            queued: self.queued_loads(wait.ask.rank),
            popularity: &self.popularity,
            ignore_health: self.trusted_share(&wait.ask.service, now) < TRUSTED_SHARE,
            version: self.least_version(&wait.ask),
            now,
        })
    }

    /// Returns the part of a service's engines that are not suspected.
    pub(super) fn trusted_share(&self, service: &Name, now: Duration) -> f64 {
        let engines = self.engines.values().filter(|engine| engine.endpoint.service == *service);
        let (mut all, mut trusted) = (0, 0);
        for engine in engines {
            all += 1;
            trusted += u32::from(engine.health.admits(engine.running, now));
        }
        f64::from(trusted) / f64::from(all.max(1))
    }

    /// Returns whether a candidate answers in time, with some time to spare.
    pub(super) fn meets(&self, one: &Candidate, target_ms: f64) -> bool {
        let share = if one.cold { self.settings.cold_target_share } else { 1.0 };
        one.expected_ms <= target_ms * share
    }

    /// Returns the version that must be served, where one was announced.
    pub(super) fn version(&self, ask: &Query) -> Option<u64> {
        self.versions.get(&(ask.model.clone(), ask.adapter.clone())).copied()
    }

    /// Returns the oldest version that may be served.
    pub(super) fn least_version(&self, ask: &Query) -> u64 {
        self.version(ask).unwrap_or(FIRST_VERSION)
    }

    /// Gives a request to an engine, at once or when its adapter is there.
    pub(super) fn assign(&mut self, wait: Wait, best: &Candidate, urgency: u8, now: Duration) {
        let version = self.least_version(&wait.ask);
        let Some(engine) = self.engines.get_mut(&best.engine) else { return };
        let ask = &wait.ask;
        engine.backlog += best.prefill;
        engine.running += 1;
        let tokens = u64::from(ask.input) + u64::from(ask.output);
        engine.tokens += tokens;
        engine.prefixes.read(base::digest(ask.adapter.as_bytes()), &ask.parts);
        if let Way::Load(victim) = &best.way {
            if let Some(victim) = victim.as_ref().and_then(|name| engine.copies.get_mut(name)) {
                victim.stage = Stage::DROP;
            }
            engine.copies.insert(ask.adapter.clone(), Copy::queued(version, now));
        }
        let end = Duration::from_secs_f64(best.expected_ms / 1e3) + self.speech.time(ask.output);
        if let Some(copy) = engine.copies.get_mut(&ask.adapter) {
            copy.users += 1;
            copy.used = now;
            copy.rank = copy.rank.min(ask.rank);
            copy.expect_end(wait.key, now + end);
            if best.way != Way::Present {
                copy.waiting.push(wait.key);
            }
        }
        let run = Run {
            engine: best.engine.clone(),
            adapter: ask.adapter.clone(),
            fingerprint: ask.fingerprint,
            prefill: best.prefill,
            tokens,
            output: ask.output,
            ahead: engine.backlog,
            urgency,
            part: Part::Granted,
            ends: now + Duration::from_millis(u64::from(ask.left_ms)) + GRACE,
        };
        let key = wait.key;
        if best.way == Way::Present {
            self.runs.insert(key, run);
            self.grant(&wait, &best.engine, best.expected_ms, urgency, now);
        } else {
            let part = Part::Reserved(Box::new(wait));
            self.runs.insert(key, Run { part, ..run });
        }
        self.give_orders(now);
    }
}
