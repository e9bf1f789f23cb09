//! The configuration grows by many routes and is then changed some hundred times. The platform kills a process that uses
//! more than its memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::Verdict;
use crate::record::Record;
use crate::site;
use crate::site::KEEPER_MEMORY_MB;
use crate::site::Site;

/// The number of keepers.
pub const KEEPERS: u8 = 3;
/// The routes by which the configuration grows in a step, and the number of steps.
pub const ROUTES_PER_STEP: usize = 350;
pub const STEPS: usize = 16;
/// The limit on the changes after it has grown.
const MAX_CHANGES: u64 = 900;
/// The time after which no more changes are sent.
const LENGTH: Duration = Duration::from_secs(95);
/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The ends of its own from which a machine counts for the rule, and the machines that must have as many.
const MAX_ENDS: u32 = 3;
const MACHINES: usize = 2;

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Arc::new(Site::start(record, 1, KEEPERS)?);
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<BTreeMap<u8, u32>>> = Arc::default();
    let platform = {
        let (record, site, stop, ends) = (record.clone(), site.clone(), stop.clone(), ends.clone());
        thread::spawn(move || limit_memory(&record, &site, &stop, &ends))
    };
    let steps = if trouble { STEPS } else { 0 };
    let patience = Duration::from_secs(4);
    let mut version = 0;
    for step in 0..=steps {
        version += 1;
        site.publish(&config(version, step * ROUTES_PER_STEP), patience, Duration::from_secs(30))?;
    }
    record
        .line(&format!("operator: version {version} with {} routes", 1 + steps * ROUTES_PER_STEP));
    let mut slowest = Duration::ZERO;
    for change in 1..=MAX_CHANGES {
        version += 1;
        let took = site.publish(
            &config(version, steps * ROUTES_PER_STEP),
            patience,
            Duration::from_secs(30),
        )?;
        slowest = slowest.max(took);
        if change % 20 == 0 {
            record.line(&format!(
                "operator: {change} changes, version {version} acknowledged after {} ms",
                took.as_millis()
            ));
        }
        let over = ends
            .lock()
            .expect("no holder panics")
            .values()
            .filter(|ends| **ends >= MAX_ENDS)
            .count();
        if over >= MACHINES || record.now() > LENGTH {
            break;
        }
    }
    stop.store(true, Ordering::SeqCst);
    platform.join().map_err(|_| "the platform has failed")??;
    let ends = ends.lock().expect("no holder panics");
    record.line(&format!("the slowest acknowledgement took {} ms", slowest.as_millis()));
    record.line(&format!("processes that ended because of their memory, by keeper: {ends:?}"));
    let broken = ends.values().filter(|ends| **ends >= MAX_ENDS).count() >= MACHINES;
    Ok(if broken { Verdict::Broken } else { Verdict::Held })
}

/// Kills and restarts each keeper that uses more than its memory, until `stop` is set.
pub fn limit_memory(
    record: &Record,
    site: &Site,
    stop: &AtomicBool,
    ends: &Mutex<BTreeMap<u8, u32>>,
) -> Result<(), String> {
    let mut turn = 0u32;
    while !stop.load(Ordering::SeqCst) {
        let mut used = Vec::new();
        for keeper in 0..KEEPERS {
            let name = format!("keeper-{keeper}");
            let Some(mb) = site.memory_mb(&name) else { continue };
            used.push(mb);
            if mb <= KEEPER_MEMORY_MB {
                continue;
            }
            record.line(&format!("platform: {name} uses {mb} MB of {KEEPER_MEMORY_MB}"));
            site.kill(&[name]);
            *ends.lock().expect("no holder panics").entry(keeper).or_default() += 1;
            thread::sleep(RESTART_DELAY);
            site.start_keeper(keeper, false)?;
        }
        turn += 1;
        if turn % 20 == 0 {
            record.line(&format!("platform: memory of the keepers in MB: {used:?}"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

/// Returns a configuration with `routes` routes more. Each version changes the time-out of one of them.
fn config(version: u64, routes: usize) -> String {
    let first = [site::route("switch", "/switch/", "unsafe", "switchyard", 1)];
    grown_config(version, routes, &first, &[site::service("switchyard")])
}

/// The same with other routes before those and with these services, one of which is `switchyard`.
pub fn grown_config(version: u64, routes: usize, first: &[String], services: &[String]) -> String {
    let mut all = first.to_vec();
    all.extend((0..routes).map(|number| {
        site::route(&format!("r-{number}"), &format!("/more{number}/"), "safe", "switchyard", 2)
    }));
    let changed = version as usize % all.len();
    let timeout = format!("\"TimeoutMs\":{}", 1_000 + version);
    all[changed] = all[changed].replace("\"TimeoutMs\":1000", &timeout);
    site::config(version, &all, services)
}
