//! What a stand-in saw, for tests and reports.

use std::collections::BTreeMap;

use base::Event;
use base::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::clock;

/// The most runs, loads and violations that are kept; the oldest go first.
pub const MAX_ITEMS: usize = 200_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// It is in progress.
    Running,
    /// The whole answer was handed over.
    Complete,
    /// The owner cancelled it or went away.
    Cancelled,
    /// A fault cut the answer.
    Cut,
    /// The stand-in restarted or crashed.
    Crashed,
    /// A load failed.
    Failed,
}

/// A request that ran, if only in part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// Its number, in the order of the starts.
    pub number: u64,
    /// The id of the request.
    pub request: Name,
    /// What it ran on; none at a plain service.
    pub model: Option<Model>,
    /// The idempotency key, where it had one.
    pub key: Option<Name>,
    /// The digest of the body.
    pub digest: u64,
    /// The fencing number that it carried.
    pub fence: u64,
    /// The run of the stand-in.
    pub generation: u64,
    /// When it started, in milliseconds since 1970.
    pub start_ms: u64,
    /// When it ended, in milliseconds since 1970; 0 while it runs.
    pub end_ms: u64,
    /// How it ended.
    pub end: Status,
}

/// A load or an unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the adapter.
    pub model: Model,
    /// Whether it was loaded; unloaded otherwise.
    pub load: bool,
    /// When it was begun, in milliseconds since 1970.
    pub start_ms: u64,
    /// When it ended, in milliseconds since 1970.
    pub end_ms: u64,
    /// How it ended.
    pub end: Status,
}

/// Something that must never happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// When, in milliseconds since 1970.
    pub at_ms: u64,
    /// What kind.
    pub kind: Kind,
    /// What exactly, for people.
    pub what: String,
}

/// The kinds of [`Violation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An order to evict an adapter that a request is using.
    UnloadInUse,
    /// An order or request of a former owner was carried out by one that checks no fencing number.
    StaleFence,
    /// A non-idempotent call ran again.
    RanTwice,
    /// More loads were asked for than the store allows.
    RateExceeded,
}

/// What an engine or a service did.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the stand-in.
    pub name: Name,
    /// Its run.
    pub generation: u64,
    /// The requests that ran.
    pub runs: Vec<Run>,
    /// The loads and unloads.
    pub changes: Vec<Change>,
    /// What must never happen and did.
    pub violations: Vec<Violation>,
    /// The runs by idempotency key.
    pub keys: base::Map<Name, u32>,
    /// The totals.
    pub totals: Totals,
}

/// Totals since the start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// The requests of a full batch.
    pub batch: u32,
    /// The runs begun.
    pub begun: u64,
    /// The runs that ended complete.
    pub complete: u64,
    /// The runs cancelled.
    pub cancelled: u64,
    /// The loads begun.
    pub loads: u64,
    /// The loads that failed.
    pub failed_loads: u64,
    /// The unloads.
    pub unloads: u64,
    /// The time with one run or more, in milliseconds.
    pub busy_ms: f64,
    /// The sum over time of the number of runs, in milliseconds.
    pub run_ms: f64,
    /// The tokens generated.
    pub tokens: u64,
    /// The requests refused because the adapter was not loaded.
    pub not_loaded: u64,
    /// The requests refused because the batch and the queue were full.
    pub busy: u64,
}

impl Totals {
    /// Returns how full the batch was while there was work, from 0 to 1.
    pub fn fill(&self) -> f64 {
        let full = self.busy_ms * f64::from(self.batch);
        if full > 0.0 { self.run_ms / full } else { 0.0 }
    }
}

/// Drops the oldest items beyond [`MAX_ITEMS`].
pub(crate) fn trim<T>(items: &mut Vec<T>) {
    if items.len() > MAX_ITEMS {
        items.drain(..MAX_ITEMS / 10);
    }
}

/// A request that begins to run.
pub(crate) struct Start {
    pub(crate) request: Name,
    pub(crate) model: Option<Model>,
    pub(crate) key: Option<Name>,
    pub(crate) digest: u64,
    pub(crate) fence: u64,
}

/// Keeps a [`Record`] and the runs in progress.
pub(crate) struct Recorder {
    record: Record,
    /// The runs in progress by number; none of them is in `record`.
    running: BTreeMap<u64, Run>,
    /// The number of the last run; never reset.
    last: u64,
    /// Until when the times in the totals are counted.
    last_update: Instant,
}

impl Recorder {
    pub(crate) fn new(name: Name, generation: u64, batch: u32) -> Recorder {
        let totals = Totals { batch, ..Totals::default() };
        let record = Record { name, generation, totals, ..Record::default() };
        Recorder { record, running: BTreeMap::new(), last: 0, last_update: Instant::now() }
    }

    /// Records that a request runs and returns the number of the run.
    pub(crate) fn begin(&mut self, start: Start) -> u64 {
        self.update_times();
        self.last += 1;
        self.record.totals.begun += 1;
        if let Some(key) = &start.key {
            self.count_key_run(key);
        }
        let run = Run {
            number: self.last,
            request: start.request,
            model: start.model,
            key: start.key,
            digest: start.digest,
            fence: start.fence,
            generation: self.record.generation,
            start_ms: clock::now(),
            end_ms: 0,
            end: Status::Running,
        };
        self.running.insert(self.last, run);
        self.last
    }

    /// Records the end of a run; only the first end counts.
    pub(crate) fn end(&mut self, number: u64, end: Status) {
        self.update_times();
        let Some(mut run) = self.running.remove(&number) else { return };
        run.end = end;
        run.end_ms = clock::now();
        match end {
            Status::Complete => self.record.totals.complete += 1,
            Status::Cancelled => self.record.totals.cancelled += 1,
            _ => {}
        }
        self.record.runs.push(run);
        trim(&mut self.record.runs);
    }

    /// Ends all runs and begins another generation.
    pub(crate) fn restart(&mut self, generation: u64) {
        let numbers: Vec<u64> = self.running.keys().copied().collect();
        for number in numbers {
            self.end(number, Status::Crashed);
        }
        self.record.generation = generation;
    }

    pub(crate) fn record_change(&mut self, change: Change) {
        let totals = &mut self.record.totals;
        match (change.load, change.end) {
            (true, Status::Failed) => totals.failed_loads += 1,
            (true, _) => totals.loads += 1,
            (false, _) => totals.unloads += 1,
        }
        self.record.changes.push(change);
        trim(&mut self.record.changes);
    }

    pub(crate) fn record_violation(&mut self, kind: Kind, what: String) {
        base::event!(ERROR, Event::Violation, what = %what);
        self.record.violations.push(Violation { at_ms: clock::now(), kind, what });
        trim(&mut self.record.violations);
    }

    pub(crate) fn totals(&mut self) -> &mut Totals {
        &mut self.record.totals
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Run> {
        self.running.values()
    }

    pub(crate) fn generation(&self) -> u64 {
        self.record.generation
    }

    /// Returns the record with the runs in progress.
    pub(crate) fn snapshot(&mut self) -> Record {
        self.update_times();
        let mut record = self.record.clone();
        record.runs.extend(self.running.values().cloned());
        record
    }

    /// Returns the record without its lists.
    pub(crate) fn summary(&mut self) -> Record {
        self.update_times();
        let violations = self.record.violations.clone();
        let totals = self.record.totals.clone();
        let name = self.record.name.clone();
        let generation = self.record.generation;
        Record { name, generation, violations, totals, ..Record::default() }
    }

    /// Forgets what was recorded; runs in progress stay.
    pub(crate) fn reset(&mut self) {
        self.update_times();
        let name = self.record.name.clone();
        let totals = Totals { batch: self.record.totals.batch, ..Totals::default() };
        let generation = self.record.generation;
        self.record = Record { name, generation, totals, ..Record::default() };
    }

    fn update_times(&mut self) {
        let passed = self.last_update.elapsed().as_secs_f64() * 1_000.0;
        self.last_update = Instant::now();
        if !self.running.is_empty() {
            self.record.totals.busy_ms += passed;
            self.record.totals.run_ms += passed * self.running.len() as f64;
        }
    }

    fn count_key_run(&mut self, key: &Name) {
        let runs = self.record.keys.entry(key.clone()).or_default();
        *runs += 1;
        if *runs > 1 {
            let what = format!("key {key} ran {runs} times at {}", self.record.name);
            self.record_violation(Kind::RanTwice, what);
        }
    }
}
