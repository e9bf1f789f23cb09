//! Measures what the decisions cost as engines and adapters grow.
//!
//! `cargo run --release -p place --example cost`

use std::hint::black_box;
use std::mem;
use std::time::Duration;
use std::time::Instant;

use base::Map;
use base::Name;
use placement::Backoff;
use placement::Engine;
use placement::Entry;
use placement::Held;
use placement::Policy;
use placement::Popularity;
use placement::Queue;
use placement::Tables;
use placement::Waiting;
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
/// How long each case is repeated at least.
const REPEAT: Duration = Duration::from_millis(200);

fn main() {
    println!("route::choose, ns a call; the adapter is held by one engine, which comes first");
    println!("or anywhere among the candidates, or by none");
    println!("engines   first    held  absent");
    for engines in ENGINES {
        let first = choose(engines, |_| Some(0));
        let held = choose(engines, |call| Some(call % engines));
        let absent = choose(engines, |_| None);
        println!("{engines:7} {first:7.0} {held:7.0} {absent:7.0}");
    }
    println!("\nplace::next, ns a call, with the number of waiting adapters");
    println!("engines {}", WAITING.map(|waiting| format!("{waiting:>9}")).concat());
    for engines in ENGINES {
        let cells = WAITING.map(|waiting| format!("{:9.0}", next(engines, waiting)));
        println!("{engines:7} {}", cells.concat());
    }
    println!("\nplace::Queue, 50 callers, 10 requests an adapter, 6 adapters at the engine");
    println!("requests  push and pop ns");
    for requests in REQUESTS {
        println!("{requests:8} {:16.0}", queue(requests));
    }
    println!("\nplace::Popularity, Zipf 1.1");
    println!("adapters  hit ns  value ns  bytes of an entry");
    for adapters in ADAPTERS {
        let (hit, value) = popularity(adapters);
        let bytes = mem::size_of::<(Model, f64)>();
        println!("{adapters:8} {hit:7.0} {value:9.0} {bytes:18}");
    }
}

/// The mean time of a call in nanoseconds.
fn time(mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    let mut calls = 0;
    while start.elapsed() < REPEAT {
        (calls..calls + 64).for_each(&mut call);
        calls += 64;
    }
    start.elapsed().as_nanos() as f64 / calls as f64
}

fn model(number: usize) -> Model {
    Model { adapter: Name::from(format!("adapter-{number:06}")), version: Name::from("1") }
}

/// `holder` says for each call which engine holds the adapter.
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

fn next(engines: usize, waiting: usize) -> f64 {
    let mut popularity = Popularity::new(Duration::from_secs(120), 170_000);
    let engines: Vec<Engine> = (0..engines).map(|number| engine(number, &mut popularity)).collect();
    let waiting: Vec<Waiting> = (0..waiting)
        .map(|number| Waiting {
            model: model(100_000 + number),
            requests: 1,
            weight: Waiting::weight(5),
            oldest: NOW - Duration::from_millis(number as u64),
            deadline: NOW + Duration::from_secs(10),
        })
        .collect();
    let (exceptions, backoff, policy) = (Map::default(), Backoff::default(), Policy::default());
    let tables = Tables {
        engines: &engines,
        waiting: &waiting,
        popularity: &popularity,
        exceptions: &exceptions,
        backoff: &backoff,
        policy: &policy,
        elsewhere: &|_| false,
        spare: false,
    };
    time(|_| {
        black_box(placement::next(&tables, NOW));
    })
}

fn engine(number: usize, popularity: &mut Popularity) -> Engine {
    let held = (0..SLOTS).map(|slot| {
        let model = model(number * SLOTS + slot);
        popularity.hit(&model, NOW);
        Held { model, in_use: 0, loading: false, used: NOW }
    });
    Engine {
        name: Name::from(format!("e{number:03}")),
        ready: true,
        slots: SLOTS as u32,
        batch: 8,
        in_flight: (number % 8) as u32,
        held: held.collect(),
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
        ticket: (),
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
    models.iter().for_each(|model| popularity.hit(model, NOW));
    let hit = time(|call| {
        let now = NOW + Duration::from_micros(call as u64);
        popularity.hit(&models[draws[call % draws.len()]], now);
    });
    let value = time(|call| {
        black_box(popularity.value(&models[draws[call % draws.len()]], NOW));
    });
    (hit, value)
}
