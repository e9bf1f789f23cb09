//! The decisions of a run with a fixed seed. A change of the code that is to keep all decisions
//! leaves them as they are; a change of a decision records them anew, with its reason.

mod common;

use std::time::Duration;

use common::explained::Explained;
use common::load::Load;
use common::load::Site;
use common::load::Totals;
use common::load::Unobserved;

fn site(seed: u64) -> Site {
    Site {
        engines: 24,
        adapter_slots: 4,
        adapters: 1_500,
        zipf_exponent: 1.2,
        gates: 5,
        requests_per_s: 130.0,
        store_limit: 14,
        store_loads: usize::MAX,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s: 5.0,
        seed,
    }
}

/// Plays usual load, a burst, new versions, replaced engines, and a new leader that gets many
/// requests at once. Returns the numbers of requests submitted, granted, denied and on time, the
/// number of orders and the digest of all actions.
fn play(seed: u64, explains: bool) -> String {
    let mut load = Load::new(site(seed), Unobserved);
    load.explained = explains.then(Explained::default);
    load.run(Duration::from_secs(4), 1.0);
    load.publish_version();
    load.run(Duration::from_secs(2), 3.0);
    load.replace_engine(24);
    load.replace_engine(25);
    load.run(Duration::from_secs(2), 1.0);
    load.start_scheduler();
    load.submit(100);
    load.run(Duration::from_secs(3), 1.0);
    result(&load)
}

/// Plays new plans, versions, engines, gates and leaders in turn, with reports that arrive late.
fn play_changes(seed: u64, explains: bool) -> String {
    let mut load = Load::new(site(seed), Unobserved);
    load.explained = explains.then(Explained::default);
    load.report_spread = Duration::from_millis(300);
    for round in 0..3 {
        load.run(Duration::from_secs(1), 1.5);
        load.scheduler.set_plan(&common::plan());
        load.publish_version();
        load.run(Duration::from_millis(500), 3.0);
        load.replace_engine(24 + round);
        load.scheduler.gate_disconnected(round as u64, load.now);
        load.run(Duration::from_millis(500), 0.5);
        load.start_scheduler();
        load.submit(60);
    }
    load.run(Duration::from_secs(1), 1.0);
    result(&load)
}

fn result(load: &Load<Unobserved>) -> String {
    let Totals { submitted, granted, denied, on_time, orders, .. } = load.totals;
    let digest = load.digest;
    format!("{submitted} {granted} {denied} {on_time} {orders} {digest:016x}")
}

#[test]
fn decisions_of_fixed_seeds_are_unchanged() {
    let runs = [1, 2, 3].map(|seed| play(seed, false));
    let recorded = [
        "2390 1796 570 1650 2234 8ea85ee630bc5f58",
        "2237 1762 464 1622 2147 d983c373035a6de8",
        "2293 1806 469 1644 2169 0f60ddee80e728eb",
    ];
    assert_eq!(runs, recorded);
}

#[test]
fn decisions_while_the_site_changes_are_unchanged() {
    let runs = [1, 2, 3].map(|seed| play_changes(seed, false));
    let recorded = [
        "1787 1239 459 1066 1885 2221fea8fd15b3df",
        "1843 1174 569 1035 1685 e70be5547bc3b36f",
        "1833 1191 535 1037 1780 75aa8d1f994c6829",
    ];
    assert_eq!(runs, recorded);
}

/// Guards against an explanation that changes a decision while versions, engines and leaders change.
#[test]
fn explanations_leave_decisions_unchanged() {
    for seed in [1, 2, 3] {
        assert_eq!(play(seed, true), play(seed, false));
        assert_eq!(play_changes(seed, true), play_changes(seed, false));
    }
}
