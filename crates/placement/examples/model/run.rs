//! One simulation run, in steps of one millisecond.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use base::Map;
use base::Name;
use conf::section::Placement;
use placement::Backoff;
use placement::Engine;
use placement::Entry;
use placement::Input;
use placement::Plan;
use placement::Policy;
use placement::Popularity;
use placement::Queue;
use placement::Resident;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Query;
use route::Timing;
use state::view::Exception;
use wire::endpoint::Model;

use crate::Options;
use crate::candidates;
use crate::candidates::Report;
use crate::site;
use crate::site::Site;
use crate::stats::Stats;

/// The maximum number of requests that wait for one adapter at a gate.
const QUEUE_LIMIT: u32 = 64;
/// The idle time of the weight store after which permits are spare, in milliseconds.
const SPARE_AFTER_MS: u64 = 1_000;
/// The popularity rank from which an adapter counts as cold.
const COLD_RANK: usize = 300;
/// The time after an eviction in which another load of the adapter makes it regretted, in milliseconds.
const REGRET_WINDOW_MS: u64 = 60_000;

/// The interval between engine restarts, in milliseconds.
const RESTART_INTERVAL_MS: u64 = 60_000;

/// The simulation data of a waiting request.
#[derive(Clone, Copy)]
pub(crate) struct Waiter {
    /// Whether the adapter was not loaded on arrival.
    stalled: bool,
    /// Whether the adapter is cold.
    cold: bool,
}

/// A gate and the engines that it owns.
pub(crate) struct Gate {
    pub(crate) name: Name,
    pub(crate) engines: Vec<Engine>,
    queue: Queue<Model, Waiter>,
    popularity: Popularity,
    backoff: Backoff,
    pub(crate) waiting: u32,
}

/// A load in progress; `left_ms` is its remaining time at full speed.
struct Load {
    gate: usize,
    engine: usize,
    model: Model,
    left_ms: f64,
}

struct Run<'a> {
    site: &'a Site,
    settings: &'a Placement,
    policy: Policy,
    exceptions: Map<Name, Exception>,
    gates: Vec<Gate>,
    /// The latest report of each gate to the others.
    reports: Vec<Report>,
    models: Vec<Model>,
    loads: Vec<Load>,
    /// The ends of the requests in progress: time, gate, engine and model.
    ends: BinaryHeap<Reverse<(u64, usize, usize, Model)>>,
    /// The time of the last eviction of each adapter, in milliseconds.
    evicted: Map<Model, u64>,
    /// The load permits available at the weight store.
    permits: f64,
    /// The time for which a permit was available and no waiting request used it.
    idle_ms: u64,
    now_ms: u64,
    random: StdRng,
    stats: Stats,
    /// Whether the warm-up is over.
    counting: bool,
}

/// Simulates a site at a request rate relative to its load capacity.
pub(crate) fn run(
    site: &Site,
    settings: &Placement,
    relative_rate: f64,
    seed: u64,
    options: &Options,
) -> Stats {
    let mut run = Run::new(site, settings, seed);
    let weights = site.weights();
    let cumulative: Vec<f64> = weights
        .iter()
        .scan(0.0, |sum, weight| {
            *sum += weight;
            Some(*sum)
        })
        .collect();
    let rate = site.load_capacity() * relative_rate / 1_000.0;
    let end_ms = options.minutes * 60_000;
    let mut arrival = 0.0;
    while run.now_ms < end_ms {
        run.counting = run.now_ms >= end_ms / 4;
        if options.restart && run.now_ms.is_multiple_of(RESTART_INTERVAL_MS) {
            run.restart();
        }
        if run.now_ms.is_multiple_of(options.lag_ms.max(1)) {
            run.reports = run.gates.iter().map(Report::new).collect();
        }
        run.end_requests();
        run.progress_loads();
        while arrival <= run.now_ms as f64 {
            let draw: f64 = run.random.random();
            let rank = cumulative.partition_point(|sum| *sum < draw).min(site::ADAPTERS - 1);
            let flipped = options.flip && run.now_ms >= end_ms / 2;
            run.arrive(
                if flipped { (rank + site::ADAPTERS / 2) % site::ADAPTERS } else { rank },
                rank,
            );
            arrival += -(1.0 - run.random.random::<f64>()).ln() / rate;
        }
        run.expire();
        run.dispatch();
        run.grant_permit();
        run.count();
        run.now_ms += 1;
    }
    run.stats
}

impl<'a> Run<'a> {
    fn new(site: &'a Site, settings: &'a Placement, seed: u64) -> Run<'a> {
        let policy = Policy::new(settings, site.stall_weight);
        let half_life = Duration::from_millis(settings.half_life_ms);
        let gates = (0..site.gates).map(|gate| Gate {
            name: Name::from(format!("g{gate}")),
            engines: (gate..site.engines).step_by(site.gates).map(engine).collect(),
            queue: Queue::default(),
            popularity: Popularity::new(half_life, site::ADAPTERS),
            backoff: Backoff::default(),
            waiting: 0,
        });
        let models = (0..site::ADAPTERS).map(|adapter| Model {
            adapter: Name::from(format!("a{adapter}")),
            version: Name::from("1"),
        });
        Run {
            site,
            settings,
            policy,
            exceptions: Map::default(),
            gates: gates.collect(),
            reports: Vec::new(),
            models: models.collect(),
            loads: Vec::new(),
            ends: BinaryHeap::new(),
            evicted: Map::default(),
            permits: 0.0,
            idle_ms: 0,
            now_ms: 0,
            random: StdRng::seed_from_u64(seed),
            stats: Stats::default(),
            counting: false,
        }
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    /// Restarts an engine, which loses its adapters and its requests.
    fn restart(&mut self) {
        let gate = self.random.random_range(0..self.gates.len());
        let engine = self.random.random_range(0..self.gates[gate].engines.len());
        let restarted = &mut self.gates[gate].engines[engine];
        restarted.residents.clear();
        restarted.in_flight = 0;
        self.ends.retain(|Reverse((_, at, number, _))| (*at, *number) != (gate, engine));
        self.loads.retain(|load| (load.gate, load.engine) != (gate, engine));
    }

    fn end_requests(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((at, ..))| *at <= self.now_ms) {
            let Some(Reverse((_, gate, engine, model))) = self.ends.pop() else { break };
            let engine = &mut self.gates[gate].engines[engine];
            engine.in_flight -= 1;
            let mut residents = engine.residents.iter_mut();
            if let Some(resident) = residents.find(|resident| resident.model == model) {
                resident.in_use -= 1;
            }
        }
    }

    fn progress_loads(&mut self) {
        let speed = (site::FULL_SPEED_LOADS as f64 / self.loads.len().max(1) as f64).min(1.0);
        self.loads.iter_mut().for_each(|load| load.left_ms -= speed);
        let gates = &mut self.gates;
        self.loads.retain(|load| {
            if load.left_ms > 0.0 {
                return true;
            }
            let residents = &mut gates[load.gate].engines[load.engine].residents;
            let mut residents = residents.iter_mut();
            if let Some(resident) = residents.find(|resident| resident.model == load.model) {
                resident.loading = false;
            }
            false
        });
    }

    fn arrive(&mut self, adapter: usize, rank: usize) {
        let model = self.models[adapter].clone();
        let cold = rank >= COLD_RANK;
        if self.counting && cold {
            self.stats.cold += 1;
        }
        let timing = Timing { service_time: Duration::from_secs(2), load_time: site::LOAD_TIME };
        let query = Query {
            timing,
            seed: self.random.random(),
            ..Query::new(Some(&model), site::DEADLINE)
        };
        let query = query.with_settings(self.settings, self.site.stall_weight);
        let receiver = self.random.random_range(0..self.gates.len());
        let candidates = candidates::candidates(&self.gates, &self.reports, receiver, &model);
        let Ok(decision) = route::choose(&query, candidates) else {
            return self.refuse(cold);
        };
        let now = self.now();
        let Some(gate) = self.gates.iter_mut().find(|gate| gate.name == decision.gate) else {
            return;
        };
        gate.popularity.record(&model, now);
        if placement::admit(&model, &gate.engines, &gate.queue, &self.policy, now).is_err() {
            return self.refuse(cold);
        }
        let loaded =
            |engine: &Engine| engine.find(&model).is_some_and(|resident| !resident.loading);
        let stalled = !gate.engines.iter().any(loaded);
        let entry = Entry {
            key: model.clone(),
            caller: Name::default(),
            priority: 5,
            arrived: now,
            deadline: now + site::DEADLINE,
            cost: 1,
            payload: Waiter { stalled, cold },
        };
        match gate.queue.push(entry, QUEUE_LIMIT) {
            Ok(_) => gate.waiting += 1,
            Err(_) => self.refuse(cold),
        }
    }

    fn refuse(&mut self, cold: bool) {
        if self.counting {
            self.stats.refused += 1;
            self.stats.refused_cold += u64::from(cold);
        }
    }

    fn expire(&mut self) {
        let now = self.now();
        for gate in 0..self.gates.len() {
            while let Some(entry) = self.gates[gate].queue.pop_expired(now) {
                self.gates[gate].waiting -= 1;
                self.refuse(entry.payload.cold);
            }
        }
    }

    fn dispatch(&mut self) {
        let now = self.now();
        for (index, gate) in self.gates.iter_mut().enumerate() {
            for number in 0..gate.engines.len() {
                while gate.engines[number].in_flight < site::BATCH && !gate.queue.is_empty() {
                    let engine = &mut gate.engines[number];
                    let residents = engine.residents.iter();
                    let loaded = residents.filter(|resident| !resident.loading);
                    let keys = loaded.map(|resident| &resident.model);
                    let Some(entry) = gate.queue.pop(keys, now) else { break };
                    gate.waiting -= 1;
                    engine.in_flight += 1;
                    let mut residents = engine.residents.iter_mut();
                    let resident = residents.find(|resident| resident.model == entry.key);
                    let Some(resident) = resident else { break };
                    resident.in_use += 1;
                    resident.last_used = now;
                    let tokens = self.random.random_range(site::TOKENS / 2..site::TOKENS * 3 / 2);
                    let end = self.now_ms + site::service_ms(tokens, engine.in_flight);
                    self.ends.push(Reverse((end, index, number, entry.key)));
                    if self.counting {
                        let wait = (now - entry.arrived).as_millis() as u64;
                        self.stats.stalls.push(if entry.payload.stalled { wait } else { 0 });
                    }
                }
            }
        }
    }

    /// Grants an available permit to the gate whose next load is worth most.
    fn grant_permit(&mut self) {
        self.permits = (self.permits + self.site.loads_per_second / 1_000.0).min(1.0);
        if self.permits < 1.0 {
            return;
        }
        self.idle_ms += 1;
        let spare_permits = self.idle_ms >= SPARE_AFTER_MS;
        let plans =
            (0..self.gates.len()).filter_map(|gate| Some((gate, self.plan(gate, spare_permits)?)));
        let Some((gate, plan)) = plans.max_by_key(|(_, plan)| plan.worth) else { return };
        self.permits -= 1.0;
        if matches!(plan.reason, placement::Reason::Waiting | placement::Reason::Copy) {
            self.idle_ms = 0;
        }
        self.load(gate, plan);
    }

    fn plan(&self, gate: usize, spare_permits: bool) -> Option<Plan> {
        let others = &self.gates;
        let gate = &self.gates[gate];
        let held_elsewhere = |model: &Model| {
            let engines = others.iter().flat_map(|gate| &gate.engines);
            engines.filter(|engine| engine.find(model).is_some()).count() > 0
        };
        let demand = gate.queue.demand();
        let input = Input {
            engines: &gate.engines,
            demand: &demand,
            popularity: &gate.popularity,
            exceptions: &self.exceptions,
            backoff: &gate.backoff,
            policy: &self.policy,
            held_elsewhere: &held_elsewhere,
            spare_permits,
        };
        placement::next_load(&input, self.now())
    }

    fn load(&mut self, gate: usize, plan: Plan) {
        let now = self.now();
        let engines = &mut self.gates[gate].engines;
        let Some(engine) = engines.iter().position(|engine| engine.name == plan.endpoint) else {
            return;
        };
        if let Some(model) = plan.evict {
            engines[engine].residents.retain(|resident| resident.model != model);
            self.evicted.insert(model, self.now_ms);
        }
        let model = plan.load;
        let resident = Resident { model: model.clone(), in_use: 0, loading: true, last_used: now };
        engines[engine].residents.push(resident);
        if self.counting {
            self.stats.loads += 1;
            let evicted = self.evicted.get(&model);
            let regretted = evicted.is_some_and(|at| self.now_ms - at < REGRET_WINDOW_MS);
            self.stats.regretted += u64::from(regretted);
        }
        let left_ms = site::LOAD_TIME.as_millis() as f64;
        self.loads.push(Load { gate, engine, model, left_ms });
    }

    fn count(&mut self) {
        if !self.counting {
            return;
        }
        self.stats.elapsed_ms += 1;
        for engine in self.gates.iter().flat_map(|gate| &gate.engines) {
            self.stats.busy_ms += u64::from(engine.in_flight > 0);
            self.stats.batch_ms += u64::from(engine.in_flight);
        }
    }
}

fn engine(number: usize) -> Engine {
    Engine {
        name: Name::from(format!("e{number:02}")),
        ready: true,
        slots: site::SLOTS,
        batch: site::BATCH,
        in_flight: 0,
        residents: Vec::new(),
    }
}
