//! The workload of a run: determinism, rate, popularity, popularity changes.

use std::collections::BTreeMap;

use base::Name;
use load::settings::Adapters;
use load::settings::Run;
use load::settings::Service;
use load::workload::Arrival;
use load::workload::Kind;
use load::workload::Workload;

fn settings() -> Run {
    let adapters = Adapters { count: 1000, ..Adapters::default() };
    Run { rate: 100.0, seconds: 100.0, adapters, ..Run::default() }
}

fn most_popular(arrivals: &[Arrival]) -> (Name, f64) {
    let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
    for arrival in arrivals {
        if let Kind::Completion { adapter, .. } = &arrival.kind {
            *counts.entry(adapter.clone()).or_default() += 1;
        }
    }
    let (adapter, count) = counts.into_iter().max_by_key(|(_, count)| *count).unwrap();
    (adapter, count as f64 / arrivals.len() as f64)
}

#[test]
fn a_workload_is_determined_by_its_seed() {
    let run = settings();
    let one: Vec<Arrival> = Workload::new(&run).collect();
    let other: Vec<Arrival> = Workload::new(&run).collect();
    assert_eq!(one, other);
    let third: Vec<Arrival> = Workload::new(&Run { seed: 2, ..run }).collect();
    assert_ne!(one, third);
}

#[test]
fn arrivals_are_a_poisson_process_of_the_configured_rate() {
    let arrivals: Vec<Arrival> = Workload::new(&settings()).collect();
    let count = arrivals.len() as f64;
    assert!((9_500.0..10_500.0).contains(&count), "{count} arrivals");
    let long = arrivals.windows(2).filter(|pair| (pair[1].at - pair[0].at).as_millis() >= 10);
    let share = long.count() as f64 / count;
    // An exponentially distributed gap exceeds its mean with probability 1/e.
    assert!((0.34..0.40).contains(&share), "{share} of the gaps exceed the mean");
}

#[test]
fn popularity_follows_a_zipf_distribution_and_changes_at_a_flip() {
    let run = Run { flips: vec![50.0], ..settings() };
    let arrivals: Vec<Arrival> = Workload::new(&run).collect();
    let split = arrivals.iter().position(|arrival| arrival.at.as_secs_f64() >= 50.0).unwrap();
    let (before, share) = most_popular(&arrivals[..split]);
    let (after, _) = most_popular(&arrivals[split..]);
    let harmonic: f64 = (1..=1000).map(|rank| f64::from(rank).powf(-1.1)).sum();
    assert!((share - 1.0 / harmonic).abs() < 0.02, "{share} against {}", 1.0 / harmonic);
    assert_ne!(before, after);
}

#[test]
fn the_number_of_requests_is_limited_and_prompts_and_keys_are_unique() {
    let service = Service {
        kind: Name::from("ledger"),
        path: Name::from("/sign"),
        percent: 30,
        repeat_percent: 50,
    };
    let run = Run { requests: 500, service: Some(service), ..settings() };
    let arrivals: Vec<Arrival> = Workload::new(&run).collect();
    assert_eq!(arrivals.len(), 500);
    let mut seen: Vec<String> = arrivals
        .iter()
        .map(|arrival| match &arrival.kind {
            Kind::Completion { prompt, .. } => prompt.clone(),
            Kind::Call { key, .. } => key.to_string(),
        })
        .collect();
    seen.sort();
    seen.dedup();
    assert_eq!(seen.len(), 500);
    let calls = arrivals.iter().filter(|arrival| matches!(arrival.kind, Kind::Call { .. })).count();
    assert!((100..200).contains(&calls), "{calls} calls of 500");
}
