//! Chooses the endpoints of services that have no model engines.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::message::Placement;
use tokio::time::Instant;

use crate::call::Call;
use crate::choose;
use crate::gate::Gate;
use crate::placing::Hold;
use crate::protocol::Protocol;
use crate::refusal::Refusal;
use crate::settings::DEFAULT_RETRY_AFTER;
use crate::target::Limited;
use crate::target::Target;

/// The random addition to the leader's retry delay, as a share of it, so that callers do not retry together.
const RETRY_SPREAD: f64 = 0.25;

impl<P: Protocol> Gate<P> {
    /// Chooses an endpoint of a service that has no model engines: by the leader, if the endpoints state the pace of their
    /// hosts, or by this gate.
    pub(crate) async fn choose_endpoint(
        self: &Arc<Gate<P>>,
        call: &Call,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        let mut limited = Limited::default();
        loop {
            let target = match self.is_paced(call) {
                true => self.place(call, excluded, &limited).await,
                false => {
                    let endpoints = self.view.endpoints();
                    let candidates = endpoints.values().filter(|endpoint| {
                        call.admits(endpoint) && !limited.contains(&endpoint.id)
                    });
                    self.least_loaded(candidates, excluded, None)
                }
            };
            let target = target.map_err(|refusal| limited.refusal().unwrap_or(refusal))?;
            match self.keepers.acquire(&target.endpoint).await {
                Ok(()) => return Ok(target),
                Err(wait) => {
                    self.record_limit_reached(call, &target.endpoint.id, wait);
                    limited.add(&target.endpoint.id, wait);
                }
            }
        }
    }

    /// Returns whether an endpoint of the call's service has stated the pace of its host to this gate.
    fn is_paced(&self, call: &Call) -> bool {
        let table = self.view.table();
        let service = table.as_ref().and_then(|table| table.plan().service(&call.service));
        // A request without a model to an engine is none that the leader places.
        if service.is_none_or(|service| service.engine.is_some()) {
            return false;
        }
        let endpoints = self.view.endpoints();
        let stats = self.view.stats.lock();
        let paced = |endpoint: &Endpoint| {
            stats.get(&endpoint.id).is_some_and(|stats| stats.estimate.is_some())
        };
        endpoints.values().any(|endpoint| endpoint.service == call.service && paced(endpoint))
    }

    /// Has the leader choose an endpoint. Without its answer this gate draws two and chooses the better one.
    async fn place(
        self: &Arc<Gate<P>>,
        call: &Call,
        excluded: &[Name],
        limited: &Limited,
    ) -> Result<Target, Refusal> {
        let start = Instant::now();
        let excluded = limited.with(excluded);
        let mut hold = self.keepers.hold();
        let placement = self.build_placement(call, &hold, &excluded);
        let decision = self.keepers.place(placement, &mut hold).await;
        let waited = start.elapsed();
        match decision {
            Some(Ok((id, born))) => {
                let endpoint = self.view.endpoints().get(&id).cloned();
                // A gate may learn of an endpoint, or that it leaves, a message later than the leader.
                if let Some(endpoint) = endpoint.filter(|endpoint| endpoint.born == born) {
                    self.record_routed(call, &endpoint.id, "placed", waited);
                    return Ok(Target::placed(endpoint, hold));
                }
            }
            // The leader may not know the endpoints yet.
            Some(Err(denial)) if denial.code == Code::NoEndpoint => {}
            Some(Err(denial)) => {
                self.observe_decision("denied", waited);
                let spread = 1.0 + RETRY_SPREAD * rand::random::<f64>();
                let retry = Duration::from_millis(u64::from(denial.retry_ms)).mul_f64(spread);
                return Err(Refusal::retryable(denial.code, retry));
            }
            None => {}
        }
        drop(hold);
        let endpoint = self.choose_of_two(call, &excluded)?;
        self.record_routed(call, &endpoint.id, "chosen", waited);
        Ok(Target::placed(endpoint, self.keepers.hold()))
    }

    /// Logs and measures the choice of an endpoint.
    fn record_routed(&self, call: &Call, endpoint: &Name, decision: &str, waited: Duration) {
        self.observe_decision(decision, waited);
        base::event!(
            INFO, Event::Routed, request = %call.request.id, endpoint = %endpoint, decision,
            waited_ms = waited.as_millis() as u64
        );
    }

    /// Chooses the better one of two random endpoints, by this gate's estimates and the reported loads.
    fn choose_of_two(&self, call: &Call, excluded: &[Name]) -> Result<Endpoint, Refusal> {
        let endpoints = self.view.endpoints();
        let admitted = endpoints.values();
        let admitted =
            admitted.filter(|endpoint| call.admits(endpoint) && !excluded.contains(&endpoint.id));
        let admitted: Vec<&Endpoint> = admitted.collect();
        let draw = |below: usize| rand::random_range(0..below);
        let stats = self.view.stats.lock();
        let now = self.view.now();
        let chosen = choose::choose_of_two(&admitted, &stats, &self.settings.domain, draw, now);
        chosen.cloned().ok_or(Refusal::retryable(Code::NoEndpoint, DEFAULT_RETRY_AFTER))
    }

    /// Builds the query to the leader for an attempt.
    fn build_placement(&self, call: &Call, hold: &Hold, excluded: &[Name]) -> Placement {
        let now = Instant::now();
        let left = call.deadline.saturating_duration_since(now);
        let target = call.route.target.saturating_sub(now.saturating_duration_since(call.received));
        Placement {
            request: hold.request(),
            service: call.service.clone(),
            target_ms: target.as_millis() as u32,
            left_ms: left.as_millis() as u32,
            rank: call.route.rank,
            tenant: None,
            excluded: excluded.to_vec(),
            build: call.origin.as_ref().map(|origin| origin.build.clone()),
        }
    }
}
