//! Start and stop of a keeper.

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
use crate::driver::Driver;
use crate::driver::MIN_SNAPSHOT_AFTER_BYTES;
use crate::enroll;
use crate::error::Error;
use crate::history::History;
use crate::metrics::Metrics;
use crate::peer::Peers;
use crate::request::Request;
use crate::server;
use crate::storage::Storage;
use crate::transfer::Assembler;

/// The capacity of the queue of the driver, in requests; calls beyond it are rejected as busy.
const QUEUE_CAPACITY: usize = 8_192;
/// The maximum size of the entries in one message between replicas, in bytes.
const MAX_BATCH_BYTES: usize = 1 << 20;
/// The size of a part of a larger entry or snapshot, in bytes. Unused as long as no replica is named
/// as a receiver of parts.
const PART_BYTES: usize = 64 << 10;
/// The maximum size of an entry or snapshot, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;
/// The maximum size of the entries on the way to a replica, in bytes.
const MAX_IN_FLIGHT_BYTES: usize = 16 << 20;
/// The maximum size of the entries behind the latest snapshot that stay in memory, in bytes.
const RETAINED_BYTES: usize = 32 << 20;
/// The number of entries after which a snapshot is taken.
const SNAPSHOT_AFTER_ENTRIES: u64 = 8_192;
/// The maximum number of requests that share one write of the log.
const MAX_BATCH: usize = 512;
/// The time to send the last replies after the driver has ended.
const REPLY_FLUSH_TIME: Duration = Duration::from_millis(50);

/// Options of a keeper.
#[derive(Clone, Debug)]
pub struct Options {
    /// The settings of the site.
    pub config: Config,
    /// The host that the keeper runs on.
    pub host: Name,
    /// Whether to create a new Raft group; exactly one keeper of a site does so, once.
    pub bootstrap: bool,
    /// The number of entries after which a snapshot is taken.
    pub snapshot_after_entries: u64,
    /// The maximum number of requests that share one write of the log.
    pub max_batch: usize,
}

impl Options {
    /// Creates options with default limits, without bootstrap.
    pub fn new(config: Config, host: Name) -> Options {
        Options {
            config,
            host,
            bootstrap: false,
            snapshot_after_entries: SNAPSHOT_AFTER_ENTRIES,
            max_batch: MAX_BATCH,
        }
    }
}

/// A running keeper. Dropping it aborts all tasks without a shutdown, as a crash would.
#[derive(Debug)]
pub struct Keeper {
    inbox: mpsc::Sender<Request>,
    driver: JoinHandle<Result<(), Error>>,
    /// The tasks besides the driver; aborted when this is dropped.
    tasks: JoinSet<()>,
}

impl Keeper {
    /// Starts a keeper and listens on its addresses.
    ///
    /// # Errors
    ///
    /// The host is unknown, an address is in use, or the data directory cannot be read.
    pub async fn start(options: Options) -> Result<Keeper, Error> {
        let host = options.host.clone();
        let entry = options.config.entry(&host).cloned();
        let entry = entry.ok_or(Error::UnknownHost(host))?;
        let rpc_listener = listen("keeper", &entry.keeper).await?;
        let metrics = Metrics::new()?;
        let (inbox, receiver) = mpsc::channel(QUEUE_CAPACITY);
        let mut tasks = JoinSet::new();
        if !entry.keeper_admin.is_empty() {
            let listener = listen("keeper_admin", &entry.keeper_admin).await?;
            let (metrics, inbox) = (metrics.clone(), inbox.clone());
            tasks.spawn(async move {
                admin::serve(listener, metrics, inbox).await.ok();
            });
        }
        let driver = create_driver(&options, &entry, metrics).await?;
        let member = Member { id: driver.node.id(), host: options.host.to_string() };
        base::event!(INFO, Event::Started, host = %options.host, replica = member.id);
        tasks.spawn(server::serve(rpc_listener, inbox.clone()));
        tasks.spawn(enroll::run(options.config, member, inbox.clone()));
        let driver = tokio::spawn(driver.run(receiver));
        Ok(Keeper { inbox, driver, tasks })
    }

    /// Waits until the keeper ends.
    ///
    /// # Errors
    ///
    /// The error that ended the keeper.
    pub async fn wait(&mut self) -> Result<(), Error> {
        match (&mut self.driver).await {
            Ok(result) => result,
            Err(error) => Err(Error::Task(error.to_string())),
        }
    }

    /// Stops after all calls in progress are answered or the call timeout has passed.
    ///
    /// # Errors
    ///
    /// The error that ended the keeper before.
    pub async fn stop(mut self) -> Result<(), Error> {
        base::event!(INFO, Event::Stopping, "stopping the keeper");
        self.inbox.send(Request::Stop).await.ok();
        let result = self.wait().await;
        tokio::time::sleep(REPLY_FLUSH_TIME).await;
        self.tasks.abort_all();
        result
    }
}

impl Drop for Keeper {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Creates the driver with the state in the data directory.
async fn create_driver(
    options: &Options,
    entry: &Entry,
    metrics: Metrics,
) -> Result<Driver, Error> {
    let config = options.config.clone();
    let timing = &config.timing;
    let limits = Limits {
        retention_ms: config.journal.retention_ms,
        answer_bytes: config.journal.answer_bytes,
        keys: config.journal.keys,
        ..Limits::default()
    };
    let clock = Clock::start();
    let raft_config = raft::node::Config {
        heartbeat_interval: Duration::from_millis(timing.heartbeat_ms),
        election_timeout: Duration::from_millis(timing.election_ms),
        max_batch_bytes: MAX_BATCH_BYTES,
        part_bytes: PART_BYTES,
        max_object_bytes: MAX_OBJECT_BYTES,
        max_in_flight_bytes: MAX_IN_FLIGHT_BYTES,
        retained_bytes: RETAINED_BYTES,
        seed: rand::random(),
    };
    let (storage, recovered) = Storage::open(entry).await?;
    let machine = match &recovered.stored.snapshot {
        Some(snapshot) => Machine::restore(limits, &snapshot.data)?,
        None => Machine::new(limits),
    };
    let applied = recovered.stored.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
    let creates_group =
        options.bootstrap && recovered.is_new() && !enroll::group_exists(options).await;
    let mut node = Node::new(recovered.id, raft_config, recovered.stored, clock.now());
    let mut group = recovered.group;
    if creates_group {
        group = rand::random_range(1..=u64::MAX);
        node.bootstrap(Member { id: recovered.id, host: options.host.to_string() });
    }
    let peers = Peers::start(&config, &options.host);
    Ok(Driver {
        limits,
        host: options.host.clone(),
        group,
        identity_written: !creates_group,
        clock,
        node,
        machine,
        applied,
        snapshot_index: applied,
        snapshot_after_entries: options.snapshot_after_entries,
        max_batch: options.max_batch.max(1),
        applied_bytes: 0,
        snapshot_after_bytes: MIN_SNAPSHOT_AFTER_BYTES,
        history: History::default(),
        storage,
        peers,
        deferred_ready: VecDeque::new(),
        deferred_requests: Vec::new(),
        hosts: Map::default(),
        assembler: Assembler::default(),
        leadership: None,
        metrics,
        stop_requested: None,
        config,
    })
}

async fn listen(setting: &'static str, address: &Name) -> Result<TcpListener, Error> {
    let listener = TcpListener::bind(address.as_str()).await;
    listener.map_err(|source| Error::Listen { setting, address: address.clone(), source })
}
