//! When which request is to be sent: a pure function of the settings and the seed.

use std::time::Duration;

use base::Name;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::settings::Run;
use crate::zipf::Zipf;

/// A request to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Arrival {
    /// When, from the start.
    pub at: Duration,
    /// Its number from 0.
    pub number: u64,
    /// The caller that sends it.
    pub caller: Name,
    /// What it asks for.
    pub kind: Kind,
}

/// What a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A completion.
    Completion {
        /// The adapter.
        adapter: Name,
        /// The prompt; no other request has the same.
        prompt: String,
        /// Whether the answer is streamed.
        stream: bool,
        /// Whether it is in the shape of a chat.
        chat: bool,
    },
    /// A non-idempotent call of the service.
    Call {
        /// The idempotency key.
        key: Name,
        /// Whether the key is sent a second time.
        repeat: bool,
    },
}

/// The requests of a run in the order of their times.
#[derive(Debug)]
pub struct Workload {
    run: Run,
    rng: StdRng,
    zipf: Zipf,
    /// The flips to come, the next at the end.
    flips: Vec<f64>,
    seconds: f64,
    number: u64,
}

impl Workload {
    /// Makes the plan of a run.
    pub fn new(run: &Run) -> Workload {
        let mut flips = run.flips.clone();
        flips.sort_by(|left, right| right.total_cmp(left));
        let mut rng = StdRng::seed_from_u64(run.seed);
        let mut zipf = Zipf::new(run.adapters.count, run.adapters.zipf);
        zipf.shuffle(&mut rng);
        Workload { run: run.clone(), rng, zipf, flips, seconds: 0.0, number: 0 }
    }

    fn percent(&mut self, percent: u8) -> bool {
        self.rng.random_range(0..100) < percent
    }

    fn kind(&mut self) -> Kind {
        let calls =
            self.run.service.as_ref().map(|service| (service.percent, service.repeat_percent));
        if let Some((percent, repeat_percent)) = calls
            && self.percent(percent)
        {
            let key = Name::from(
                uuid::Builder::from_random_bytes(self.rng.random()).into_uuid().to_string(),
            );
            return Kind::Call { key, repeat: self.percent(repeat_percent) };
        }
        let index = self.zipf.draw(&mut self.rng);
        let stream = self.percent(self.run.stream_percent);
        let chat = self.percent(self.run.chat_percent);
        Kind::Completion { adapter: self.adapter(index), prompt: self.prompt(index), stream, chat }
    }

    fn adapter(&self, index: usize) -> Name {
        let adapters = &self.run.adapters;
        let number = index + 1;
        Name::from(format!("{}{number:0digits$}", adapters.prefix, digits = adapters.digits))
    }

    /// Returns a prompt that begins like others for the adapter and ends like none.
    fn prompt(&mut self, index: usize) -> String {
        let prefix = self.rng.random_range(0..self.run.prefixes);
        let end = format!(" {}-{}", self.run.seed, self.number);
        let beginning = format!("{index}/{prefix} summarise these vendor quotes line by line. ");
        let length = self.run.prompt_bytes.saturating_sub(end.len());
        let mut prompt: String = beginning.chars().cycle().take(length).collect();
        prompt.push_str(&end);
        prompt
    }
}

impl Iterator for Workload {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let gap: f64 = 1.0 - self.rng.random::<f64>();
        self.seconds += -gap.ln() / self.run.rate;
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
