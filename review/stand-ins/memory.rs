//! The configuration grows by many routes and is then changed some hundred times. The platform kills a keeper that uses
//! more than its memory.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::record::Record;
use crate::site;
use crate::site::KEEPER_MEMORY_MB;
use crate::site::Site;

/// The number of keepers.
pub const KEEPERS: u8 = 3;
/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// The routes by which the configuration grows in a step (`big_config`), the steps, and the time between them.
const ROUTES_PER_STEP: usize = 350;
const STEPS: usize = 38;
const STEP_GAP: Duration = Duration::from_millis(500);
/// The time between two of the changes that follow (`config_storm` with `gap_s = 0.33`).
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// The time after which no more changes are sent.
const LENGTH: Duration = Duration::from_secs(108);
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
    let mut version = 0;
    let mut publish = |routes: usize, gap: Duration| -> Result<(), String> {
        let start = Instant::now();
        version += 1;
        let first = [site::route("switch", "/switch/", "unsafe", "switchyard", 1)];
        let config = grown_config(version, routes, &first, &[site::service("switchyard")]);
        site.publish(&config, Duration::from_secs(4), Duration::from_secs(30))?;
        thread::sleep(gap.saturating_sub(start.elapsed()));
        Ok(())
    };
    for step in 0..=steps {
        publish(step * ROUTES_PER_STEP, STEP_GAP)?;
    }
    record.line(&format!("operator: the configuration has {} routes", 1 + steps * ROUTES_PER_STEP));
    let mut changes = 0;
    let machines_over = || {
        let ends = ends.lock().expect("no holder panics");
        ends.values().filter(|ends| **ends >= MAX_ENDS).count()
    };
    while record.now() < LENGTH && machines_over() < MACHINES {
        publish(steps * ROUTES_PER_STEP, CHANGE_GAP)?;
        changes += 1;
    }
    stop.store(true, Ordering::SeqCst);
    platform.join().map_err(|_| "the platform has failed")??;
    let broken = machines_over() >= MACHINES;
    record.line(&format!(
        "operator: {changes} changes; processes that ended because of their memory, by keeper: {:?}",
        ends.lock().expect("no holder panics")
    ));
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

/// Returns a configuration with these routes and `routes` more, and with these services, one of which is `switchyard`. Each
/// version changes the time-out of one route.
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
