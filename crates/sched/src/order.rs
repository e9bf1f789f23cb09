//! Orders to engines: one at a time for each, and what their answers mean.

use std::time::Duration;

use base::Event;
use base::Name;
use fleet::message::Holding;

use crate::action::Action;
use crate::action::Answer;
use crate::action::Operation;
use crate::action::Order;
use crate::action::Report;
use crate::engine::Base;
use crate::engine::Copy;
use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Stage;
use crate::ledger::Run;
use crate::scheduler::Scheduler;
use crate::settings::Settings;

/// The time after which it is asked again whether a load has ended.
const POLL: Duration = Duration::from_millis(10);
/// The time after which it is asked again whether an adapter is gone.
const POLL_DROP: Duration = Duration::from_millis(30);
/// The time after which it is asked again whether a base model is there.
const POLL_BASE: Duration = Duration::from_millis(100);
/// The lag of what engines report, after which a report shows an order that was lost.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// The orders in a row without an answer after which an engine is asked what it holds.
const UNANSWERED: u32 = 5;
/// The wait before an engine that did not answer is asked again.
const INSPECT_AGAIN: Duration = Duration::from_millis(500);
/// The lead that one recent request for its adapter gives a load over older ones.
const POPULARITY_LEAD: Duration = Duration::from_millis(100);
/// The recent requests that count for that.
const POPULARITY_MOST: f64 = 4.0;
/// The base models on their way from the store at once.
const BASE_LOADS: usize = 2;
/// The window over which the store's ceiling counts.
const BASE_WINDOW: Duration = Duration::from_secs(5);
/// The part of the store's ceiling that is used.
const BASE_SHARE: f64 = 0.8;

impl Scheduler {
    /// Gives each engine its next order, as far as the store allows.
    pub(crate) fn give_orders(&mut self, now: Duration) {
        let mut names: Vec<((u8, Duration), Name)> = self
            .engines
            .values()
            .map(|engine| (self.load_rank(engine, now), engine.endpoint.id.clone()))
            .collect();
        names.sort();
        for (_, name) in names {
            self.give_order(&name, now);
        }
    }

    /// Orders engines by the load that is most pressing among those they wait for: the one for the most
    /// urgent request, the oldest of those, but an adapter that is asked for often goes before older ones.
    fn load_rank(&self, engine: &Engine, now: Duration) -> (u8, Duration) {
        let queued = engine.copies.iter().filter(|(_, copy)| copy.stage == Stage::Queued);
        let ranks = queued.map(|(name, copy)| {
            let popularity = self.popularity.of(name, now).min(POPULARITY_MOST);
            (copy.rank, copy.wanted.saturating_sub(POPULARITY_LEAD.mul_f64(popularity)))
        });
        ranks.min().unwrap_or((u8::MAX, Duration::MAX))
    }

    fn give_order(&mut self, name: &Name, now: Duration) {
        let Some(engine) = self.engines.get_mut(name) else { return };
        match engine.order_state {
            OrderState::Unknown { least, at } if now >= at => {
                engine.order_state = OrderState::Inspecting { least };
                self.actions.push(Action::Inspect(engine.endpoint.clone()));
            }
            OrderState::Idle(sequence) => {
                let Some(order) = self.next_order(name, sequence, now) else { return };
                self.reserve_load(name, &order);
                if let Some(engine) = self.engines.get_mut(name) {
                    engine.order_state = OrderState::Busy(sequence);
                }
                self.actions.push(Action::Order(order));
            }
            _ => {}
        }
    }

    /// Counts a load from the store from the moment at which it is ordered.
    fn reserve_load(&mut self, name: &Name, order: &Order) {
        let Some(adapter) = &order.adapter else { return };
        let cold = self.cold(name, adapter);
        let Some(engine) = self.engines.get_mut(name) else { return };
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        if order.operation == Operation::Load && copy.stage == Stage::Queued {
            copy.counted = cold;
            self.store.loading += usize::from(cold);
        }
    }

    /// Returns the most pressing order for an engine.
    fn next_order(&mut self, name: &Name, expected: u64, now: Duration) -> Option<Order> {
        if let Some(order) = self.base_order(name, expected, now) {
            return Some(order);
        }
        let engine = self.engines.get(name)?;
        let Base::Held(model) = &engine.base else { return None };
        let room = self.store.has_room();
        let (adapter, copy) = engine
            .copies
            .iter()
            .filter(|(adapter, copy)| is_due(engine, adapter, copy, room, now))
            .min_by_key(|(adapter, copy)| {
                (urgency(copy), copy.rank, copy.wanted, (*adapter).clone())
            })?;
        let dropping = matches!(copy.stage, Stage::Dropping { .. });
        let operation = if dropping { Operation::Unload } else { Operation::Load };
        // A named version makes a repeated order the same order, whatever was announced in between.
        let version = (operation == Operation::Load).then_some(copy.version);
        Some(Order {
            endpoint: engine.endpoint.clone(),
            operation,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            version,
            expected,
        })
    }

    /// Returns the order to load a base model into an empty engine, or to ask whether it is there.
    fn base_order(&mut self, name: &Name, expected: u64, now: Duration) -> Option<Order> {
        let engine = self.engines.get(name)?;
        let model = match &engine.base {
            Base::Loading { model, poll_at } if now >= *poll_at => model.clone(),
            Base::Wanted(model) => {
                let model = model.clone();
                self.take_base_load(&engine.endpoint.service.clone(), now).then_some(model)?
            }
            _ => return None,
        };
        let engine = self.engines.get(name)?;
        Some(Order {
            endpoint: engine.endpoint.clone(),
            operation: Operation::Load,
            model,
            adapter: None,
            version: None,
            expected,
        })
    }

    /// Takes one of the loads of base models that the store allows.
    fn take_base_load(&mut self, service: &Name, now: Duration) -> bool {
        let Some(spec) = self.specs.get(service) else { return false };
        let ceiling = spec.loads_per_s * BASE_WINDOW.as_secs_f64() * BASE_SHARE;
        self.base_loads.retain(|at| now < *at + BASE_WINDOW);
        let loading = self.engines.values().filter(|engine| {
            let ordered = matches!(engine.order_state, OrderState::Busy(_));
            matches!(engine.base, Base::Loading { .. })
                || (ordered && matches!(engine.base, Base::Wanted(_)))
        });
        let free = loading.count() < BASE_LOADS && (self.base_loads.len() as f64) < ceiling;
        if free {
            self.base_loads.push_back(now);
        }
        free
    }

    /// Takes an engine's answer to an order.
    pub fn order_answered(&mut self, order: &Order, answer: Answer, now: Duration) {
        let Some(engine) = self.engines.get_mut(&order.endpoint.id) else { return };
        if engine.endpoint.born != order.endpoint.born {
            return;
        }
        let OrderState::Busy(sequence) = engine.order_state else { return };
        // An order that is being carried out is answered again without being counted.
        let repeated = is_under_way(engine, order.adapter.as_ref());
        let least = sequence;
        engine.unanswered = if answer == Answer::Lost { engine.unanswered + 1 } else { 0 };
        engine.order_state = match answer {
            Answer::Accepted if repeated => OrderState::Idle(sequence),
            Answer::Accepted => OrderState::Idle(sequence + 1),
            Answer::Holds if order.operation == Operation::Unload && !repeated => {
                OrderState::Idle(sequence + 1)
            }
            Answer::Holds => OrderState::Idle(sequence),
            Answer::Conflict | Answer::Refused => {
                OrderState::Unknown { least, at: now + REPORT_LAG / 3 }
            }
            Answer::Fenced => OrderState::Unknown { least, at: now + INSPECT_AGAIN },
            // It fails on the number of orders if it is carried out late, so it can be given again.
            Answer::Lost if engine.unanswered < UNANSWERED => OrderState::Idle(sequence),
            Answer::Lost => OrderState::Unknown { least, at: now + REPORT_LAG },
        };
        match (&order.adapter, order.operation) {
            (None, _) => self.base_ordered(order, answer, now),
            (Some(adapter), Operation::Load) => {
                self.load_ordered(&order.endpoint.id, adapter, answer, now);
            }
            (Some(adapter), Operation::Unload) => {
                self.drop_ordered(&order.endpoint.id, adapter, answer, now);
            }
        }
        self.dirty = true;
    }

    fn drop_ordered(&mut self, id: &Name, adapter: &Name, answer: Answer, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        match answer {
            Answer::Holds => {
                engine.forget(adapter, self.settings.warm_adapters);
                base::event!(INFO, Event::Evicted, endpoint = %id, adapter = %adapter);
                self.publish(id, adapter, false);
            }
            // A request still uses it there, so it goes later.
            Answer::Accepted => {
                if let Some(copy) = engine.copies.get_mut(adapter) {
                    copy.stage = Stage::Dropping { poll_at: Some(now + POLL_DROP) };
                }
            }
            _ => {}
        }
    }

    fn base_ordered(&mut self, order: &Order, answer: Answer, now: Duration) {
        let Some(spec) = self.specs.get(&order.endpoint.service) else { return };
        let model = spec.models.iter().find(|model| model.name == order.model);
        let Some(engine) = self.engines.get_mut(&order.endpoint.id) else { return };
        let name = order.model.clone();
        match answer {
            Answer::Accepted => {
                let first = !matches!(engine.base, Base::Loading { .. });
                let load = model.map_or(POLL_BASE, |model| model.load);
                let poll_at = now + if first { load / 4 } else { POLL_BASE };
                engine.base = Base::Loading { model: name, poll_at };
            }
            Answer::Holds => {
                engine.base = Base::Held(name);
                self.publish(&order.endpoint.id, &Name::default(), true);
            }
            // A load that is in progress is answered so.
            Answer::Conflict if matches!(engine.base, Base::Loading { .. }) => {
                engine.base = Base::Loading { model: name, poll_at: now + POLL_BASE };
            }
            _ => engine.base = Base::Wanted(name),
        }
    }

    fn load_ordered(&mut self, id: &Name, adapter: &Name, answer: Answer, now: Duration) {
        let cold = self.cold(id, adapter);
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        match (answer, &copy.stage) {
            (Answer::Accepted, Stage::Queued) => {
                let wait = load_time(&self.settings, cold, self.store.least_ms());
                copy.stage = Stage::Loading { since: now, poll_at: now + wait };
                base::event!(INFO, Event::Placed, endpoint = %id, adapter = %adapter, cold);
            }
            (Answer::Accepted | Answer::Conflict, Stage::Loading { since, .. }) => {
                copy.stage = Stage::Loading { since: *since, poll_at: now + POLL };
            }
            (Answer::Holds, _) => self.loaded(id, adapter, now),
            // What the engine makes of it is seen from its report; until then it is not on its way.
            (_, Stage::Queued) if copy.counted => {
                copy.counted = false;
                self.store.ended(None);
            }
            _ => {}
        }
    }

    /// Returns whether an adapter's load at an engine comes from the store.
    fn cold(&self, id: &Name, adapter: &Name) -> bool {
        self.engines.get(id).is_none_or(|engine| !engine.is_warm(adapter))
    }

    /// Notes that an adapter is there, and grants what waited for it.
    pub(crate) fn loaded(&mut self, id: &Name, adapter: &Name, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        let cold = std::mem::take(&mut copy.counted);
        let since = match copy.stage {
            Stage::Loading { since, .. } => Some(since),
            _ => None,
        };
        let took = since.map(|since| now.saturating_sub(since));
        if cold {
            self.store.ended(took);
        }
        if let Some(took) = took {
            let took_ms = took.as_secs_f64() * 1e3;
            base::event!(INFO, Event::Loaded, endpoint = %id, adapter = %adapter, cold, took_ms);
        }
        copy.stage = Stage::Present;
        copy.used = now;
        let waiting = std::mem::take(&mut copy.waiting);
        engine.warm.retain(|name| name != adapter);
        self.publish(id, adapter, true);
        for key in waiting {
            self.grant_reserved(key, now);
        }
        self.retire(id, adapter);
        self.dirty = true;
    }

    /// Takes an engine's report; none if it did not answer.
    pub fn engine_inspected(&mut self, id: &Name, report: Option<Report>, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let OrderState::Inspecting { least } = engine.order_state else { return };
        let born = engine.endpoint.born;
        let Some(report) = report.filter(|report| report.born == 0 || report.born == born) else {
            engine.order_state = OrderState::Unknown { least, at: now + INSPECT_AGAIN };
            return;
        };
        if report.sequence < least {
            // Reports lag, and this one does not show all orders that were accepted.
            engine.order_state = OrderState::Unknown { least, at: now + REPORT_LAG / 3 };
            return;
        }
        base::event!(
            INFO, Event::Inspected, endpoint = %id, sequence = report.sequence,
            adapters = report.held.iter().map(|held| held.adapters.len()).sum::<usize>(),
            incoming = report.loading.len()
        );
        engine.order_state = OrderState::Idle(report.sequence);
        self.reconcile_base(id, &report, now);
        self.reconcile(id, &report, now);
        self.dirty = true;
    }

    fn reconcile_base(&mut self, id: &Name, report: &Report, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let held = report.held.first().map(|held| held.model.clone());
        engine.base = match (held, engine.base.clone()) {
            (Some(model), _) => Base::Held(model),
            (None, Base::Loading { model, .. }) if report.busy => {
                Base::Loading { model, poll_at: now + POLL_BASE }
            }
            (None, Base::Held(model) | Base::Loading { model, .. }) => Base::Wanted(model),
            (None, base) => base,
        };
        let present = matches!(engine.base, Base::Held(_));
        self.publish(id, &Name::default(), present);
    }

    /// Makes the copies those of a report.
    fn reconcile(&mut self, id: &Name, report: &Report, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let adapters = report.held.iter().flat_map(|held| &held.adapters);
        let present: Vec<(Name, u64)> =
            adapters.map(|adapter| (adapter.name.clone(), adapter.version)).collect();
        let mut arrived = Vec::new();
        let mut outdated = Vec::new();
        for (name, version) in &present {
            let copy = engine.copies.entry(name.clone());
            // Requests that were granted by a former leader may be known before the adapter is.
            let uses = |run: &&Run| run.engine == *id && run.adapter == *name;
            let copy = copy.or_insert_with(|| {
                let users = self.runs.values().filter(uses).count() as u32;
                Copy { users, ..Copy::present(*version, now) }
            });
            if copy.is_loading() && *version >= copy.version {
                arrived.push(name.clone());
            } else if copy.stage == Stage::Queued {
                // The old version is still in the place that the new one was to have.
                copy.stage = Stage::DROP;
                outdated.append(&mut copy.waiting);
            }
            if copy.stage == Stage::Present {
                copy.version = *version;
            }
        }
        for (name, version) in &report.loading {
            let copy = engine.copies.entry(name.clone());
            let copy = copy.or_insert_with(|| Copy::queued(*version, now));
            if copy.stage == Stage::Queued {
                copy.stage = Stage::Loading { since: now, poll_at: now + POLL };
                copy.counted = true;
                self.store.loading += 1;
            }
        }
        let known =
            |name: &Name| present.iter().chain(&report.loading).any(|(listed, _)| listed == name);
        let gone: Vec<Name> = engine.copies.keys().filter(|name| !known(name)).cloned().collect();
        for name in gone {
            self.missing(id, &name, now);
        }
        for name in arrived {
            self.loaded(id, &name, now);
        }
        for key in outdated {
            self.wait_again(key, now);
        }
    }

    /// Takes note that an engine lacks an adapter that was thought to be there or on its way.
    fn missing(&mut self, id: &Name, adapter: &Name, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(copy) = engine.copies.get_mut(adapter) else { return };
        if std::mem::take(&mut copy.counted) {
            self.store.ended(None);
        }
        // Its place may have been taken meanwhile, so what waits for it is placed anew.
        let waiting = std::mem::take(&mut copy.waiting);
        engine.copies.remove(adapter);
        self.publish(id, adapter, false);
        for key in waiting {
            self.wait_again(key, now);
        }
    }

    /// Tells the gates what an engine holds.
    pub(crate) fn publish(&mut self, id: &Name, adapter: &Name, held: bool) {
        let (endpoint, adapter) = (id.clone(), adapter.clone());
        self.actions.push(Action::Publish(Holding { endpoint, adapter, held }));
    }

    /// Returns the loads from the store that wait for their turn, those for less urgent requests than
    /// of that rank aside.
    pub(crate) fn queued_loads(&self, rank: u8) -> usize {
        let engines = self.engines.values();
        let queued = engines.flat_map(|engine| {
            let copies = engine.copies.iter().filter(|(_, copy)| copy.rank <= rank);
            copies.filter(|(name, copy)| copy.stage == Stage::Queued && !engine.is_warm(name))
        });
        queued.count()
    }
}

/// Returns whether an engine is known to carry out an order for a base model or an adapter.
fn is_under_way(engine: &Engine, adapter: Option<&Name>) -> bool {
    match adapter {
        None => matches!(engine.base, Base::Loading { .. }),
        Some(adapter) => {
            let copy = engine.copies.get(adapter);
            copy.is_some_and(|copy| match copy.stage {
                Stage::Loading { .. } | Stage::Dropping { poll_at: Some(_) } => true,
                Stage::Queued | Stage::Present | Stage::Dropping { poll_at: None } => false,
            })
        }
    }
}

/// Returns whether an order for an adapter can be given now.
fn is_due(engine: &Engine, adapter: &Name, copy: &Copy, room: bool, now: Duration) -> bool {
    match copy.stage {
        Stage::Dropping { poll_at } => poll_at.is_none_or(|at| now >= at),
        Stage::Loading { poll_at, .. } => now >= poll_at,
        Stage::Queued => {
            let dropping = |copy: &Copy| matches!(copy.stage, Stage::Dropping { .. });
            !engine.copies.values().any(dropping) && (room || engine.is_warm(adapter))
        }
        Stage::Present => false,
    }
}

/// Orders that free places go first, then new loads, then questions.
fn urgency(copy: &Copy) -> u8 {
    match copy.stage {
        Stage::Dropping { .. } => 0,
        Stage::Queued => 1,
        Stage::Loading { .. } | Stage::Present => 2,
    }
}

/// Returns the time after which a load is likely to have ended.
fn load_time(settings: &Settings, cold: bool, cold_ms: f64) -> Duration {
    let ms = if cold { cold_ms } else { settings.warm_load_ms };
    Duration::from_secs_f64(ms / 1e3)
}
