//! The gate's links to the keepers: what they tell, and where their leader places requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use base::Set;
use fleet::message::Denial;
use fleet::message::Ended;
use fleet::message::Frame;
use fleet::message::Grant;
use fleet::message::Hello;
use fleet::message::Query;
use fleet::message::Running;
use fleet::message::Welcome;
use link::Inbox;
use link::Link;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::board::Board;
use crate::pool::Pool;

/// The time in which a link must open.
const CONNECT: Duration = Duration::from_millis(500);
/// The first wait before a link is opened again.
const BACKOFF: Duration = Duration::from_millis(50);
/// The longest wait before a link is opened again.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// The attempts after which an address that is no member's is given up.
const ATTEMPTS: u32 = 10;

/// What a leader answered.
#[derive(Debug)]
pub(crate) enum Verdict {
    Grant(Grant),
    Denial(Denial),
    /// There is no leader, or it was lost before it answered.
    Leaderless,
    /// The leader did not answer in time.
    Silent,
}

/// The leader's link.
#[derive(Clone, Debug)]
struct Leader {
    address: SocketAddr,
    term: u64,
    link: Link<Frame>,
}

/// A request at an engine.
#[derive(Debug)]
struct Placed {
    running: Running,
    ends: Instant,
}

/// The gate's links to the keepers.
#[derive(Debug)]
pub(crate) struct Uplink {
    board: Arc<Board>,
    pool: Arc<Pool>,
    hello: Mutex<Hello>,
    seeds: Vec<SocketAddr>,
    /// The addresses that links are kept to.
    dialled: Mutex<Set<SocketAddr>>,
    /// The members that the latest leader named.
    members: Mutex<Set<SocketAddr>>,
    links: Mutex<Map<SocketAddr, Link<Frame>>>,
    leader: Mutex<Option<Leader>>,
    /// Notified when a leader is followed.
    led: Notify,
    asked: Mutex<Map<u64, oneshot::Sender<Verdict>>>,
    placed: Mutex<Map<u64, Placed>>,
    next: AtomicU64,
}

impl Uplink {
    pub(crate) fn new(
        board: &Arc<Board>,
        pool: &Arc<Pool>,
        hello: Hello,
        seeds: Vec<SocketAddr>,
    ) -> Arc<Uplink> {
        Arc::new(Uplink {
            board: board.clone(),
            pool: pool.clone(),
            hello: Mutex::new(hello),
            seeds,
            dialled: Mutex::default(),
            members: Mutex::default(),
            links: Mutex::default(),
            leader: Mutex::default(),
            led: Notify::new(),
            asked: Mutex::default(),
            placed: Mutex::default(),
            next: AtomicU64::new(1),
        })
    }

    /// Starts to keep links to the keepers.
    pub(crate) fn start(self: &Arc<Uplink>) {
        for seed in self.seeds.clone() {
            self.dial(seed);
        }
    }

    /// Keeps links to more keepers.
    pub(crate) fn follow_seeds(self: &Arc<Uplink>, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.dial(*seed);
        }
    }

    fn dial(self: &Arc<Uplink>, address: SocketAddr) {
        if self.dialled.lock().insert(address) {
            tokio::spawn(self.clone().keep_link(address));
        }
    }

    /// Keeps a link to a keeper until it is neither a member nor reached.
    async fn keep_link(self: Arc<Uplink>, address: SocketAddr) {
        let ip = self.hello.lock().front.as_ref().and_then(|front| front.parse().ok());
        let ip = ip.map_or_else(|| address.ip(), |front: SocketAddr| front.ip());
        let mut failures = 0;
        loop {
            if let Ok(stream) = link::connect(ip, address, CONNECT).await {
                let (link, inbox) = link::open(stream, Frame::Ping);
                if self.serve(address, link, inbox).await {
                    failures = 0;
                }
            }
            failures += 1;
            let member = self.seeds.contains(&address) || self.members.lock().contains(&address);
            if failures > ATTEMPTS && !member {
                self.dialled.lock().remove(&address);
                return;
            }
            let wait = BACKOFF * 2u32.saturating_pow(failures.min(5));
            tokio::time::sleep(wait.min(BACKOFF_MAX)).await;
        }
    }

    /// Takes what a keeper tells until its link ends; returns whether it told anything.
    async fn serve(
        self: &Arc<Uplink>,
        address: SocketAddr,
        link: Link<Frame>,
        mut inbox: Inbox<Frame>,
    ) -> bool {
        link.send(Frame::Hello(self.hello.lock().clone()));
        self.links.lock().insert(address, link.clone());
        let mut told = false;
        while let Some(frame) = inbox.recv().await {
            if !told {
                base::event!(INFO, Event::LinkUp, peer = %address);
            }
            told = true;
            self.handle(address, &link, frame);
        }
        if told {
            base::event!(WARN, Event::LinkDown, peer = %address);
        }
        self.links.lock().remove(&address);
        self.lose_leader(address);
        told
    }

    fn handle(self: &Arc<Uplink>, address: SocketAddr, link: &Link<Frame>, frame: Frame) {
        match frame {
            Frame::Welcome(welcome) => self.welcome(address, link, &welcome),
            Frame::Plan(plan) => drop(self.board.set_plan(&plan)),
            Frame::Versions(versions) => self.board.set_versions(&versions),
            Frame::Endpoints(endpoints) if self.leads(address) => {
                self.board.set_endpoints(endpoints);
                let known = self.board.endpoints();
                self.pool.retain(|id| known.contains_key(id));
            }
            Frame::Holds(holdings) if self.leads(address) => {
                for holding in holdings {
                    self.board.hold(holding);
                }
            }
            Frame::Grant(grant) => self.answer(grant.request, Verdict::Grant(grant)),
            Frame::Denial(denial) => self.answer(denial.request, Verdict::Denial(denial)),
            _ => {}
        }
    }

    fn welcome(self: &Arc<Uplink>, address: SocketAddr, link: &Link<Frame>, welcome: &Welcome) {
        match welcome.leads {
            Some(term) => self.follow(Leader { address, term, link: link.clone() }),
            None => self.lose_leader(address),
        }
        let members = welcome.members.iter().filter_map(|member| member.parse().ok());
        let members: Set<SocketAddr> = members.collect();
        for member in &members {
            self.dial(*member);
        }
        if welcome.leads.is_some() {
            *self.members.lock() = members;
        }
    }

    /// Follows a leader unless a later one is known.
    fn follow(&self, new: Leader) {
        let mut leader = self.leader.lock();
        let later = leader.as_ref().is_some_and(|old| old.term > new.term);
        let same = leader.as_ref().is_some_and(|old| old.term == new.term && !old.link.is_closed());
        if later || same {
            return;
        }
        base::event!(INFO, Event::LeaderFollowed, peer = %new.address, term = new.term);
        let link = new.link.clone();
        *leader = Some(new);
        drop(leader);
        self.led.notify_waiters();
        self.fail_asked();
        let placed = self.placed.lock();
        let now = Instant::now();
        let running = placed.values().map(|placed| Running {
            left_ms: placed.ends.saturating_duration_since(now).as_millis() as u32,
            ..placed.running.clone()
        });
        link.send(Frame::Running(running.collect()));
    }

    fn leads(&self, address: SocketAddr) -> bool {
        self.leader.lock().as_ref().is_some_and(|leader| leader.address == address)
    }

    fn lose_leader(&self, address: SocketAddr) {
        let mut leader = self.leader.lock();
        if leader.as_ref().is_some_and(|leader| leader.address == address) {
            *leader = None;
            drop(leader);
            self.fail_asked();
        }
    }

    fn fail_asked(&self) {
        for (_, reply) in self.asked.lock().drain() {
            // The request may have been given up in between.
            reply.send(Verdict::Leaderless).ok();
        }
    }

    fn answer(&self, request: u64, verdict: Verdict) {
        let reply = self.asked.lock().remove(&request);
        let unused = match reply {
            Some(reply) => reply.send(verdict).is_err(),
            None => matches!(verdict, Verdict::Grant(_)),
        };
        if unused {
            self.tell(Frame::Withdraw(request));
        }
    }

    /// Sends a frame to the leader; dropped without one.
    pub(crate) fn tell(&self, frame: Frame) -> bool {
        let leader = self.leader.lock();
        leader.as_ref().is_some_and(|leader| leader.link.send(frame))
    }

    /// Tells that a placed request has ended.
    pub(crate) fn ended(&self, ended: Ended) {
        self.placed.lock().remove(&ended.request);
        self.tell(Frame::Ended(ended));
    }

    /// Returns a number for a request.
    pub(crate) fn number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits until there is a leader; returns false if there is none in time.
    pub(crate) async fn await_leader(&self, limit: Duration) -> bool {
        let led = self.led.notified();
        let known = self.leader.lock().is_some();
        known || tokio::time::timeout(limit, led).await.is_ok()
    }

    /// Asks the leader where a request goes.
    pub(crate) async fn ask(self: &Arc<Uplink>, ask: Query, limit: Duration) -> Verdict {
        let request = ask.request;
        let (reply, answer) = oneshot::channel();
        self.asked.lock().insert(request, reply);
        let guard = Asked { uplink: self.clone(), request };
        if !self.tell(Frame::Ask(Box::new(ask))) {
            return Verdict::Leaderless;
        }
        let verdict = tokio::time::timeout(limit, answer).await;
        drop(guard);
        match verdict {
            Ok(verdict) => verdict.unwrap_or(Verdict::Leaderless),
            Err(_) => Verdict::Silent,
        }
    }

    /// Notes a request that goes to the engine it was granted.
    pub(crate) fn place(&self, ask: &Query, endpoint: &Name) {
        let running = Running {
            request: ask.request,
            endpoint: endpoint.clone(),
            adapter: ask.adapter.clone(),
            tokens: ask.input + ask.output,
            left_ms: ask.left_ms,
        };
        let ends = Instant::now() + Duration::from_millis(u64::from(ask.left_ms));
        self.placed.lock().insert(ask.request, Placed { running, ends });
    }

    /// Tells the keepers that no more callers are to be sent here.
    pub(crate) fn drain(&self) {
        let mut hello = self.hello.lock();
        hello.accepting = false;
        for link in self.links.lock().values() {
            link.send(Frame::Hello(hello.clone()));
        }
    }
}

/// A question that is taken back when its asker goes away before the answer.
#[derive(Debug)]
struct Asked {
    uplink: Arc<Uplink>,
    request: u64,
}

impl Drop for Asked {
    fn drop(&mut self) {
        if self.uplink.asked.lock().remove(&self.request).is_some() {
            self.uplink.tell(Frame::Withdraw(self.request));
        }
    }
}
