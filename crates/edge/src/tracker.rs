//! Tracks a request at an endpoint until it ends.

use std::sync::Arc;
use std::time::Duration;

use base::Event;
use base::Name;
use capacity::Estimate;
use fleet::endpoint::Endpoint;
use fleet::message::Ended;
use fleet::message::Frame;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::origin::Origin;
use fleet::quarantine::Fingerprint;
use limit::Notice;
use tokio::time::Instant;

use crate::framing::Framing;
use crate::keepers::Keepers;
use crate::pauses::Pauses;
use crate::placing::Hold;
use crate::runs::Run;
use crate::view::Stats;
use crate::view::View;

/// Tracks a request at an endpoint. On drop it updates the endpoint's statistics and reports to the leader the end of
/// the request, if the scheduler placed it, and what that shows about the endpoint.
#[derive(Debug)]
pub(crate) struct Tracker {
    view: Arc<View>,
    keepers: Arc<Keepers>,
    /// The caller's id of the request.
    id: Name,
    /// The request's number, if the scheduler placed the request.
    scheduled: Option<u64>,
    /// The number of the call, if it is one to a plain service whose endpoints state the pace of their hosts.
    placed: Option<u64>,
    /// The calls at the endpoint when the request was sent, itself included.
    calls: u32,
    endpoint: Endpoint,
    fingerprint: Arc<Fingerprint>,
    sent: Instant,
    /// Until when the endpoint may run the request.
    deadline: Instant,
    /// When the first bytes of the response body arrived.
    began: Option<Instant>,
    /// The origin to record when the stream begins, if it can be resumed.
    origin: Option<Origin>,
    outcome: Outcome,
    ending: Ending,
    /// Whether the endpoint has asked for a pause. Its refusal does not count as a failure then.
    paused: bool,
    /// The load that the endpoint stated in its response.
    load: Option<Load>,
    /// The pauses between the events of the response, if they are measured.
    pauses: Option<Pauses>,
}

/// How a request ended at its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    /// The gate stopped waiting for the end of the response, so the endpoint may still run the request.
    Abandoned,
    /// The endpoint did not run the request, or failed it, possibly without running it.
    Inconclusive,
    /// The endpoint ended a successful response itself.
    Complete,
    /// The connection ended, as it does if the endpoint crashes.
    Disconnected,
}

impl Tracker {
    pub(crate) fn new(
        view: &Arc<View>,
        keepers: &Arc<Keepers>,
        id: &Name,
        scheduled: Option<u64>,
        endpoint: &Endpoint,
        fingerprint: &Arc<Fingerprint>,
        deadline: Instant,
    ) -> Tracker {
        let calls = {
            let mut stats = view.stats.lock();
            let stats = stats.entry(endpoint.id.clone()).or_default();
            stats.running += 1;
            stats.load(view.now()).round().max(1.0) as u32
        };
        Tracker {
            view: view.clone(),
            keepers: keepers.clone(),
            id: id.clone(),
            scheduled,
            placed: None,
            calls,
            endpoint: endpoint.clone(),
            fingerprint: fingerprint.clone(),
            sent: Instant::now(),
            deadline,
            began: None,
            origin: None,
            // A request that is dropped before it ends was cancelled by its caller.
            outcome: Outcome::Cancelled,
            ending: Ending::Abandoned,
            paused: false,
            load: None,
            pauses: None,
        }
    }

    /// Records the first bytes of the response body.
    pub(crate) fn record_first_byte(&mut self) {
        if self.began.is_some() {
            return;
        }
        self.began = Some(Instant::now());
        if let Some(origin) = self.origin.take() {
            self.keepers.record_origin(&origin);
        }
        if let Some(request) = self.scheduled {
            let after_ms = self.sent.elapsed().as_millis() as u32;
            let paced = self.load.filter(|load| load.pace.is_some());
            let paced = paced.map(|load| Frame::BeganLoaded { request, after_ms, load });
            if !paced.is_some_and(|frame| self.keepers.send(frame)) {
                self.keepers.send(Frame::Began { request, after_ms });
            }
        }
    }

    /// Sets the origin to record when the response begins.
    pub(crate) fn set_origin(&mut self, origin: Origin) {
        self.origin = Some(origin);
    }

    /// Records that the response is not valid, so that the endpoint may still run the request.
    pub(crate) fn record_mismatch(&mut self) {
        self.outcome = Outcome::Lost;
    }

    /// Records that the endpoint did not run the request.
    pub(crate) fn record_not_run(&mut self, outcome: Outcome) {
        self.outcome = outcome;
        self.ending = Ending::Inconclusive;
    }

    /// Records that the connection broke before the response was complete.
    pub(crate) fn record_break(&mut self) {
        self.outcome = Outcome::Lost;
        self.ending = Ending::Disconnected;
    }

    /// Records the end of the response. If that is the end of its connection, the endpoint may have crashed.
    pub(crate) fn record_end(&mut self, outcome: Outcome, framing: Framing) {
        self.outcome = outcome;
        self.ending = match (framing, outcome) {
            (Framing::Close, _) => Ending::Disconnected,
            (_, Outcome::Done) => Ending::Complete,
            _ => Ending::Inconclusive,
        };
    }

    /// Records that the request is sent with the number of a hold.
    pub(crate) fn set_placed(&mut self, hold: Hold) {
        self.placed = Some(hold.track(&self.endpoint, self.deadline));
    }

    /// Records the load that the endpoint stated in its response.
    pub(crate) fn record_load(&mut self, load: Load) {
        self.load = Some(load);
        let now = self.view.now();
        if let Some(stats) = self.view.stats.lock().get_mut(&self.endpoint.id) {
            stats.reported = Some((load.requests(), now));
            // The scheduler keeps the estimates of engines.
            if self.scheduled.is_none() && load.pace.is_some() && stats.estimate.is_none() {
                stats.estimate = Some(Box::new(Estimate::new(self.endpoint.slots)));
            }
        }
    }

    /// Records what the end of the request shows about the endpoint's capacity.
    fn record_run(&self, stats: &mut Stats, now: Duration) {
        let Some(estimate) = &mut stats.estimate else { return };
        match (self.outcome, self.load) {
            (Outcome::Done, load) => {
                let run = capacity::Run { ran: self.sent.elapsed(), calls: self.calls };
                estimate.record_run(run, load, now);
            }
            (_, Some(load)) => estimate.record_load(load, now),
            _ => {}
        }
    }

    /// Starts to measure the pauses between the events of the response.
    pub(crate) fn measure_pauses(&mut self) {
        self.pauses = Some(Pauses::default());
    }

    /// Returns the pauses of the response, if they are measured.
    pub(crate) fn pauses(&mut self) -> Option<&mut Pauses> {
        self.pauses.as_mut()
    }

    /// Reports that the end of the request at its endpoint is unknown. The gate stopped waiting for it at `ended`, and the
    /// endpoint may have run it until `until`.
    fn report_run(&self, ended: Duration, until: Duration) {
        let before = |instant: Instant| ended.saturating_sub(instant.elapsed());
        let run = Run {
            endpoint: self.endpoint.id.clone(),
            born: self.endpoint.born,
            fingerprint: (*self.fingerprint).clone(),
            sent: before(self.sent),
            began: self.began.map(before),
            ended,
            until,
        };
        self.keepers.report_run(run, &self.endpoint);
    }

    /// Applies the response's notice on the endpoint's limit; `ran` states whether the endpoint ran the request.
    pub(crate) fn record_limit(&self, notice: Notice, ran: bool) {
        let sent = self.view.now().saturating_sub(self.sent.elapsed());
        self.keepers.record_limit(&self.endpoint, notice, ran, sent);
    }

    /// Records whether the response says that the endpoint leaves or asks for a pause.
    pub(crate) fn record_availability(&mut self, leaving: bool, pause: Option<Duration>) {
        if leaving {
            self.keepers.record_leaving(&self.endpoint);
        }
        if let Some(pause) = pause {
            self.paused = true;
            self.keepers.availability.record_pause(&self.endpoint, pause, self.view.now());
        }
    }

    /// Returns the time since the request was sent.
    pub(crate) fn elapsed(&self) -> Duration {
        self.sent.elapsed()
    }
}

impl Drop for Tracker {
    fn drop(&mut self) {
        let now = self.view.now();
        if let Some(stats) = self.view.stats.lock().get_mut(&self.endpoint.id) {
            stats.running = stats.running.saturating_sub(1);
            self.record_run(stats, now);
            match self.outcome {
                Outcome::Done => stats.record(false, now),
                Outcome::Refused if self.paused => {}
                Outcome::Failed | Outcome::Lost | Outcome::Refused => stats.record(true, now),
                Outcome::Misdirected | Outcome::Cancelled => {}
            }
        }
        if let Some(request) = self.scheduled {
            if let Some(longest) = self.pauses.as_ref().and_then(Pauses::longest) {
                let longest_ms = u32::try_from(longest.as_millis()).unwrap_or(u32::MAX);
                self.keepers.send(Frame::Paused { request, longest_ms });
            }
            self.keepers.report_end(Ended { request, outcome: self.outcome });
        }
        if let Some(request) = self.placed {
            self.keepers.report_call_end(request, self.outcome, self.sent.elapsed(), self.load);
        }
        match self.ending {
            Ending::Inconclusive => {}
            Ending::Complete => self.keepers.report_survival(&self.endpoint, &self.fingerprint),
            Ending::Disconnected => self.report_run(now, now),
            Ending::Abandoned => {
                base::event!(
                    INFO, Event::AttemptAbandoned, request = %self.id,
                    fingerprint = %format_args!("{:016x}", self.fingerprint.request),
                    endpoint = %self.endpoint.id, ran_ms = self.sent.elapsed().as_millis() as u64
                );
                let left = self.deadline.saturating_duration_since(Instant::now());
                self.report_run(now, now + left);
            }
        }
    }
}
