//! Asks the leader for the endpoints of calls to plain services, and reports the calls in progress to it.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::message::Denial;
use fleet::message::Frame;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;
use fleet::placed;
use parking_lot::Mutex;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::keepers::Keepers;

/// The timeout of the leader's answer; several round trips to a keeper and the longest wait for an endpoint there.
const TIMEOUT: Duration = Duration::from_millis(150);
/// The time after a timeout in which the leader is not asked again, so that its answers delay no further calls.
const SILENCE: Duration = Duration::from_secs(1);

/// The leader's decision on a call.
pub(crate) type Decision = Result<(Name, u64), Denial>;

/// The calls to plain services whose endpoints state the pace of their hosts.
#[derive(Debug, Default)]
pub(crate) struct Placing {
    /// The calls that wait for a decision, by request number.
    pending: Mutex<Map<u64, oneshot::Sender<Decision>>>,
    /// The calls in progress, by request number, with their deadlines.
    in_progress: Mutex<Map<u64, (placed::Call, Instant)>>,
    /// Until when the leader is not asked.
    silent_until: Mutex<Duration>,
}

impl Placing {
    /// Passes a decision to its call; returns false if no call with this number waits.
    pub(crate) fn resolve(&self, request: u64, decision: Decision) -> bool {
        let reply = self.pending.lock().remove(&request);
        reply.is_some_and(|reply| reply.send(decision).is_ok())
    }

    /// Ends the waits of all calls without a decision.
    pub(crate) fn fail_pending(&self) {
        self.pending.lock().clear();
    }

    /// Passes the calls in progress to `send`, for a new leader. No end of a call is reported meanwhile, so that the report
    /// follows.
    pub(crate) fn restore(&self, send: impl FnOnce(Frame) -> bool) {
        let calls = self.in_progress.lock();
        let list = calls
            .values()
            .map(|(call, deadline)| placed::Call { left_ms: left_ms(*deadline), ..call.clone() });
        // Fails only if the link is closed, and then there is another leader to send them to.
        send(Frame::PlacedCalls(list.collect()));
    }
}

/// The number of a call that the leader may count. Withdraws the call if it is dropped before the call is sent.
#[derive(Debug)]
pub(crate) struct Hold {
    keepers: Arc<Keepers>,
    request: u64,
    /// Whether the leader was asked and may count the call.
    asked: bool,
}

impl Hold {
    /// Returns the number of the call.
    pub(crate) fn request(&self) -> u64 {
        self.request
    }

    /// Records that the call is sent to an endpoint; returns its number, with which its end must be reported. If this gate
    /// chose the endpoint itself, the leader, if there is one, counts the call from now on.
    pub(crate) fn track(mut self, endpoint: &Endpoint, deadline: Instant) -> u64 {
        let placed = std::mem::take(&mut self.asked);
        let call = placed::Call {
            request: self.request,
            service: endpoint.service.clone(),
            endpoint: endpoint.id.clone(),
            born: endpoint.born,
            left_ms: left_ms(deadline),
        };
        let mut in_progress = self.keepers.placing.in_progress.lock();
        if !placed {
            self.keepers.send(Frame::PlacedCalls(vec![call.clone()]));
        }
        in_progress.insert(self.request, (call, deadline));
        drop(in_progress);
        self.request
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.keepers.placing.pending.lock().remove(&self.request);
        if self.asked {
            self.keepers.send(Frame::Withdraw(self.request));
        }
    }
}

/// Returns the time left until a deadline, in ms.
fn left_ms(deadline: Instant) -> u32 {
    let left = deadline.saturating_duration_since(Instant::now());
    left.as_millis().min(u128::from(u32::MAX)) as u32
}

impl Keepers {
    /// Returns the hold of a call for which this gate chooses the endpoint itself. A later leader learns of the call.
    pub(crate) fn hold(self: &Arc<Keepers>) -> Hold {
        Hold { keepers: self.clone(), request: self.next_number(), asked: false }
    }

    /// Asks the leader for the endpoint of a call; `None` if there is no leader that answers. The hold is that of the
    /// placement's request.
    pub(crate) async fn place(
        self: &Arc<Keepers>,
        placement: Placement,
        hold: &mut Hold,
    ) -> Option<Decision> {
        if self.view.now() < *self.placing.silent_until.lock() {
            return None;
        }
        let request = placement.request;
        let (reply, decision) = oneshot::channel();
        self.placing.pending.lock().insert(request, reply);
        if !self.send(Frame::Place(Box::new(placement))) {
            self.placing.pending.lock().remove(&request);
            return None;
        }
        hold.asked = true;
        match tokio::time::timeout(TIMEOUT, decision).await {
            Ok(decision) => {
                let decision = decision.ok()?;
                // The leader counts no call that it refused.
                hold.asked = decision.is_ok();
                Some(decision)
            }
            Err(_) => {
                self.placing.pending.lock().remove(&request);
                hold.asked = false;
                self.send(Frame::Withdraw(request));
                *self.placing.silent_until.lock() = self.view.now() + SILENCE;
                base::event!(
                    WARN,
                    Event::PlacementUnanswered,
                    request,
                    waited_ms = TIMEOUT.as_millis() as u64,
                    silent_ms = SILENCE.as_millis() as u64
                );
                None
            }
        }
    }

    /// Passes the leader's choice to its call; withdraws one that no call waits for.
    pub(crate) fn handle_placed(&self, request: u64, endpoint: Name, born: u64) {
        if !self.placing.resolve(request, Ok((endpoint, born))) {
            self.send(Frame::Withdraw(request));
        }
    }

    /// Reports the end of a call to the leader.
    pub(crate) fn report_call_end(
        &self,
        request: u64,
        outcome: Outcome,
        ran: Duration,
        load: Option<Load>,
    ) {
        self.placing.in_progress.lock().remove(&request);
        let ran_ms = ran.as_millis().min(u128::from(u32::MAX)) as u32;
        self.send(Frame::PlacedEnded { request, outcome, ran_ms, load });
    }
}
