//! Runs a workload against a site.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use stub::client::Client;
use stub::clock;
use stub::record::Record;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::records;
use crate::report::Report;
use crate::send::Sender;
use crate::settings::Action;
use crate::settings::Run;
use crate::tally::Tally;
use crate::workload::Workload;

/// Request timeout of an action.
const ACTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of violations described in the report.
const MAX_PROBLEMS: usize = 20;

/// The records of the engines at the end of the warm-up.
struct Baseline {
    at_ms: u64,
    records: Vec<Option<Record>>,
}

/// Sends the requests of a run at their scheduled times and returns the report.
pub async fn run(settings: &Run) -> Report {
    let start = Instant::now();
    let warmup = Duration::from_secs_f64(settings.warmup_seconds);
    let deadline = Duration::from_millis(settings.deadline_ms);
    let baseline_task = tokio::spawn(baseline(settings.clone(), start + warmup));
    let actions: JoinSet<Option<String>> =
        settings.actions.iter().map(|action| perform(action.clone(), start)).collect();
    let (samples, mut events) = mpsc::unbounded_channel();
    let collector = tokio::spawn(async move {
        let mut tally = Tally::new(deadline, warmup);
        while let Some(event) = events.recv().await {
            match event {
                Ok(sample) => tally.add(sample),
                Err(at) => tally.add_unsent(at),
            }
        }
        tally
    });
    let sender = Arc::new(Sender::new(settings));
    let mut requests = JoinSet::new();
    for arrival in Workload::new(settings) {
        tokio::time::sleep_until(start + arrival.at).await;
        while requests.try_join_next().is_some() {}
        if requests.len() >= settings.in_progress {
            samples.send(Err(arrival.at)).ok();
            continue;
        }
        let samples = samples.clone();
        let sending = sender.clone().send(arrival, start);
        requests.spawn(async move {
            for sample in sending.await {
                samples.send(Ok(sample)).ok();
            }
        });
    }
    while requests.join_next().await.is_some() {}
    drop(samples);
    let tally = collector.await.expect("the collector does not panic");
    let mut report = tally.finish(settings.seconds - settings.warmup_seconds);
    report.problems.extend(actions.join_all().await.into_iter().flatten());
    if let Ok(baseline) = baseline_task.await {
        add_records(settings, &baseline, &mut report).await;
    }
    report
}

async fn baseline(settings: Run, at: Instant) -> Baseline {
    tokio::time::sleep_until(at).await;
    Baseline { at_ms: clock::now(), records: records::read(&settings.engines, true).await }
}

/// Adds the changes in the records of the engines and the store since the baseline.
async fn add_records(settings: &Run, baseline: &Baseline, report: &mut Report) {
    let seconds = (clock::now() - baseline.at_ms) as f64 / 1_000.0;
    let after = records::read(&settings.engines, false).await;
    if !settings.engines.is_empty() {
        let mut engines = records::aggregate(&baseline.records, &after, seconds, report.answered);
        engines.regretted = records::regretted_evictions(&after, baseline.at_ms);
        report.engines = Some(engines);
    }
    let store = match &settings.store {
        Some(address) => records::read_store(address).await,
        None => None,
    };
    if settings.store.is_some() && store.is_none() {
        report.problems.push("the store did not return its record".to_owned());
    }
    let violations = records::violations(&after, store.as_ref(), baseline.at_ms);
    report.violations = violations.len() as u64;
    report.problems.extend(violations.into_iter().take(MAX_PROBLEMS));
}

/// Sends the request of an action at its time; returns a description of a failure.
async fn perform(action: Action, start: Instant) -> Option<String> {
    tokio::time::sleep_until(start + Duration::from_secs_f64(action.at_seconds.max(0.0))).await;
    let body = action.body.as_ref().map(ToString::to_string).unwrap_or_default();
    let what = format!("{} {}{}", action.method, action.address, action.path);
    let Ok(method) = Method::from_bytes(action.method.as_bytes()) else {
        return Some(format!("{what}: invalid method"));
    };
    match Client::new(action.token.clone())
        .send(method, &action.address, &action.path, body, ACTION_TIMEOUT)
        .await
    {
        Ok(answer) if answer.status().is_success() => None,
        Ok(answer) => Some(format!("{what}: {}", answer.status())),
        Err(error) => Some(format!("{what}: {error}")),
    }
}
