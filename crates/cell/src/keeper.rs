//! A running keeper: accepts links, handles frames and runs the background tasks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use base::Event;
use base::Name;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::revision::Revision;
use link::Inbox;
use link::Link;
use meter::Meter;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::net::TcpListener;
use tokio::runtime::Handle;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::acceptor::Acceptor;
use crate::acceptor::Incoming;
use crate::coordinator::Coordinator;
use crate::endpoints;
use crate::engines::Engines;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::orders;
use crate::peers::Peers;
use crate::replica::Monitor;
use crate::replica::Replica;
use crate::replica::Request;
use crate::replica::Status;
use crate::settings::MAINTENANCE_INTERVAL;
use crate::settings::Settings;
use crate::settings::WARM_UP;
use crate::state::State;
use crate::supervision;
use crate::thread::Thread;
use crate::watchdog::Pulse;

/// Capacity of the replica's request queue.
const MAX_QUEUED_REQUESTS: usize = 4_096;

/// A running keeper.
pub struct Keeper<E> {
    pub(crate) settings: Settings,
    pub(crate) engines: E,
    pub(crate) coordinator: Mutex<Coordinator>,
    pub(crate) orders: orders::Record,
    pub(crate) state: Arc<RwLock<State>>,
    pub(crate) status: watch::Receiver<Status>,
    pub(crate) replica: mpsc::Sender<Request>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) metrics: Metrics,
    pub(crate) scheduler_wakeup: Notify,
    /// Notified when a call of a plain service starts to wait.
    pub(crate) placing_wakeup: Notify,
    /// Number of changes of the endpoints of which the metrics show the capacity; the maximum if this keeper does not lead.
    pub(crate) recorded_changes: AtomicU64,
    /// Number of changes of the endpoints that the queues of all links contain.
    pub(crate) sent_changes: watch::Sender<u64>,
    pulse: Pulse,
    /// Runs the replica and the links between keepers.
    _thread: Thread,
}

impl<E: Engines> Keeper<E> {
    /// Opens the replica's files and starts all tasks. The receiver yields the fatal error that
    /// ends the replica.
    pub async fn start(
        settings: Settings,
        engines: E,
        meter: &Meter,
    ) -> Result<(Arc<Keeper<E>>, mpsc::Receiver<Error>), Error> {
        let thread = Thread::start("replica")?;
        let runtime = thread.runtime().clone();
        let listener = listen(settings.address, &runtime)?;
        let hello = Hello {
            node: settings.node.clone(),
            incarnation: rand::random(),
            domain: settings.domain.clone(),
            front: None,
            accepting: false,
            revision: Revision::CURRENT,
        };
        let (sender, inbox) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let (updates, received) = mpsc::unbounded_channel();
        let (address, seeds) = (settings.address, settings.seeds.clone());
        let peers = Peers::new(hello, address, seeds, runtime.clone(), sender.clone(), updates);
        let known = crate::storage::exists(&settings.data_dir);
        let state = Arc::new(RwLock::new(State::default()));
        let (publisher, status) = watch::channel(Status::default());
        let publisher = Arc::new(publisher);
        let metrics = Metrics::new(meter);
        let pulse = Pulse::new();
        let monitor = Monitor { delays: metrics.replica.clone(), pulse: pulse.clone() };
        let replica = Replica::open(
            &settings,
            peers.clone(),
            state.clone(),
            publisher.clone(),
            monitor.clone(),
            false,
        )
        .await?;
        let registry = endpoints::read(&settings).await;
        let orders = orders::Record::open(&settings).await;
        let identity = replica.identity();
        base::event!(
            INFO, Event::Started, node = %settings.node, address = %address, known,
            replica = identity.replica, group = identity.group
        );
        let keeper = Arc::new(Keeper {
            coordinator: Mutex::new(Coordinator::new(&settings, registry, orders.term().await)),
            orders,
            engines,
            state,
            status,
            replica: sender.clone(),
            peers: peers.clone(),
            metrics,
            scheduler_wakeup: Notify::new(),
            placing_wakeup: Notify::new(),
            recorded_changes: AtomicU64::new(u64::MAX),
            sent_changes: watch::Sender::new(0),
            settings,
            pulse,
            _thread: thread,
        });
        let (failed, failures) = mpsc::channel(1);
        let supervised = supervision::supervise(
            keeper.settings.clone(),
            peers.clone(),
            keeper.state.clone(),
            publisher,
            monitor,
            replica,
            inbox,
        );
        runtime.spawn(async move {
            if let Err(error) = supervised.await {
                // Fails only if the program is already shutting down.
                failed.send(error).await.ok();
            }
        });
        peers.start();
        let (incoming, accepted) = mpsc::unbounded_channel();
        runtime.spawn(Acceptor { peers, replica: sender, incoming }.run(listener));
        tokio::spawn(keeper.clone().serve_links(accepted));
        tokio::spawn(keeper.clone().watch_replica());
        tokio::spawn(keeper.clone().apply_updates(received));
        tokio::spawn(keeper.clone().run_maintenance());
        tokio::spawn(keeper.clone().run_scheduler());
        tokio::spawn(keeper.clone().run_ledger());
        tokio::spawn(keeper.clone().run_balancer());
        Ok((keeper, failures))
    }

    /// Returns the addresses of the gates that accept callers, each with its failure domain. Empty
    /// during the warm-up, while gates are still connecting to this keeper.
    pub fn accepting_gates(&self) -> Vec<(Name, Name)> {
        let coordinator = self.coordinator.lock();
        if coordinator.now() < WARM_UP { Vec::new() } else { coordinator.links.accepting_gates() }
    }

    /// Opens links to further keepers and keeps them open.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.peers.dial(&Name::from(seed.to_string()));
        }
    }

    pub(crate) fn wake_scheduler(&self) {
        self.scheduler_wakeup.notify_one();
    }

    async fn serve_links(self: Arc<Keeper<E>>, mut accepted: mpsc::UnboundedReceiver<Incoming>) {
        while let Some(incoming) = accepted.recv().await {
            let (first, link, inbox) = match incoming {
                Incoming::Keeper(first, link, inbox) => (first, link, inbox),
                Incoming::Other(first, accepted) => {
                    let Ok((link, inbox)) = accepted.open(Frame::Ping) else { continue };
                    (first, link, inbox)
                }
            };
            tokio::spawn(self.clone().serve(first, link, inbox));
        }
    }

    /// Handles the frames of a link until it closes.
    async fn serve(self: Arc<Keeper<E>>, first: Frame, link: Link<Frame>, mut inbox: Inbox<Frame>) {
        let link_id = self.coordinator.lock().links.next_id();
        self.handle(link_id, &link, first);
        while let Some(frame) = inbox.recv().await {
            self.handle(link_id, &link, frame);
        }
        self.coordinator.lock().handle_link_down(link_id);
        self.wake_scheduler();
    }

    fn handle(self: &Arc<Keeper<E>>, link_id: u64, link: &Link<Frame>, frame: Frame) {
        match frame {
            Frame::Hello(hello) => {
                base::event!(
                    INFO, Event::LinkUp, peer = %hello.node, incarnation = hello.incarnation,
                    accepting = hello.accepting
                );
                let mut coordinator = self.coordinator.lock();
                coordinator.handle_hello(link_id, hello, link, &self.state.read());
            }
            Frame::Call(number, call) => {
                let (keeper, link) = (self.clone(), link.clone());
                tokio::spawn(async move {
                    let reply = keeper.answer(call).await;
                    link.send(Frame::Reply(number, reply));
                });
            }
            Frame::Origins(origins) => {
                let mut coordinator = self.coordinator.lock();
                let now = coordinator.now();
                for origin in origins {
                    coordinator.origins.record(origin, now);
                }
            }
            Frame::Locate { lookup, stream, service } => {
                let (keeper, link) = (self.clone(), link.clone());
                tokio::spawn(async move {
                    let (origin, sole_build) = keeper.locate(stream, service).await;
                    link.send(Frame::Located { lookup, origin, sole_build });
                });
            }
            Frame::Losses(losses) => {
                self.coordinator.lock().record_losses(&losses, &self.state.read());
            }
            Frame::Survived(survival) => self.coordinator.lock().record_survival(&survival),
            Frame::Limit(limit) => {
                self.coordinator.lock().record_limit(&limit);
                self.wake_scheduler();
            }
            Frame::Leaving(incarnation) => {
                self.coordinator.lock().record_leaving(&incarnation);
                self.wake_scheduler();
            }
            Frame::AskPermit { request, endpoint, born } => {
                self.coordinator.lock().answer_permit(link_id, request, &endpoint, born);
            }
            Frame::Reserve { request, tenant, need, extra } => {
                let units = (need, extra);
                let mut coordinator = self.coordinator.lock();
                let state = self.state.read();
                coordinator.answer_reservation(link_id, request, &tenant, units, &state);
            }
            Frame::Unspent { tenant, units } => {
                let mut coordinator = self.coordinator.lock();
                coordinator.take_unspent(link_id, &tenant, units, &self.state.read());
            }
            Frame::Spent(report) => {
                self.coordinator.lock().record_spent(link_id, &report, &self.state.read());
            }
            Frame::QuarantineHit(subject) => {
                self.coordinator.lock().record_quarantine_hit(link_id, subject);
            }
            frame @ (Frame::Place(_) | Frame::PlacedEnded { .. } | Frame::PlacedCalls(_)) => {
                self.place(link_id, frame);
            }
            frame => {
                if let Frame::Withdraw(request) = frame {
                    self.place(link_id, Frame::Withdraw(request));
                }
                if self.pass_to_scheduler(link_id, frame) {
                    self.wake_scheduler();
                }
            }
        }
    }

    /// Passes a gate's frame to the scheduler. Returns `false` if this keeper does not lead or the
    /// frame is not for the scheduler.
    fn pass_to_scheduler(&self, link_id: u64, frame: Frame) -> bool {
        let mut coordinator = self.coordinator.lock();
        let now = coordinator.now();
        let domain = coordinator.links.get(link_id).map(|node| node.hello.domain.clone());
        let Some(leadership) = &mut coordinator.leadership else { return false };
        let scheduler = &mut leadership.scheduler;
        match frame {
            Frame::Ask(query) => {
                scheduler.submit(link_id, &domain.unwrap_or_default(), *query, now);
            }
            Frame::Submit(submission) => {
                scheduler.submit(link_id, &domain.unwrap_or_default(), *submission, now);
            }
            Frame::Withdraw(request) => scheduler.cancel(link_id, request, now),
            Frame::Began { request, after_ms } => {
                let after = Duration::from_millis(u64::from(after_ms));
                scheduler.request_began(link_id, request, after, now);
            }
            Frame::BeganLoaded { request, after_ms, load } => {
                let after = Duration::from_millis(u64::from(after_ms));
                if let Some(pace) = load.pace {
                    scheduler.record_pace(link_id, request, pace, now);
                }
                scheduler.request_began(link_id, request, after, now);
            }
            Frame::Paused { request, longest_ms } => {
                let longest = Duration::from_millis(u64::from(longest_ms));
                let expected = scheduler.request_paused(link_id, request, longest, now);
                self.metrics.record_pause(longest, expected);
            }
            Frame::Ended(ended) => {
                scheduler.request_ended(link_id, ended.request, ended.outcome, now);
            }
            Frame::Running(running) => scheduler.restore_running(link_id, &running, now),
            _ => return false,
        }
        true
    }

    /// Updates the quarantine and proposes its changes. Those that are not applied are proposed again later.
    fn update_quarantine(self: &Arc<Keeper<E>>) {
        let commands = self.coordinator.lock().update_quarantine(&self.state.read());
        for command in commands {
            let keeper = self.clone();
            tokio::spawn(async move { keeper.propose(command).await });
        }
    }

    /// Watches the replica's status and applies its changes.
    async fn watch_replica(self: Arc<Keeper<E>>) {
        let mut status = self.status.clone();
        while status.changed().await.is_ok() {
            let status = status.borrow_and_update().clone();
            for member in &status.members {
                self.peers.dial(member);
            }
            let leads = status.leads.is_some();
            self.metrics.state.with_label_values(&["leads"]).set(i64::from(leads));
            self.metrics.state.with_label_values(&["applied"]).set(status.applied as i64);
            let disk_failed = i64::from(status.disk_failed);
            self.metrics.state.with_label_values(&["disk_failed"]).set(disk_failed);
            self.metrics.state.with_label_values(&["voters"]).set(status.voters as i64);
            self.metrics.state.with_label_values(&["standbys"]).set(status.standbys as i64);
            self.coordinator.lock().apply_status(status, &self.state.read());
            self.wake_scheduler();
        }
    }

    /// Applies what the leader tells the other keepers.
    async fn apply_updates(self: Arc<Keeper<E>>, mut updates: mpsc::UnboundedReceiver<Frame>) {
        while let Some(update) = updates.recv().await {
            let mut coordinator = self.coordinator.lock();
            match update {
                Frame::Registry(registry) => coordinator.replace_registry(*registry),
                Frame::Ledger(changes) => coordinator.update_totals(&changes),
                _ => {}
            }
        }
    }

    async fn run_maintenance(self: Arc<Keeper<E>>) {
        let mut writer = endpoints::Writer::new(&self.settings);
        loop {
            self.pulse.beat();
            tokio::time::sleep(MAINTENANCE_INTERVAL).await;
            let mut coordinator = self.coordinator.lock();
            coordinator.expire_endpoints();
            coordinator.send_peers();
            coordinator.poll_balancer();
            let gates = coordinator.links.gates().count() as i64;
            let endpoints = coordinator.registry.ready().count() as i64;
            let limited = coordinator.limited() as i64;
            if let Some(leadership) = &coordinator.leadership {
                self.metrics.record_pause_bounds(leadership.scheduler.pause_bounds());
            }
            drop(coordinator);
            self.metrics.state.with_label_values(&["gates"]).set(gates);
            self.metrics.state.with_label_values(&["endpoints"]).set(endpoints);
            let quarantined = self.state.read().quarantine().iter().count() as i64;
            self.metrics.state.with_label_values(&["quarantined"]).set(quarantined);
            self.metrics.state.with_label_values(&["limited"]).set(limited);
            self.record_capacity();
            writer.update(&self);
            self.raise_level();
            self.clear_orders();
            self.update_quarantine();
            self.wake_scheduler();
        }
    }
}

/// Binds a listener on a runtime.
fn listen(address: SocketAddr, runtime: &Handle) -> Result<TcpListener, Error> {
    let _guard = runtime.enter();
    link::bind(address).map_err(|source| Error::Listen { address, source })
}
