//! Decayed request counts.

use std::time::Duration;

use base::Name;
use placement::Popularity;
use wire::endpoint::Model;

const HALF_LIFE: Duration = Duration::from_secs(60);

fn model(number: usize) -> Model {
    Model { adapter: Name::from(format!("a{number}")), version: Name::from("1") }
}

fn is_close(left: f64, right: f64) -> bool {
    (left - right).abs() < 1e-6 * right.max(1.0)
}

#[test]
fn counts_halve_after_each_half_life() {
    let mut popularity = Popularity::new(HALF_LIFE, 10_000);
    let start = Duration::from_secs(7);
    (0..4).for_each(|_| popularity.record(&model(1), start));
    assert!(is_close(popularity.decayed_count(&model(1), start), 4.0));
    assert!(is_close(popularity.decayed_count(&model(1), start + HALF_LIFE), 2.0));
    popularity.record(&model(1), start + HALF_LIFE);
    assert!(is_close(popularity.decayed_count(&model(1), start + HALF_LIFE), 3.0));
    assert!(is_close(popularity.decayed_count(&model(2), start), 0.0));
}

#[test]
fn counts_stay_exact_after_a_year() {
    let mut popularity = Popularity::new(HALF_LIFE, 10_000);
    let late = Duration::from_secs(365 * 86_400);
    popularity.record(&model(1), Duration::ZERO);
    (0..8).for_each(|_| popularity.record(&model(1), late));
    assert!(is_close(popularity.decayed_count(&model(1), late), 8.0));
}

#[test]
fn the_hottest_adapters_are_sorted_and_memory_is_bounded() {
    let mut popularity = Popularity::new(HALF_LIFE, 5_000);
    for number in 0..20_000 {
        let requests = if number % 1_000 == 0 { 3 + number / 1_000 } else { 1 };
        let now = Duration::from_millis(number as u64);
        (0..requests).for_each(|_| popularity.record(&model(number), now));
        assert!(popularity.len() <= 5_000);
    }
    let hottest: Vec<Model> = popularity.hottest().take(3).cloned().collect();
    assert_eq!(hottest, [model(19_000), model(18_000), model(17_000)]);
    assert_eq!(popularity.hottest().count(), 1_024);
}

#[test]
fn a_request_after_an_idle_period_reactivates_an_adapter() {
    let mut popularity = Popularity::new(HALF_LIFE, 10_000);
    popularity.record(&model(1), Duration::ZERO);
    popularity.record(&model(1), HALF_LIFE / 2);
    let since = Duration::from_secs(1);
    assert_eq!(popularity.reactivated(since).count(), 0);
    popularity.record(&model(1), HALF_LIFE * 3);
    assert_eq!(popularity.reactivated(since).collect::<Vec<_>>(), [&model(1)]);
}
