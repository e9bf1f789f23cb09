//! Compares ways to choose the endpoints of a plain service: six endpoints with six slots and a queue of 24, 60 ms of work
//! with a spread of 0.5, 276 calls a second from 74 gates with bursts of 2 to 3 times, and hosts that are 2.5 times slower
//! for 600 ms during 15% of the time. `cargo test -p capacity --test simulation -- --nocapture` prints the figures.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use capacity::Answer;
use capacity::Balancer;
use capacity::Estimate;
use capacity::Run;
use fleet::endpoint::Endpoint;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const GATES: usize = 74;
const HOSTS: usize = 6;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const TARGET: u64 = 300;
const SECONDS: u64 = 240;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    /// A random endpoint by fixed, equal weights.
    Weights,
    /// The least load, of a gate's own calls and a reported load with a half-life of 100 ms.
    LeastLoad,
    /// The better one of two random endpoints, by reported load and the gate's estimate.
    OfTwo,
    /// The fewest own calls below a limit by the gradient of latency.
    Gradient,
    /// A random endpoint that last reported no queue above 2.
    QueueLimit,
    /// The balancer.
    Leader,
}

#[derive(Clone, Debug)]
struct Job {
    number: u64,
    gate: usize,
    /// When the caller sent it, and when it was sent to the endpoint, in ms.
    start: u64,
    sent: u64,
    work: f64,
    calls: u32,
    tried: Option<usize>,
}

#[derive(Clone, Debug, Default)]
struct Host {
    running: Vec<(f64, Job)>,
    queue: VecDeque<Job>,
    slow_until: u64,
    /// The slots that work at full speed; 0 for all.
    knee: usize,
}

impl Host {
    fn pace(&self, now: u64) -> f64 {
        if now < self.slow_until { 2.5 } else { 1.0 }
    }

    fn load(&self, now: u64) -> Load {
        Load {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            slots: SLOTS as u32,
            pace: Some((self.pace(now) * 100.0) as u32),
        }
    }

    /// Works for 1 ms; returns the calls that end.
    fn step(&mut self, now: u64) -> Vec<Job> {
        while self.running.len() < SLOTS
            && let Some(job) = self.queue.pop_front()
        {
            self.running.push((job.work, job));
        }
        let shared = (self.running.len() as f64 / self.knee.max(1) as f64).max(1.0);
        let shared = if self.knee > 0 { shared } else { 1.0 };
        let done = 1.0 / (self.pace(now) * shared);
        self.running.iter_mut().for_each(|(left, _)| *left -= done);
        self.running.extract_if(.., |(left, _)| *left <= 0.0).map(|(_, job)| job).collect()
    }
}

/// What a gate knows of an endpoint.
#[derive(Clone, Debug)]
struct Seen {
    own: u32,
    reported: Option<(Load, u64)>,
    estimate: Estimate,
    limit: f64,
    long_ms: f64,
}

#[derive(Debug)]
enum Event {
    Decide(Job),
    Arrive(usize, Job),
    Respond(usize, Job, Load, bool),
    Report(Job, Load, bool),
}

#[derive(Clone, Copy, Debug, Default)]
struct Result {
    calls: u32,
    late: u32,
    refused: u32,
    twice: u32,
}

impl Result {
    fn percent(count: u32, of: u32) -> f64 {
        100.0 * f64::from(count) / f64::from(of)
    }

    /// Returns the share of the calls that were late or refused, in percent.
    fn failed(&self) -> f64 {
        Result::percent(self.late + self.refused, self.calls)
    }
}

struct Simulation {
    way: Way,
    gates: usize,
    random: StdRng,
    hosts: Vec<Host>,
    seen: Vec<Vec<Seen>>,
    events: BTreeMap<u64, Vec<Event>>,
    balancer: Balancer,
    waiting: BTreeMap<u64, Job>,
    result: Result,
}

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(index: usize) -> Endpoint {
    Endpoint {
        id: Name::from(format!("e{index}")),
        born: 1,
        service: Name::from("plain"),
        address: ([127, 0, 0, 1], 1).into(),
        domain: Name::from("a"),
        slots: SLOTS as u32,
        build: Name::from("v1"),
    }
}

impl Simulation {
    fn new(way: Way, gates: usize, seed: u64) -> Simulation {
        let estimate = Estimate::new(SLOTS as u32);
        let seen = Seen { own: 0, reported: None, estimate, limit: 4.0, long_ms: 0.0 };
        let mut balancer = Balancer::default();
        let endpoints: Vec<Endpoint> = (0..HOSTS).map(endpoint).collect();
        balancer.set_endpoints(endpoints.iter(), at(0));
        Simulation {
            way,
            gates,
            random: StdRng::seed_from_u64(seed),
            hosts: vec![Host::default(); HOSTS],
            seen: vec![vec![seen; HOSTS]; gates],
            events: BTreeMap::new(),
            balancer,
            waiting: BTreeMap::new(),
            result: Result::default(),
        }
    }

    fn normal(&mut self) -> f64 {
        (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0
    }

    fn run(mut self, base_per_s: f64) -> Result {
        let sigma = (1.0f64 + 0.25).ln().sqrt();
        let mut burst = (0, 1.0);
        let mut number = 0;
        for now in 0..SECONDS * 1_000 {
            for host in &mut self.hosts {
                if now >= host.slow_until && self.random.random_bool(0.15 / 0.85 / 600.0) {
                    host.slow_until = now + 600;
                }
            }
            if now >= burst.0 {
                burst.1 = 1.0;
                if self.random.random_bool(1.0 / 5_400.0) {
                    burst = (now + 600, self.random.random_range(2.0..3.0));
                }
            }
            for _ in 0..4 {
                if !self.random.random_bool(base_per_s * burst.1 / 4e3) {
                    continue;
                }
                number += 1;
                let work = 60.0 * (sigma * self.normal() - sigma * sigma / 2.0).exp();
                let gate = self.random.random_range(0..self.gates);
                let job = Job { number, gate, start: now, sent: now, work, calls: 0, tried: None };
                self.result.calls += 1;
                self.decide(job, now);
            }
            for index in 0..HOSTS {
                for job in self.hosts[index].step(now) {
                    let load = self.hosts[index].load(now);
                    self.push(now + 1, Event::Respond(index, job, load, true));
                }
            }
            for event in self.events.remove(&now).unwrap_or_default() {
                self.handle(event, now);
            }
            if self.way == Way::Leader && now.is_multiple_of(5) {
                self.balancer.poll(at(now));
                self.answer(now);
            }
        }
        self.result
    }

    fn push(&mut self, now: u64, event: Event) {
        self.events.entry(now).or_default().push(event);
    }

    fn decide(&mut self, job: Job, now: u64) {
        if self.way == Way::Leader {
            return self.push(now + 1, Event::Decide(job));
        }
        match self.choose(job.gate, job.tried, now) {
            Some(index) => self.send(index, job, now),
            None => self.result.refused += 1,
        }
    }

    fn send(&mut self, index: usize, mut job: Job, now: u64) {
        let seen = &mut self.seen[job.gate][index];
        seen.own += 1;
        job.calls = seen.own;
        job.sent = now;
        self.push(now + 1, Event::Arrive(index, job));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Decide(job) => {
                let waited = (now - job.start) as u32;
                let placement = Placement {
                    request: job.number,
                    service: Name::from("plain"),
                    target_ms: (TARGET as u32).saturating_sub(waited),
                    left_ms: 1_500 - waited.min(1_500),
                    rank: 1,
                    tenant: None,
                    excluded: job.tried.map(|index| endpoint(index).id).into_iter().collect(),
                    build: None,
                };
                let (gate, number) = (job.gate as u64, job.number);
                self.waiting.insert(number, job);
                self.balancer.place(gate, "a", placement, 1.0, at(now));
                self.answer(now);
            }
            Event::Arrive(index, job) => {
                let host = &mut self.hosts[index];
                if host.running.len() + host.queue.len() >= SLOTS + QUEUE {
                    let load = host.load(now);
                    self.push(now + 1, Event::Respond(index, job, load, false));
                } else {
                    host.queue.push_back(job);
                }
            }
            Event::Respond(index, job, load, ran) => {
                self.record(index, &job, load, ran, now);
                if ran {
                    self.result.late += u32::from(now - job.start > TARGET);
                } else if job.tried.is_none() {
                    self.result.twice += 1;
                    self.decide(Job { tried: Some(index), ..job.clone() }, now);
                } else {
                    self.result.refused += 1;
                }
                if self.way == Way::Leader {
                    self.push(now + 1, Event::Report(job, load, ran));
                }
            }
            Event::Report(job, load, ran) => {
                let outcome = if ran { Outcome::Done } else { Outcome::Refused };
                let (gate, ran) = (job.gate as u64, at(now - 1 - job.sent));
                self.balancer.ended(gate, job.number, outcome, ran, Some(load), at(now));
                self.answer(now);
            }
        }
    }

    fn record(&mut self, index: usize, job: &Job, load: Load, ran: bool, now: u64) {
        let seen = &mut self.seen[job.gate][index];
        seen.own -= 1;
        seen.reported = Some((load, now));
        if !ran {
            return;
        }
        let ms = (now - job.sent) as f64;
        seen.estimate.record_run(
            Run { ran: at(now - job.sent), calls: job.calls },
            Some(load),
            at(now),
        );
        seen.long_ms = if seen.long_ms > 0.0 { seen.long_ms * 0.95 + ms * 0.05 } else { ms };
        let gradient = (1.5 * seen.long_ms / ms).clamp(0.5, 1.0);
        let limit = seen.limit * gradient + seen.limit.sqrt();
        seen.limit = (seen.limit * 0.8 + limit * 0.2).clamp(1.0, 30.0);
    }

    fn answer(&mut self, now: u64) {
        let answers: Vec<Answer> = self.balancer.take_answers().collect();
        for answer in answers {
            match answer {
                Answer::Placed { request, endpoint, .. } => {
                    let job = self.waiting.remove(&request).expect("the call waits");
                    let index = endpoint[1..].parse().expect("a number");
                    self.send(index, job, now + 1);
                }
                Answer::Denied { denial, .. } => {
                    self.waiting.remove(&denial.request);
                    self.result.refused += 1;
                }
            }
        }
    }

    fn choose(&mut self, gate: usize, tried: Option<usize>, now: u64) -> Option<usize> {
        let seen = &self.seen[gate];
        let all: Vec<usize> = (0..HOSTS).filter(|index| Some(*index) != tried).collect();
        let load = |index: &usize| {
            let Seen { own, reported, .. } = &seen[*index];
            let (load, at) = reported.unwrap_or_default();
            let age = (now - at) as f64 / 100.0;
            f64::from(*own).max(f64::from(load.running + load.queued) * (-age).exp2())
        };
        let random = &mut self.random;
        let start = random.random_range(0..all.len());
        let mut turned = all.clone();
        turned.rotate_left(start);
        let least =
            |indices: Vec<usize>| indices.into_iter().min_by(|a, b| load(a).total_cmp(&load(b)));
        match self.way {
            Way::Weights => Some(turned[0]),
            Way::LeastLoad => least(turned),
            Way::OfTwo => {
                let works = all.iter().filter_map(|index| seen[*index].estimate.usual_ms());
                let (sum, count) =
                    works.fold((0.0, 0.0), |(sum, count), work| (sum + work, count + 1.0));
                let mean = if count > 0.0 { sum / count } else { 1.0 };
                let cost = |index: &usize| {
                    let work = seen[*index].estimate.blended_ms(mean, at(now));
                    let share = (load(index) + 1.0) / SLOTS as f64;
                    work * (share.max(1.0) + share)
                };
                capacity::pick_of_two(&all, |below| random.random_range(0..below), cost).copied()
            }
            Way::Gradient => {
                turned.retain(|index| f64::from(seen[*index].own) < seen[*index].limit);
                turned.into_iter().min_by_key(|index| seen[*index].own)
            }
            Way::QueueLimit => {
                turned.retain(|index| {
                    let report = seen[*index].reported;
                    report.is_none_or(|(load, at)| load.queued <= 2 || now - at > 100)
                });
                turned.first().copied()
            }
            Way::Leader => None,
        }
    }
}

/// The rate between bursts with which 276 calls arrive per second; bursts of 2.5 times take a tenth of the time.
const BASE_PER_S: f64 = 276.0 / 1.15;

fn simulate(way: Way, gates: usize, factor: f64) -> Result {
    let results = (1..=3).map(|seed| Simulation::new(way, gates, seed).run(BASE_PER_S * factor));
    results.fold(Result::default(), |sum, result| Result {
        calls: sum.calls + result.calls,
        late: sum.late + result.late,
        refused: sum.refused + result.refused,
        twice: sum.twice + result.twice,
    })
}

// Guards against a leader that places calls worse than the gates would alone.
#[test]
fn placing_by_the_leader_misses_the_fewest_targets() {
    use Way::*;
    for factor in [1.0, 1.6] {
        let ways = [Weights, LeastLoad, OfTwo, Gradient, QueueLimit, Leader];
        let results = ways.map(|way| (way, simulate(way, GATES, factor)));
        for (way, result) in &results {
            println!(
                "{factor} {way:?}: {} calls, late {:.2}%, refused {:.2}%, sent twice {:.2}%",
                result.calls,
                Result::percent(result.late, result.calls),
                Result::percent(result.refused, result.calls),
                Result::percent(result.twice, result.calls)
            );
        }
        let (_, leader) = results[5];
        for (way, result) in &results[..5] {
            let (own, other) = (leader.failed(), result.failed());
            assert!(own <= other, "{own:.2}% by the leader, {other:.2}% by {way:?}");
        }
        assert_eq!(leader.twice, 0, "endpoints refused calls that the leader had placed");
    }
}

// Guards against an endpoint that slows down at half of its slots and is sent calls until they are all in use.
#[test]
fn an_endpoint_that_slows_at_half_of_its_slots_gets_fewer_calls() {
    let run = |way| {
        let mut simulation = Simulation::new(way, GATES, 9);
        simulation.hosts[0].knee = SLOTS / 2;
        simulation.run(BASE_PER_S)
    };
    let (leader, load) = (run(Way::Leader).failed(), run(Way::LeastLoad).failed());
    println!("one endpoint slows at 3 calls: leader {leader:.2}%, least load {load:.2}%");
    assert!(leader < load);
}

// Guards against a page that says of gates what they do not do: the fewer calls each of them sees, the less it knows.
#[test]
fn gates_that_see_few_calls_choose_worse() {
    let failed = [1, 8, GATES].map(|gates| {
        let [load, of_two] =
            [Way::LeastLoad, Way::OfTwo].map(|way| simulate(way, gates, 1.0).failed());
        println!("{gates} gates: least load {load:.2}%, of two {of_two:.2}%");
        load
    });
    assert!(failed[0] < failed[2] / 2.0, "{failed:?}");
}
