//! The record of a stub: runs, loads and violations, for tests and reports.

use std::collections::BTreeMap;

use base::Event;
use base::Name;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use wire::endpoint::Model;

use crate::clock;

/// Maximum number of runs, loads and violations kept in a record; the oldest are dropped first.
pub const MAX_ITEMS: usize = 200_000;

/// The status of a run or a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Status {
    /// In progress.
    Running,
    /// The whole response was sent.
    Complete,
    /// The owner cancelled the run or closed the connection.
    Cancelled,
    /// A fault cut off the response.
    Cut,
    /// The stub restarted or crashed.
    Crashed,
    /// The load failed.
    Failed,
}

/// A request that ran, completely or in part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The number of the run, in start order.
    pub number: u64,
    /// The id of the request.
    pub request: Name,
    /// The adapter version; `None` at a plain service.
    pub model: Option<Model>,
    /// The idempotency key, if any.
    pub key: Option<Name>,
    /// The digest of the prompt, or of the body at a plain service.
    pub digest: u64,
    /// The fencing token of the request.
    pub fence: u64,
    /// The generation of the stub; each restart begins a new one.
    pub generation: u64,
    /// The start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The end, in milliseconds since the Unix epoch; 0 while the run is in progress.
    pub end_ms: u64,
    /// The status.
    pub end: Status,
}

/// A load or an unload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The version of the adapter.
    pub model: Model,
    /// True for a load, false for an unload.
    pub load: bool,
    /// The start, in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// The end, in milliseconds since the Unix epoch.
    pub end_ms: u64,
    /// The status.
    pub end: Status,
}

/// An event that must never happen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Violation {
    /// The time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The kind of violation.
    pub kind: Kind,
    /// A description for the user.
    pub what: String,
}

/// The kinds of [`Violation`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// An order to unload an adapter that a request was using.
    UnloadInUse,
    /// An endpoint that does not check fencing tokens executed an order or a request of a former owner.
    StaleFence,
    /// A non-idempotent call ran more than once.
    RanTwice,
    /// A load exceeded the rate limit of the store.
    RateExceeded,
}

/// The record of an engine or a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the endpoint.
    pub name: Name,
    /// The generation of the stub.
    pub generation: u64,
    /// The requests that ran.
    pub runs: Vec<Run>,
    /// The loads and unloads.
    pub changes: Vec<Change>,
    /// The violations.
    pub violations: Vec<Violation>,
    /// The number of runs by idempotency key.
    pub keys: base::Map<Name, u32>,
    /// The totals.
    pub totals: Totals,
}

/// Totals since the start or the last reset.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// The batch capacity, in requests.
    pub batch: u32,
    /// The runs started.
    pub begun: u64,
    /// The runs that completed.
    pub complete: u64,
    /// The runs cancelled.
    pub cancelled: u64,
    /// The loads that succeeded.
    pub loads: u64,
    /// The loads that failed.
    pub failed_loads: u64,
    /// The unloads.
    pub unloads: u64,
    /// The time with at least one run in progress, in milliseconds.
    pub busy_ms: f64,
    /// The time integral of the number of runs in progress, in run-milliseconds.
    pub run_ms: f64,
    /// The tokens generated.
    pub tokens: u64,
    /// The requests refused because the adapter was not loaded.
    pub not_loaded: u64,
    /// The requests refused because the batch and the queue were full.
    pub busy: u64,
}

impl Totals {
    /// Returns the mean batch fill while at least one run was in progress, from 0 to 1.
    pub fn fill(&self) -> f64 {
        let full = self.busy_ms * f64::from(self.batch);
        if full > 0.0 { self.run_ms / full } else { 0.0 }
    }
}

/// Drops the oldest items, a tenth of [`MAX_ITEMS`], if there are more than that limit.
pub(crate) fn trim<T>(items: &mut Vec<T>) {
    if items.len() > MAX_ITEMS {
        items.drain(..MAX_ITEMS / 10);
    }
}

/// The data of a request that starts to run.
pub(crate) struct Start {
    pub(crate) request: Name,
    pub(crate) model: Option<Model>,
    pub(crate) key: Option<Name>,
    pub(crate) digest: u64,
    pub(crate) fence: u64,
}

/// Maintains a [`Record`] and the runs in progress.
pub(crate) struct Recorder {
    record: Record,
    /// The runs in progress by number; invariant: none of them is in `record`.
    running: BTreeMap<u64, Run>,
    /// The number of the last run; never reset.
    last: u64,
    /// The time up to which `busy_ms` and `run_ms` of the totals are accumulated.
    last_update: Instant,
}

impl Recorder {
    pub(crate) fn new(name: Name, generation: u64, batch: u32) -> Recorder {
        let totals = Totals { batch, ..Totals::default() };
        let record = Record { name, generation, totals, ..Record::default() };
        Recorder { record, running: BTreeMap::new(), last: 0, last_update: Instant::now() }
    }

    /// Records the start of a run and returns its number.
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

    /// Records the end of a run; has no effect if the run has ended already.
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

    /// Ends all runs as crashed and begins a new generation.
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

    /// Returns the record, including the runs in progress.
    pub(crate) fn snapshot(&mut self) -> Record {
        self.update_times();
        let mut record = self.record.clone();
        record.runs.extend(self.running.values().cloned());
        record
    }

    /// Returns the record without runs, changes and keys.
    pub(crate) fn summary(&mut self) -> Record {
        self.update_times();
        let violations = self.record.violations.clone();
        let totals = self.record.totals.clone();
        let name = self.record.name.clone();
        let generation = self.record.generation;
        Record { name, generation, violations, totals, ..Record::default() }
    }

    /// Clears the record; runs in progress are kept.
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
