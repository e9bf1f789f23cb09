#![allow(dead_code, reason = "each test file uses a part")]
#![allow(missing_docs, unreachable_pub, reason = "helpers of tests")]
//! A cell of engines that carry out what the scheduler orders, on a clock that tests advance.

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
pub const PLACES: u32 = 5;
/// The time of an adapter's load from the store.
const LOAD: Duration = Duration::from_millis(250);
/// The time of a load of an adapter that the engine held lately.
const LOAD_AT_HAND: Duration = Duration::from_millis(25);
/// The adapters that an engine keeps at hand.
const AT_HAND: usize = 30;

/// An engine: it counts the orders that it accepts, as real ones do.
#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub sequence: u64,
    /// Adapters with their versions and the requests that use them.
    pub present: BTreeMap<Name, (u64, u32)>,
    /// Adapters on their way, with their versions and when they arrive.
    pub incoming: BTreeMap<Name, (u64, Duration)>,
    /// Adapters that go once no request uses them.
    pub leaving: Vec<Name>,
    /// Adapters that it held lately, the latest last.
    pub at_hand: Vec<Name>,
    /// The adapters that it loaded from the store.
    pub fetched: usize,
    /// The most places that were taken at once.
    pub most: usize,
    /// What it reported last; reports lag by one step.
    reported: Option<Report>,
}

impl Engine {
    fn settle(&mut self, now: Duration) {
        let arrived: Vec<Name> = self
            .incoming
            .iter()
            .filter(|(_, (_, at))| now >= *at)
            .map(|(name, _)| name.clone())
            .collect();
        for name in arrived {
            let (version, _) = self.incoming.remove(&name).expect("listed");
            let users = self.present.get(&name).map_or(0, |(_, users)| *users);
            self.present.insert(name, (version, users));
        }
        let (present, at_hand) = (&mut self.present, &mut self.at_hand);
        self.leaving.retain(|name| {
            let used = present.get(name).is_some_and(|(_, users)| *users > 0);
            if !used {
                present.remove(name);
                at_hand.push(name.clone());
            }
            used
        });
        let excess = at_hand.len().saturating_sub(AT_HAND);
        at_hand.drain(..excess);
        self.most = self.most.max(self.present.len() + self.incoming.len());
    }

    pub fn order(&mut self, order: &Order, now: Duration) -> Answer {
        self.settle(now);
        let adapter = order.adapter.clone().expect("base models are there");
        match order.operation {
            Operation::Load => self.load(&adapter, order, now),
            Operation::Unload => self.unload(&adapter, order, now),
        }
    }

    fn load(&mut self, adapter: &Name, order: &Order, now: Duration) -> Answer {
        let version = order.version.unwrap_or(1);
        if self.incoming.get(adapter).is_some_and(|(coming, _)| *coming == version) {
            return Answer::Accepted;
        }
        if order.expected != self.sequence {
            return Answer::Conflict;
        }
        if self.present.get(adapter).is_some_and(|(held, _)| *held == version) {
            return Answer::Holds;
        }
        self.sequence += 1;
        let known = self.at_hand.len();
        self.at_hand.retain(|name| name != adapter);
        let time = if self.at_hand.len() < known { LOAD_AT_HAND } else { LOAD };
        self.fetched += usize::from(time == LOAD);
        self.incoming.insert(adapter.clone(), (version, now + time));
        self.settle(now);
        Answer::Accepted
    }

    fn unload(&mut self, adapter: &Name, order: &Order, now: Duration) -> Answer {
        if self.leaving.contains(adapter) {
            return Answer::Accepted;
        }
        if order.expected != self.sequence {
            return Answer::Conflict;
        }
        if !self.present.contains_key(adapter) {
            return Answer::Holds;
        }
        self.sequence += 1;
        self.leaving.push(adapter.clone());
        self.settle(now);
        if self.present.contains_key(adapter) { Answer::Accepted } else { Answer::Holds }
    }

    fn report(&self) -> Report {
        let adapters = self.present.iter();
        let adapters =
            adapters.map(|(name, (version, _))| Adapter { name: name.clone(), version: *version });
        let model = Name::from(MODEL);
        Report {
            born: 1,
            sequence: self.sequence,
            busy: false,
            held: vec![Model { model, version: 1, adapters: adapters.collect() }],
            loading: self
                .incoming
                .iter()
                .map(|(name, (version, _))| (name.clone(), *version))
                .collect(),
        }
    }
}

/// A cell.
pub struct Cell {
    pub scheduler: Scheduler,
    pub engines: BTreeMap<Name, Engine>,
    pub now: Duration,
    pub grants: Vec<Grant>,
    pub denials: Vec<fleet::message::Denial>,
    /// What becomes of the next orders; the rest are carried out and answered.
    pub lose: Vec<Loss>,
    /// Orders to be carried out later.
    pub delayed: Vec<(Duration, Order)>,
    /// All orders that were given, as engine, operation and adapter.
    pub orders: Vec<(Name, Operation, Name)>,
    next: u64,
}

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Loss {
    /// It is carried out and answered.
    None,
    /// It is carried out, and the answer is lost.
    Answer,
    /// It is carried out after that time, and not answered.
    Late(Duration),
}

impl Cell {
    pub fn new(engines: usize) -> Cell {
        Cell::with(engines, Settings::default())
    }

    pub fn with(engines: usize, settings: Settings) -> Cell {
        let mut cell = Cell {
            scheduler: Scheduler::new(settings),
            engines: BTreeMap::new(),
            now: Duration::from_secs(1),
            grants: Vec::new(),
            denials: Vec::new(),
            lose: Vec::new(),
            delayed: Vec::new(),
            orders: Vec::new(),
            next: 0,
        };
        cell.scheduler.set_plan(&plan());
        for number in 0..engines {
            let id = Name::from(format!("engine-{number}"));
            cell.engines.insert(id.clone(), Engine::default());
            cell.scheduler.engine_announced(&announcement(&id, number as u16), cell.now);
        }
        cell.settle();
        cell
    }

    /// Asks for an engine; returns the request's number.
    pub fn ask(&mut self, adapter: &str) -> u64 {
        self.ask_with(adapter, |_| {})
    }

    pub fn ask_with(&mut self, adapter: &str, change: impl FnOnce(&mut Query)) -> u64 {
        self.next += 1;
        let mut ask = ask(self.next, adapter);
        change(&mut ask);
        self.scheduler.submit(1, &Name::from("a"), ask, self.now);
        self.settle();
        self.next
    }

    /// Lets time pass in steps of 5 ms.
    pub fn advance(&mut self, ms: u64) {
        for _ in 0..ms.div_ceil(5) {
            self.now += Duration::from_millis(5);
            self.settle();
        }
    }

    /// Carries out what the scheduler wants done now.
    pub fn settle(&mut self) {
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
                self.act(action);
            }
        }
        panic!("the scheduler does not come to rest");
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Grant { grant, .. } => self.grants.push(grant),
            Action::Deny { denial, .. } => self.denials.push(denial),
            Action::Order(order) => self.order(&order),
            Action::Inspect(endpoint) => {
                let engine = self.engines.get_mut(&endpoint.id);
                let report = engine.map(|engine| {
                    engine.settle(self.now);
                    let fresh = engine.report();
                    engine.reported.replace(fresh.clone()).unwrap_or(fresh)
                });
                self.scheduler.engine_inspected(&endpoint.id, report, self.now);
            }
            Action::Publish(_) => {}
        }
    }

    fn order(&mut self, order: &Order) {
        let adapter = order.adapter.clone().unwrap_or_default();
        self.orders.push((order.endpoint.id.clone(), order.operation, adapter));
        let loss = if self.lose.is_empty() { Loss::None } else { self.lose.remove(0) };
        let engine = self.engines.get_mut(&order.endpoint.id);
        let answer = match (loss, engine) {
            (_, None) => Answer::Lost,
            (Loss::None, Some(engine)) => engine.order(order, self.now),
            (Loss::Answer, Some(engine)) => {
                engine.order(order, self.now);
                Answer::Lost
            }
            (Loss::Late(after), Some(_)) => {
                self.delayed.push((self.now + after, order.clone()));
                Answer::Lost
            }
        };
        self.scheduler.order_answered(order, answer, self.now);
    }

    /// Returns the engine that a request was granted.
    pub fn granted(&self, request: u64) -> Option<Name> {
        let grant = self.grants.iter().find(|grant| grant.request == request)?;
        Some(grant.endpoint.id.clone())
    }

    /// Returns why a request was refused.
    pub fn denied(&self, request: u64) -> Option<base::Code> {
        self.denials.iter().find(|denial| denial.request == request).map(|denial| denial.code)
    }

    /// Marks a granted request as running at its engine.
    pub fn run(&mut self, request: u64, adapter: &str) {
        let id = self.granted(request).expect("granted");
        let engine = self.engines.get_mut(&id).expect("known");
        engine.present.get_mut(adapter).expect("the adapter is there").1 += 1;
        self.scheduler.request_began(1, request, Duration::from_millis(150), self.now);
    }

    /// Has a request granted, waiting for its adapter, and running.
    pub fn start(&mut self, adapter: &str) -> u64 {
        let request = self.ask(adapter);
        self.advance(300);
        self.run(request, adapter);
        request
    }

    /// Ends a request at its engine and tells the scheduler.
    pub fn end(&mut self, request: u64, adapter: &str) {
        self.end_at_engine(request, adapter);
        self.end_at_gate(request, Outcome::Done);
    }

    pub fn end_at_engine(&mut self, request: u64, adapter: &str) {
        let id = self.granted(request).expect("granted");
        let engine = self.engines.get_mut(&id).expect("known");
        if let Some((_, users)) = engine.present.get_mut(adapter) {
            *users -= 1;
        }
        engine.settle(self.now);
    }

    pub fn end_at_gate(&mut self, request: u64, outcome: Outcome) {
        self.scheduler.request_ended(1, request, outcome, self.now);
        self.settle();
    }

    /// Checks that no engine ever had more adapters than places.
    pub fn check_places(&self) {
        for (id, engine) in &self.engines {
            assert!(engine.most <= PLACES as usize, "{id} had {} adapters", engine.most);
        }
    }
}

pub fn ask(request: u64, adapter: &str) -> Query {
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
        adapter_slots: PLACES,
        weights_mb: 66_000.0,
        loads_per_s: 5.0,
        models: vec![model],
    };
    let service = Service { name: Name::from(SERVICE), max_connections: 300, engine: Some(engine) };
    Plan { version: 1, routes: Vec::new(), services: vec![service], limits: Limits::default() }
}
