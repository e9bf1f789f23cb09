//! The gate's links to the keepers: receives plans, versions and endpoints, and queries the leader's scheduler
//! for routing decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use base::Set;
use fleet::endpoint::Endpoint;
use fleet::message::Denial;
use fleet::message::Ended;
use fleet::message::Frame;
use fleet::message::Grant;
use fleet::message::Hello;
use fleet::message::Query;
use fleet::message::Running;
use fleet::message::Submission;
use fleet::message::Welcome;
use fleet::plan::Plan;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use link::Inbox;
use link::Link;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::availability::Availability;
use crate::leader::Leader;
use crate::limits::Limits;
use crate::origins::Origins;
use crate::placing::Placing;
use crate::pool::Pool;
use crate::quarantine::Quarantine;
use crate::quotas::Quotas;
use crate::runs::Runs;
use crate::view::View;

/// The timeout for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The base of the exponential backoff between two attempts to open a link.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// The upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// The number of consecutive failures after which an address that belongs to no seed or member is dropped.
const MAX_FAILURES: u32 = 10;

/// The scheduler's decision on a request, or the reason why there is none.
#[derive(Debug)]
pub(crate) enum Decision {
    /// The scheduler has chosen an engine.
    Grant(Grant),
    /// The scheduler refuses the request.
    Denial(Denial),
    /// There is no leader, or the link to it was lost before it replied.
    NoLeader,
    /// The leader did not reply before the timeout.
    Timeout,
}

/// A scheduled request in progress at an engine.
#[derive(Debug)]
struct InFlight {
    running: Running,
    deadline: Instant,
}

/// The gate's links to the keepers.
#[derive(Debug)]
pub(crate) struct Keepers {
    pub(crate) view: Arc<View>,
    pub(crate) pool: Arc<Pool>,
    hello: Mutex<Hello>,
    seeds: Vec<SocketAddr>,
    /// The addresses for which a task maintains a link.
    dialed: Mutex<Set<SocketAddr>>,
    /// The group members that the latest leader announced.
    members: Mutex<Set<SocketAddr>>,
    /// The open links.
    pub(crate) links: Mutex<Map<SocketAddr, Link<Frame>>>,
    pub(crate) leader: Mutex<Option<Leader>>,
    /// Notified when a leader becomes known.
    leader_known: Notify,
    /// The requests that wait for a decision, by request number.
    pending: Mutex<Map<u64, oneshot::Sender<Decision>>>,
    /// The scheduled requests at engines, by request number.
    in_flight: Mutex<Map<u64, InFlight>>,
    pub(crate) origins: Origins,
    pub(crate) quarantine: Quarantine,
    pub(crate) runs: Mutex<Runs>,
    pub(crate) limits: Limits,
    pub(crate) availability: Availability,
    /// The requests that wait for a permit, by number.
    pub(crate) permits: Mutex<Map<u64, oneshot::Sender<Result<(), Duration>>>>,
    pub(crate) quotas: Quotas,
    pub(crate) placing: Placing,
    next_number: AtomicU64,
}

impl Keepers {
    pub(crate) fn new(
        view: &Arc<View>,
        pool: &Arc<Pool>,
        hello: Hello,
        seeds: Vec<SocketAddr>,
    ) -> Arc<Keepers> {
        Arc::new(Keepers {
            view: view.clone(),
            pool: pool.clone(),
            hello: Mutex::new(hello),
            seeds,
            dialed: Mutex::default(),
            members: Mutex::default(),
            links: Mutex::default(),
            leader: Mutex::default(),
            leader_known: Notify::new(),
            pending: Mutex::default(),
            in_flight: Mutex::default(),
            origins: Origins::default(),
            quarantine: Quarantine::default(),
            runs: Mutex::default(),
            limits: Limits::default(),
            availability: Availability::default(),
            permits: Mutex::default(),
            quotas: Quotas::default(),
            placing: Placing::default(),
            next_number: AtomicU64::new(1),
        })
    }

    /// Opens links to the seeds.
    pub(crate) fn start(self: &Arc<Keepers>) {
        for seed in self.seeds.clone() {
            self.dial(seed);
        }
    }

    /// Opens links to further seeds.
    pub(crate) fn add_seeds(self: &Arc<Keepers>, seeds: &[SocketAddr]) {
        for seed in seeds {
            self.dial(*seed);
        }
    }

    fn dial(self: &Arc<Keepers>, address: SocketAddr) {
        if self.dialed.lock().insert(address) {
            tokio::spawn(self.clone().maintain_link(address));
        }
    }

    /// Keeps a link to a keeper open. Ends when the keeper cannot be reached and is neither a seed nor a
    /// member.
    async fn maintain_link(self: Arc<Keepers>, address: SocketAddr) {
        let ip = self.hello.lock().front.as_ref().and_then(|front| front.parse().ok());
        let ip = ip.map_or_else(|| address.ip(), |front: SocketAddr| front.ip());
        let mut failures = 0;
        loop {
            if let Ok(stream) = link::connect(ip, address, CONNECT_TIMEOUT).await {
                let (link, inbox) = link::open(stream, Frame::Ping);
                if self.serve(address, link, inbox).await {
                    failures = 0;
                }
            }
            failures += 1;
            let member = self.seeds.contains(&address) || self.members.lock().contains(&address);
            if failures > MAX_FAILURES && !member {
                self.dialed.lock().remove(&address);
                return;
            }
            let backoff = BASE_BACKOFF * 2u32.saturating_pow(failures.min(5));
            tokio::time::sleep(backoff.min(MAX_BACKOFF)).await;
        }
    }

    /// Handles the frames of a keeper until the link closes; returns whether any frame arrived.
    async fn serve(
        self: &Arc<Keepers>,
        address: SocketAddr,
        link: Link<Frame>,
        mut inbox: Inbox<Frame>,
    ) -> bool {
        link.send(Frame::Hello(self.hello.lock().clone()));
        self.origins.restore(&link, self.view.now());
        self.links.lock().insert(address, link.clone());
        let mut received = false;
        while let Some(frame) = inbox.recv().await {
            if !received {
                base::event!(INFO, Event::LinkUp, peer = %address);
            }
            received = true;
            self.handle(address, &link, frame);
        }
        if received {
            base::event!(WARN, Event::LinkDown, peer = %address);
        }
        self.links.lock().remove(&address);
        self.clear_leader(address);
        self.replace_deputy(address);
        received
    }

    fn handle(self: &Arc<Keepers>, address: SocketAddr, link: &Link<Frame>, frame: Frame) {
        match frame {
            Frame::Welcome(welcome) => self.handle_welcome(address, link, &welcome),
            Frame::Plan(plan) => drop(self.view.apply_plan(&plan)),
            Frame::ExtendedPlan(plan, extension) => {
                let mut plan = Plan::clone(&plan);
                extension.apply(&mut plan);
                self.view.apply_plan(&plan);
            }
            Frame::Versions(versions) => self.view.update_versions(&versions),
            Frame::Endpoints(endpoints) if self.is_leader(address) => {
                self.view.set_endpoints(endpoints);
                let known = self.view.endpoints();
                self.pool.retain(|id| known.contains_key(id));
                let born = |id: &Name| known.get(id).map(|known| known.born);
                self.limits.expire(born, self.view.now());
                self.availability.expire(born, self.view.now());
            }
            Frame::Holds(holdings) if self.is_leader(address) => {
                for holding in holdings {
                    self.view.update_holding(holding);
                }
            }
            Frame::Quarantine(subjects) if self.is_leader(address) => {
                self.quarantine.set_quarantined(&subjects);
            }
            Frame::Probe(subject) if self.is_leader(address) => {
                self.quarantine.start_probe(subject);
            }
            Frame::Crashed(crash) if self.is_leader(address) => {
                let silent = Duration::from_millis(u64::from(crash.silent_ms));
                let alive = self.view.now().saturating_sub(silent);
                self.report_crash(&crash.endpoint, crash.born, alive);
            }
            Frame::Limits(limits) if self.is_leader(address) => {
                self.limits.replace(&limits, self.view.now());
            }
            Frame::Peers(peers) if self.is_leader(address) => self.pool.peers.set(peers),
            Frame::Permit { request, wait_ms } => {
                if let Some(reply) = self.permits.lock().remove(&request) {
                    let wait = wait_ms.map(|ms| Duration::from_millis(u64::from(ms)));
                    // The request may have been cancelled in the meantime.
                    reply.send(wait.map_or(Ok(()), Err)).ok();
                }
            }
            Frame::Reserved { request, granted, used, wait_ms } => {
                self.handle_reserved(address, request, (granted, used, wait_ms));
            }
            Frame::Suspects(subjects) => self.quarantine.add_suspects(&subjects),
            Frame::Located { lookup, origin, sole_build } => {
                self.origins.handle_reply(lookup, origin, sole_build);
            }
            Frame::Grant(grant) => self.resolve(grant.request, Decision::Grant(grant)),
            Frame::Placed { request, endpoint, born } => {
                self.handle_placed(request, endpoint, born);
            }
            Frame::Denial(denial) if self.placing.resolve(denial.request, Err(denial.clone())) => {}
            Frame::Denial(denial) => self.resolve(denial.request, Decision::Denial(denial)),
            _ => {}
        }
    }

    fn handle_welcome(
        self: &Arc<Keepers>,
        address: SocketAddr,
        link: &Link<Frame>,
        welcome: &Welcome,
    ) {
        self.quotas.set_revision(address, welcome.revision);
        match welcome.leads {
            Some(term) => {
                let (link, revision) = (link.clone(), welcome.revision);
                self.set_leader(Leader { address, term, link, revision });
            }
            None => self.clear_leader(address),
        }
        let members = welcome.members.iter().filter_map(|member| member.parse().ok());
        let members: Set<SocketAddr> = members.collect();
        for member in &members {
            self.dial(*member);
        }
        if welcome.leads.is_some() {
            self.view.set_gates(welcome.gates);
            *self.members.lock() = members;
        }
    }

    /// Follows a new leader unless one of a later term is known. Pending requests end without a decision, and
    /// the new leader receives the list of requests in flight.
    fn set_leader(&self, new: Leader) {
        let mut leader = self.leader.lock();
        let later = leader.as_ref().is_some_and(|old| old.term > new.term);
        let same = leader.as_ref().is_some_and(|old| old.term == new.term && !old.link.is_closed());
        if later || same {
            return;
        }
        base::event!(INFO, Event::LeaderFollowed, peer = %new.address, term = new.term);
        // Before the leader is known to requests, which reserve with it.
        self.report_spending(&new);
        *leader = Some(new.clone());
        drop(leader);
        self.leader_known.notify_waiters();
        self.fail_pending();
        let in_flight = self.in_flight.lock();
        let now = Instant::now();
        let running = in_flight.values().map(|request| Running {
            left_ms: request.deadline.saturating_duration_since(now).as_millis() as u32,
            ..request.running.clone()
        });
        new.send(Frame::Running(running.collect()));
        drop(in_flight);
        self.placing.restore(|frame| new.send(frame));
        for limit in self.limits.list() {
            new.send(Frame::Limit(limit));
        }
        for incarnation in self.availability.leaving() {
            new.send(Frame::Leaving(incarnation));
        }
        let losses = self.quarantine.losses(self.view.now());
        if !losses.is_empty() {
            new.send(Frame::Losses(losses));
        }
    }

    fn is_leader(&self, address: SocketAddr) -> bool {
        self.leader.lock().as_ref().is_some_and(|leader| leader.address == address)
    }

    /// Clears the leader if it has this address, and ends the pending requests without a decision.
    fn clear_leader(&self, address: SocketAddr) {
        let mut leader = self.leader.lock();
        if leader.as_ref().is_some_and(|leader| leader.address == address) {
            *leader = None;
            drop(leader);
            self.follow_deputy();
            self.fail_pending();
        }
    }

    /// Ends all pending requests without a decision.
    fn fail_pending(&self) {
        self.placing.fail_pending();
        for (_, reply) in self.pending.lock().drain() {
            // The request may have been cancelled in the meantime.
            reply.send(Decision::NoLeader).ok();
        }
    }

    /// Passes a decision to its pending request; withdraws a grant that no request waits for.
    fn resolve(&self, request: u64, decision: Decision) {
        let reply = self.pending.lock().remove(&request);
        let unused = match reply {
            Some(reply) => reply.send(decision).is_err(),
            None => matches!(decision, Decision::Grant(_)),
        };
        if unused {
            self.send(Frame::Withdraw(request));
        }
    }

    /// Sends a frame to the leader; returns false if there is none, if it does not know the frame or if its link is
    /// closed.
    pub(crate) fn send(&self, frame: Frame) -> bool {
        let leader = self.leader.lock();
        leader.as_ref().is_some_and(|leader| leader.send(frame))
    }

    /// Records that an endpoint leaves, and reports it to the leader if that is new.
    pub(crate) fn record_leaving(&self, endpoint: &Endpoint) {
        if self.availability.record_leaving(endpoint) {
            self.send(Frame::Leaving(endpoint.incarnation()));
        }
    }

    /// Reports the end of a scheduled request to the leader.
    pub(crate) fn report_end(&self, ended: Ended) {
        self.in_flight.lock().remove(&ended.request);
        self.send(Frame::Ended(ended));
    }

    /// Returns an unused request number.
    pub(crate) fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Waits until a leader is known; returns false if there is none before the timeout.
    pub(crate) async fn await_leader(&self, timeout: Duration) -> bool {
        let notified = self.leader_known.notified();
        let known = self.leader.lock().is_some();
        known || tokio::time::timeout(timeout, notified).await.is_ok()
    }

    /// Queries the leader's scheduler for the engine of a request.
    pub(crate) async fn schedule(
        self: &Arc<Keepers>,
        submission: Submission,
        timeout: Duration,
    ) -> Decision {
        let request = submission.query.request;
        let (reply, decision) = oneshot::channel();
        self.pending.lock().insert(request, reply);
        let guard = Withdrawal { keepers: self.clone(), request };
        let submit = |leader: &Leader| leader.submit(submission);
        if !self.leader.lock().as_ref().is_some_and(submit) {
            return Decision::NoLeader;
        }
        let decision = tokio::time::timeout(timeout, decision).await;
        drop(guard);
        match decision {
            Ok(decision) => decision.unwrap_or(Decision::NoLeader),
            Err(_) => Decision::Timeout,
        }
    }

    /// Records that a request is sent to the engine that the scheduler granted.
    pub(crate) fn track(&self, query: &Query, endpoint: &Name) {
        let running = Running {
            request: query.request,
            endpoint: endpoint.clone(),
            adapter: query.adapter.clone(),
            tokens: query.input + query.output,
            left_ms: query.left_ms,
        };
        let deadline = Instant::now() + Duration::from_millis(u64::from(query.left_ms));
        self.in_flight.lock().insert(query.request, InFlight { running, deadline });
    }

    /// Returns a quarantined subject for which a request must be refused, and reports the refusal.
    pub(crate) fn quarantined(&self, fingerprint: &Fingerprint) -> Option<Subject> {
        let hit = self.quarantine.check(fingerprint, self.view.now())?;
        if hit.report {
            self.send(Frame::QuarantineHit(hit.subject));
        }
        Some(hit.subject)
    }

    /// Ends the probes of a request's subjects, because the request is being sent; returns those subjects.
    pub(crate) fn end_probes(&self, fingerprint: &Fingerprint) -> Vec<Subject> {
        self.quarantine.end_probes(fingerprint)
    }

    /// Reports that a request ended at an endpoint that survived, if it was suspected.
    pub(crate) fn report_survival(&self, endpoint: &Endpoint, fingerprint: &Fingerprint) {
        let subjects = self.quarantine.clear(fingerprint);
        if !subjects.is_empty() {
            let (endpoint, born) = (endpoint.id.clone(), endpoint.born);
            self.send(Frame::Survived(Survival { endpoint, born, subjects }));
        }
    }

    /// Notifies the keepers that this gate accepts no more callers.
    pub(crate) fn drain(&self) {
        let mut hello = self.hello.lock();
        hello.accepting = false;
        for link in self.links.lock().values() {
            link.send(Frame::Hello(hello.clone()));
        }
    }
}

/// Withdraws a pending request from the scheduler if the request is cancelled or times out.
#[derive(Debug)]
struct Withdrawal {
    keepers: Arc<Keepers>,
    request: u64,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        if self.keepers.pending.lock().remove(&self.request).is_some() {
            self.keepers.send(Frame::Withdraw(self.request));
        }
    }
}
