//! A running keeper.

use std::net::SocketAddr;
use std::sync::Arc;

use base::Event;
use base::Name;
use fleet::message::Frame;
use fleet::message::Hello;
use link::Inbox;
use link::Link;
use meter::Meter;
use parking_lot::Mutex;
use parking_lot::RwLock;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::sync::mpsc;
use tokio::sync::watch;

use crate::coordinator::Coordinator;
use crate::engines::Engines;
use crate::error::Error;
use crate::metrics::Metrics;
use crate::peers::News;
use crate::peers::Peers;
use crate::replica;
use crate::replica::Replica;
use crate::replica::Request;
use crate::replica::Status;
use crate::settings::Settings;
use crate::settings::UPKEEP;
use crate::settings::WARM_UP;
use crate::state::State;

/// The requests that may wait for the replica.
const INBOX: usize = 4_096;

/// A running keeper.
pub struct Keeper<E> {
    pub(crate) settings: Settings,
    pub(crate) engines: E,
    pub(crate) coordinator: Mutex<Coordinator>,
    pub(crate) state: Arc<RwLock<State>>,
    pub(crate) status: watch::Receiver<Status>,
    pub(crate) replica: mpsc::Sender<Request>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) metrics: Metrics,
    pub(crate) due: Notify,
}

impl<E: Engines> Keeper<E> {
    /// Opens the replica's files and starts. The receiver gets what ends the replica.
    pub async fn start(
        settings: Settings,
        engines: E,
        meter: &Meter,
    ) -> Result<(Arc<Keeper<E>>, mpsc::Receiver<Error>), Error> {
        let address = settings.address;
        let listener = link::bind(address).map_err(|source| Error::Listen { address, source })?;
        let hello = Hello {
            node: settings.node.clone(),
            incarnation: rand::random(),
            domain: settings.domain.clone(),
            front: None,
            accepting: false,
        };
        let (news, heard) = mpsc::unbounded_channel();
        let peers = Peers::new(hello, address, settings.seeds.clone(), news);
        let known = crate::storage::exists(&settings.data_dir);
        let state = Arc::new(RwLock::new(State::default()));
        let (sender, status) = watch::channel(Status::default());
        let told = Arc::new(sender);
        let replica = Replica::open(&settings, peers.clone(), state.clone(), told.clone()).await?;
        let identity = replica.identity();
        base::event!(
            INFO, Event::Started, node = %settings.node, address = %address, known,
            replica = identity.replica, group = identity.group
        );
        let (sender, inbox) = mpsc::channel(INBOX);
        let keeper = Arc::new(Keeper {
            coordinator: Mutex::new(Coordinator::new(
                settings.scheduler.clone(),
                settings.endpoint_timeout,
            )),
            engines,
            state,
            status,
            replica: sender,
            peers: peers.clone(),
            metrics: Metrics::new(meter),
            due: Notify::new(),
            settings,
        });
        let (failed, failures) = mpsc::channel(1);
        let kept = replica::keep(
            keeper.settings.clone(),
            peers.clone(),
            keeper.state.clone(),
            told,
            replica,
            inbox,
        );
        tokio::spawn(async move {
            if let Err(error) = kept.await {
                // The program ends as soon as it has taken this.
                failed.send(error).await.ok();
            }
        });
        peers.start();
        tokio::spawn(keeper.clone().accept(listener));
        tokio::spawn(keeper.clone().follow());
        tokio::spawn(keeper.clone().hear(heard));
        tokio::spawn(keeper.clone().upkeep());
        tokio::spawn(keeper.clone().work());
        Ok((keeper, failures))
    }

    /// Returns the gates that take callers, each with its failure domain; none while they are still
    /// finding this keeper.
    pub fn accepting_gates(&self) -> Vec<(Name, Name)> {
        let coordinator = self.coordinator.lock();
        if coordinator.now() < WARM_UP { Vec::new() } else { coordinator.links.fronts() }
    }

    /// Keeps links to more keepers.
    pub fn add_seeds(&self, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.peers.dial(&Name::from(seed.to_string()));
        }
    }

    pub(crate) fn wake(&self) {
        self.due.notify_one();
    }

    async fn accept(self: Arc<Keeper<E>>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) if link::set_options(&stream).is_ok() => {
                    let (link, inbox) = link::open(stream, Frame::Ping);
                    tokio::spawn(self.clone().serve(link, inbox));
                }
                Ok(_) => {}
                Err(error) => {
                    base::event!(ERROR, Event::Fault, error = %error, "can't accept a link");
                    tokio::time::sleep(UPKEEP).await;
                }
            }
        }
    }

    /// Takes what another node sends until its link ends.
    async fn serve(self: Arc<Keeper<E>>, link: Link<Frame>, mut inbox: Inbox<Frame>) {
        let number = self.coordinator.lock().links.number();
        while let Some(frame) = inbox.recv().await {
            self.handle(number, &link, frame);
        }
        self.coordinator.lock().lose(number);
        self.wake();
    }

    fn handle(self: &Arc<Keeper<E>>, number: u64, link: &Link<Frame>, frame: Frame) {
        match frame {
            Frame::Hello(hello) => {
                base::event!(
                    INFO, Event::LinkUp, peer = %hello.node, incarnation = hello.incarnation,
                    accepting = hello.accepting
                );
                let mut coordinator = self.coordinator.lock();
                coordinator.greet(number, hello, link, &self.state.read());
            }
            // What the replica can't take now is sent again by the other replica.
            Frame::Raft(parcel) => drop(self.replica.try_send(Request::Deliver(parcel))),
            Frame::Join { id, host } => {
                self.peers.dial(&host);
                drop(self.replica.try_send(Request::Join { id, host }));
            }
            Frame::Call(call, body) => {
                let (keeper, link) = (self.clone(), link.clone());
                tokio::spawn(async move {
                    let reply = keeper.answer(body).await;
                    link.send(Frame::Reply(call, reply));
                });
            }
            frame => {
                if self.schedule(number, frame) {
                    self.wake();
                }
            }
        }
    }

    /// Takes what a gate tells the scheduler; returns whether there is one.
    fn schedule(&self, number: u64, frame: Frame) -> bool {
        let mut coordinator = self.coordinator.lock();
        let now = coordinator.now();
        let domain = coordinator.links.get(number).map(|node| node.hello.domain.clone());
        let Some(leadership) = &mut coordinator.leadership else { return false };
        let scheduler = &mut leadership.scheduler;
        match frame {
            Frame::Ask(ask) => scheduler.submit(number, &domain.unwrap_or_default(), *ask, now),
            Frame::Withdraw(request) => scheduler.cancel(number, request, now),
            Frame::Began { request, after_ms } => {
                let after = std::time::Duration::from_millis(u64::from(after_ms));
                scheduler.request_began(number, request, after, now);
            }
            Frame::Ended(ended) => {
                scheduler.request_ended(number, ended.request, ended.outcome, now);
            }
            Frame::Running(running) => scheduler.restore_running(number, &running, now),
            _ => return false,
        }
        true
    }

    /// Follows the replica.
    async fn follow(self: Arc<Keeper<E>>) {
        let mut status = self.status.clone();
        while status.changed().await.is_ok() {
            let status = status.borrow_and_update().clone();
            for member in &status.members {
                self.peers.dial(member);
            }
            let leads = status.leads.is_some();
            self.metrics.state.with_label_values(&["leads"]).set(i64::from(leads));
            self.metrics.state.with_label_values(&["applied"]).set(status.applied as i64);
            self.coordinator.lock().follow(status, &self.state.read());
            self.wake();
        }
    }

    /// Takes what is heard of the other keepers.
    async fn hear(self: Arc<Keeper<E>>, mut heard: mpsc::UnboundedReceiver<News>) {
        while let Some(news) = heard.recv().await {
            match news {
                News::Registry(registry) => self.coordinator.lock().adopt(*registry),
                // Without this the replica waits for the leader's heartbeats.
                News::LinkDown(host) => {
                    drop(self.replica.try_send(Request::Disconnected { host }));
                }
            }
        }
    }

    async fn upkeep(self: Arc<Keeper<E>>) {
        loop {
            tokio::time::sleep(UPKEEP).await;
            let mut coordinator = self.coordinator.lock();
            coordinator.expire();
            let gates = coordinator.links.gates().count() as i64;
            let endpoints = coordinator.registry.ready().count() as i64;
            drop(coordinator);
            self.metrics.state.with_label_values(&["gates"]).set(gates);
            self.metrics.state.with_label_values(&["endpoints"]).set(endpoints);
            self.wake();
        }
    }
}
