//! Placement: the choice of an engine for each request, or the refusal of the request.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::message::Query;

use crate::candidate::Availability;
use crate::candidate::Candidate;
use crate::candidate::Context;
use crate::candidate::Deferral;
use crate::candidate::Rating;
use crate::engine::Slot;
use crate::engine::Stage;
use crate::request::Assignment;
use crate::request::Pending;
use crate::request::Phase;
use crate::scheduler::DEADLINE_SHARE;
use crate::scheduler::EXPIRY_GRACE;
use crate::scheduler::Scheduler;
use crate::scheduler::decision::Decision;

/// The urgency at an engine of a request of rank 0 that misses its target.
pub(super) const URGENCY_LATE: u8 = 7;
/// The share of trusted engines below which health is ignored. If most engines fail, the cause is
/// likely elsewhere, and a request that may fail is better than one that is refused.
const TRUSTED_SHARE: f64 = 0.5;
/// The version of an adapter for which none was announced.
const FIRST_VERSION: u64 = 1;
/// The margin by which a load from the store must still meet the target while a request waits for a
/// slot.
const AWAIT_SLACK_MS: f64 = 40.0;

impl Scheduler {
    /// Assigns a request to an engine or refuses it; returns it if it must be queued.
    pub(super) fn schedule(&mut self, mut pending: Pending, now: Duration) -> Option<Pending> {
        self.engines.refresh();
        let decision = self.decide(&pending, now);
        pending.awaited_engine = None;
        if let Decision::AwaitSlot(engine) = decision {
            pending.awaited_engine = Some(engine);
            return Some(pending);
        }
        pending.awaits_gap = matches!(decision, Decision::AwaitGap(_));
        match decision {
            Decision::AwaitSlot(_) | Decision::AwaitGap(_) => return Some(pending),
            Decision::Queue => {
                self.fairness.record_shortage(now);
                return Some(pending);
            }
            Decision::Assign { best, urgency } => self.assign(pending, &best, urgency, now),
            Decision::Refuse { code, reason, wait, over_share } => {
                self.record_scarcity(&pending, over_share, now);
                match wait {
                    Some(wait) => self.deny_for(&pending, code, wait, now),
                    None => self.deny(&pending, code, reason, now),
                }
            }
        }
        None
    }

    /// Records that a request is refused: because its tenant is over its share, or because the engines are short.
    fn record_scarcity(&mut self, pending: &Pending, over_share: bool, now: Duration) {
        if !over_share {
            return self.fairness.record_shortage(now);
        }
        base::event!(
            INFO,
            Event::ShareExceeded,
            gate = pending.key.0,
            request = pending.query.request,
            tenant = pending.tenant.as_deref(),
            excess = self.fairness.excess(pending, now)
        );
    }

    /// Returns the time until the limits of the engines that may run a request admit one; zero if one of them has no
    /// limit, or if there is none.
    pub(super) fn limit_wait(&self, query: &Query, now: Duration) -> Duration {
        let engines = self.engines.values().filter(|engine| {
            engine.endpoint.service == query.service
                && query.build.as_ref().is_none_or(|build| engine.endpoint.build == *build)
                && !query.excluded.contains(&engine.endpoint.id)
        });
        engines.map(|engine| engine.limit_wait(now)).min().unwrap_or_default()
    }

    /// Returns the engine whose next free adapter slot a request should wait for. That engine still
    /// caches the adapter, so the load does not use the store, and it can meet the target.
    pub(super) fn engine_to_await(
        &self,
        pending: &Pending,
        best: Option<&Candidate>,
        target_ms: f64,
        now: Duration,
    ) -> Option<Name> {
        let meets = best.filter(|best| self.meets_target(best, target_ms));
        let limit_ms = f64::from(pending.query.target_ms) * self.settings.warm_queue_target_share;
        if meets.is_some_and(|best| !best.cold) || pending.held_ms(now) >= limit_ms {
            return None;
        }
        let deferral = self.best_deferral(pending, now)?;
        let better = match meets {
            // A load from the store must remain possible after the wait.
            Some(best) => {
                deferral.cost < best.cost && best.expected_ms + AWAIT_SLACK_MS <= target_ms
            }
            None => true,
        };
        (deferral.expected_ms <= target_ms && better).then_some(deferral.engine)
    }

    /// Returns the engine with the lowest cost among those that cache the adapter and will have a
    /// free slot.
    pub(super) fn best_deferral(&self, pending: &Pending, now: Duration) -> Option<Deferral> {
        let context = self.context(pending, now)?;
        let query = &pending.query;
        let mut waiting: Map<&Name, usize> = Map::default();
        for awaited in self.queue.iter().filter_map(|other| other.awaited_engine.as_ref()) {
            *waiting.entry(awaited).or_default() += 1;
        }
        let members = self.engines.knowing(&query.service, &query.adapter);
        let deferrals = members.filter_map(|member| {
            let ahead = waiting.get(&member.engine.endpoint.id).copied().unwrap_or_default();
            context.deferral(member, pending, ahead)
        });
        deferrals.min_by(|a, b| a.cost.total_cmp(&b.cost))
    }

    /// Returns whether an engine has capacity for a request that will miss its target.
    ///
    /// `fair` is the share of the backlog up to which it is accepted that its tenant may use.
    pub(super) fn accepts_late(
        &self,
        best: &Candidate,
        pending: &Pending,
        fair: f64,
        now: Duration,
    ) -> bool {
        let Some(queue_ms) = self.engines.queue_ms(&best.engine, now) else { return false };
        // Late requests must not delay the loads of requests that can still meet their target.
        let store_idle = self.store.utilization(self.engines.queued_store_loads(u8::MAX))
            < self.settings.late_store_share;
        (store_idle || !best.cold)
            && queue_ms <= self.settings.late_backlog_ms * fair
            && best.expected_ms <= pending.left_ms(now) * DEADLINE_SHARE
    }

    /// Returns the engine with the lowest cost among those that meet `target_ms`. If none does,
    /// returns the engine with the earliest first event.
    pub(super) fn best_candidate(
        &self,
        pending: &Pending,
        target_ms: f64,
        now: Duration,
    ) -> Option<Candidate> {
        let context = self.context(pending, now)?;
        let (service, adapter) = (&pending.query.service, &pending.query.adapter);
        // Engines that know the adapter are usually better and rule out most of the others.
        let better = |best: Option<Rating>, member| {
            context.better_rating(member, pending, target_ms, best.as_ref()).or(best)
        };
        let mut best = self.engines.knowing(service, adapter).fold(None, better);
        if self.store_admits(pending, now)
            && !best.is_some_and(|best| context.precedes_new_loads(&best, adapter))
        {
            best = self.engines.not_knowing(service, adapter).fold(best, better);
        }
        let position = best?.position;
        let member = self.engines.member(position, self.engines.knows(position, adapter));
        context.candidate(member, pending).ok()
    }

    /// Returns whether the store has room for a load for a request. True for a request of a base model.
    pub(super) fn store_admits(&self, pending: &Pending, now: Duration) -> bool {
        self.has_room(pending, self.fairness.store_share(pending, now))
    }

    /// Returns whether the store has room for a load for a request that may use a part of it.
    pub(super) fn has_room(&self, pending: &Pending, part: f64) -> bool {
        let utilization = self.store.utilization(self.engines.queued_store_loads(u8::MAX));
        pending.query.adapter.is_empty()
            || utilization < self.settings.store_share(pending.unmet) * part
    }

    /// Returns the inputs of the estimates for a request; `None` if its service has no engines.
    pub(super) fn context(&self, pending: &Pending, now: Duration) -> Option<Context<'_>> {
        let queued_loads = self.engines.queued_store_loads(pending.query.rank);
        // When the store is fully used, a load delays those of other requests.
        let share = self.store.utilization(queued_loads);
        let order_delay_ms = self.orders_from.saturating_sub(now).as_secs_f64() * 1e3;
        Some(Context {
            settings: &self.settings,
            spec: self.specs.get(&pending.query.service)?,
            store: &self.store,
            order_delay_ms,
            store_load_ms: order_delay_ms + self.store.expected_ms(queued_loads),
            store_penalty_ms: self.settings.cold_penalty_ms * share + self.settings.slot_penalty_ms,
            popularity: &self.popularity,
            ignore_health: self.trusted_share(pending, now) < TRUSTED_SHARE,
            min_version: self.min_version(&pending.query),
            model: self.engines.number(&pending.query.model),
            domain: self.engines.number(&pending.domain),
            pauses: self.pauses.get(&pending.query.service),
            steps: self.steps(&pending.query.service),
            now,
        })
    }

    /// Returns the share of trusted engines among those that a request may run at.
    fn trusted_share(&self, pending: &Pending, now: Duration) -> f64 {
        let Query { service, build, .. } = &pending.query;
        self.engines.trusted_share(service, build.as_ref(), now)
    }

    /// Returns whether a candidate meets a target, with a margin if its adapter must come from the
    /// store.
    pub(super) fn meets_target(&self, candidate: &Candidate, target_ms: f64) -> bool {
        candidate.expected_ms <= self.settings.target_share(candidate.cold) * target_ms
    }

    /// Returns the announced version of a request's adapter, which must be served; `None` if there
    /// is none.
    pub(super) fn required_version(&self, query: &Query) -> Option<u64> {
        self.versions.get(&(query.model.clone(), query.adapter.clone())).copied()
    }

    /// Returns the oldest version of a request's adapter that may be served.
    pub(super) fn min_version(&self, query: &Query) -> u64 {
        self.required_version(query).unwrap_or(FIRST_VERSION)
    }

    /// Assigns a request to an engine. Grants it if its adapter is loaded, otherwise reserves the
    /// engine until then.
    pub(super) fn assign(
        &mut self,
        pending: Pending,
        best: &Candidate,
        urgency: u8,
        now: Duration,
    ) {
        let version = self.min_version(&pending.query);
        let queued_tokens = self.queued_tokens(&pending, &best.engine) + best.prefill_tokens;
        let Some(engine) = self.engines.get_mut(&best.engine) else { return };
        let query = &pending.query;
        let tokens = best.prefill_tokens + f64::from(query.output);
        self.fairness.record(&pending, tokens, best.cold, now);
        if let Some(limit) = &mut engine.limit {
            // Only an engine with a token is a candidate.
            limit.try_take(now).ok();
        }
        engine.backlog_tokens += best.prefill_tokens;
        engine.running += 1;
        let kv_tokens = u64::from(query.input) + u64::from(query.output);
        engine.kv_tokens += kv_tokens;
        engine.prefix_cache.insert(&pending.prefixes);
        if matches!(best.availability, Availability::NeedsLoad | Availability::NeedsEviction) {
            if let Some(victim) =
                best.victim.as_ref().and_then(|name| engine.adapter_slots.get_mut(name))
            {
                victim.stage = Stage::UNLOAD;
            }
            engine.adapter_slots.insert(query.adapter.clone(), Slot::queued(version, now));
        }
        let end =
            Duration::from_secs_f64(best.expected_ms / 1e3) + self.decode.duration(query.output);
        if let Some(slot) = engine.adapter_slots.get_mut(&query.adapter) {
            slot.users += 1;
            slot.last_used_at = now;
            slot.rank = slot.rank.min(query.rank);
            slot.expect_end(pending.key, now + end);
            if best.availability != Availability::Loaded {
                slot.waiting.push(pending.key);
            }
        }
        let assignment = Assignment {
            engine: best.engine.clone(),
            adapter: query.adapter.clone(),
            prefill_tokens: best.prefill_tokens,
            kv_tokens,
            output_tokens: query.output,
            tenant: pending.tenant.clone(),
            gap_ms: pending.gap_ms,
            queued_prefill_tokens: queued_tokens,
            batch: None,
            urgency,
            phase: Phase::Granted,
            expires_at: now + Duration::from_millis(u64::from(query.left_ms)) + EXPIRY_GRACE,
        };
        let key = pending.key;
        self.next_expiry = self.next_expiry.min(assignment.expires_at);
        let ready = best.availability == Availability::Loaded;
        if ready && !self.wait_for_pace(&pending, &best.engine, best.prefill_tokens, now) {
            self.assignments.insert(key, assignment);
            self.grant(&pending, &best.engine, best.expected_ms, urgency, now);
        } else {
            let phase = Phase::Reserved(Box::new(pending));
            let assignment = Assignment { phase, ..assignment };
            self.next_expiry = self.next_expiry.min(assignment.earliest_expiry());
            self.assignments.insert(key, assignment);
        }
        self.dispatch_orders(now);
    }
}
