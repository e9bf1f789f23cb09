//! A simulated site: gates that submit requests for many adapters at a given rate, and engines that
//! prefill one prompt at a time. All times are simulated and all randomness comes from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use base::Name;
use fleet::endpoint::Announcement;
use fleet::message::Grant;
use fleet::message::Outcome;
use fleet::message::Query;
use fleet::message::Running;
use fleet::message::Submission;
use fleet::message::Version;
use sched::Scheduler;
use sched::action::Action;
use sched::action::Answer;
use sched::action::Order;
use sched::settings::Settings;

use crate::common;
use crate::common::Engine;
use crate::common::MODEL;
use crate::common::explained::Explained;

const MS: Duration = Duration::from_millis(1);
/// The interval at which a scheduler with pending work is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The time of a message between nodes.
const MESSAGE: Duration = MS;
const DOMAINS: [&str; 3] = ["a", "b", "c"];
const PREFILL_TOKENS_PER_MS: f64 = 18.0;
const DECODE_MS_PER_TOKEN: f64 = 9.0;
/// The interval at which the most popular adapters change.
const SHIFT_INTERVAL: Duration = Duration::from_secs(5);

/// The size of a site and its load.
#[derive(Clone, Debug)]
pub struct Site {
    pub engines: usize,
    pub adapter_slots: u32,
    pub adapters: usize,
    /// The exponent of the Zipf distribution of requests over adapters.
    pub zipf_exponent: f64,
    pub gates: u64,
    pub requests_per_s: f64,
    /// The limit on loads from the store with which the scheduler starts.
    pub store_limit: usize,
    /// The number of loads from the store that run at full speed together; more take longer in proportion.
    pub store_loads: usize,
    /// The time of a load from the store that runs at full speed.
    pub load_time: Duration,
    /// That time as the scheduler is told.
    pub expected_load_time: Duration,
    /// The loads of base models that the store allows per second.
    pub base_loads_per_s: f64,
    pub seed: u64,
}

/// The methods of the scheduler that are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    Submit,
    Poll,
    Other,
}

/// Observes the calls of the scheduler.
pub trait Probe {
    fn call<T>(&mut self, _call: Call, run: impl FnOnce() -> T) -> T {
        run()
    }
}

/// Observes nothing.
pub struct Unobserved;

impl Probe for Unobserved {}

enum Event {
    Submit(u64, Query),
    Cancel(u64, u64),
    Began(u64, u64, Duration),
    Ended(u64, u64, Outcome),
    Order(Order),
    Answered(Order, Answer),
    Inspect(Name),
}

/// What became of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    pub submitted: u64,
    pub granted: u64,
    pub denied: u64,
    /// The granted requests whose first event met the target of 800 ms.
    pub on_time: u64,
    /// The requests whose first event arrived before their deadline.
    pub served: u64,
    pub orders: u64,
}

/// The requests for an adapter.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    pub requests: u32,
    pub first_at: Duration,
    pub last_at: Duration,
    /// The requests whose first event arrived before their deadline.
    pub served: u32,
}

/// A tenant and what became of its requests.
#[derive(Clone, Debug)]
pub struct Tenant {
    pub name: Name,
    /// Its part of the requests, relative to the parts of the others.
    pub part: u64,
    /// The adapter of all its requests; any if `None`.
    pub adapter: Option<Name>,
    /// Its requests, without those that repeat a refused one.
    pub sent: u32,
    /// Those whose first event met the target since their last repetition.
    pub on_time: u32,
}

impl Tenant {
    pub fn new(name: &str, part: u64) -> Tenant {
        Tenant { name: Name::from(name), part, adapter: None, sent: 0, on_time: 0 }
    }
}

/// A site on simulated time.
pub struct Load<P> {
    pub site: Site,
    pub scheduler: Scheduler,
    pub probe: P,
    pub now: Duration,
    pub totals: Totals,
    pub demand: BTreeMap<Name, Demand>,
    /// The tenants; none if requests have no tenant.
    pub tenants: Vec<Tenant>,
    /// A digest of all actions in their order.
    pub digest: u64,
    /// The time within which reports of engines arrive, each at a random time.
    pub report_spread: Duration,
    /// The explanations of requests before they are submitted; `None` if there are none.
    pub explained: Option<Explained>,
    settings: Settings,
    engines: BTreeMap<Name, (Announcement, Engine)>,
    prefill_ends: BTreeMap<Name, Duration>,
    prefixes: BTreeSet<(Name, Name, u64)>,
    /// The events to come, by time and number.
    events: BTreeMap<(Duration, u64), Event>,
    /// The requests without an end, with the time of their submission.
    requests: BTreeMap<(u64, u64), (Query, Duration)>,
    running: BTreeMap<(u64, u64), Name>,
    popularity: Vec<f64>,
    versions: u64,
    last_number: u64,
    last_poll: Duration,
    random: u64,
}

impl<P: Probe> Load<P> {
    pub fn new(site: Site, probe: P) -> Load<P> {
        let settings = Settings {
            cold_load_limit: site.store_limit,
            cold_load_ms: site.expected_load_time.as_secs_f64() * 1e3,
            ..Settings::default()
        };
        let mut sum = 0.0;
        let popularity = (1..=site.adapters).map(|rank| {
            sum += (rank as f64).powf(-site.zipf_exponent);
            sum
        });
        let popularity = popularity.collect();
        let mut load = Load {
            scheduler: Scheduler::new(settings.clone()),
            settings,
            probe,
            now: Duration::from_secs(1),
            totals: Totals::default(),
            demand: BTreeMap::new(),
            tenants: Vec::new(),
            digest: 0,
            report_spread: Duration::ZERO,
            explained: None,
            engines: BTreeMap::new(),
            prefill_ends: BTreeMap::new(),
            prefixes: BTreeSet::new(),
            events: BTreeMap::new(),
            requests: BTreeMap::new(),
            running: BTreeMap::new(),
            popularity,
            versions: 1,
            last_number: 0,
            last_poll: Duration::ZERO,
            random: site.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
            site,
        };
        for number in 0..load.site.engines {
            load.add_engine(number);
        }
        load.start_scheduler();
        load
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) % below
    }

    fn fraction(&mut self) -> f64 {
        self.random(1 << 30) as f64 / f64::from(1 << 30)
    }

    fn add_engine(&mut self, number: usize) {
        let id = Name::from(format!("engine-{number:04}"));
        let mut announcement = common::announcement(&id, number as u16);
        announcement.domain = Name::from(DOMAINS[number % DOMAINS.len()]);
        self.engines.insert(id, (announcement, Engine::default()));
    }

    /// Replaces the scheduler by a new one, as a change of the leader does.
    pub fn start_scheduler(&mut self) {
        self.scheduler = Scheduler::new(self.settings.clone());
        let mut plan = common::plan();
        let spec = plan.services[0].engine.as_mut().expect("a service of engines");
        spec.adapter_slots = self.site.adapter_slots;
        spec.loads_per_s = self.site.base_loads_per_s;
        let tenant = |tenant: &Tenant| fleet::tenant::Tenant {
            name: tenant.name.clone(),
            keys: Vec::new(),
            rank: None,
            quota: None,
        };
        plan.tenants = self.tenants.iter().map(tenant).collect();
        self.scheduler.set_plan(&plan);
        let now = self.now;
        for (announcement, _) in self.engines.values() {
            self.scheduler.engine_announced(announcement, now);
        }
        for gate in 0..self.site.gates {
            let running = self.running.range((gate, 0)..(gate + 1, 0));
            let running = running.map(|((_, request), id)| {
                let (query, at) = &self.requests[&(gate, *request)];
                Running {
                    request: *request,
                    endpoint: id.clone(),
                    adapter: query.adapter.clone(),
                    tokens: query.input + query.output,
                    left_ms: query.left_ms.saturating_sub((now - *at).as_millis() as u32),
                }
            });
            let running: Vec<Running> = running.collect();
            self.probe.call(Call::Other, || self.scheduler.restore_running(gate, &running, now));
        }
    }

    /// Replaces an engine by an empty one under another name.
    pub fn replace_engine(&mut self, number: usize) {
        let (id, _) = self.engines.pop_first().expect("at least one engine");
        self.scheduler.remove_engine(&id, self.now);
        let lost: Vec<(u64, u64)> =
            self.running.iter().filter(|(_, engine)| **engine == id).map(|(key, _)| *key).collect();
        for (gate, request) in lost {
            self.schedule(MESSAGE, Event::Ended(gate, request, Outcome::Lost));
        }
        self.add_engine(number);
        let (announcement, _) = self.engines.last_key_value().expect("just added").1;
        self.scheduler.engine_announced(announcement, self.now);
    }

    /// Puts a new version of the most popular adapter into force.
    pub fn publish_version(&mut self) {
        self.versions += 1;
        let adapter = self.adapter(0);
        let version = Version { model: Name::from(MODEL), adapter, version: self.versions };
        self.scheduler.set_version(&version);
    }

    /// Returns the adapter of a popularity rank at this time.
    fn adapter(&self, rank: usize) -> Name {
        let shifts = (self.now.as_millis() / SHIFT_INTERVAL.as_millis()) as usize;
        // Every fourth rank moves to other adapters.
        let number = if rank.is_multiple_of(4) { rank + shifts * 404 } else { rank };
        Name::from(format!("adapter-{}", number % self.site.adapters))
    }

    /// Returns the index of the tenant of a request.
    fn tenant(&self, query: &Query) -> Option<usize> {
        let total: u64 = self.tenants.iter().map(|tenant| tenant.part).sum();
        let mut left = base::digest(&query.fingerprint.to_le_bytes()).checked_rem(total)?;
        self.tenants.iter().position(|tenant| {
            let found = left < tenant.part;
            left = left.saturating_sub(tenant.part);
            found
        })
    }

    /// Submits `requests` new requests at this time.
    pub fn submit(&mut self, requests: usize) {
        for _ in 0..requests {
            let gate = self.random(self.site.gates);
            let mut query = self.query();
            if let Some(index) = self.tenant(&query) {
                self.tenants[index].sent += 1;
                if let Some(adapter) = &self.tenants[index].adapter {
                    query.adapter = adapter.clone();
                }
            }
            self.schedule(Duration::ZERO, Event::Submit(gate, query));
        }
    }

    fn query(&mut self) -> Query {
        self.last_number += 1;
        let sample = self.fraction() * self.popularity.last().expect("at least one adapter");
        let rank = self.popularity.partition_point(|sum| *sum < sample);
        let adapter = self.adapter(rank);
        let mut query = common::query(self.last_number, &adapter);
        let parts = [(1, 200), (10 + self.random(4), 300), (100 + self.random(4_000), 400)];
        query.parts = parts.to_vec();
        query.parts.push((1_000_000 + self.last_number, 700 + self.random(800) as u32));
        query.input = query.parts.iter().map(|(_, tokens)| tokens).sum();
        query.output = 20 + self.random(80) as u32;
        query.left_ms = 4_000 + self.random(11_000) as u32;
        query.rank = self.random(3) as u8;
        query
    }

    /// Runs the site for `duration` at `factor` times its rate.
    pub fn run(&mut self, duration: Duration, factor: f64) {
        let end = self.now + duration;
        while self.now < end {
            self.now += MS;
            let rate = self.site.requests_per_s * factor / 1e3;
            let arrivals = rate.floor() as usize + usize::from(self.fraction() < rate.fract());
            self.submit(arrivals);
            let mut woken = false;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                woken |= self.handle(event);
            }
            let due = self.now >= self.last_poll + POLL_INTERVAL;
            if woken || (due && self.scheduler.has_pending_work()) {
                self.poll();
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_number += 1;
        self.events.insert((self.now + after, self.last_number), event);
    }

    fn poll(&mut self) {
        self.last_poll = self.now;
        let now = self.now;
        let actions = self.probe.call(Call::Poll, || self.scheduler.poll(now));
        for action in actions {
            if let Some(explained) = &mut self.explained {
                explained.check(&action, now);
            }
            let text = format!("{:x} {now:?} {action:?}", self.digest);
            self.digest = base::digest(text.as_bytes());
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Grant { gate, grant, .. } => self.grant(gate, grant),
            Action::Deny { gate, denial, .. } => {
                self.totals.denied += 1;
                let Some((mut query, _)) = self.requests.remove(&(gate, denial.request)) else {
                    return;
                };
                if self.random(2) == 0 {
                    self.last_number += 1;
                    query.request = self.last_number;
                    let after = Duration::from_millis(u64::from(denial.retry_ms));
                    self.schedule(after, Event::Submit(gate, query));
                }
            }
            Action::Order(order) => {
                self.totals.orders += 1;
                self.schedule(MESSAGE, Event::Order(order));
            }
            Action::Inspect(endpoint) => {
                let spread_ms = self.report_spread.as_millis() as u64;
                let delay_ms = if spread_ms == 0 { 0 } else { self.random(spread_ms) };
                let after = MESSAGE * 2 + Duration::from_millis(delay_ms);
                self.schedule(after, Event::Inspect(endpoint.id));
            }
            Action::Publish(_) => {}
        }
    }

    /// Starts a granted request at its engine.
    fn grant(&mut self, gate: u64, grant: Grant) {
        self.totals.granted += 1;
        let (key, id) = ((gate, grant.request), grant.endpoint.id);
        let Some((query, submitted_at)) = self.requests.get(&key).cloned() else {
            return self.schedule(MESSAGE, Event::Ended(gate, grant.request, Outcome::Cancelled));
        };
        let sample = self.random(1_000);
        let Some((_, engine)) = self.engines.get_mut(&id) else {
            return self.schedule(MESSAGE, Event::Ended(gate, grant.request, Outcome::Lost));
        };
        engine.advance_to(self.now);
        let Some((_, users)) = engine.loaded.get_mut(&query.adapter) else {
            return self.schedule(MESSAGE, Event::Ended(gate, grant.request, Outcome::Misdirected));
        };
        if sample < 4 {
            let outcome = if sample < 2 { Outcome::Failed } else { Outcome::Refused };
            return self.schedule(MESSAGE * 2, Event::Ended(gate, grant.request, outcome));
        }
        *users += 1;
        let new = query
            .parts
            .iter()
            .filter(|(part, _)| self.prefixes.insert((id.clone(), query.adapter.clone(), *part)));
        let tokens: u32 = new.map(|(_, tokens)| tokens).sum();
        let prefill = Duration::from_secs_f64(f64::from(tokens) / PREFILL_TOKENS_PER_MS / 1e3);
        let prefill_end = self.prefill_ends.entry(id.clone()).or_default();
        *prefill_end = (*prefill_end).max(self.now + MESSAGE) + prefill;
        let began = *prefill_end - self.now + Duration::from_millis(30);
        let on_time = self.now + began <= submitted_at + Duration::from_millis(800);
        self.totals.on_time += u64::from(on_time);
        if let Some(index) = self.tenant(&query) {
            self.tenants[index].on_time += u32::from(on_time);
        }
        let deadline = submitted_at + Duration::from_millis(u64::from(query.left_ms));
        if self.now + began <= deadline
            && let Some(demand) = self.demand.get_mut(&query.adapter)
        {
            demand.served += 1;
            self.totals.served += 1;
        }
        let decode_ms = f64::from(query.output) * DECODE_MS_PER_TOKEN * (0.5 + self.fraction());
        let ended = began + Duration::from_secs_f64(decode_ms / 1e3);
        self.running.insert(key, id);
        self.schedule(began + MESSAGE, Event::Began(gate, grant.request, began));
        self.schedule(ended + MESSAGE, Event::Ended(gate, grant.request, Outcome::Done));
    }

    /// Handles an event; returns whether it wakes the scheduler.
    fn handle(&mut self, event: Event) -> bool {
        let now = self.now;
        let tenant = match &event {
            Event::Submit(_, query) => self.tenant(query),
            _ => None,
        };
        let tenant = tenant.map(|index| self.tenants[index].name.clone());
        let (scheduler, probe) = (&mut self.scheduler, &mut self.probe);
        match event {
            Event::Submit(gate, query) => {
                self.totals.submitted += 1;
                let new = Demand { requests: 0, first_at: now, last_at: now, served: 0 };
                let demand = self.demand.entry(query.adapter.clone()).or_insert(new);
                demand.requests += 1;
                demand.last_at = now;
                let request = query.request;
                self.requests.insert((gate, request), (query.clone(), now));
                let domain = Name::from(DOMAINS[gate as usize % DOMAINS.len()]);
                let submission = Submission { query, tenant, gap_ms: 0 };
                if let Some(explained) = &mut self.explained {
                    let explanation = scheduler.explain(&domain, submission.clone(), now);
                    explained.add((gate, request), explanation, now);
                }
                probe.call(Call::Submit, || scheduler.submit(gate, &domain, submission, now));
                if self.random(200) == 0 {
                    self.schedule(Duration::from_millis(100), Event::Cancel(gate, request));
                }
            }
            Event::Cancel(gate, request) => {
                if self.running.contains_key(&(gate, request)) {
                    return false;
                }
                self.requests.remove(&(gate, request));
                probe.call(Call::Other, || scheduler.cancel(gate, request, now));
            }
            Event::Began(gate, request, after) => {
                probe.call(Call::Other, || scheduler.request_began(gate, request, after, now));
            }
            Event::Ended(gate, request, outcome) => {
                let query = self.requests.remove(&(gate, request));
                if let Some(id) = self.running.remove(&(gate, request))
                    && let Some((query, _)) = query
                    && let Some((_, engine)) = self.engines.get_mut(&id)
                {
                    if let Some((_, users)) = engine.loaded.get_mut(&query.adapter) {
                        *users = users.saturating_sub(1);
                    }
                    engine.advance_to(now);
                }
                probe.call(Call::Other, || scheduler.request_ended(gate, request, outcome, now));
            }
            Event::Order(order) => {
                let loading = self.engines.values().map(|(_, engine)| engine.loading.len());
                let excess = (loading.sum::<usize>() + 1).saturating_sub(self.site.store_loads);
                let contention = excess as f64 / self.site.store_loads as f64;
                if let Some((_, engine)) = self.engines.get_mut(&order.endpoint.id) {
                    let time = self.site.load_time.mul_f64(1.0 + contention);
                    engine.store_delay = time.saturating_sub(common::COLD_LOAD);
                }
                let engine = self.engines.get_mut(&order.endpoint.id);
                let answer = engine.map_or(Answer::Lost, |(_, engine)| engine.order(&order, now));
                self.schedule(MESSAGE, Event::Answered(order, answer));
                return false;
            }
            Event::Answered(order, answer) => {
                probe.call(Call::Other, || scheduler.order_answered(&order, answer, now));
            }
            Event::Inspect(id) => {
                let engine = self.engines.get_mut(&id);
                let report = engine.map(|(_, engine)| engine.inspect(now));
                probe.call(Call::Other, || scheduler.engine_inspected(&id, report, now));
            }
        }
        true
    }
}
