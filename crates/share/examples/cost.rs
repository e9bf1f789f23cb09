//! Measures the processor time of the usage of tenants: `cargo run --release -p share --example cost`.

use std::time::Duration;
use std::time::Instant;

use base::Name;
use share::Usage;

/// The requests that are recorded.
const REQUESTS: u32 = 1_000_000;
/// The time between two requests: 1,000 requests per second.
const INTERVAL: Duration = Duration::from_millis(1);

fn main() {
    for count in [16, 10_000] {
        let tenants: Vec<Name> =
            (0..count).map(|number| Name::from(format!("tenant-{number}"))).collect();
        let mut usage = Usage::new(Duration::from_secs(4));
        usage.set_weights(tenants.iter().map(|tenant| (tenant.clone(), 1.0)));
        let (mut now, mut sum, start) = (Duration::ZERO, 0.0, Instant::now());
        for request in 0..REQUESTS {
            now += INTERVAL;
            let tenant = &tenants[request as usize * 7 % tenants.len()];
            sum += usage.excess(tenant, now);
            usage.record(tenant, 2_400.0, now);
        }
        let each = start.elapsed() / REQUESTS;
        println!(
            "{count} tenants: {each:?} for each request (mean excess {:.2})",
            sum / f64::from(REQUESTS)
        );
    }
}
