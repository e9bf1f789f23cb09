//! Benchmark of the two commits of a non-idempotent request, with a group of three keepers in one process:
//! `cargo run --release -p keeper --example journal -- DIRECTORY CALLERS BATCH SECONDS`.
//!
//! `DIRECTORY` is the parent of the data directories of the keepers, or `-` to keep all state in memory. Prints
//! the rate of claim and finish pairs per second and the latency of a pair in milliseconds.

use std::error::Error;
use std::net::TcpListener;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use base::Name;
use conf::Config;
use conf::Entry;
use keeper::Keeper;
use keeper::Options;
use state::Command;
use state::Outcome;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;
use state::view::Gate;
use tokio::task::JoinSet;
use wire::keeper::KeeperClient;
use wire::keeper::Renewal;

type BoxError = Box<dyn Error + Send + Sync>;

/// The keepers of the group.
const KEEPERS: usize = 3;
/// The size of each response, in bytes.
const ANSWER_BYTES: usize = 512;
/// The renewal interval of the lease.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [directory, callers, batch, seconds] = arguments.as_slice() else {
        return Err("expected DIRECTORY CALLERS BATCH SECONDS".into());
    };
    let callers: usize = callers.parse()?;
    let end = Duration::from_secs_f64(seconds.parse()?);
    let config = settings(directory)?;
    let _keepers = start(&config, batch.parse()?).await?;
    let leader = client(&config.entries[0].keeper).await?;
    let lease = tokio::spawn(renew_lease(leader.clone()));
    while leader.status(tarpc::context::current()).await?.voters.len() < KEEPERS {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for caller in 0..callers {
        let client = client(&config.entries[0].keeper).await?;
        tasks.spawn(run(client, caller, start + end));
    }
    let mut latencies = Vec::new();
    while let Some(result) = tasks.join_next().await {
        latencies.extend(result??);
    }
    lease.abort();
    report(latencies, start.elapsed());
    Ok(())
}

fn settings(directory: &str) -> Result<Config, BoxError> {
    let mut config = Config::default();
    for index in 0..KEEPERS {
        let socket = TcpListener::bind("127.0.0.1:0")?;
        let host = Name::from(format!("h{index}"));
        let data = (directory != "-").then(|| Path::new(directory).join(host.as_str()));
        let keeper = Name::from(socket.local_addr()?.to_string());
        config.entries.push(Entry { host, keeper, data, ..Entry::default() });
    }
    Ok(config)
}

async fn start(config: &Config, max_batch: usize) -> Result<Vec<Keeper>, BoxError> {
    let mut keepers = Vec::new();
    for entry in &config.entries {
        let mut options = Options::new(config.clone(), entry.host.clone());
        options.bootstrap = keepers.is_empty();
        options.max_batch = max_batch;
        keepers.push(Keeper::start(options).await?);
    }
    Ok(keepers)
}

async fn client(address: &str) -> Result<KeeperClient, BoxError> {
    let transport = wire::transport::connect(address).await?;
    Ok(KeeperClient::new(tarpc::client::Config::default(), transport).spawn())
}

/// Renews the lease of the gate that claims the keys.
async fn renew_lease(client: KeeperClient) {
    let gate = Gate {
        name: Name::from("g"),
        incarnation: 1,
        domain: Name::default(),
        address: Name::default(),
        peer: Name::default(),
        relay: Name::default(),
    };
    loop {
        let renewal = Renewal { gate: gate.clone(), applied: 0, leave: false };
        client.renew(tarpc::context::current(), renewal).await.ok();
        tokio::time::sleep(RENEWAL_INTERVAL).await;
    }
}

/// Claims and finishes one key after another until `end`; returns the latency of each pair.
async fn run(client: KeeperClient, caller: usize, end: Instant) -> Result<Vec<Duration>, BoxError> {
    let mut latencies = Vec::new();
    for number in 0.. {
        let start = Instant::now();
        if start >= end {
            break;
        }
        let key = Key {
            scope: Name::from("ledger"),
            key: Name::from(format!("{caller:08}-0000-0000-0000-{number:012}")),
        };
        let claim = Claim {
            key: key.clone(),
            digest: 1,
            request: Name::from(format!("{caller}-{number}")),
            gate: Name::from("g"),
            incarnation: 1,
            created_ms: None,
        };
        let claimed = Command::Claim { claim, now_ms: 0 };
        let outcome = client.submit(tarpc::context::current(), claimed).await??;
        let Outcome::Claimed { claim } = outcome else { return Err(format!("{outcome:?}").into()) };
        let body = Some(vec![0; ANSWER_BYTES].into());
        let answer = Answer { status: 200, content_type: Name::from("text/plain"), body };
        let finished = Command::Finish { key, claim, answer, now_ms: 0 };
        client.submit(tarpc::context::current(), finished).await??;
        latencies.push(start.elapsed());
    }
    Ok(latencies)
}

fn report(mut latencies: Vec<Duration>, elapsed: Duration) {
    latencies.sort();
    let quantile_ms =
        |share: f64| latencies[((latencies.len() - 1) as f64 * share) as usize].as_secs_f64() * 1e3;
    println!(
        "{} pairs, {:.0} per second, p50 {:.2} ms, p99 {:.2} ms",
        latencies.len(),
        latencies.len() as f64 / elapsed.as_secs_f64(),
        quantile_ms(0.5),
        quantile_ms(0.99)
    );
}
