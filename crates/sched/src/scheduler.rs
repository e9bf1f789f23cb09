//! The scheduler's tables and what changes them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Map;
use base::Name;
use fleet::endpoint::Announcement;
use fleet::message::Denial;
use fleet::message::Grant;
use fleet::message::Outcome;
use fleet::message::Query;
use fleet::message::Running;
use fleet::message::Version;
use fleet::plan::EngineSpec;
use fleet::plan::Plan;

use crate::action::Action;
use crate::action::Reason;
use crate::choose::Candidate;
use crate::choose::Context;
use crate::choose::Prospect;
use crate::choose::Way;
use crate::engine::Base;
use crate::engine::Copy;
use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Stage;
use crate::ledger::Key;
use crate::ledger::Part;
use crate::ledger::Run;
use crate::ledger::Wait;
use crate::pace::Speech;
use crate::popularity::Popularity;
use crate::returns::Returns;
use crate::settings::Settings;
use crate::store::Store;

/// The urgency at an engine of a request of rank 0 that meets its target.
const URGENCY: u8 = 3;
/// The urgency at an engine of a request of rank 0 that misses its target.
const URGENCY_LATE: u8 = 7;
/// The last urgency.
const URGENCY_LAST: u8 = 9;
/// The part of the engines below which suspicion says nothing: what fails lies elsewhere then, and a
/// request that may fail is better than one that is refused.
const TRUSTED_SHARE: f64 = 0.5;
/// The version of an adapter until another one is announced.
const FIRST_VERSION: u64 = 1;
/// The part of the time left in which a late request must have its first event.
const LATE_SHARE: f64 = 0.6;
/// The time by which the way from the store must meet the target while a place is waited for, in ms.
const AWAIT_SLACK_MS: f64 = 40.0;
/// The time between two looks at requests that wait for a place; less than the slack above.
const AWAIT_RETRY: Duration = Duration::from_millis(25);
/// The time for which a full engine gets nothing.
const FULL_PAUSE: Duration = Duration::from_millis(100);
/// The time for which an engine under a lost request is remembered.
const STRIKES_KEPT: usize = 4_096;
/// The time after a request's deadline for which it counts if its end is not told.
const GRACE: Duration = Duration::from_millis(500);

/// The scheduler of a cell's engines; see the crate.
#[derive(Debug)]
pub struct Scheduler {
    pub(crate) settings: Settings,
    pub(crate) specs: Map<Name, EngineSpec>,
    /// The versions in force, by base model and adapter.
    versions: Map<(Name, Name), u64>,
    pub(crate) engines: BTreeMap<Name, Engine>,
    pub(crate) runs: Map<Key, Run>,
    /// The requests that no engine can take now, the oldest first.
    waiting: VecDeque<Wait>,
    /// How often an engine was lost under a request, by its fingerprint.
    strikes: Map<u64, u32>,
    pub(crate) store: Store,
    /// When base models were ordered lately.
    pub(crate) base_loads: VecDeque<Duration>,
    pub(crate) popularity: Popularity,
    speech: Speech,
    returns: Returns,
    /// When the requests that wait were tried last.
    tried: Duration,
    /// Whether something changed since the requests that wait were tried.
    pub(crate) dirty: bool,
    pub(crate) actions: Vec<Action>,
}

impl Scheduler {
    /// Makes a scheduler that knows nothing yet.
    pub fn new(settings: Settings) -> Scheduler {
        Scheduler {
            specs: Map::default(),
            versions: Map::default(),
            engines: BTreeMap::new(),
            runs: Map::default(),
            waiting: VecDeque::new(),
            strikes: Map::default(),
            store: Store::new(settings.cold_load_ms, settings.cold_loads),
            base_loads: VecDeque::new(),
            popularity: Popularity::new(settings.half_life),
            speech: Speech::new(settings.token_ms),
            returns: Returns::default(),
            tried: Duration::ZERO,
            dirty: false,
            actions: Vec::new(),
            settings,
        }
    }

    /// Takes a plan.
    pub fn set_plan(&mut self, plan: &Plan) {
        let engines = plan
            .services
            .iter()
            .filter_map(|service| Some((service.name.clone(), service.engine.clone()?)));
        self.specs = engines.collect();
        for engine in self.engines.values_mut() {
            want_base(engine, &self.specs);
        }
        self.dirty = true;
    }

    /// Takes a version of an adapter that came into force.
    pub fn set_version(&mut self, version: &Version) {
        let key = (version.model.clone(), version.adapter.clone());
        let known = self.versions.entry(key).or_default();
        *known = (*known).max(version.version);
        let ids: Vec<Name> = self.engines.keys().cloned().collect();
        for id in ids {
            self.retire(&id, &version.adapter);
        }
    }

    /// Drops an adapter whose version was overtaken once no request uses it.
    pub(crate) fn retire(&mut self, id: &Name, adapter: &Name) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Base::Held(model) = &engine.base else { return };
        let newest = self.versions.get(&(model.clone(), adapter.clone())).copied();
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        if copy.is_idle() && copy.version < newest.unwrap_or_default() {
            copy.stage = Stage::DROP;
            self.dirty = true;
        }
    }

    /// Takes an engine's announcement.
    pub fn engine_announced(&mut self, announcement: &Announcement, now: Duration) {
        let known = self.engines.get(&announcement.id);
        if known.is_some_and(|engine| engine.endpoint.born == announcement.born) {
            return;
        }
        self.remove_engine(&announcement.id, now);
        let mut engine = Engine::new(announcement, &self.settings, now);
        want_base(&mut engine, &self.specs);
        self.engines.insert(announcement.id.clone(), engine);
        self.dirty = true;
    }

    /// Forgets an engine that takes no more work; what waited for an adapter there waits anew.
    pub fn remove_engine(&mut self, id: &Name, _now: Duration) {
        let Some(engine) = self.engines.remove(id) else { return };
        for copy in engine.copies.values() {
            if copy.counted {
                self.store.ended(None);
            }
            for key in &copy.waiting {
                if let Some(Run { part: Part::Reserved(wait), .. }) = self.runs.remove(key) {
                    self.waiting.push_back(*wait);
                }
            }
        }
        self.dirty = true;
    }

    /// Returns the engines that are known.
    pub fn engines(&self) -> impl Iterator<Item = &Name> {
        self.engines.keys()
    }

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

    /// Gives a request to an engine or refuses it; returns it if it must wait.
    fn place(&mut self, mut wait: Wait, now: Duration) -> Option<Wait> {
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
    fn hold(&mut self, wait: Wait, now: Duration) -> Option<Wait> {
        let patience = f64::from(wait.ask.target_ms) * self.settings.hold;
        if wait.held_ms(now) < patience && !self.engines.is_empty() {
            return Some(wait);
        }
        self.deny(&wait, Code::NoEndpoint, None, now);
        None
    }

    /// Returns the engine whose next free place is worth waiting for: it has the adapter at hand, so the
    /// load spares the store, and the target can be met there.
    fn awaited(
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
    fn prospect(&self, wait: &Wait, now: Duration) -> Option<Prospect> {
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
    fn takes_late(&self, best: &Candidate, wait: &Wait, now: Duration) -> bool {
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
    fn best(&self, wait: &Wait, target_ms: f64, now: Duration) -> Option<Candidate> {
        let context = self.context(wait, now)?;
        let engines = self.engines.values();
        let engines = engines.filter(|engine| engine.endpoint.service == wait.ask.service);
        let candidates = engines.filter_map(|engine| context.candidate(engine, wait));
        let misses = |one: &Candidate| !self.meets(one, target_ms);
        let worth = |one: &Candidate| if misses(one) { one.expected_ms } else { one.cost };
        candidates
            .min_by(|a, b| misses(a).cmp(&misses(b)).then_with(|| worth(a).total_cmp(&worth(b))))
    }

    fn context(&self, wait: &Wait, now: Duration) -> Option<Context<'_>> {
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
    fn trusted_share(&self, service: &Name, now: Duration) -> f64 {
        let engines = self.engines.values().filter(|engine| engine.endpoint.service == *service);
        let (mut all, mut trusted) = (0, 0);
        for engine in engines {
            all += 1;
            trusted += u32::from(engine.health.admits(engine.running, now));
        }
        f64::from(trusted) / f64::from(all.max(1))
    }

    /// Returns whether a candidate answers in time, with some time to spare.
    fn meets(&self, one: &Candidate, target_ms: f64) -> bool {
        let share = if one.cold { self.settings.cold_target_share } else { 1.0 };
        one.expected_ms <= target_ms * share
    }

    /// Returns the version that must be served, where one was announced.
    fn version(&self, ask: &Query) -> Option<u64> {
        self.versions.get(&(ask.model.clone(), ask.adapter.clone())).copied()
    }

    /// Returns the oldest version that may be served.
    fn least_version(&self, ask: &Query) -> u64 {
        self.version(ask).unwrap_or(FIRST_VERSION)
    }

    /// Gives a request to an engine, at once or when its adapter is there.
    fn assign(&mut self, wait: Wait, best: &Candidate, urgency: u8, now: Duration) {
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

    /// Takes a request that waits for its adapter away from its engine.
    pub(crate) fn wait_again(&mut self, key: Key, now: Duration) {
        if let Some(Run { part: Part::Reserved(wait), .. }) = self.release(key, now) {
            self.waiting.push_back(*wait);
        }
    }

    /// Returns whether a newer version came into force while an adapter was loaded for a request.
    fn is_outdated(&self, run: &Run, ask: &Query) -> bool {
        let engine = self.engines.get(&run.engine);
        let copy = engine.and_then(|engine| engine.copies.get(&run.adapter));
        copy.is_some_and(|copy| copy.version < self.least_version(ask))
    }

    fn grant(&mut self, wait: &Wait, id: &Name, expected_ms: f64, urgency: u8, now: Duration) {
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

    /// Returns what the best engine could have done for a request.
    fn reason(&self, wait: &Wait, best: &Candidate, now: Duration) -> Reason {
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
    fn deny(&mut self, wait: &Wait, code: Code, reason: Option<Reason>, now: Duration) {
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
    fn release(&mut self, key: Key, now: Duration) -> Option<Run> {
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

    /// Forgets the requests of a gate whose link was lost; it tells anew what it has at engines.
    pub fn gate_disconnected(&mut self, gate: u64, now: Duration) {
        self.waiting.retain(|wait| wait.key.0 != gate);
        let lost: Vec<Key> = self.runs.keys().filter(|key| key.0 == gate).copied().collect();
        for key in lost {
            self.release(key, now);
        }
    }

    /// Lets time pass: requests that wait, orders that are due. Returns what is to be done.
    pub fn poll(&mut self, now: Duration) -> Vec<Action> {
        self.expire(now);
        // What holds out for a place gives it up as time passes, without any other change.
        let holds_out = self.waiting.iter().any(|wait| wait.awaits.is_some());
        if self.dirty || (holds_out && now >= self.tried + AWAIT_RETRY) {
            self.dirty = false;
            self.tried = now;
            let mut waiting: Vec<Wait> = std::mem::take(&mut self.waiting).into();
            waiting.sort_by_key(|wait| (wait.ask.rank, wait.since));
            for wait in waiting {
                if let Some(wait) = self.place(wait, now) {
                    self.waiting.push_back(wait);
                }
            }
        }
        self.give_orders(now);
        std::mem::take(&mut self.actions)
    }

    /// Ends what has waited or run for too long.
    fn expire(&mut self, now: Duration) {
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

    /// Returns whether something waits that time alone moves on.
    pub fn has_pending_work(&self) -> bool {
        let loading = |engine: &Engine| {
            !matches!(engine.order_state, OrderState::Idle(_))
                || matches!(engine.base, Base::Wanted(_) | Base::Loading { .. })
                || engine.copies.values().any(|copy| copy.stage != Stage::Present)
        };
        self.dirty || !self.waiting.is_empty() || self.engines.values().any(loading)
    }
}

/// Chooses a base model for an empty engine.
fn want_base(engine: &mut Engine, specs: &Map<Name, EngineSpec>) {
    if engine.base == Base::Empty
        && let Some(model) =
            specs.get(&engine.endpoint.service).and_then(|spec| spec.models.first())
    {
        engine.base = Base::Wanted(model.name.clone());
    }
}
