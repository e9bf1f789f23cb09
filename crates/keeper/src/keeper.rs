//! A running keeper.

use std::collections::VecDeque;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use conf::Config;
use conf::Entry;
use raft::message::Member;
use raft::node::Node;
use state::Limits;
use state::Machine;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use crate::admin;
use crate::clock::Clock;
use crate::driver::COMPACT_BYTES;
use crate::driver::Driver;
use crate::enroll;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::request::Request;
use crate::ring::Ring;
use crate::server;
use crate::storage::Storage;
use crate::transfer::Assembly;

/// The requests that wait for the driver; more are answered as busy.
const INBOX: usize = 8_192;
/// The most bytes of entries in one message between replicas.
const BATCH_BYTES: usize = 1 << 20;
/// The entries after which a snapshot is taken.
const COMPACT_ENTRIES: u64 = 8_192;
/// The requests taken before the log is written once for all of them.
const BATCH: usize = 512;
/// The time in which the last answers leave after the driver has ended.
const LINGER: Duration = Duration::from_millis(50);

/// How a keeper starts.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings of the site.
    pub config: Config,
    /// The host that the keeper runs on.
    pub host: Name,
    /// Whether it founds a new group; exactly one keeper of a site does so, once.
    pub bootstrap: bool,
    /// The entries after which a snapshot is taken.
    pub compact_entries: u64,
    /// The most requests that share one write of the log.
    pub batch: usize,
}

impl Options {
    /// Makes the usual options.
    pub fn new(config: Config, host: Name) -> Options {
        Options { config, host, bootstrap: false, compact_entries: COMPACT_ENTRIES, batch: BATCH }
    }
}

/// A running keeper; dropping it ends it at once, as a crash would.
#[derive(Debug)]
pub struct Keeper {
    inbox: mpsc::Sender<Request>,
    driver: JoinHandle<Result<(), Error>>,
    /// Aborted when this is dropped.
    tasks: JoinSet<()>,
}

impl Keeper {
    /// Starts a keeper and listens on its addresses.
    ///
    /// # Errors
    ///
    /// An unknown host, an address that is taken, or files that cannot be read.
    pub async fn start(options: Options) -> Result<Keeper, Error> {
        let host = options.host.clone();
        let entry = options.config.entry(&host).cloned();
        let entry = entry.ok_or(Error::UnknownHost(host))?;
        let calls = listen("keeper", &entry.keeper).await?;
        let metrics = Metrics::new()?;
        let (inbox, receiver) = mpsc::channel(INBOX);
        let mut tasks = JoinSet::new();
        if !entry.keeper_admin.is_empty() {
            let listener = listen("keeper_admin", &entry.keeper_admin).await?;
            let (metrics, inbox) = (metrics.clone(), inbox.clone());
            tasks.spawn(async move {
                admin::serve(listener, metrics, inbox).await.ok();
            });
        }
        let driver = driver(&options, &entry, metrics).await?;
        let member = Member { id: driver.node.id(), host: options.host.to_string() };
        base::event!(INFO, Event::Started, host = %options.host, replica = member.id);
        tasks.spawn(server::serve(calls, inbox.clone()));
        tasks.spawn(enroll::run(options.config, member, inbox.clone()));
        let driver = tokio::spawn(driver.run(receiver));
        Ok(Keeper { inbox, driver, tasks })
    }

    /// Waits until the keeper ends by itself.
    ///
    /// # Errors
    ///
    /// Why it could not go on.
    pub async fn wait(&mut self) -> Result<(), Error> {
        match (&mut self.driver).await {
            Ok(result) => result,
            Err(error) => Err(Error::Task(error.to_string())),
        }
    }

    /// Stops after everything in progress is answered.
    ///
    /// # Errors
    ///
    /// Why it could not go on until then.
    pub async fn stop(mut self) -> Result<(), Error> {
        base::event!(INFO, Event::Stopping, "the keeper stops");
        self.inbox.send(Request::Stop).await.ok();
        let result = self.wait().await;
        tokio::time::sleep(LINGER).await;
        self.tasks.abort_all();
        result
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Makes the driver from what the data folder has.
async fn driver(options: &Options, entry: &Entry, metrics: Metrics) -> Result<Driver, Error> {
    let config = options.config.clone();
    let timing = &config.timing;
    let limits = Limits {
        retention_ms: config.journal.retention_ms,
        answer_bytes: config.journal.answer_bytes,
        keys: config.journal.keys,
        ..Limits::default()
    };
    let clock = Clock::start();
    let times = raft::node::Config {
        heartbeat_interval: Duration::from_millis(timing.heartbeat_ms),
        election_timeout: Duration::from_millis(timing.election_ms),
        max_batch_bytes: BATCH_BYTES,
        seed: rand::random(),
    };
    let (storage, found) = Storage::open(entry).await?;
    let machine = match &found.stored.snapshot {
        Some(snapshot) => Machine::restore(limits, &snapshot.data)?,
        None => Machine::new(limits),
    };
    let applied = found.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let founds = options.bootstrap && found.is_empty() && !enroll::group_exists(options).await;
    let mut node = Node::new(found.id, times, found.stored, clock.now());
    let mut group = found.group;
    if founds {
        group = rand::random_range(1..=u64::MAX);
        node.bootstrap(Member { id: found.id, host: options.host.to_string() });
    }
    let peers = Peers::start(&config, &options.host);
    Ok(Driver {
        limits,
        host: options.host.clone(),
        group,
        identified: !founds,
        clock,
        node,
        machine,
        applied,
        compacted: applied,
        compact_entries: options.compact_entries,
        batch: options.batch.max(1),
        log_bytes: 0,
        compact_bytes: COMPACT_BYTES,
        ring: Ring::default(),
        storage,
        peers,
        put_off: VecDeque::new(),
        late: Vec::new(),
        hosts: Map::default(),
        assembly: Assembly::default(),
        leading: None,
        metrics,
        stopping: None,
        config,
    })
}

async fn listen(setting: &'static str, address: &Name) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address.as_str()).await;
    listener.map_err(|source| Error::Listen { setting, address: address.clone(), source })
}
