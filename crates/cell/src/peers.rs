//! Outgoing links to the other keepers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::message::Call;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Reply;
use fleet::revision::Revision;
use link::Link;
use parking_lot::Mutex;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::replica::Request;
use crate::settings::CALL_TIMEOUT;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Base of the reconnect backoff, which doubles with each failed attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(50);
/// Upper bound of the reconnect backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// Number of consecutive failures after which an address that is not a seed is dropped.
const MAX_FAILURES: u32 = 20;

/// Outgoing links to the other keepers.
#[derive(Debug)]
pub(crate) struct Peers {
    hello: Hello,
    address: SocketAddr,
    seeds: Vec<SocketAddr>,
    links: Mutex<Map<Name, Option<Link<Frame>>>>,
    /// The revision that each keeper named last, by its link address.
    revisions: Mutex<Map<Name, Revision>>,
    calls: Mutex<Map<u64, oneshot::Sender<Reply>>>,
    next_call: AtomicU64,
    /// The runtime of the links.
    runtime: Handle,
    replica: mpsc::Sender<Request>,
    /// The leader's registry and the totals of its ledger, each time that they are received.
    updates: mpsc::UnboundedSender<Frame>,
}

impl Peers {
    pub(crate) fn new(
        hello: Hello,
        address: SocketAddr,
        seeds: Vec<SocketAddr>,
        runtime: Handle,
        replica: mpsc::Sender<Request>,
        updates: mpsc::UnboundedSender<Frame>,
    ) -> Arc<Peers> {
        Arc::new(Peers {
            hello,
            address,
            seeds,
            links: Mutex::default(),
            revisions: Mutex::default(),
            calls: Mutex::default(),
            next_call: AtomicU64::new(1),
            runtime,
            replica,
            updates,
        })
    }

    /// Opens links to the seeds.
    pub(crate) fn start(self: &Arc<Peers>) {
        for seed in self.seeds.clone() {
            self.dial(&Name::from(seed.to_string()));
        }
    }

    /// Opens a link to a keeper and keeps it open. No-op if there is one already.
    pub(crate) fn dial(self: &Arc<Peers>, host: &Name) {
        let Ok(address) = host.parse::<SocketAddr>() else { return };
        let mut links = self.links.lock();
        if address != self.address && !links.contains_key(host) {
            links.insert(host.clone(), None);
            self.runtime.spawn(self.clone().maintain_link(host.clone(), address));
        }
    }

    async fn maintain_link(self: Arc<Peers>, host: Name, address: SocketAddr) {
        let mut failures = 0u32;
        loop {
            if let Ok(stream) = link::connect(self.address.ip(), address, CONNECT_TIMEOUT).await {
                failures = 0;
                let since = Instant::now();
                let (link, mut inbox) = link::open(stream, Frame::Ping);
                link.send(Frame::Hello(self.hello.clone()));
                self.links.lock().insert(host.clone(), Some(link));
                base::event!(INFO, Event::LinkUp, peer = %host);
                while let Some(frame) = inbox.recv().await {
                    self.handle(&host, frame);
                }
                base::event!(WARN, Event::LinkDown, peer = %host);
                self.links.lock().insert(host.clone(), None);
                // Starts an election early, without waiting for missed heartbeats of the leader.
                drop(self.replica.try_send(Request::Disconnected { host: host.clone() }));
                if since.elapsed() > MAX_BACKOFF {
                    // A connection of a live process that was reset usually reopens at once, so
                    // skip the backoff.
                    continue;
                }
            }
            failures += 1;
            if failures > MAX_FAILURES && !self.seeds.contains(&address) {
                self.links.lock().remove(&host);
                return;
            }
            let wait = BASE_BACKOFF * 2u32.saturating_pow(failures.min(5));
            tokio::time::sleep(wait.min(MAX_BACKOFF)).await;
        }
    }

    fn handle(self: &Arc<Peers>, host: &Name, frame: Frame) {
        match frame {
            Frame::Reply(number, reply) => {
                if let Some(sender) = self.calls.lock().remove(&number) {
                    // Fails if the caller timed out.
                    sender.send(reply).ok();
                }
            }
            Frame::Welcome(welcome) => {
                self.revisions.lock().insert(host.clone(), welcome.revision);
                for member in &welcome.members {
                    self.dial(member);
                }
            }
            Frame::Registry(_) | Frame::Ledger(_) => drop(self.updates.send(frame)),
            _ => {}
        }
    }

    /// Sends a frame to a keeper. Returns `false` and drops the frame if there is no open link.
    pub(crate) fn send(self: &Arc<Peers>, host: &Name, frame: Frame) -> bool {
        let link = self.links.lock().get(host).cloned();
        match link {
            Some(Some(link)) => link.send(frame),
            Some(None) => false,
            None => {
                self.dial(host);
                false
            }
        }
    }

    /// Returns the revision that a keeper has named to this process.
    pub(crate) fn revision(&self, host: &str) -> Option<Revision> {
        self.revisions.lock().get(host).copied()
    }

    /// Returns the revision that all members support; `None` if one of them has not named its revision to this process.
    pub(crate) fn supported_revision(&self, members: &[Name]) -> Option<Revision> {
        let revisions = self.revisions.lock();
        let own = self.address.to_string();
        let others = members.iter().filter(|member| ***member != *own);
        let mut named = others.map(|member| revisions.get(member).copied());
        named.try_fold(Revision::CURRENT, |lowest, named| Some(lowest.min(named?)))
    }

    /// Sends a frame over all open links.
    pub(crate) fn broadcast(&self, frame: &Frame) {
        link::broadcast(self.links.lock().values().flatten(), frame);
    }

    /// Sends a call to the leader and returns its reply, or `Reply::Unsure` if the link is down or
    /// the call times out.
    pub(crate) async fn call(self: &Arc<Peers>, leader: &Name, call: Call) -> Reply {
        let known = self.revisions.lock().get(leader).copied().unwrap_or(Revision::UNNAMED);
        let Some(call) = call.for_revision(known) else { return Reply::Unsure };
        let number = self.next_call.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = oneshot::channel();
        self.calls.lock().insert(number, sender);
        let sent = self.send(leader, Frame::Call(number, call));
        let reply = match sent {
            true => tokio::time::timeout(CALL_TIMEOUT, receiver).await.ok().and_then(Result::ok),
            false => None,
        };
        self.calls.lock().remove(&number);
        reply.unwrap_or(Reply::Unsure)
    }
}
