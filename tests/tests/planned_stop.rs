//! A rolling restart of all gates and keepers under load does not fail any request.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use site_tests::Client;
use site_tests::Options;
use site_tests::Site;

/// Timeout for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
const ADDRESSES_MS: u64 = 1_000;

/// Sends requests to the gates in turn until `stop` is set and returns the failures.
///
/// Caches the addresses of the gates for the `keep_ms` that the site states.
async fn run_caller(
    client: Client,
    first: String,
    number: usize,
    stop: Arc<AtomicBool>,
) -> Vec<String> {
    let mut addresses = vec![first];
    let mut refreshed = Instant::now() - Duration::from_secs(60);
    let mut max_age = Duration::ZERO;
    let mut failures = Vec::new();
    let mut turn = number;
    while !stop.load(Ordering::Relaxed) {
        if refreshed.elapsed() >= max_age {
            for address in addresses.clone() {
                let Ok(answer) = client.get(&format!("http://{address}/v1/addresses")).await else {
                    continue;
                };
                let body = answer.json();
                let list = body["addresses"].as_array().cloned().unwrap_or_default();
                let list = list.iter().filter_map(|item| item["address"].as_str());
                addresses = list.map(str::to_owned).collect();
                max_age = Duration::from_millis(body["keep_ms"].as_u64().unwrap_or(0));
                refreshed = Instant::now();
                break;
            }
        }
        turn += 1;
        let address = &addresses[turn % addresses.len()];
        let body = r#"{"model":"quotes@v1","prompt":"again","max_tokens":20}"#;
        let sent =
            client.send("POST", &format!("http://{address}/v1/completions"), &[], body).await;
        match sent {
            Ok(answer) if answer.status == 200 => {}
            Ok(answer) => failures.push(format!("{address}: {}", answer.text())),
            Err(error) => failures.push(format!("{address}: {error}")),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    failures
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_under_load() {
    let adjust = |config: &mut conf::Config| config.timing.addresses_ms = ADDRESSES_MS;
    let mut site = Site::start(Options { services: 0, adjust, ..Options::default() }).await;
    site.create_adapter("quotes", 1).await;
    let stop = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..6)
        .map(|number| {
            let first = site.config.entries[number % 5].gate.to_string();
            tokio::spawn(run_caller(Client::default(), first, number, Arc::clone(&stop)))
        })
        .collect();
    for number in 1..=5 {
        for kind in ["gate", "keeper"] {
            let name = format!("{kind}-{number}");
            let status = tokio::task::block_in_place(|| site.process(&name).stop(STOP_TIMEOUT));
            assert!(status.success(), "{name}: {status}");
            site.process(&name).restart();
        }
        site.wait_ready(3).await;
    }
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        assert_eq!(caller.await.expect("the caller does not panic"), Vec::<String>::new());
    }
}
