//! Measures the overhead of the control plane of an idle site: CPU time, memory and network traffic.
//!
//! `cargo run --release -p site-tests --example control -- ENTRIES ENGINES ADAPTERS`

use std::env;
use std::fs;
use std::time::Duration;

use serde_json::Value;
use site_tests::Options;
use site_tests::Site;

/// Time before the measurement.
const WARMUP: Duration = Duration::from_secs(3);
/// Duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(10);
/// Unit of the CPU times in `/proc` (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// The total resource usage of the processes of one kind.
#[derive(Default)]
struct Usage {
    processes: f64,
    ticks: f64,
    resident_kb: f64,
}

#[tokio::main]
async fn main() {
    let args: Vec<usize> = env::args().skip(1).filter_map(|arg| arg.parse().ok()).collect();
    let [entries, engines, adapters] = args[..] else {
        eprintln!("usage: control ENTRIES ENGINES ADAPTERS");
        std::process::exit(2);
    };
    let site =
        Site::start(Options { entries, engines, services: 0, proxied: true, ..Options::default() })
            .await;
    create_adapters(&site, adapters).await;
    tokio::time::sleep(WARMUP).await;
    let (bytes, usages) = (transferred_bytes(&site).await, resource_usages(&site));
    tokio::time::sleep(MEASUREMENT).await;
    let (bytes_after, usages_after) = (transferred_bytes(&site).await, resource_usages(&site));
    let seconds = MEASUREMENT.as_secs_f64();
    println!("entries {entries}, engines {engines}, adapters {adapters}");
    for (kind, index) in [("gate", 0), ("keeper", 1)] {
        let (before, after) = (&usages[index], &usages_after[index]);
        println!(
            "{kind}: {:.2}% of a core, {:.1} MB a process",
            100.0 * (after.ticks - before.ticks) / TICKS_PER_SECOND / seconds / after.processes,
            after.resident_kb / after.processes / 1024.0
        );
    }
    for (server, index) in [("keeper", 0), ("peer", 1)] {
        let rate = (bytes_after[index] - bytes[index]) / seconds / entries as f64;
        println!("{server} links: {:.2} KB/s a host, both ways", rate / 1024.0);
    }
}

async fn create_adapters(site: &Site, adapters: usize) {
    let changes: String = (0..adapters)
        .map(|index| {
            format!(
                "{{\"create_adapter\":{{\"adapter\":\"adapter-{index}\",\"base\":\"base-1\"}}}}\n\
                 {{\"create_version\":{{\"adapter\":\"adapter-{index}\",\"version\":\"v1\"}}}}\n"
            )
        })
        .collect();
    let file = site.settings_path().with_file_name("changes.jsonl");
    fs::write(&file, changes).expect("the file can be written");
    site.ctl_ok(&["apply", &file.display().to_string(), "--wait", "10"]).await;
}

/// Returns the bytes transferred on the links between hosts: to keepers, and to the peer ports of gates.
async fn transferred_bytes(site: &Site) -> [f64; 2] {
    let links = site.link_status().await;
    let mut sums = [0.0, 0.0];
    for (name, link) in links.as_object().into_iter().flatten() {
        let index = usize::from(name.ends_with("-peer"));
        if name.ends_with("-keeper") || name.ends_with("-peer") {
            let count = |field: &str| link.get(field).and_then(Value::as_f64).unwrap_or(0.0);
            sums[index] += count("request_bytes") + count("answer_bytes");
        }
    }
    sums
}

/// Returns the resource usage of the gates and of the keepers.
fn resource_usages(site: &Site) -> [Usage; 2] {
    let mut usages = [Usage::default(), Usage::default()];
    for (name, process) in &site.processes {
        let index = match name.split('-').next() {
            Some("gate") => 0,
            Some("keeper") => 1,
            _ => continue,
        };
        let usage = &mut usages[index];
        usage.processes += 1.0;
        usage.ticks += ticks(process.id());
        usage.resident_kb += resident_kb(process.id());
    }
    usages
}

/// Returns the CPU time of a process in clock ticks.
fn ticks(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    // User and system time are fields 14 and 15 of the line, 12 and 13 after the process name.
    [11, 12].iter().filter_map(|index| fields.get(*index)?.parse::<f64>().ok()).sum()
}

fn resident_kb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
