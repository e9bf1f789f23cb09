//! Measures what control usages an idle site: processor time, memory and bytes a second.
//!
//! `cargo run --release -p site-tests --example control -- ENTRIES ENGINES ADAPTERS`

use std::env;
use std::fs;
use std::time::Duration;

use serde_json::Value;
use site_tests::Options;
use site_tests::Site;

const WARMUP: Duration = Duration::from_secs(3);
const MEASUREMENT: Duration = Duration::from_secs(10);
/// The unit of processor time in `/proc`, in ticks a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// What one kind of process uses.
#[derive(Default)]
struct Usage {
    count: f64,
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
    create(&site, adapters).await;
    tokio::time::sleep(WARMUP).await;
    let (bytes, usages) = (bytes(&site).await, usages(&site));
    tokio::time::sleep(MEASUREMENT).await;
    let (bytes_after, usages_after) = (self::bytes(&site).await, self::usages(&site));
    let seconds = MEASUREMENT.as_secs_f64();
    println!("entries {entries}, engines {engines}, adapters {adapters}");
    for (kind, index) in [("gate", 0), ("keeper", 1)] {
        let (before, after) = (&usages[index], &usages_after[index]);
        println!(
            "{kind}: {:.2}% of a core, {:.1} MB a process",
            100.0 * (after.ticks - before.ticks) / TICKS_PER_SECOND / seconds / after.count,
            after.resident_kb / after.count / 1024.0
        );
    }
    for (face, index) in [("keeper", 0), ("peer", 1)] {
        let rate = (bytes_after[index] - bytes[index]) / seconds / entries as f64;
        println!("{face} links: {:.2} KB/s a host, both ways", rate / 1024.0);
    }
}

async fn create(site: &Site, adapters: usize) {
    let changes: String = (0..adapters)
        .map(|index| {
            format!(
                "{{\"create_adapter\":{{\"adapter\":\"adapter-{index}\",\"base\":\"base-1\"}}}}\n\
                 {{\"create_version\":{{\"adapter\":\"adapter-{index}\",\"version\":\"v1\"}}}}\n"
            )
        })
        .collect();
    let file = site.settings_path().with_file_name("changes.jsonl");
    fs::write(&file, changes).expect("a file of changes");
    site.ctl_ok(&["apply", &file.display().to_string(), "--wait", "10"]).await;
}

/// Returns the bytes that passed between hosts towards keepers and towards gates.
async fn bytes(site: &Site) -> [f64; 2] {
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

/// Returns what the gates and the keepers use.
fn usages(site: &Site) -> [Usage; 2] {
    let mut usages = [Usage::default(), Usage::default()];
    for (name, process) in &site.processes {
        let index = match name.split('-').next() {
            Some("gate") => 0,
            Some("keeper") => 1,
            _ => continue,
        };
        let usage = &mut usages[index];
        usage.count += 1.0;
        usage.ticks += ticks(process.id());
        usage.resident_kb += resident_kb(process.id());
    }
    usages
}

fn ticks(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    // User and system time are the 14th and 15th fields, the 12th and 13th behind the name.
    [11, 12].iter().filter_map(|index| fields.get(*index)?.parse::<f64>().ok()).sum()
}

fn resident_kb(pid: u32) -> f64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.unwrap_or(0.0)
}
