//! The bounds of docs/design/quotas.md on what is admitted, over seeds and faults.

mod sim;

use std::time::Duration;

use sim::Demand;
use sim::for_sites;
use sim::run;

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
