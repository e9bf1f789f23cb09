//! Tenants that compete for engines and for the store: whose requests are served in time.

mod common;

use std::time::Duration;

use base::Code;
use base::Name;
use common::Cell;
use common::load::Load;
use common::load::Site;
use common::load::Tenant;
use common::load::Unobserved;
use fleet::limit::Limit;
use fleet::message::Outcome;
use fleet::message::Submission;
use limit::Rate;
use sched::settings::Settings;

const TIME: Duration = Duration::from_secs(30);

/// A site whose engines serve some 150 requests per second, with few adapters.
fn site(seed: u64) -> Site {
    Site {
        engines: 12,
        adapter_slots: 8,
        adapters: 40,
        zipf_exponent: 1.0,
        gates: 5,
        requests_per_s: 130.0,
        store_limit: 8,
        store_loads: 8,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s: 5.0,
        seed,
    }
}

/// Plays tenants with these parts of the requests; the site's rate is that of parts which add up to `usual`. Returns the
/// tenants, first without and then with the sharing among them.
fn play(site: Site, tenants: Vec<Tenant>, usual: f64, time: Duration) -> [Vec<Tenant>; 2] {
    [false, true].map(|shared| {
        let mut load = Load::new(site.clone(), Unobserved);
        load.tenants = tenants.clone();
        if shared {
            load.start_scheduler();
        }
        let parts: u64 = tenants.iter().map(|tenant| tenant.part).sum();
        load.run(time, parts as f64 / usual);
        load.tenants
    })
}

/// Returns the share of a tenant's requests that were served in time.
fn in_time(tenant: &Tenant) -> f64 {
    f64::from(tenant.on_time) / f64::from(tenant.sent.max(1))
}

fn tenants(hot: usize, all: usize) -> Vec<Tenant> {
    (0..all)
        .map(|number| Tenant::new(&format!("t{number}"), if number < hot { 6 } else { 1 }))
        .collect()
}

fn lowest(tenants: &[Tenant]) -> f64 {
    tenants.iter().map(in_time).fold(1.0, f64::min)
}

fn mean(tenants: &[Tenant]) -> f64 {
    tenants.iter().map(in_time).sum::<f64>() / tenants.len() as f64
}

// Guards against a tenant that sends six times its usual load within its quota and takes the answers of the others.
#[test]
fn one_hot_tenant_of_16_does_not_take_the_answers_of_the_others() {
    for seed in 1..=5 {
        let [without, with] = play(site(seed), tenants(1, 16), 16.0, TIME);
        assert!(mean(&without[1..]) < 0.85, "the engines are not short: {without:?}");
        assert!(mean(&with[1..]) > 0.94 && lowest(&with[1..]) > 0.88, "{seed}: {with:?}");
        // It gets what the others leave.
        assert!(in_time(&with[0]) > 0.2, "{seed}: {with:?}");
    }
}

// Guards against hot tenants that together raise the mean, so that none of them seems to be over its share.
#[test]
fn three_hot_tenants_do_not_take_the_answers_of_the_others() {
    for seed in 1..=5 {
        let [without, with] = play(site(seed), tenants(3, 16), 16.0, TIME);
        assert!(mean(&without[3..]) < 0.6, "the engines are not short: {without:?}");
        assert!(mean(&with[3..]) > 0.92 && lowest(&with[3..]) > 0.87, "{seed}: {with:?}");
        assert!(lowest(&with[..3]) > 0.15, "{seed}: {with:?}");
    }
}

// Guards against margins that hold back all tenants, and so leave capacity unused, or that prefer one of them.
#[test]
fn tenants_that_are_all_over_their_share_use_the_whole_capacity_equally() {
    for seed in 1..=5 {
        let [without, with] = play(site(seed), tenants(16, 16), 16.0, TIME);
        assert!(mean(&with) > 0.95 * mean(&without), "{} {}", mean(&with), mean(&without));
        assert!(lowest(&with) > 0.7 * mean(&with), "{seed}: {with:?}");
    }
}

// Guards against sharing that costs anything where no tenant sends more than another.
#[test]
fn many_tenants_with_one_request_each_are_served_as_without_tenants() {
    let time = Duration::from_secs(5);
    let counts = (1..=5).map(|seed| {
        // 195 requests per second, 1.5 times the usual rate.
        let [without, with] = play(site(seed), tenants(0, 1_000), 1_000.0 / 1.5, time);
        let served = |tenants: &[Tenant]| tenants.iter().map(|tenant| tenant.on_time).sum::<u32>();
        (served(&without), served(&with))
    });
    let (without, with) = counts.fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
    assert!(f64::from(with) > 0.97 * f64::from(without), "{without} {with}");
}

// Guards against a tenant whose only adapter is rare and which each of its requests has to load while the store is full.
#[test]
fn a_tenant_with_a_single_rare_adapter_is_served() {
    let (mut rare, mut others) = (0.0, 0.0);
    for seed in 1..=5 {
        let mut all = tenants(0, 16);
        all.iter_mut().for_each(|tenant| tenant.part = 20);
        all.push(Tenant { adapter: Some(Name::from("rare")), ..Tenant::new("rare", 1) });
        let site = Site { adapters: 1_500, adapter_slots: 3, ..site(seed) };
        let [_, with] = play(site, all, 160.0, TIME);
        rare += in_time(&with[16]);
        others += mean(&with[..16]);
    }
    assert!(rare > others / 4.0, "{rare} {others}");
}

// Guards against a tenant that fills the queue, so that the requests of the others are refused at once.
#[test]
fn a_full_queue_has_room_for_a_tenant_with_fewer_requests_in_it() {
    let mut cell = Cell::with_settings(1, Settings { max_queued: 4, ..Settings::default() });
    let mut plan = common::plan();
    let tenant = |name| fleet::tenant::Tenant {
        name: Name::from(name),
        keys: Vec::new(),
        rank: None,
        quota: None,
    };
    plan.tenants = vec![tenant("hot"), tenant("other")];
    cell.scheduler.set_plan(&plan);
    let endpoint = cell.engines.keys().next().cloned().expect("an engine");
    let rate = Rate::new(5.0);
    cell.scheduler.set_limit(&Limit { endpoint, born: 1, rate }, cell.now);
    let submit = |cell: &mut Cell, request, name| {
        let query = common::query(request, "");
        let submission = Submission { query, tenant: Some(Name::from(name)), gap_ms: 0 };
        cell.scheduler.submit(1, &Name::from("a"), submission, cell.now);
        cell.process_actions();
    };
    // Both have received something, the hot one more.
    for request in 20..30 {
        submit(&mut cell, request, if request == 20 { "other" } else { "hot" });
        cell.advance(220);
        let after = Duration::from_millis(90);
        cell.scheduler.request_began(1, request, after, cell.now);
        cell.end_at_gate(request, Outcome::Done);
    }
    for request in 1..=10 {
        submit(&mut cell, request, "hot");
        cell.now += Duration::from_millis(1);
    }
    let denied = |cell: &Cell| cell.denials.iter().map(|denial| denial.request).collect::<Vec<_>>();
    let waiting: Vec<u64> = (1..=10)
        .filter(|request| {
            !denied(&cell).contains(request) && cell.granted_engine(*request).is_none()
        })
        .collect();
    assert_eq!(waiting.len(), 4, "{:?}", cell.denials);
    submit(&mut cell, 11, "other");
    assert_eq!(cell.denial_code(11), None);
    let displaced = waiting.last().copied().expect("a request");
    assert_eq!(cell.denial_code(displaced), Some(Code::QueueFull));
    submit(&mut cell, 12, "hot");
    assert_eq!(cell.denial_code(12), Some(Code::QueueFull));
    // The other tenant is first in turn, although it came last.
    cell.advance(300);
    let next = cell.grants.last().expect("a grant").request;
    assert_eq!(next, 11, "{:?}", cell.grants);
}
