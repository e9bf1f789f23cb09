//! Measures the CPU time of routing and placement decisions by the number of engines and adapters.
//!
//! `cargo run --release -p placement --example cost`

use std::hint::black_box;
use std::mem;
use std::time::Duration;
use std::time::Instant;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Demand;
use placement::Engine;
use placement::Entry;
use placement::Input;
use placement::Policy;
use placement::Popularity;
use placement::Queue;
use placement::Resident;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use route::Candidate;
use route::Query;
use route::Residency;
use wire::endpoint::Model;

const ENGINES: [usize; 6] = [10, 20, 50, 100, 200, 400];
const ADAPTERS: [usize; 4] = [1_000, 10_000, 50_000, 170_000];
const WAITING: [usize; 4] = [1, 10, 100, 1_000];
const SLOTS: usize = 6;
const NOW: Duration = Duration::from_secs(1_000);
const REQUESTS: [usize; 3] = [100, 1_000, 10_000];
/// The minimum duration of a measurement.
const MIN_DURATION: Duration = Duration::from_millis(200);

fn main() {
    println!("route::choose, ns per call; the adapter is loaded on the first candidate (first),");
    println!("on any one of the candidates (held), or on none (absent)");
    println!("engines   first    held  absent");
    for engines in ENGINES {
        let first = choose(engines, |_| Some(0));
        let held = choose(engines, |call| Some(call % engines));
        let absent = choose(engines, |_| None);
        println!("{engines:7} {first:7.0} {held:7.0} {absent:7.0}");
    }
    println!(
        "\nplacement::next_load, ns per call, by the number of adapters with waiting requests"
    );
    println!("engines {}", WAITING.map(|waiting| format!("{waiting:>9}")).concat());
    for engines in ENGINES {
        let cells = WAITING.map(|waiting| format!("{:9.0}", next_load(engines, waiting)));
        println!("{engines:7} {}", cells.concat());
    }
    println!("\nplacement::Queue, 50 callers, 10 requests per adapter, 6 adapters on the engine");
    println!("requests  push and pop ns");
    for requests in REQUESTS {
        println!("{requests:8} {:16.0}", queue(requests));
    }
    println!("\nplacement::Popularity, Zipf exponent 1.1");
    println!("adapters  record ns  count ns  bytes per entry");
    for adapters in ADAPTERS {
        let (record, count) = popularity(adapters);
        let bytes = mem::size_of::<(Model, f64)>();
        println!("{adapters:8} {record:10.0} {count:9.0} {bytes:16}");
    }
}

/// Returns the mean time of a call in nanoseconds.
fn time(mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < MIN_DURATION {
        (calls..calls + 64).for_each(&mut call);
        calls += 64;
    }
    start.elapsed().as_nanos() as f64 / calls as f64
}

fn model(number: usize) -> Model {
    Model { adapter: Name::from(format!("adapter-{number:06}")), version: Name::from("1") }
}

/// Measures `route::choose`; `holder` returns the engine that holds the adapter of a call.
fn choose(engines: usize, holder: impl Fn(usize) -> Option<usize>) -> f64 {
    let names: Vec<Name> = (0..engines).map(|number| Name::from(format!("e{number:03}"))).collect();
    let gate = Name::from("gate");
    let models: Vec<Model> = (0..256).map(model).collect();
    let mut random = StdRng::seed_from_u64(1);
    let loads: Vec<u32> = (0..engines).map(|_| random.random_range(0..8)).collect();
    time(|call| {
        let query = Query::new(Some(&models[call % models.len()]), Duration::from_secs(10));
        let candidates = names.iter().enumerate().map(|(number, endpoint)| Candidate {
            endpoint,
            gate: &gate,
            owned: number % 5 == 0,
            ready: true,
            residency: if holder(call) == Some(number) {
                Residency::Loaded
            } else {
                Residency::Absent
            },
            in_flight: loads[number],
            waiting: 0,
            batch: 8,
            free_slots: 0,
            prefix_hit: false,
        });
        black_box(route::choose(&query, candidates).is_ok());
    })
}

fn next_load(engines: usize, waiting: usize) -> f64 {
    let mut popularity = Popularity::new(Duration::from_secs(120), 170_000);
    let engines: Vec<Engine> = (0..engines).map(|number| engine(number, &mut popularity)).collect();
    let demand: Vec<Demand> = (0..waiting)
        .map(|number| Demand {
            model: model(100_000 + number),
            requests: 1,
            weight: Demand::priority_weight(5),
            oldest_arrival: NOW - Duration::from_millis(number as u64),
            latest_deadline: NOW + Duration::from_secs(10),
        })
        .collect();
    let (exceptions, backoff, policy) = (Map::default(), Backoff::default(), Policy::default());
    let input = Input {
        engines: &engines,
        demand: &demand,
        popularity: &popularity,
        exceptions: &exceptions,
        backoff: &backoff,
        policy: &policy,
        held_elsewhere: &|_| false,
        spare_permits: false,
    };
    time(|_| {
        black_box(placement::next_load(&input, NOW));
    })
}

fn engine(number: usize, popularity: &mut Popularity) -> Engine {
    let residents = (0..SLOTS).map(|slot| {
        let model = model(number * SLOTS + slot);
        popularity.record(&model, NOW);
        Resident { model, in_use: 0, loading: false, last_used: NOW }
    });
    Engine {
        name: Name::from(format!("e{number:03}")),
        ready: true,
        slots: SLOTS as u32,
        batch: 8,
        in_flight: (number % 8) as u32,
        residents: residents.collect(),
    }
}

fn queue(requests: usize) -> f64 {
    let models: Vec<Model> = (0..requests / 10).map(model).collect();
    let callers: Vec<Name> = (0..50).map(|number| Name::from(format!("caller-{number}"))).collect();
    let entry = |number: usize| Entry {
        key: models[number % models.len()].clone(),
        caller: callers[number * 7 % callers.len()].clone(),
        priority: 5,
        arrived: NOW,
        deadline: NOW + Duration::from_millis((number * 13 % 10_000) as u64),
        cost: 1,
        payload: (),
    };
    let mut queue = Queue::default();
    for number in 0..requests {
        queue.push(entry(number), u32::MAX).ok();
    }
    time(|call| {
        let held = (0..SLOTS).map(|slot| &models[(call + slot) % models.len()]);
        if let Some(popped) = queue.pop(held, NOW) {
            queue.push(popped, u32::MAX).ok();
        }
    })
}

fn popularity(adapters: usize) -> (f64, f64) {
    let models: Vec<Model> = (0..adapters).map(model).collect();
    let mut popularity = Popularity::new(Duration::from_secs(120), adapters);
    let mut random = StdRng::seed_from_u64(1);
    let draws: Vec<usize> = (0..65_536)
        .map(|_| {
            let uniform: f64 = random.random_range(f64::EPSILON..1.0);
            (uniform.powf(-10.0) as usize).min(adapters) - 1
        })
        .collect();
    models.iter().for_each(|model| popularity.record(model, NOW));
    let record = time(|call| {
        let now = NOW + Duration::from_micros(call as u64);
        popularity.record(&models[draws[call % draws.len()]], now);
    });
    let count = time(|call| {
        black_box(popularity.decayed_count(&models[draws[call % draws.len()]], NOW));
    });
    (record, count)
}
