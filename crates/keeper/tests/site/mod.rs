//! A site of keepers in this process, on loopback ports.

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

/// The time after which a test gives up waiting for a condition.
const PATIENCE: Duration = Duration::from_secs(20);
/// The pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(10);
/// The time that one call may take.
const CALL: Duration = Duration::from_millis(500);

/// A site of keepers.
pub(crate) struct Site {
    pub(crate) config: Config,
    pub(crate) keepers: Map<Name, Keeper>,
    pub(crate) snapshot_after_entries: u64,
    /// The links by the hosts that they lead from and to.
    links: Map<(Name, Name), Link>,
}

impl Site {
    /// Prepares a site of `count` keepers; those with a folder in `data` keep their state there.
    pub(crate) fn new(count: usize, data: Option<&Path>) -> Site {
        let mut config = Config::default();
        config.timing.heartbeat_ms = 30;
        config.timing.election_ms = 150;
        config.timing.lease_ms = 600;
        config.timing.call_ms = 400;
        let ip = address();
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

    /// Starts all keepers and waits until all vote.
    pub(crate) async fn started(count: usize) -> Site {
        let mut site = Site::new(count, None);
        site.start_all().await;
        site
    }

    pub(crate) async fn start_all(&mut self) {
        for host in self.hosts() {
            self.start(&host, host.as_str() == "h0").await;
        }
        self.settled().await;
    }

    /// Puts a link that can be cut between each two keepers.
    pub(crate) fn link(&mut self) {
        for from in self.hosts() {
            for entry in self.config.entries.iter().filter(|entry| entry.host != from) {
                let link = Link::start(entry.keeper.clone());
                self.links.insert((from.clone(), entry.host.clone()), link);
            }
        }
    }

    /// Cuts a keeper off from the others without a sign, or mends its links.
    pub(crate) fn cut(&self, host: &str, cut: bool) {
        for ((from, to), link) in &self.links {
            if from.as_str() == host || to.as_str() == host {
                link.set_open(!cut);
            }
        }
    }

    /// Returns the settings of one keeper: the others are behind its links.
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
        // The former keeper's socket may take a moment to close.
        let keeper = until("the keeper starts", async || Keeper::start(options.clone()).await.ok());
        self.keepers.insert(Name::from(host), keeper.await);
    }

    /// Ends a keeper as a crash would.
    pub(crate) fn kill(&mut self, host: &str) {
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
        let connect = tokio::time::timeout(CALL, wire::transport::connect(address));
        let transport = connect.await.ok()?.ok()?;
        Some(KeeperClient::new(tarpc::client::Config::default(), transport).spawn())
    }

    pub(crate) async fn status(&self, host: &str) -> Option<Status> {
        self.client(host).await?.status(context()).await.ok()
    }

    /// Waits until one keeper leads, all running ones follow it, and all of them vote.
    pub(crate) async fn settled(&self) -> Name {
        until("the keepers agree", async || {
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

    /// Makes a call at each running keeper until the leader carries it out.
    pub(crate) async fn call<T>(
        &self,
        call: impl AsyncFn(KeeperClient) -> Result<Result<T, Fault>, tarpc::client::RpcError>,
    ) -> Result<T, Fault> {
        until("the leader answers", async || {
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

/// Returns a loopback address of this site's own: nobody else takes a port there while a keeper of
/// the site is down.
fn address() -> Ipv4Addr {
    static SITES: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 1 + high % 250, low, SITES.fetch_add(1, Ordering::Relaxed))
}

/// Returns the context of a call.
pub(crate) fn context() -> tarpc::context::Context {
    let mut context = tarpc::context::current();
    context.deadline = std::time::Instant::now() + CALL;
    context
}

/// Waits until there is a value.
pub(crate) async fn until<T>(what: &str, mut look: impl AsyncFnMut() -> Option<T>) -> T {
    let wait = async {
        loop {
            if let Some(value) = look().await {
                return value;
            }
            tokio::time::sleep(PAUSE).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap_or_else(|_| panic!("timed out: {what}"))
}

/// Makes a renewal of a gate.
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

/// Makes a command that registers an engine.
pub(crate) fn register(name: &str) -> Command {
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

/// Makes a command that creates an adapter.
pub(crate) fn create(adapter: &str) -> Command {
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
