//! A site of keepers in the test process, on loopback addresses.

#![allow(dead_code)]

mod link;

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::path::Path;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Map;
use base::Name;
use conf::Config;
use conf::Entry;
use keeper::Keeper;
use keeper::Options;
use state::Change;
use state::Command;
use state::Outcome;
use state::View;
use state::command::Configure;
use state::view::Endpoint;
use state::view::Gate;
use state::view::Role;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::KeeperClient;
use wire::keeper::Renewal;
use wire::keeper::Status;

use link::Link;

/// The timeout of waiting for a condition.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout of one RPC call.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// A site of keepers.
pub(crate) struct Site {
    pub(crate) config: Config,
    pub(crate) keepers: Map<Name, Keeper>,
    pub(crate) snapshot_after_entries: u64,
    /// The links by source and destination host.
    links: Map<(Name, Name), Link>,
}

impl Site {
    /// Creates the settings of a site of `count` keepers. With `data`, each keeper has a data directory there.
    pub(crate) fn new(count: usize, data: Option<&Path>) -> Site {
        let mut config = Config::default();
        config.timing.heartbeat_ms = 30;
        config.timing.election_ms = 150;
        config.timing.lease_ms = 600;
        config.timing.call_ms = 400;
        let ip = loopback_address();
        let sockets: Vec<TcpListener> =
            (0..2 * count).map(|_| TcpListener::bind((ip, 0)).unwrap()).collect();
        let address = |at: usize| Name::from(sockets[at].local_addr().unwrap().to_string());
        for index in 0..count {
            config.entries.push(Entry {
                host: Name::from(format!("h{index}")),
                keeper: address(2 * index),
                keeper_admin: address(2 * index + 1),
                data: data.map(|path| path.join(format!("h{index}"))),
                ..Entry::default()
            });
        }
        Site {
            config,
            keepers: Map::default(),
            snapshot_after_entries: 8_192,
            links: Map::default(),
        }
    }

    /// Creates a site without data directories, starts all keepers and waits until all are voters.
    pub(crate) async fn start_new(count: usize) -> Site {
        let mut site = Site::new(count, None);
        site.start_all().await;
        site
    }

    pub(crate) async fn start_all(&mut self) {
        for host in self.hosts() {
            self.start(&host, host.as_str() == "h0").await;
        }
        self.wait_until_settled().await;
    }

    /// Adds a link between each two keepers, by which a keeper can be isolated.
    pub(crate) fn add_links(&mut self) {
        for from in self.hosts() {
            for entry in self.config.entries.iter().filter(|entry| entry.host != from) {
                let link = Link::start(entry.keeper.clone());
                self.links.insert((from.clone(), entry.host.clone()), link);
            }
        }
    }

    /// Isolates a keeper from the others, or reconnects it. Connections stay open, so that the keepers do not
    /// notice the partition by an error.
    pub(crate) fn set_isolated(&self, host: &str, isolated: bool) {
        for ((from, to), link) in &self.links {
            if from.as_str() == host || to.as_str() == host {
                link.set_open(!isolated);
            }
        }
    }

    /// Returns the settings of one keeper, which reaches the others through its links.
    fn settings(&self, host: &str) -> Config {
        let mut config = self.config.clone();
        for entry in &mut config.entries {
            if let Some(link) = self.links.get(&(Name::from(host), entry.host.clone())) {
                entry.keeper = link.address.clone();
            }
        }
        config
    }

    pub(crate) async fn start(&mut self, host: &str, bootstrap: bool) {
        let mut options = Options::new(self.settings(host), Name::from(host));
        options.bootstrap = bootstrap;
        options.snapshot_after_entries = self.snapshot_after_entries;
        // The socket of the previous keeper may not be closed yet.
        let keeper =
            wait_until("the keeper starts", async || Keeper::start(options.clone()).await.ok());
        self.keepers.insert(Name::from(host), keeper.await);
    }

    /// Ends a keeper without a shutdown, as a crash would.
    pub(crate) fn crash(&mut self, host: &str) {
        self.keepers.remove(host);
    }

    pub(crate) fn hosts(&self) -> Vec<Name> {
        self.config.entries.iter().map(|entry| entry.host.clone()).collect()
    }

    pub(crate) fn running(&self) -> Vec<Name> {
        let hosts = self.hosts();
        hosts.into_iter().filter(|host| self.keepers.contains_key(host)).collect()
    }

    pub(crate) async fn client(&self, host: &str) -> Option<KeeperClient> {
        let address = &self.config.entry(host).unwrap().keeper;
        let connect = tokio::time::timeout(CALL_TIMEOUT, wire::transport::connect(address));
        let transport = connect.await.ok()?.ok()?;
        Some(KeeperClient::new(tarpc::client::Config::default(), transport).spawn())
    }

    pub(crate) async fn status(&self, host: &str) -> Option<Status> {
        self.client(host).await?.status(context()).await.ok()
    }

    /// Waits until all running keepers are voters and agree on the leader; returns its host.
    pub(crate) async fn wait_until_settled(&self) -> Name {
        wait_until("the keepers agree on a leader", async || {
            let mut leaders = Vec::new();
            for host in self.running() {
                let status = self.status(&host).await?;
                let votes = self.running().iter().all(|host| status.voters.contains(host));
                if !votes || !status.learners.is_empty() {
                    return None;
                }
                leaders.push(status.leader?);
            }
            leaders.dedup();
            (leaders.len() == 1).then(|| leaders.remove(0))
        })
        .await
    }

    /// Calls the running keepers in turn until the leader executes the call.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFn(KeeperClient) -> Result<Result<T, Fault>, tarpc::client::RpcError>,
    ) -> Result<T, Fault> {
        wait_until("the leader responds", async || {
            for host in self.running() {
                let Some(client) = self.client(&host).await else { continue };
                match call(client).await {
                    Ok(Err(Fault::NotLeader { .. } | Fault::Unknown)) | Err(_) => {}
                    Ok(result) => return Some(result),
                }
            }
            None
        })
        .await
    }

    pub(crate) async fn submit(&self, command: &Command) -> Outcome {
        self.call(async |client| client.submit(context(), command.clone()).await).await.unwrap()
    }

    pub(crate) async fn renew(&self, renewal: &Renewal) -> Result<Grant, Fault> {
        self.call(async |client| client.renew(context(), renewal.clone()).await).await
    }

    pub(crate) async fn view(&self) -> View {
        self.call(async |client| client.view(context()).await).await.unwrap()
    }
}

/// Returns a loopback address that only this site uses, so that no other process takes a port of a keeper
/// that is down.
fn loopback_address() -> Ipv4Addr {
    static SITES: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, SITES.fetch_add(1, Ordering::Relaxed))
}

/// Returns the context of an RPC call with the timeout of the tests.
pub(crate) fn context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + CALL_TIMEOUT;
    context
}

/// Polls until there is a value and returns it. Panics with the condition after the timeout.
pub(crate) async fn wait_until<T>(condition: &str, mut poll: impl AsyncFnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = poll().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out: {condition}"))
}

/// Creates a renewal of a gate.
pub(crate) fn renewal(gate: &str, incarnation: u64, applied: u64) -> Renewal {
    let gate = Gate {
        name: Name::from(gate),
        incarnation,
        domain: Name::from("d"),
        address: Name::from("127.0.0.1:1"),
        peer: Name::from("127.0.0.1:1"),
        relay: Name::from("127.0.0.1:1"),
    };
    Renewal { gate, applied, leave: false }
}

/// Creates a command that registers an engine.
pub(crate) fn register_engine(name: &str) -> Command {
    Command::Register {
        endpoint: Endpoint {
            name: Name::from(name),
            address: Name::from("127.0.0.1:2"),
            host: Name::from(name),
            domain: Name::from("d"),
            role: Role::Engine { base: Name::from("b"), slots: 6, batch: 16 },
            fenced: true,
            generation: 1,
        },
    }
}

/// Creates a command that creates an adapter.
pub(crate) fn create_adapter(adapter: &str) -> Command {
    let adapter = Name::from(adapter);
    let change = Change::CreateAdapter { adapter: adapter.clone(), base: Name::from("b") };
    Command::Configure(Configure {
        id: adapter,
        expect: None,
        author: Name::from("ann"),
        change,
        now_ms: 0,
    })
}
