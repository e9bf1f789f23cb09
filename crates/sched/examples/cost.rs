//! Measures the processor time of the scheduler on a simulated site: `cargo run --release -p sched
//! --example cost [SEED]`. Events go to no subscriber, so the cost of log lines is not included.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::Duration;

use common::load::Call;
use common::load::Load;
use common::load::Probe;
use common::load::Site;
use nix::time::ClockId;
use nix::time::clock_gettime;

/// Records the processor time of each call.
#[derive(Default)]
struct Timer {
    calls: Vec<(Call, Duration)>,
}

impl Probe for Timer {
    fn call<T>(&mut self, call: Call, run: impl FnOnce() -> T) -> T {
        let started = thread_time();
        let result = run();
        self.calls.push((call, thread_time() - started));
        result
    }
}

fn thread_time() -> Duration {
    Duration::from(clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID).expect("a clock of the thread"))
}

/// Prints the cost since the last report, and what became of the requests.
fn report(name: &str, load: &mut Load<Timer>) {
    let calls = std::mem::take(&mut load.probe.calls);
    let totals = std::mem::take(&mut load.totals);
    let sum: Duration = calls.iter().map(|(_, time)| *time).sum();
    let per_request = sum.as_secs_f64() * 1e6 / totals.submitted as f64;
    println!("{name}: {per_request:.1} us a request; {totals:?}; digest {:016x}", load.digest);
    for call in [Call::Submit, Call::Poll, Call::Other] {
        let mut times: Vec<f64> = calls
            .iter()
            .filter(|(other, _)| *other == call)
            .map(|(_, time)| time.as_secs_f64() * 1e6)
            .collect();
        times.sort_unstable_by(f64::total_cmp);
        let Some(max) = times.last() else { continue };
        let at = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
        println!(
            "  {call:?}: {} calls, {:.1} ms in all; p50 {:.1}, p99 {:.1}, max {max:.1} us",
            times.len(),
            times.iter().sum::<f64>() / 1e3,
            at(0.5),
            at(0.99)
        );
    }
}

fn main() {
    let seed = std::env::args().nth(1).and_then(|seed| seed.parse().ok()).unwrap_or(1);
    let site = Site {
        engines: 140,
        adapter_slots: 6,
        adapters: 10_000,
        zipf_exponent: 1.2,
        gates: 23,
        requests_per_s: 735.0,
        store_limit: 80,
        store_loads: 80,
        load_time: common::COLD_LOAD,
        expected_load_time: common::COLD_LOAD,
        base_loads_per_s: 44.0,
        seed,
    };
    let mut load = Load::new(site, Timer::default());
    load.run(Duration::from_secs(10), 1.0);
    report("start", &mut load);
    load.run(Duration::from_secs(10), 1.0);
    report("steady", &mut load);
    load.run(Duration::from_secs(5), 2.0);
    report("burst", &mut load);
    load.run(Duration::from_secs(5), 1.0);
    report("after the burst", &mut load);
    load.start_scheduler();
    load.submit(400);
    load.run(Duration::from_secs(2), 1.0);
    report("new leader", &mut load);
    load.report_spread = Duration::from_millis(300);
    load.start_scheduler();
    load.submit(400);
    load.run(Duration::from_millis(500), 1.0);
    report("new leader, slow reports", &mut load);
}
