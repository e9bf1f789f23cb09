//! Orders to engines, one at a time for each engine, and the handling of their answers.
//!
//! An engine accepts an order only if the order carries its current sequence (number of accepted
//! orders). To learn whether a load or unload has ended, the scheduler repeats the order: the
//! engine answers a repeated order without counting it.

use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::message::Holding;

use crate::action::Action;
use crate::action::Answer;
use crate::action::Operation;
use crate::action::Order;
use crate::action::Report;
use crate::engine::Base;
use crate::engine::Engine;
use crate::engine::OrderState;
use crate::engine::Slot;
use crate::engine::Stage;
use crate::scheduler::Scheduler;
use crate::settings::Settings;

/// The interval at which a load is checked for its end.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The interval at which a load is checked for its end by a report, while orders are held back.
const HELD_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which an unload is checked for its end.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(30);
/// The interval at which the load of a base model is checked for its end.
const BASE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The lag of reports: the time after which a report shows an order whose answer was lost.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// The number of consecutive orders without an answer after which an engine is inspected.
const MAX_UNANSWERED_ORDERS: u32 = 5;
/// The delay before an inspection is repeated.
const INSPECT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// The age that each recent request for an adapter adds to the adapter's queued load, so that loads
/// of popular adapters go first.
const POPULARITY_LEAD: Duration = Duration::from_millis(100);
/// The limit on the recent requests that are counted for [`POPULARITY_LEAD`].
const MAX_POPULARITY: f64 = 4.0;
/// The limit on concurrent loads of base models, over all engines.
const MAX_BASE_LOADS: usize = 2;
/// The window over which the rate of base model loads is limited.
const BASE_LOAD_WINDOW: Duration = Duration::from_secs(5);
/// The share of a service's rate limit on base model loads that is used.
const BASE_LOAD_RATE_SHARE: f64 = 0.8;

impl Scheduler {
    /// Issues the next order of each engine, within the limits of the store.
    pub(crate) fn dispatch_orders(&mut self, now: Duration) {
        self.engines.refresh();
        let mut names: Vec<((u8, Duration), Name)> = self
            .engines
            .due(now)
            .map(|engine| (self.load_priority(engine, now), engine.endpoint.id.clone()))
            .collect();
        names.sort();
        for (_, name) in names {
            self.dispatch_order(&name, now);
        }
    }

    /// Returns the priority of an engine's most urgent queued load, the lowest value first: by the
    /// rank of the requests that wait for it, then by age, with [`POPULARITY_LEAD`] added.
    fn load_priority(&self, engine: &Engine, now: Duration) -> (u8, Duration) {
        let queued = engine.adapter_slots.iter().filter(|(_, slot)| slot.stage == Stage::Queued);
        let priorities = queued.map(|(name, slot)| {
            let popularity = self.popularity.score(name, now).min(MAX_POPULARITY);
            (slot.rank, slot.queued_at.saturating_sub(POPULARITY_LEAD.mul_f64(popularity)))
        });
        priorities.min().unwrap_or((u8::MAX, Duration::MAX))
    }

    /// Issues an engine's next order, or inspects the engine if its sequence is unknown.
    fn dispatch_order(&mut self, name: &Name, now: Duration) {
        let Some(engine) = self.engines.get(name) else { return };
        match engine.order_state {
            OrderState::Unknown { min_sequence, inspect_at } if now >= inspect_at => {
                let Some(engine) = self.engines.get_mut(name) else { return };
                engine.order_state = OrderState::Inspecting { min_sequence };
                self.actions.push(Action::Inspect(engine.endpoint.clone()));
            }
            OrderState::Idle(sequence) if now < self.orders_from => {
                self.inspect_loads(name, sequence, now);
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

    /// Inspects an engine with loads in progress. While orders are held back, reports take the place
    /// of repeated orders.
    fn inspect_loads(&mut self, name: &Name, min_sequence: u64, now: Duration) {
        let Some(engine) = self.engines.get(name) else { return };
        let base_due = matches!(engine.base, Base::Loading { poll_at, .. } if now >= poll_at);
        let is_due =
            |slot: &Slot| matches!(slot.stage, Stage::Loading { poll_at, .. } if now >= poll_at);
        if !base_due && !engine.adapter_slots.values().any(is_due) {
            return;
        }
        let Some(engine) = self.engines.get_mut(name) else { return };
        for slot in engine.adapter_slots.values_mut() {
            if let Stage::Loading { poll_at, .. } = &mut slot.stage {
                *poll_at = now + HELD_POLL_INTERVAL;
            }
        }
        engine.order_state = OrderState::Inspecting { min_sequence };
        self.actions.push(Action::Inspect(engine.endpoint.clone()));
    }

    /// Counts a load from the store as soon as it is ordered.
    fn reserve_load(&mut self, name: &Name, order: &Order) {
        let Some(adapter) = &order.adapter else { return };
        let cold = self.is_cold(name, adapter);
        let Some(engine) = self.engines.get_mut(name) else { return };
        let Some(slot) = engine.adapter_slots.get_mut(adapter) else { return };
        if order.operation == Operation::Load && slot.stage == Stage::Queued {
            slot.uses_store = cold;
            slot.uncontended = cold && self.store.load_started();
        }
    }

    /// Returns the order with the highest priority for an engine.
    fn next_order(&mut self, name: &Name, expected: u64, now: Duration) -> Option<Order> {
        if let Some(order) = self.base_order(name, expected, now) {
            return Some(order);
        }
        let engine = self.engines.get(name)?;
        let Base::Loaded(model) = &engine.base else { return None };
        let has_capacity = self.store.has_capacity();
        let (adapter, slot) = engine
            .adapter_slots
            .iter()
            .filter(|(adapter, slot)| is_due(engine, adapter, slot, has_capacity, now))
            .min_by_key(|(adapter, slot)| {
                (order_priority(slot), slot.rank, slot.queued_at, (*adapter).clone())
            })?;
        let unloading = matches!(slot.stage, Stage::Unloading { .. });
        let operation = if unloading { Operation::Unload } else { Operation::Load };
        // Without an explicit version a repeated order would load another version if one was
        // announced since.
        let version = (operation == Operation::Load).then_some(slot.version);
        Some(Order {
            endpoint: engine.endpoint.clone(),
            operation,
            model: model.clone(),
            adapter: Some(adapter.clone()),
            version,
            expected,
        })
    }

    /// Returns the order to load a base model into an empty engine, or to check whether its load
    /// has ended.
    fn base_order(&mut self, name: &Name, expected: u64, now: Duration) -> Option<Order> {
        let engine = self.engines.get(name)?;
        let model = match &engine.base {
            Base::Loading { model, poll_at } if now >= *poll_at => model.clone(),
            Base::Queued(model) => {
                let model = model.clone();
                self.admit_base_load(&engine.endpoint.service.clone(), now).then_some(model)?
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

    /// Returns whether a load of a base model may start under the store's limits, and counts it if
    /// so.
    fn admit_base_load(&mut self, service: &Name, now: Duration) -> bool {
        let Some(spec) = self.specs.get(service) else { return false };
        let max_loads = spec.loads_per_s * BASE_LOAD_WINDOW.as_secs_f64() * BASE_LOAD_RATE_SHARE;
        self.base_loads.retain(|at| now < *at + BASE_LOAD_WINDOW);
        let loading = self.engines.values().filter(|engine| {
            let ordered = matches!(engine.order_state, OrderState::Busy(_));
            matches!(engine.base, Base::Loading { .. })
                || (ordered && matches!(engine.base, Base::Queued(_)))
        });
        let admitted =
            loading.count() < MAX_BASE_LOADS && (self.base_loads.len() as f64) < max_loads;
        if admitted {
            self.base_loads.push_back(now);
        }
        admitted
    }

    /// Handles an engine's answer to an order.
    pub fn order_answered(&mut self, order: &Order, answer: Answer, now: Duration) {
        let Some(engine) = self.engines.get_mut(&order.endpoint.id) else { return };
        if engine.endpoint.born != order.endpoint.born {
            return;
        }
        let OrderState::Busy(sequence) = engine.order_state else { return };
        // The engine does not count an order that repeats the one in progress.
        let repeated = is_in_progress(engine, order.adapter.as_ref());
        let min_sequence = sequence;
        engine.unanswered_orders =
            if answer == Answer::Lost { engine.unanswered_orders + 1 } else { 0 };
        engine.order_state = match answer {
            Answer::Accepted if repeated => OrderState::Idle(sequence),
            Answer::Accepted => OrderState::Idle(sequence + 1),
            Answer::Holds if order.operation == Operation::Unload && !repeated => {
                OrderState::Idle(sequence + 1)
            }
            Answer::Holds => OrderState::Idle(sequence),
            Answer::Conflict | Answer::Refused => {
                OrderState::Unknown { min_sequence, inspect_at: now + REPORT_LAG / 3 }
            }
            Answer::Fenced => {
                OrderState::Unknown { min_sequence, inspect_at: now + INSPECT_RETRY_DELAY }
            }
            // The order can be repeated: if the lost one arrives later, the engine refuses it for
            // its sequence.
            Answer::Lost if engine.unanswered_orders < MAX_UNANSWERED_ORDERS => {
                OrderState::Idle(sequence)
            }
            Answer::Lost => OrderState::Unknown { min_sequence, inspect_at: now + REPORT_LAG },
        };
        match (&order.adapter, order.operation) {
            (None, _) => self.base_load_answered(order, answer, now),
            (Some(adapter), Operation::Load) => {
                self.adapter_load_answered(&order.endpoint.id, adapter, answer, now);
            }
            (Some(adapter), Operation::Unload) => {
                self.unload_answered(&order.endpoint.id, adapter, answer, now);
            }
        }
        self.dirty = true;
    }

    fn unload_answered(&mut self, id: &Name, adapter: &Name, answer: Answer, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        match answer {
            Answer::Holds => {
                engine.remove_adapter(adapter, self.settings.warm_adapters);
                base::event!(INFO, Event::Evicted, endpoint = %id, adapter = %adapter);
                self.publish(id, adapter, false);
            }
            // A request still uses the adapter; the engine unloads it when the request ends.
            Answer::Accepted => {
                if let Some(slot) = engine.adapter_slots.get_mut(adapter) {
                    slot.stage = Stage::Unloading { poll_at: Some(now + UNLOAD_POLL_INTERVAL) };
                }
            }
            _ => {}
        }
    }

    fn base_load_answered(&mut self, order: &Order, answer: Answer, now: Duration) {
        let Some(spec) = self.specs.get(&order.endpoint.service) else { return };
        let model = spec.models.iter().find(|model| model.name == order.model);
        let Some(engine) = self.engines.get_mut(&order.endpoint.id) else { return };
        let name = order.model.clone();
        match answer {
            Answer::Accepted => {
                let first = !matches!(engine.base, Base::Loading { .. });
                let load = model.map_or(BASE_POLL_INTERVAL, |model| model.load);
                let poll_at = now + if first { load / 4 } else { BASE_POLL_INTERVAL };
                engine.base = Base::Loading { model: name, poll_at };
            }
            Answer::Holds => {
                engine.base = Base::Loaded(name);
                self.publish(&order.endpoint.id, &Name::default(), true);
            }
            // The answer to a repeated order while the load is in progress.
            Answer::Conflict if matches!(engine.base, Base::Loading { .. }) => {
                engine.base = Base::Loading { model: name, poll_at: now + BASE_POLL_INTERVAL };
            }
            _ => engine.base = Base::Queued(name),
        }
    }

    fn adapter_load_answered(&mut self, id: &Name, adapter: &Name, answer: Answer, now: Duration) {
        let cold = self.is_cold(id, adapter);
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(slot) = engine.adapter_slots.get_mut(adapter) else { return };
        match (answer, &slot.stage) {
            (Answer::Accepted, Stage::Queued) => {
                let delay = first_poll_delay(
                    &self.settings,
                    cold,
                    self.store.first_poll_ms(slot.uncontended),
                );
                slot.stage = Stage::Loading { since: now, poll_at: now + delay };
                base::event!(INFO, Event::Placed, endpoint = %id, adapter = %adapter, cold);
            }
            (Answer::Accepted | Answer::Conflict, Stage::Loading { since, .. }) => {
                slot.stage = Stage::Loading { since: *since, poll_at: now + LOAD_POLL_INTERVAL };
            }
            (Answer::Lost, Stage::Loading { .. }) => slot.end_unseen = true,
            (Answer::Holds, _) => self.adapter_loaded(id, adapter, now),
            // The order may not have been accepted; the next report shows whether it was.
            (_, Stage::Queued) if slot.uses_store => {
                slot.uses_store = false;
                self.store.load_ended(None);
            }
            _ => {}
        }
    }

    /// Returns whether an engine would load an adapter from the store and not from its cache.
    fn is_cold(&self, id: &Name, adapter: &Name) -> bool {
        self.engines.get(id).is_none_or(|engine| !engine.is_warm(adapter))
    }

    /// Marks an adapter as loaded, and grants the requests that wait for it.
    pub(crate) fn adapter_loaded(&mut self, id: &Name, adapter: &Name, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(slot) = engine.adapter_slots.get_mut(adapter) else { return };
        let cold = std::mem::take(&mut slot.uses_store);
        let since = match slot.stage {
            Stage::Loading { since, .. } => Some(since),
            _ => None,
        };
        let took = since.map(|since| now.saturating_sub(since));
        // The time of a load whose end was seen late is not that of the store.
        let observed = took.filter(|_| !std::mem::take(&mut slot.end_unseen));
        if let (true, Some(took)) = (std::mem::take(&mut slot.uncontended), observed) {
            self.store.record_uncontended(took);
        }
        if cold {
            self.store.load_ended(observed);
        }
        if let Some(took) = took {
            let took_ms = took.as_secs_f64() * 1e3;
            base::event!(INFO, Event::Loaded, endpoint = %id, adapter = %adapter, cold, took_ms);
        }
        slot.stage = Stage::Loaded;
        slot.last_used_at = now;
        let waiting = std::mem::take(&mut slot.waiting);
        engine.warm.remove(adapter);
        self.publish(id, adapter, true);
        for key in waiting {
            self.grant_reserved(key, now);
        }
        self.unload_outdated(id, adapter);
        self.dirty = true;
    }

    /// Handles the result of an inspection; `None` if the engine did not answer.
    pub fn engine_inspected(&mut self, id: &Name, report: Option<Report>, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let OrderState::Inspecting { min_sequence } = engine.order_state else { return };
        let born = engine.endpoint.born;
        let Some(report) = report.filter(|report| report.born == 0 || report.born == born) else {
            engine.order_state =
                OrderState::Unknown { min_sequence, inspect_at: now + INSPECT_RETRY_DELAY };
            return;
        };
        if report.sequence < min_sequence {
            // Reports lag; this one does not show all accepted orders.
            engine.order_state =
                OrderState::Unknown { min_sequence, inspect_at: now + REPORT_LAG / 3 };
            return;
        }
        base::event!(
            INFO, Event::Inspected, endpoint = %id, sequence = report.sequence,
            adapters = report.held.iter().map(|held| held.adapters.len()).sum::<usize>(),
            incoming = report.loading.len()
        );
        engine.order_state = OrderState::Idle(report.sequence);
        self.reconcile_base(id, &report, now);
        self.reconcile_adapters(id, &report, now);
        self.dirty = true;
    }

    /// Updates the base model of an engine from a report.
    fn reconcile_base(&mut self, id: &Name, report: &Report, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let reported = report.held.first().map(|held| held.model.clone());
        engine.base = match (reported, engine.base.clone()) {
            (Some(model), _) => Base::Loaded(model),
            (None, Base::Loading { model, .. }) if report.busy => {
                Base::Loading { model, poll_at: now + BASE_POLL_INTERVAL }
            }
            (None, Base::Loaded(model) | Base::Loading { model, .. }) => Base::Queued(model),
            (None, base) => base,
        };
        let loaded = matches!(engine.base, Base::Loaded(_));
        self.publish(id, &Name::default(), loaded);
    }

    /// Updates the adapter slots of an engine from a report.
    fn reconcile_adapters(&mut self, id: &Name, report: &Report, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let adapters = report.held.iter().flat_map(|held| &held.adapters);
        let loaded: Vec<(Name, u64)> =
            adapters.map(|adapter| (adapter.name.clone(), adapter.version)).collect();
        let mut completed = Vec::new();
        let mut outdated = Vec::new();
        // Requests that a former leader granted may be known before their adapter.
        let mut users: Map<&Name, u32> = Map::default();
        for assignment in self.assignments.values().filter(|assignment| assignment.engine == *id) {
            *users.entry(&assignment.adapter).or_default() += 1;
        }
        for (name, version) in &loaded {
            let slot = engine.adapter_slots.get_or_insert_with(name, || {
                let users = users.get(name).copied().unwrap_or_default();
                Slot { users, ..Slot::loaded(*version, now) }
            });
            if slot.is_loading() && *version >= slot.version {
                completed.push(name.clone());
            } else if slot.stage == Stage::Queued {
                // The old version still occupies the slot that was reserved for the new one.
                slot.stage = Stage::UNLOAD;
                outdated.append(&mut slot.waiting);
            }
            if slot.stage == Stage::Loaded {
                slot.version = *version;
            }
        }
        for (name, version) in &report.loading {
            let slot =
                engine.adapter_slots.get_or_insert_with(name, || Slot::queued(*version, now));
            if slot.is_loading() {
                // The engine may carry out a late order for another version than the queued one.
                // The load of that version must end, and its slot be freed, before the other one is
                // ordered, since together they need two slots.
                slot.version = *version;
            }
            if slot.stage == Stage::Queued {
                slot.stage = Stage::Loading { since: now, poll_at: now + LOAD_POLL_INTERVAL };
                slot.uses_store = true;
                self.store.loading += 1;
            }
        }
        let reported =
            |name: &Name| loaded.iter().chain(&report.loading).any(|(listed, _)| listed == name);
        let missing: Vec<Name> =
            engine.adapter_slots.keys().filter(|name| !reported(name)).cloned().collect();
        for name in missing {
            self.adapter_missing(id, &name, now);
        }
        for name in completed {
            self.adapter_loaded(id, &name, now);
        }
        for key in outdated {
            self.requeue(key, now);
        }
    }

    /// Removes an adapter that was assumed to be loaded or loading and is missing in a report.
    fn adapter_missing(&mut self, id: &Name, adapter: &Name, now: Duration) {
        let Some(engine) = self.engines.get_mut(id) else { return };
        let Some(slot) = engine.adapter_slots.get_mut(adapter) else { return };
        if std::mem::take(&mut slot.uses_store) {
            self.store.load_ended(None);
        }
        // Another adapter may have taken the slot, so the requests that wait for this one are
        // scheduled again.
        let waiting = std::mem::take(&mut slot.waiting);
        engine.adapter_slots.remove(adapter);
        self.publish(id, adapter, false);
        for key in waiting {
            self.requeue(key, now);
        }
    }

    /// Notifies the gates that an engine holds an adapter or no longer does.
    pub(crate) fn publish(&mut self, id: &Name, adapter: &Name, held: bool) {
        let (endpoint, adapter) = (id.clone(), adapter.clone());
        self.actions.push(Action::Publish(Holding { endpoint, adapter, held }));
    }
}

/// Returns whether an engine has accepted the current order for a base model or an adapter.
fn is_in_progress(engine: &Engine, adapter: Option<&Name>) -> bool {
    match adapter {
        None => matches!(engine.base, Base::Loading { .. }),
        Some(adapter) => {
            let slot = engine.adapter_slots.get(adapter);
            slot.is_some_and(|slot| match slot.stage {
                Stage::Loading { .. } | Stage::Unloading { poll_at: Some(_) } => true,
                Stage::Queued | Stage::Loaded | Stage::Unloading { poll_at: None } => false,
            })
        }
    }
}

/// Returns whether the next order for an adapter can be issued now.
fn is_due(engine: &Engine, adapter: &Name, slot: &Slot, has_capacity: bool, now: Duration) -> bool {
    match slot.stage {
        Stage::Unloading { poll_at } => poll_at.is_none_or(|at| now >= at),
        Stage::Loading { poll_at, .. } => now >= poll_at,
        Stage::Queued => {
            let unloading = |slot: &Slot| matches!(slot.stage, Stage::Unloading { .. });
            !engine.adapter_slots.values().any(unloading)
                && (has_capacity || engine.is_warm(adapter))
        }
        Stage::Loaded => false,
    }
}

/// Returns the priority of the next order for an adapter, the lowest value first: orders that free
/// slots, then new loads, then checks of loads in progress.
fn order_priority(slot: &Slot) -> u8 {
    match slot.stage {
        Stage::Unloading { .. } => 0,
        Stage::Queued => 1,
        Stage::Loading { .. } | Stage::Loaded => 2,
    }
}

/// Returns the time after which a load is first checked for its end.
fn first_poll_delay(settings: &Settings, cold: bool, cold_ms: f64) -> Duration {
    let ms = if cold { cold_ms } else { settings.warm_load_ms };
    Duration::from_secs_f64(ms / 1e3)
}
