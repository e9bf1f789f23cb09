//! The requests of a run and their scheduled times: a pure function of the settings and the seed.

use std::time::Duration;

use base::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::settings::Run;
use crate::zipf::Zipf;

/// A request and its scheduled time.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// The scheduled time, relative to the start of the run.
    pub at: Duration,
    /// The sequence number, from 0.
    pub number: u64,
    /// The caller that sends it.
    pub caller: Name,
    /// The kind of request.
    pub kind: Kind,
}

/// The kind of a request and its parameters.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A completion.
    Completion {
        /// The adapter.
        adapter: Name,
        /// The prompt; unique among the requests of a run.
        prompt: String,
        /// Whether the response is streamed.
        stream: bool,
        /// Whether it is a chat completion.
        chat: bool,
    },
    /// A non-idempotent call to the service.
    Call {
        /// The idempotency key.
        key: Name,
        /// Whether the key is sent a second time.
        repeat: bool,
    },
}

/// An iterator over the requests of a run in the order of their scheduled times.
#[derive(Debug)]
pub struct Workload {
    run: Run,
    rng: StdRng,
    zipf: Zipf,
    /// The times of future popularity changes, in descending order.
    flips: Vec<f64>,
    /// The scheduled time of the last request, in seconds.
    seconds: f64,
    /// The number of the next request.
    number: u64,
}

impl Workload {
    /// Creates the workload of a run.
    pub fn new(run: &Run) -> Workload {
        let mut flips = run.flips.clone();
        flips.sort_by(|left, right| right.total_cmp(left));
        let mut rng = StdRng::seed_from_u64(run.seed);
        let mut zipf = Zipf::new(run.adapters.count, run.adapters.zipf);
        zipf.shuffle(&mut rng);
        Workload { run: run.clone(), rng, zipf, flips, seconds: 0.0, number: 0 }
    }

    /// Returns true with a probability of `percent`.
    fn chance(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn kind(&mut self) -> Kind {
        let calls =
            self.run.service.as_ref().map(|service| (service.percent, service.repeat_percent));
        if let Some((percent, repeat_percent)) = calls
            && self.chance(percent)
        {
            let key = Name::from(
                uuid::Builder::from_random_bytes(self.rng.random()).into_uuid().to_string(),
            );
            return Kind::Call { key, repeat: self.chance(repeat_percent) };
        }
        let index = self.zipf.sample(&mut self.rng);
        let stream = self.chance(self.run.stream_percent);
        let chat = self.chance(self.run.chat_percent);
        Kind::Completion { adapter: self.adapter(index), prompt: self.prompt(index), stream, chat }
    }

    fn adapter(&self, index: usize) -> Name {
        let adapters = &self.run.adapters;
        let number = index + 1;
        Name::from(format!("{}{number:0digits$}", adapters.prefix, digits = adapters.digits))
    }

    /// Returns a prompt with one of the adapter's shared prefixes and a unique suffix.
    fn prompt(&mut self, index: usize) -> String {
        let prefix = self.rng.random_range(0..self.run.prefixes);
        let suffix = format!(" {}-{}", self.run.seed, self.number);
        let beginning = format!("{index}/{prefix} summarise these vendor quotes line by line. ");
        let length = self.run.prompt_bytes.saturating_sub(suffix.len());
        let mut prompt: String = beginning.chars().cycle().take(length).collect();
        prompt.push_str(&suffix);
        prompt
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // An exponentially distributed gap: the argument of the logarithm is in (0, 1].
        let uniform: f64 = 1.0 - self.rng.random::<f64>();
        self.seconds += -uniform.ln() / self.run.rate;
        if self.seconds >= self.run.seconds || self.number >= self.run.requests {
            return None;
        }
        while self.flips.last().is_some_and(|flip| *flip <= self.seconds) {
            self.flips.pop();
            self.zipf.shuffle(&mut self.rng);
        }
        let at = Duration::from_secs_f64(self.seconds);
        let caller = Name::from(format!("caller-{}", self.rng.random_range(0..self.run.callers)));
        let arrival = Arrival { at, number: self.number, caller, kind: self.kind() };
        self.number += 1;
        Some(arrival)
    }
}
