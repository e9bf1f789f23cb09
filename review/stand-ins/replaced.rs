//! Two machines of the core are replaced by empty ones, one after the other, while the configuration is large.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::Outcome;
use crate::Verdict;
use crate::http;
use crate::memory;
use crate::memory::KEEPERS;
use crate::record::Record;
use crate::site;
use crate::site::KEEPER_MEMORY_MB;
use crate::site::Site;

/// The routes by which the configuration grows in a step (`big_config`), the steps, and the time between them.
const ROUTES_PER_STEP: usize = 350;
const STEPS: usize = 16;
const STEP_GAP: Duration = Duration::from_secs(1);
/// The changes afterwards and the time between them (six times `config_storm` with `for_s = 4.0, gap_s = 0.33`).
const CHANGES: usize = 72;
const CHANGE_GAP: Duration = Duration::from_millis(330);
/// The time after which a machine that is gone has a successor (`replace_core` with `x = 2.0`).
const SUCCESSOR_DELAY: Duration = Duration::from_secs(2);
/// The time from the start of the first successor to the end of the second machine; `CatchUpS` is 4 s.
const BETWEEN: Duration = Duration::from_secs(6);
/// The time from the start of the second successor until the configuration is read; `RecoveryS` is 12 s.
const RECOVERY: Duration = Duration::from_secs(12);
/// The time for which it is read; at least the stability window.
const READING: Duration = Duration::from_secs(10);
/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let site = Arc::new(Site::start(record, 1, KEEPERS)?);
    // A control: with GROW=0 the configuration stays small.
    let steps = if std::env::var("GROW").is_ok_and(|value| value == "0") { 0 } else { STEPS };
    let stop = Arc::new(AtomicBool::new(false));
    let mut version = 0;
    let mut acknowledged = 0;
    let mut publish = |routes: usize| -> Result<(), String> {
        version += 1;
        let first = [site::route("switch", "/switch/", "unsafe", "switchyard", 1)];
        let config = memory::grown_config(version, routes, &first, &[site::service("switchyard")]);
        site.publish(&config, Duration::from_secs(4), Duration::from_secs(20))?;
        acknowledged = version;
        Ok(())
    };
    publish(0)?;
    record.line("operator: configuration 1 is acknowledged");
    for step in 1..=steps {
        let start = Instant::now();
        publish(step * ROUTES_PER_STEP)?;
        thread::sleep(STEP_GAP.saturating_sub(start.elapsed()));
    }
    record.line(&format!("operator: the configuration has {} routes", 1 + steps * ROUTES_PER_STEP));
    for _ in 0..CHANGES {
        let start = Instant::now();
        publish(steps * ROUTES_PER_STEP)?;
        thread::sleep(CHANGE_GAP.saturating_sub(start.elapsed()));
    }
    record.line(&format!("operator: version {acknowledged} is acknowledged, the last change"));
    let platform = {
        let (record, site, stop) = (record.clone(), site.clone(), stop.clone());
        thread::spawn(move || limit_memory(&record, &site, &stop))
    };
    let mut running: Vec<u8> = (0..KEEPERS).collect();
    for successor in [KEEPERS, KEEPERS + 1] {
        thread::sleep(BETWEEN);
        if !trouble {
            continue;
        }
        let gone = running.remove(0);
        site.kill(&[format!("keeper-{gone}")]);
        record.line(&format!("platform: the machine of keeper-{gone} is gone for good"));
        thread::sleep(SUCCESSOR_DELAY);
        site.start_keeper(successor, false)?;
        running.push(successor);
    }
    thread::sleep(RECOVERY);
    let controls: Vec<SocketAddr> = running.iter().map(|keeper| site.control(*keeper)).collect();
    let read = read_back(record, &controls, acknowledged);
    stop.store(true, Ordering::SeqCst);
    platform.join().map_err(|_| "the platform has failed")??;
    Ok(if read { Verdict::Held } else { Verdict::Broken })
}

/// Reads the configuration from all nodes in turn; returns whether one answers with the newest version.
fn read_back(record: &Record, controls: &[SocketAddr], newest: u64) -> bool {
    let start = Instant::now();
    let expected = format!("{{\"Version\":{newest},");
    while start.elapsed() < READING {
        for control in controls {
            let timeout = Duration::from_secs(2);
            match http::call(*control, "GET", "/v1/config", &[], b"", timeout) {
                Ok(answer) if answer.status() == 200 => {
                    let is_newest = answer.body.starts_with(expected.as_bytes());
                    record.line(&format!("operator: {control} answers 200, newest: {is_newest}"));
                    return is_newest;
                }
                Ok(answer) => {
                    record.line(&format!("operator: {control} answers {}", answer.status()))
                }
                Err(error) => record.line(&format!("operator: {control}: {error}")),
            }
        }
        thread::sleep(Duration::from_millis(300));
    }
    false
}

/// Kills and restarts each keeper that uses more than its memory, until `stop` is set.
fn limit_memory(record: &Record, site: &Site, stop: &AtomicBool) -> Result<(), String> {
    let mut most = 0;
    while !stop.load(Ordering::SeqCst) {
        for keeper in 0..KEEPERS + 2 {
            let name = format!("keeper-{keeper}");
            let Some(mb) = site.memory_mb(&name) else { continue };
            if mb >= most + 10 {
                most = mb;
                record.line(&format!("platform: {name} uses {mb} MB of {KEEPER_MEMORY_MB}"));
            }
            if mb > KEEPER_MEMORY_MB {
                record.line(&format!("platform: {name} uses {mb} MB of {KEEPER_MEMORY_MB}"));
                site.kill(&[name]);
                thread::sleep(RESTART_DELAY);
                site.start_keeper(keeper, false)?;
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}
