//! Simulated engines that read prompts between decoding steps, and callers whose streams must not pause for too long. All
//! times are simulated and all randomness comes from a seed.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::time::Duration;

use base::Name;
use fleet::message::Outcome;
use fleet::message::Submission;
use sched::Scheduler;
use sched::action::Action;
use sched::settings::Settings;

use crate::common;
use crate::common::Engine;

/// The time of a message between nodes, in ms.
const MESSAGE_MS: f64 = 1.0;
const STEP_MS: f64 = 9.0;
const TARGET_MS: u32 = 800;
/// The tokens of the part that all prompts for an adapter share.
const SHARED_TOKENS: u32 = 568;
const MAX_TOKENS: u32 = 7_000;
const ENGINES: usize = 60;
const ADAPTERS: usize = 240;
/// The time for which the pace of a host changes, in ms.
const NOISE_MS: f64 = 600.0;
const NOISE: f64 = 2.5;
/// The first part of a run, which does not count, in ms.
const WARM_UP_MS: f64 = 6_000.0;

/// A load on 60 engines with 240 adapters, of which each engine holds four.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub requests_per_s: f64,
    /// The prompt tokens that an engine reads in a step.
    pub chunk: f64,
    pub stride: u32,
    /// The number of steps until the first event.
    pub first_event_steps: u32,
    /// The longest pause with which a stream is on time, in ms.
    pub gap_ms: u32,
    /// Whether the scheduler is told the gap.
    pub states_gap: bool,
    /// The prompt tokens that an engine of usual speed reads, per ms.
    pub tokens_per_ms: f64,
    /// Whether engines have 0.7 to 1.7 of the usual speed.
    pub uneven: bool,
    /// The share of time in which the host of every third engine is slow.
    pub noise: f64,
    /// Whether engines state the pace of their hosts.
    pub states_pace: bool,
    pub seed: u64,
}

/// What callers got, after the warm-up.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub streams: u32,
    pub denied: u32,
    /// The streams whose first event was late.
    pub late_first: u32,
    /// The other streams that paused for too long.
    pub paused: u32,
    /// The sum of the times to the first event, in ms.
    pub first_ms: f64,
    /// The loads from the store.
    pub cold_loads: usize,
    /// The prompt tokens read by the busiest engine, relative to the mean.
    pub busiest: f64,
}

impl Totals {
    /// Returns the share of requests that were refused or whose streams were late.
    pub fn late_share(&self) -> f64 {
        f64::from(self.denied + self.late_first + self.paused)
            / f64::from((self.streams + self.denied).max(1))
    }
}

#[derive(Clone, Debug)]
struct Stream {
    adapter: Name,
    submitted_at: f64,
    sent_at: f64,
    unread: f64,
    /// The tokens that are still to be generated.
    left: u32,
    generated: u32,
    last_event_at: Option<f64>,
    first_ms: f64,
    longest_ms: f64,
}

#[derive(Default)]
struct Host {
    adapters: Engine,
    speed: f64,
    waiting: VecDeque<(f64, u64)>,
    decoding: Vec<u64>,
    /// The end of the step in progress, and the prompt tokens that it reads.
    step: Option<(f64, f64)>,
    shared: BTreeSet<Name>,
    slow_until: f64,
    noisy: bool,
    read: f64,
}

enum Report {
    Began { request: u64, after_ms: f64, pace: u32 },
    Ended { request: u64, longest_ms: f64 },
}

pub struct Streams {
    load: Load,
    pub scheduler: Scheduler,
    hosts: BTreeMap<Name, Host>,
    streams: BTreeMap<u64, Stream>,
    reports: VecDeque<(f64, Report)>,
    pub totals: Totals,
    popularity: Vec<f64>,
    now_ms: f64,
    last_request: u64,
    random: u64,
}

fn at(ms: f64) -> Duration {
    Duration::from_secs_f64(1.0 + ms / 1e3)
}

impl Streams {
    /// Plays a load for 6 s and then for `ms`; returns what callers got in the second part.
    pub fn play(load: Load, ms: f64) -> Streams {
        let mut plan = common::plan();
        let spec = plan.services[0].engine.as_mut().expect("a service of engines");
        spec.stride = load.stride;
        spec.slots = 48;
        spec.kv_tokens = 400_000;
        let mut sum = 0.0;
        let popularity = (1..=ADAPTERS).map(|rank| {
            sum += 1.0 / rank as f64;
            sum
        });
        let mut streams = Streams {
            load,
            scheduler: Scheduler::new(Settings::default()),
            hosts: BTreeMap::new(),
            streams: BTreeMap::new(),
            reports: VecDeque::new(),
            totals: Totals::default(),
            popularity: popularity.collect(),
            now_ms: 0.0,
            last_request: 0,
            random: load.seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1,
        };
        streams.scheduler.set_plan(&plan);
        for number in 0..ENGINES {
            streams.add_host(number);
        }
        while streams.now_ms < WARM_UP_MS + ms {
            streams.tick();
        }
        let read = streams.hosts.values().map(|host| host.read);
        let mean = read.clone().sum::<f64>() / ENGINES as f64;
        streams.totals.busiest = read.fold(0.0, f64::max) / mean;
        let loads = streams.hosts.values().map(|host| host.adapters.store_loads);
        streams.totals.cold_loads = loads.sum();
        streams
    }

    /// Returns the time at the scheduler.
    pub fn now(&self) -> Duration {
        at(self.now_ms)
    }

    fn add_host(&mut self, number: usize) {
        let id = Name::from(format!("engine-{number:02}"));
        let held: Vec<Name> =
            (0..4).map(|slot| Name::from(format!("adapter-{}", number + slot * ENGINES))).collect();
        let mut announcement = common::announcement(&id, number as u16);
        let models = announcement.held.get_or_insert_default();
        let adapters =
            held.iter().map(|name| fleet::endpoint::Adapter { name: name.clone(), version: 1 });
        models[0].adapters = adapters.collect();
        self.scheduler.engine_announced(&announcement, at(0.0));
        let loaded = held.into_iter().map(|name| (name, (1, 0))).collect();
        let adapters = Engine { loaded, ..Engine::default() };
        let factor = if self.load.uneven { 0.7 + (number % 11) as f64 / 10.0 } else { 1.0 };
        let speed = self.load.tokens_per_ms * factor;
        let noisy = number.is_multiple_of(3);
        self.hosts.insert(id, Host { adapters, speed, noisy, ..Host::default() });
    }

    fn fraction(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        ((self.random >> 11) % (1 << 30)) as f64 / f64::from(1 << 30)
    }

    fn tick(&mut self) {
        self.now_ms += 1.0;
        if self.fraction() < self.load.requests_per_s / 1e3 {
            self.submit();
        }
        let ids: Vec<Name> = self.hosts.keys().cloned().collect();
        for id in ids {
            self.run_host(&id);
        }
        self.deliver();
        for action in self.scheduler.poll(at(self.now_ms)) {
            self.perform(action);
        }
    }

    fn submit(&mut self) {
        self.last_request += 1;
        let sample = self.fraction() * self.popularity[ADAPTERS - 1];
        let rank = self.popularity.partition_point(|sum| *sum < sample);
        // Popular adapters lie at different engines.
        let adapter = Name::from(format!("adapter-{}", rank * 7 % ADAPTERS));
        let own = 100.0 - (1.0 - self.fraction()).ln() * 1_750.0;
        let mut query = common::query(self.last_request, &adapter);
        query.parts = vec![(1, SHARED_TOKENS), (1_000 + self.last_request, own as u32)];
        query.input = (SHARED_TOKENS + own as u32).min(MAX_TOKENS);
        query.parts[1].1 = query.input - SHARED_TOKENS;
        let events = if self.fraction() < 0.7 { 8 } else { 57 };
        query.output = events * self.load.stride;
        query.target_ms = TARGET_MS;
        query.left_ms = 15_000;
        query.fingerprint = self.last_request;
        let stream = Stream {
            adapter,
            submitted_at: self.now_ms,
            sent_at: 0.0,
            unread: f64::from(query.input),
            left: query.output,
            generated: 0,
            last_event_at: None,
            first_ms: 0.0,
            longest_ms: 0.0,
        };
        self.streams.insert(self.last_request, stream);
        let gap_ms = if self.load.states_gap { self.load.gap_ms } else { 0 };
        let submission = Submission { query, tenant: None, gap_ms };
        self.scheduler.submit(1, &Name::from("a"), submission, at(self.now_ms));
    }

    fn perform(&mut self, action: Action) {
        let now = at(self.now_ms);
        match action {
            Action::Grant { grant, .. } => {
                let stream = self.streams.get_mut(&grant.request).expect("submitted");
                let host = self.hosts.get_mut(&grant.endpoint.id).expect("known");
                stream.sent_at = self.now_ms;
                if !host.shared.insert(stream.adapter.clone()) {
                    stream.unread -= f64::from(SHARED_TOKENS);
                }
                host.adapters.loaded.get_mut(&stream.adapter).expect("loaded").1 += 1;
                host.waiting.push_back((self.now_ms + 2.0 * MESSAGE_MS, grant.request));
            }
            Action::Deny { denial, .. } => {
                self.streams.remove(&denial.request);
                self.totals.denied += u32::from(self.now_ms > WARM_UP_MS);
            }
            Action::Order(order) => {
                let host = self.hosts.get_mut(&order.endpoint.id).expect("known");
                let answer = host.adapters.order(&order, now);
                self.scheduler.order_answered(&order, answer, now);
            }
            Action::Inspect(endpoint) => {
                let host = self.hosts.get_mut(&endpoint.id).expect("known");
                let report = host.adapters.inspect(now);
                self.scheduler.engine_inspected(&endpoint.id, Some(report), now);
            }
            Action::Publish(_) => {}
        }
    }

    /// Ends and starts the steps of an engine that are due.
    fn run_host(&mut self, id: &Name) {
        let (sample, now_ms) = (self.fraction(), self.now_ms);
        let Load { noise, chunk, stride, first_event_steps, gap_ms, .. } = self.load;
        let host = self.hosts.get_mut(id).expect("known");
        if host.noisy && now_ms > host.slow_until && sample < noise / (1.0 - noise) / NOISE_MS {
            host.slow_until = now_ms + NOISE_MS;
        }
        let pace = if now_ms < host.slow_until { NOISE } else { 1.0 };
        let mut start = now_ms;
        if let Some((end, read)) = host.step {
            if end > now_ms {
                return;
            }
            start = end;
            host.read += read;
            host.end_step(&mut self.streams, read, end);
            let streams = &mut self.streams;
            let (reports, totals) = (&mut self.reports, &mut self.totals);
            host.decoding.retain(|request| {
                let stream = streams.get_mut(request).expect("decoding");
                stream.generated += 1;
                let steps = stream.generated + stride - first_event_steps;
                let event = steps.is_multiple_of(stride);
                if !event && stream.generated < stream.left {
                    return true;
                }
                let Some(last) = stream.last_event_at else {
                    stream.first_ms = end - stream.submitted_at;
                    stream.last_event_at = Some(end);
                    let (request, pace) = (*request, (pace * 100.0) as u32);
                    let after_ms = end - stream.sent_at;
                    reports.push_back((end, Report::Began { request, after_ms, pace }));
                    return true;
                };
                if event {
                    stream.longest_ms = stream.longest_ms.max(end - last);
                    stream.last_event_at = Some(end);
                }
                if stream.generated < stream.left {
                    return true;
                }
                if stream.submitted_at > WARM_UP_MS {
                    totals.streams += 1;
                    totals.first_ms += stream.first_ms;
                    let late_first = stream.first_ms > f64::from(TARGET_MS);
                    let paused = stream.longest_ms > f64::from(gap_ms);
                    totals.late_first += u32::from(late_first);
                    totals.paused += u32::from(paused && !late_first);
                }
                if let Some((_, users)) = host.adapters.loaded.get_mut(&stream.adapter) {
                    *users = users.saturating_sub(1);
                }
                let (request, longest_ms) = (*request, stream.longest_ms);
                reports.push_back((end, Report::Ended { request, longest_ms }));
                false
            });
        }
        host.step = host.next_step(&self.streams, start, chunk, pace);
    }

    fn deliver(&mut self) {
        let due = self.now_ms - MESSAGE_MS;
        let now = at(self.now_ms);
        let (ready, later) =
            std::mem::take(&mut self.reports).into_iter().partition(|(at, _)| *at <= due);
        self.reports = later;
        let ready: VecDeque<(f64, Report)> = ready;
        for (_, report) in ready {
            match report {
                Report::Began { request, after_ms, pace } => {
                    if self.load.states_pace {
                        self.scheduler.record_pace(1, request, pace, now);
                    }
                    let after = Duration::from_secs_f64(after_ms / 1e3);
                    self.scheduler.request_began(1, request, after, now);
                }
                Report::Ended { request, longest_ms } => {
                    self.streams.remove(&request);
                    if self.load.states_gap {
                        let longest = Duration::from_secs_f64(longest_ms / 1e3);
                        self.scheduler.request_paused(1, request, longest, now);
                    }
                    self.scheduler.request_ended(1, request, Outcome::Done, now);
                }
            }
        }
    }
}

impl Host {
    /// Moves the prompts that are read to the decoding streams.
    fn end_step(&mut self, streams: &mut BTreeMap<u64, Stream>, mut read: f64, now_ms: f64) {
        while let Some((arrival, request)) = self.waiting.front().copied()
            && arrival <= now_ms
            && read > 0.0
        {
            let stream = streams.get_mut(&request).expect("waiting");
            let part = stream.unread.min(read);
            stream.unread -= part;
            read -= part;
            if stream.unread > 0.0 {
                return;
            }
            self.waiting.pop_front();
            self.decoding.push(request);
        }
    }

    /// Returns the end of a step that starts at `start`, and the prompt tokens that it reads.
    fn next_step(
        &self,
        streams: &BTreeMap<u64, Stream>,
        start: f64,
        chunk: f64,
        pace: f64,
    ) -> Option<(f64, f64)> {
        let arrived = self.waiting.iter().filter(|(arrival, _)| *arrival <= start);
        let unread: f64 = arrived.map(|(_, request)| streams[request].unread).sum();
        if unread == 0.0 && self.decoding.is_empty() {
            return None;
        }
        let read = unread.min(chunk);
        Some((start + (STEP_MS + read / self.speed) * pace, read))
    }
}
