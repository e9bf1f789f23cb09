#![allow(dead_code, reason = "each test file uses some of the helpers")]
#![allow(missing_docs, unreachable_pub, reason = "test helpers")]
//! A simulated cell: engines that carry out the orders of a scheduler, on a clock that tests
//! advance.

pub mod explained;
pub mod load;
pub mod streams;

use std::collections::BTreeMap;
use std::time::Duration;

use base::Name;
use fleet::endpoint::Adapter;
use fleet::endpoint::Announcement;
use fleet::endpoint::Model;
use fleet::endpoint::State;
use fleet::message::Grant;
use fleet::message::Outcome;
use fleet::message::Query;
use fleet::plan::BaseModel;
use fleet::plan::EngineSpec;
use fleet::plan::Limits;
use fleet::plan::Plan;
use fleet::plan::Service;
use sched::Scheduler;
use sched::action::Action;
use sched::action::Answer;
use sched::action::Operation;
use sched::action::Order;
use sched::action::Report;
use sched::settings::Settings;

pub const SERVICE: &str = "llm";
pub const MODEL: &str = "base";
pub const ADAPTER_SLOTS: u32 = 5;
/// The time to load an adapter from the store.
pub const COLD_LOAD: Duration = Duration::from_millis(250);
/// The time to load an adapter that the engine caches.
const WARM_LOAD: Duration = Duration::from_millis(25);
/// The number of unloaded adapters that an engine caches.
const MAX_CACHED: usize = 30;

/// A simulated engine.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    /// The number of accepted orders.
    pub sequence: u64,
    /// The loaded adapters, with the version and the number of requests that use it.
    pub loaded: BTreeMap<Name, (u64, u32)>,
    /// The adapters that are being loaded, with the version and the time when the load ends.
    pub loading: BTreeMap<Name, (u64, Duration)>,
    /// The adapters that will be unloaded when no request uses them.
    pub unloading: Vec<Name>,
    /// The cached adapters, the latest last.
    pub cached: Vec<Name>,
    /// The number of loads from the store.
    pub store_loads: usize,
    /// The time that the next load from the store takes beyond that of an uncontended one.
    pub store_delay: Duration,
    /// The maximum number of adapter slots in use.
    pub max_used_slots: usize,
    /// The latest report. An inspection returns the one before, because reports lag.
    last_report: Option<Report>,
}

impl Engine {
    /// Completes the loads and unloads that are due.
    fn advance_to(&mut self, now: Duration) {
        let completed: Vec<Name> = self
            .loading
            .iter()
            .filter(|(_, (_, at))| now >= *at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in completed {
            let (version, _) = self.loading.remove(&name).expect("listed");
            let users = self.loaded.get(&name).map_or(0, |(_, users)| *users);
            self.loaded.insert(name, (version, users));
        }
        let (loaded, cached) = (&mut self.loaded, &mut self.cached);
        self.unloading.retain(|name| {
            let used = loaded.get(name).is_some_and(|(_, users)| *users > 0);
            if !used {
                loaded.remove(name);
                cached.push(name.clone());
            }
            used
        });
        let excess = cached.len().saturating_sub(MAX_CACHED);
        cached.drain(..excess);
        self.max_used_slots = self.max_used_slots.max(self.loaded.len() + self.loading.len());
    }

    pub fn order(&mut self, order: &Order, now: Duration) -> Answer {
        self.advance_to(now);
        let adapter = order.adapter.clone().expect("base models are loaded at the start");
        match order.operation {
            Operation::Load => self.load(&adapter, order, now),
            Operation::Unload => self.unload(&adapter, order, now),
        }
    }

    fn load(&mut self, adapter: &Name, order: &Order, now: Duration) -> Answer {
        let version = order.version.unwrap_or(1);
        if self.loading.get(adapter).is_some_and(|(coming, _)| *coming == version) {
            return Answer::Accepted;
        }
        if order.expected != self.sequence {
            return Answer::Conflict;
        }
        if self.loaded.get(adapter).is_some_and(|(held, _)| *held == version) {
            return Answer::Holds;
        }
        self.sequence += 1;
        let known = self.cached.len();
        self.cached.retain(|name| name != adapter);
        let cold = self.cached.len() == known;
        let time = if cold { COLD_LOAD + self.store_delay } else { WARM_LOAD };
        self.store_loads += usize::from(cold);
        self.loading.insert(adapter.clone(), (version, now + time));
        self.advance_to(now);
        Answer::Accepted
    }

    fn unload(&mut self, adapter: &Name, order: &Order, now: Duration) -> Answer {
        if self.unloading.contains(adapter) {
            return Answer::Accepted;
        }
        if order.expected != self.sequence {
            return Answer::Conflict;
        }
        if !self.loaded.contains_key(adapter) {
            return Answer::Holds;
        }
        self.sequence += 1;
        self.unloading.push(adapter.clone());
        self.advance_to(now);
        if self.loaded.contains_key(adapter) { Answer::Accepted } else { Answer::Holds }
    }

    /// Returns the report before the latest one.
    pub fn inspect(&mut self, now: Duration) -> Report {
        self.advance_to(now);
        let fresh = self.report();
        self.last_report.replace(fresh.clone()).unwrap_or(fresh)
    }

    fn report(&self) -> Report {
        let adapters = self.loaded.iter();
        let adapters =
            adapters.map(|(name, (version, _))| Adapter { name: name.clone(), version: *version });
        let model = Name::from(MODEL);
        Report {
            born: 1,
            sequence: self.sequence,
            busy: false,
            held: vec![Model { model, version: 1, adapters: adapters.collect() }],
            loading: self
                .loading
                .iter()
                .map(|(name, (version, _))| (name.clone(), *version))
                .collect(),
        }
    }
}

/// A simulated cell with one scheduler.
pub struct Cell {
    pub scheduler: Scheduler,
    pub engines: BTreeMap<Name, Engine>,
    pub now: Duration,
    pub grants: Vec<Grant>,
    pub denials: Vec<fleet::message::Denial>,
    /// The faults of the next orders, in order; later orders have none.
    pub order_faults: Vec<Fault>,
    /// The delayed orders, with the time of delivery.
    pub delayed: Vec<(Duration, Order)>,
    /// All orders of the scheduler, as engine, operation and adapter.
    pub orders: Vec<(Name, Operation, Name)>,
    last_request: u64,
}

/// A fault in the delivery of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The order is delivered and answered.
    None,
    /// The order is delivered; the answer is lost.
    AnswerLost,
    /// The order is delivered after this delay; the answer is lost.
    Delayed(Duration),
}

impl Cell {
    pub fn new(engines: usize) -> Cell {
        Cell::with_settings(engines, Settings::default())
    }

    pub fn with_settings(engines: usize, settings: Settings) -> Cell {
        let mut cell = Cell {
            scheduler: Scheduler::new(settings),
            engines: BTreeMap::new(),
            now: Duration::from_secs(1),
            grants: Vec::new(),
            denials: Vec::new(),
            order_faults: Vec::new(),
            delayed: Vec::new(),
            orders: Vec::new(),
            last_request: 0,
        };
        cell.scheduler.set_plan(&plan());
        for number in 0..engines {
            let id = Name::from(format!("engine-{number}"));
            cell.engines.insert(id.clone(), Engine::default());
            cell.scheduler.engine_announced(&announcement(&id, number as u16), cell.now);
        }
        cell.process_actions();
        cell
    }

    /// Submits a request; returns its number.
    pub fn submit(&mut self, adapter: &str) -> u64 {
        self.submit_with(adapter, |_| {})
    }

    pub fn submit_with(&mut self, adapter: &str, change: impl FnOnce(&mut Query)) -> u64 {
        self.last_request += 1;
        let mut query = query(self.last_request, adapter);
        change(&mut query);
        self.scheduler.submit(1, &Name::from("a"), query, self.now);
        self.process_actions();
        self.last_request
    }

    /// Submits a request of a gate; returns its number.
    pub fn submit_from(&mut self, gate: u64, adapter: &str) -> u64 {
        self.last_request += 1;
        let query = query(self.last_request, adapter);
        self.scheduler.submit(gate, &Name::from("a"), query, self.now);
        self.process_actions();
        self.last_request
    }

    /// Advances the clock in steps of 5 ms, by at least `ms`.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(5) {
            self.now += Duration::from_millis(5);
            self.process_actions();
        }
    }

    /// Delivers the delayed orders that are due, then polls the scheduler and performs its actions
    /// until there are none.
    pub fn process_actions(&mut self) {
        let due: Vec<Order> = {
            let now = self.now;
            let (due, later) =
                std::mem::take(&mut self.delayed).into_iter().partition(|(at, _)| now >= *at);
            self.delayed = later;
            let due: Vec<(Duration, Order)> = due;
            due.into_iter().map(|(_, order)| order).collect()
        };
        for order in due {
            if let Some(engine) = self.engines.get_mut(&order.endpoint.id) {
                engine.order(&order, self.now);
            }
        }
        for _ in 0..200 {
            let actions = self.scheduler.poll(self.now);
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.perform(action);
            }
        }
        panic!("the scheduler does not stop returning actions");
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Grant { grant, .. } => self.grants.push(grant),
            Action::Deny { denial, .. } => self.denials.push(denial),
            Action::Order(order) => self.order(&order),
            Action::Inspect(endpoint) => {
                let engine = self.engines.get_mut(&endpoint.id);
                let report = engine.map(|engine| engine.inspect(self.now));
                self.scheduler.engine_inspected(&endpoint.id, report, self.now);
            }
            Action::Publish(_) => {}
        }
    }

    fn order(&mut self, order: &Order) {
        let adapter = order.adapter.clone().unwrap_or_default();
        self.orders.push((order.endpoint.id.clone(), order.operation, adapter));
        let fault =
            if self.order_faults.is_empty() { Fault::None } else { self.order_faults.remove(0) };
        let engine = self.engines.get_mut(&order.endpoint.id);
        let answer = match (fault, engine) {
            (_, None) => Answer::Lost,
            (Fault::None, Some(engine)) => engine.order(order, self.now),
            (Fault::AnswerLost, Some(engine)) => {
                engine.order(order, self.now);
                Answer::Lost
            }
            (Fault::Delayed(after), Some(_)) => {
                self.delayed.push((self.now + after, order.clone()));
                Answer::Lost
            }
        };
        self.scheduler.order_answered(order, answer, self.now);
    }

    /// Returns the engine that was granted to a request.
    pub fn granted_engine(&self, request: u64) -> Option<Name> {
        let grant = self.grants.iter().find(|grant| grant.request == request)?;
        Some(grant.endpoint.id.clone())
    }

    /// Returns the code with which a request was refused.
    pub fn denial_code(&self, request: u64) -> Option<base::Code> {
        self.denials.iter().find(|denial| denial.request == request).map(|denial| denial.code)
    }

    /// Runs a granted request at its engine and reports its first event.
    pub fn mark_running(&mut self, request: u64, adapter: &str) {
        let id = self.granted_engine(request).expect("granted");
        let engine = self.engines.get_mut(&id).expect("known");
        engine.loaded.get_mut(adapter).expect("the adapter is loaded").1 += 1;
        self.scheduler.request_began(1, request, Duration::from_millis(150), self.now);
    }

    /// Submits a request, waits until its adapter is loaded, and runs it.
    pub fn submit_and_run(&mut self, adapter: &str) -> u64 {
        let request = self.submit(adapter);
        self.advance(300);
        self.mark_running(request, adapter);
        request
    }

    /// Ends a request at its engine and reports that to the scheduler.
    pub fn end_request(&mut self, request: u64, adapter: &str) {
        self.end_at_engine(request, adapter);
        self.end_at_gate(request, Outcome::Done);
    }

    pub fn end_at_engine(&mut self, request: u64, adapter: &str) {
        let id = self.granted_engine(request).expect("granted");
        let engine = self.engines.get_mut(&id).expect("known");
        if let Some((_, users)) = engine.loaded.get_mut(adapter) {
            *users -= 1;
        }
        engine.advance_to(self.now);
    }

    pub fn end_at_gate(&mut self, request: u64, outcome: Outcome) {
        self.scheduler.request_ended(1, request, outcome, self.now);
        self.process_actions();
    }

    /// Checks that no engine ever had more adapters than adapter slots.
    pub fn check_adapter_slots(&self) {
        for (id, engine) in &self.engines {
            assert!(
                engine.max_used_slots <= ADAPTER_SLOTS as usize,
                "{id} had {} adapters",
                engine.max_used_slots
            );
        }
    }
}

pub fn query(request: u64, adapter: &str) -> Query {
    Query {
        request,
        service: Name::from(SERVICE),
        model: Name::from(MODEL),
        adapter: Name::from(adapter),
        fingerprint: request,
        input: 2_000,
        output: 30,
        parts: Vec::new(),
        target_ms: 800,
        left_ms: 4_000,
        rank: 1,
        excluded: Vec::new(),
        build: None,
    }
}

pub fn announcement(id: &Name, number: u16) -> Announcement {
    Announcement {
        id: id.clone(),
        born: 1,
        sequence: 1,
        service: Name::from(SERVICE),
        address: ([127, 0, 0, 1], 9_000 + number).into(),
        domain: Name::from("a"),
        slots: 64,
        build: Name::from("v1"),
        state: State::Ready,
        held: Some(vec![Model { model: Name::from(MODEL), version: 1, adapters: Vec::new() }]),
    }
}

pub fn plan() -> Plan {
    let model = BaseModel {
        name: Name::from(MODEL),
        weights_mb: 60_000.0,
        load: Duration::from_secs(2),
        adapter_mb: 12.0,
    };
    let engine = EngineSpec {
        slots: 64,
        kv_tokens: 130_000,
        adapter_slots: ADAPTER_SLOTS,
        weights_mb: 66_000.0,
        loads_per_s: 5.0,
        models: vec![model],
        stride: 3,
    };
    let service = Service { name: Name::from(SERVICE), max_connections: 300, engine: Some(engine) };
    Plan {
        version: 1,
        routes: Vec::new(),
        services: vec![service],
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}
