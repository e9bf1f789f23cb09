//! The bounds of docs/design/quotas.md on what is admitted, over seeds and faults.

mod sim;

use std::time::Duration;

use fleet::tenant::Quota;
use rand::RngExt;
use sim::Site;
use sim::quota;

/// What callers send: the demand in limits per window, and the gates of which a part of the demand goes to few.
#[derive(Clone, Copy, Debug)]
struct Demand {
    /// The units that are sent, as a multiple of the sustained rate.
    rate: f64,
    /// The gates that get four fifths of the requests; they change every two seconds.
    few: usize,
    /// Whether callers send only what the limit of a window that is longer by [`MARGIN`] allows.
    within: bool,
}

/// By how much the ledger counts a unit for longer than the window, and the time of messages.
const MARGIN: Duration = Duration::from_millis(1_010);

/// Sends requests for a time.
fn run(site: &mut Site, demand: Demand, time: Duration) {
    let end = site.now + time;
    let mut debt = 0.0;
    let mut sent = std::collections::VecDeque::new();
    let mut sum = 0;
    let step = 0.005;
    while site.now < end {
        debt += demand.rate * site.quota.rate * step;
        while debt > 0.0 {
            let most = (site.quota.limit().min(site.stale.limit()) / 16).clamp(1, 7_000);
            let units = site.rng.random_range(1..=most);
            let gates = site.gates.len();
            let favoured = site.rng.random_bool(0.8) && demand.few > 0;
            let moved = site.now.as_secs() as usize / 2 * 7;
            let gate = match favoured {
                true => (moved + site.rng.random_range(0..demand.few)) % gates,
                false => site.rng.random_range(0..gates),
            };
            debt -= units as f64;
            if demand.within {
                let from = site.now.saturating_sub(sim::WINDOW + MARGIN);
                while let Some((_, units)) = sent.pop_front_if(|(at, _)| *at < from) {
                    sum -= units;
                }
                if sum + units > site.quota.limit() {
                    continue;
                }
                sent.push_back((site.now, units));
                sum += units;
            }
            site.request(gate, units);
        }
        site.step();
    }
}

const QUOTAS: [(f64, f64); 4] =
    [(4_000.0, 5_800.0), (40_000.0, 80_000.0), (400_000.0, 400_000.0), (4_000.0, 0.0)];
const GATES: [usize; 6] = [1, 2, 5, 28, 74, 700];

/// Calls `check` with sites of several sizes, quotas and seeds.
fn for_sites(check: impl Fn(Site, Quota, u64)) {
    let mut seed = 0;
    for gates in GATES {
        for (rate, burst) in QUOTAS {
            seed += 1;
            check(Site::new(gates, quota(rate, burst), seed), quota(rate, burst), seed);
        }
    }
}

// Guards against gates that together admit more than the limit, and against a limit that is lost in its division.
#[test]
fn with_a_leader_the_limit_is_kept_and_used() {
    for_sites(|mut site, quota, seed| {
        for (rate, few) in [(1.5, 0), (6.0, 1), (3.0, 4)] {
            run(&mut site, Demand { rate, few, within: false }, Duration::from_secs(60));
        }
        let most = site.busiest(Duration::ZERO);
        assert!(most <= quota.limit(), "seed {seed}: {most} of {}", quota.limit());
        let admitted = site.admitted_in(Duration::ZERO, site.now) as f64;
        // Without a burst a unit is counted for up to a slice too long. The last request of a window may not fit.
        let counted = if quota.burst > 0.0 { 1.0 } else { 8.0 / 8.1 };
        let least = quota.rate * site.now.as_secs_f64() * counted * 0.97;
        assert!(admitted >= least, "seed {seed}: {admitted}, at least {least}");
    });
}

// Guards against refusals of a tenant that is within its limit.
#[test]
fn within_the_limit_nothing_is_refused() {
    for_sites(|mut site, _, seed| {
        run(&mut site, Demand { rate: 1.5, few: 3, within: true }, Duration::from_secs(60));
        assert!(site.refused.is_empty(), "seed {seed}: {:?}", &site.refused[..1]);
    });
}
