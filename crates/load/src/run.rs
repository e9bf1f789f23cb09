//! Runs a plan against a site.

use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use stub::client::Client;
use stub::clock;
use stub::record::Record;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::endpoints;
use crate::plan::Plan;
use crate::report::Report;
use crate::send::Sender;
use crate::settings::Action;
use crate::settings::Run;
use crate::tally::Tally;

/// How long an action's target may take to answer.
const LIMIT: Duration = Duration::from_secs(10);

/// The violations that are reported word by word.
const PROBLEMS: usize = 20;

/// What the engines had recorded at the end of the warm-up.
struct Mark {
    at_ms: u64,
    records: Vec<Option<Record>>,
}

/// Sends the requests of a run at their times and reports what became of them.
pub async fn run(settings: &Run) -> Report {
    let start = Instant::now();
    let warmup = Duration::from_secs_f64(settings.warmup_seconds);
    let deadline = Duration::from_millis(settings.deadline_ms);
    let marked = tokio::spawn(mark(settings.clone(), start + warmup));
    let actions: JoinSet<Option<String>> =
        settings.actions.iter().map(|action| act(action.clone(), start)).collect();
    let (samples, mut received) = mpsc::unbounded_channel();
    let collector = tokio::spawn(async move {
        let mut tally = Tally::new(deadline, warmup);
        while let Some(event) = received.recv().await {
            match event {
                Ok(sample) => tally.add(sample),
                Err(at) => tally.unsent(at),
            }
        }
        tally
    });
    let sender = Arc::new(Sender::new(settings));
    let mut requests = JoinSet::new();
    for arrival in Plan::new(settings) {
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
    if let Ok(mark) = marked.await {
        add_records(settings, &mark, &mut report).await;
    }
    report
}

async fn mark(settings: Run, at: Instant) -> Mark {
    tokio::time::sleep_until(at).await;
    Mark { at_ms: clock::now(), records: endpoints::read(&settings.engines, true).await }
}

/// Adds what the engines and the store recorded since the mark.
async fn add_records(settings: &Run, mark: &Mark, report: &mut Report) {
    let seconds = (clock::now() - mark.at_ms) as f64 / 1_000.0;
    let after = endpoints::read(&settings.engines, false).await;
    if !settings.engines.is_empty() {
        let mut engines = endpoints::sum(&mark.records, &after, seconds, report.answered);
        engines.regretted = endpoints::regretted(&after, mark.at_ms);
        report.engines = Some(engines);
    }
    let store = match &settings.store {
        Some(address) => endpoints::read_store(address).await,
        None => None,
    };
    if settings.store.is_some() && store.is_none() {
        report.problems.push("the store did not answer for its record".to_owned());
    }
    let violations = endpoints::violations(&after, store.as_ref(), mark.at_ms);
    report.violations = violations.len() as u64;
    report.problems.extend(violations.into_iter().take(PROBLEMS));
}

/// Carries out an action at its time; returns what went wrong.
async fn act(action: Action, start: Instant) -> Option<String> {
    tokio::time::sleep_until(start + Duration::from_secs_f64(action.at_seconds.max(0.0))).await;
    let body = action.body.as_ref().map(ToString::to_string).unwrap_or_default();
    let what = format!("{} {}{}", action.method, action.address, action.path);
    let Ok(method) = Method::from_bytes(action.method.as_bytes()) else {
        return Some(format!("{what}: no such method"));
    };
    match Client::new(action.token.clone())
        .send(method, &action.address, &action.path, body, LIMIT)
        .await
    {
        Ok(answer) if answer.status().is_success() => None,
        Ok(answer) => Some(format!("{what}: {}", answer.status())),
        Err(error) => Some(format!("{what}: {error}")),
    }
}
