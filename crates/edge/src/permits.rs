//! Admits requests to endpoints that have named a limit, as far as the scheduler does not.

use std::time::Duration;

use fleet::endpoint::Endpoint;
use fleet::message::Frame;
use limit::Notice;
use tokio::sync::oneshot;

use crate::keepers::Keepers;
use crate::limits::Admission;

/// The timeout of a permit for an endpoint with a limit; several round trips to a keeper.
const PERMIT_TIMEOUT: Duration = Duration::from_millis(150);
/// The number of gates among which a limit is divided without a leader, if no leader has told it yet.
pub(crate) const DEFAULT_GATES: u32 = 8;

impl Keepers {
    /// Applies the notice in a response as [`crate::limits::Limits::record`] does, and reports a change to the leader.
    pub(crate) fn record_limit(
        &self,
        endpoint: &Endpoint,
        notice: Notice,
        ran: bool,
        sent: Duration,
    ) {
        if let Some(limit) = self.limits.record(endpoint, notice, ran, sent, self.view.now()) {
            self.send(Frame::Limit(limit));
        }
    }

    /// Admits a request to an endpoint that this gate has chosen without the scheduler. Returns the time until there may
    /// be a permit if the limit of the endpoint is reached. Without a leader the gate uses its share.
    pub(crate) async fn acquire(&self, endpoint: &Endpoint) -> Result<(), Duration> {
        match self.limits.admission(endpoint, self.view.now()) {
            Admission::Unlimited => return Ok(()),
            Admission::Reached(wait) => return Err(wait),
            Admission::Limited => {}
        }
        let permit = match self.ask_permit(endpoint).await {
            Some(permit) => permit,
            None => self.take_share(endpoint),
        };
        if let Err(wait) = permit {
            self.limits.set_reached(endpoint, wait, self.view.now());
        }
        permit
    }

    /// Admits a request to an endpoint by this gate's share of the endpoint's limit.
    pub(crate) fn take_share(&self, endpoint: &Endpoint) -> Result<(), Duration> {
        let gates = self.view.gates().unwrap_or(DEFAULT_GATES);
        self.limits.take_share(endpoint, gates, rand::random(), self.view.now())
    }

    /// Asks the leader to admit a request to an endpoint; `None` if no leader answers.
    async fn ask_permit(&self, endpoint: &Endpoint) -> Option<Result<(), Duration>> {
        let request = self.next_number();
        let (reply, permit) = oneshot::channel();
        self.permits.lock().insert(request, reply);
        let ask = Frame::AskPermit { request, endpoint: endpoint.id.clone(), born: endpoint.born };
        let permit = match self.send(ask) {
            true => tokio::time::timeout(PERMIT_TIMEOUT, permit).await.ok(),
            false => None,
        };
        self.permits.lock().remove(&request);
        permit?.ok()
    }
}
