//! The platform kills a keeper that uses more than its memory. Large configurations.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::record::Record;
use crate::site;
use crate::site::KEEPER_MEMORY_MB;
use crate::site::Site;

/// The number of keepers.
pub const KEEPERS: u8 = 3;
/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

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
