//! Chooses the endpoint for an attempt, by the scheduler or at the gate.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Event;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::message::Frame;
use fleet::message::Query;
use fleet::message::Submission;
use fleet::quarantine::format_parts;
use tokio::time::Instant;

use crate::availability::Unavailable;
use crate::call::Call;
use crate::choose;
use crate::gate::Gate;
use crate::keepers::Decision;
use crate::protocol::Protocol;
use crate::refusal::Refusal;
use crate::settings::DEFAULT_RETRY_AFTER;
use crate::settings::LEADER_WAIT_SHARE;
use crate::settings::MAX_DECLINED;
use crate::settings::MIN_PAUSE_RETRY;
use crate::settings::PAUSE_RETRY_SPREAD;
use crate::settings::QUARANTINE_RETRY_AFTER;
use crate::settings::SCHEDULER_QUEUE_SHARE;
use crate::settings::SCHEDULER_REPLY_MARGIN;

/// The endpoint for an attempt.
pub(crate) struct Target {
    pub(crate) endpoint: Endpoint,
    pub(crate) version: Option<u64>,
    pub(crate) urgency: Option<u8>,
    /// The query to the scheduler, if it chose the endpoint.
    pub(crate) query: Option<Query>,
}

/// The endpoints that a request can't be sent to because their limits are reached.
#[derive(Debug, Default)]
struct Limited {
    endpoints: Vec<Name>,
    /// The shortest time until one of them admits a request.
    wait: Option<Duration>,
}

impl Limited {
    fn add(&mut self, endpoint: &Name, wait: Duration) {
        self.endpoints.push(endpoint.clone());
        self.wait = Some(self.wait.map_or(wait, |known| known.min(wait)));
    }

    fn contains(&self, endpoint: &Name) -> bool {
        self.endpoints.contains(endpoint)
    }

    /// Returns the refusal of a request that no other endpoint can take. Its retry delay varies, so that callers do not
    /// retry together.
    fn refusal(&self) -> Option<Refusal> {
        let wait = self.wait?.max(DEFAULT_RETRY_AFTER);
        let spread: f64 = rand::random();
        Some(Refusal::retryable(Code::LimitReached, wait.mul_f64(1.0 + spread)))
    }
}

impl<P: Protocol> Gate<P> {
    /// Chooses the endpoint for the next attempt. A request that is quarantined, possibly while it waits for an
    /// engine, gets none.
    pub(crate) async fn choose_target(
        self: &Arc<Gate<P>>,
        call: &Call,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        self.check_quarantine(call)?;
        let target = self.choose_available(call, excluded).await?;
        let admitted = self.check_quarantine(call);
        if let (Err(_), Some(query)) = (&admitted, &target.query) {
            self.keepers.send(Frame::Withdraw(query.request));
        }
        admitted?;
        for subject in self.keepers.end_probes(&call.fingerprint) {
            base::event!(
                INFO, Event::QuarantineProbe, request = %call.request.id, subject = %subject,
                endpoint = %target.endpoint.id
            );
        }
        Ok(target)
    }

    /// Chooses an endpoint that is available to this gate. Declines an engine that became unavailable while the scheduler
    /// chose it.
    async fn choose_available(
        self: &Arc<Gate<P>>,
        call: &Call,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        for _ in 0..MAX_DECLINED {
            let excluded = self.exclude_unavailable(call, excluded)?;
            let target = match call.request.model.clone() {
                Some(model) => self.schedule(call, model, &excluded).await?,
                None => self.choose_endpoint(call, &excluded).await?,
            };
            let now = self.view.now();
            let Some(unavailable) = self.keepers.availability.check(&target.endpoint, now) else {
                return Ok(target);
            };
            base::event!(
                INFO, Event::GrantDeclined, request = %call.request.id,
                endpoint = %target.endpoint.id, unavailable = ?unavailable
            );
            if let Some(query) = &target.query {
                self.keepers.send(Frame::Withdraw(query.request));
            }
        }
        Err(Refusal::retryable(Code::NoEndpoint, DEFAULT_RETRY_AFTER))
    }

    /// Returns `excluded` with the endpoints that are not available to this gate. Refuses the request if no other endpoint
    /// is left and one of them will be available after its pause.
    fn exclude_unavailable(&self, call: &Call, excluded: &[Name]) -> Result<Vec<Name>, Refusal> {
        let mut all = excluded.to_vec();
        if self.keepers.availability.is_empty() {
            return Ok(all);
        }
        let now = self.view.now();
        let mut shortest: Option<Duration> = None;
        let mut others = false;
        let endpoints = self.view.endpoints();
        for endpoint in endpoints.values().filter(|endpoint| call.admits(endpoint)) {
            if excluded.contains(&endpoint.id) {
                continue;
            }
            match self.keepers.availability.check(endpoint, now) {
                None => others = true,
                Some(unavailable) => {
                    all.push(endpoint.id.clone());
                    if let Unavailable::Paused(left) = unavailable {
                        shortest = Some(shortest.map_or(left, |known| known.min(left)));
                    }
                }
            }
        }
        match shortest {
            Some(wait) if !others => {
                let spread: f64 = rand::random();
                let wait = wait.max(MIN_PAUSE_RETRY).mul_f64(1.0 + PAUSE_RETRY_SPREAD * spread);
                Err(Refusal::retryable(Code::EndpointsPaused, wait))
            }
            _ => Ok(all),
        }
    }

    /// Refuses a request that is quarantined, or whose prompt contains a part that is.
    fn check_quarantine(&self, call: &Call) -> Result<(), Refusal> {
        let Some(subject) = self.keepers.quarantined(&call.fingerprint) else { return Ok(()) };
        base::event!(
            INFO, Event::QuarantineHit, request = %call.request.id, subject = %subject
        );
        Err(Refusal::retryable(Code::Quarantined, QUARANTINE_RETRY_AFTER))
    }

    /// Chooses an endpoint of a service that has no model engines.
    async fn choose_endpoint(&self, call: &Call, excluded: &[Name]) -> Result<Target, Refusal> {
        let mut limited = Limited::default();
        loop {
            let endpoints = self.view.endpoints();
            let candidates = endpoints.values();
            let candidates = candidates
                .filter(|endpoint| call.admits(endpoint) && !limited.contains(&endpoint.id));
            let target = self.least_loaded(candidates, excluded, None);
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

    /// Logs and counts that a request is not sent to an endpoint because of the endpoint's limit.
    fn record_limit_reached(&self, call: &Call, endpoint: &Name, wait: Duration) {
        self.metrics.limited.with_label_values::<&str>(&[]).inc();
        base::event!(
            INFO, Event::LimitReached, request = %call.request.id, endpoint = %endpoint,
            wait_ms = wait.as_millis() as u64
        );
    }

    /// Chooses the endpoint of the lowest cost that is not excluded.
    fn least_loaded<'a>(
        &self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        excluded: &[Name],
        version: Option<u64>,
    ) -> Result<Target, Refusal> {
        let now = self.view.now();
        let domain = &self.settings.domain;
        let stats = self.view.stats.lock();
        let tie = rand::random();
        let chosen = choose::choose(endpoints, &stats, domain, excluded, tie, now);
        let endpoint = chosen.filter(|endpoint| !excluded.contains(&endpoint.id)).cloned();
        let endpoint = endpoint.ok_or(Refusal::retryable(Code::NoEndpoint, DEFAULT_RETRY_AFTER))?;
        Ok(Target { endpoint, version, urgency: None, query: None })
    }

    /// Queries the scheduler for an engine. Without a decision the gate chooses an engine that holds the
    /// adapter; if it knows none and there is no leader, it waits for a new leader and repeats the query.
    async fn schedule(
        self: &Arc<Gate<P>>,
        call: &Call,
        model: Name,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        let start = Instant::now();
        let (mut query, mut decision) = self.request_grant(call, &model, excluded).await;
        if matches!(decision, Decision::NoLeader | Decision::Timeout) {
            let target = self.choose_holder(call, &query, excluded);
            let done = target.is_ok() || matches!(decision, Decision::Timeout);
            if done || !self.await_leader(call, &query).await {
                self.observe_decision("unscheduled", start.elapsed());
                return target;
            }
            (query, decision) = self.request_grant(call, &model, excluded).await;
        }
        let waited = start.elapsed();
        match decision {
            Decision::Grant(grant) => {
                base::event!(
                    INFO, Event::Routed, request = %call.request.id, endpoint = %grant.endpoint.id,
                    build = %grant.endpoint.build, tenant = call.tenant.as_ref().map(|tenant| &*tenant.name),
                    resumes = call.request.resumes.as_deref(),
                    adapter = %query.adapter, parts = format_parts(query.parts.iter().map(|(id, _)| *id)), urgency = grant.urgency, target_ms = query.target_ms,
                    waited_ms = waited.as_millis() as u64
                );
                self.observe_decision("granted", waited);
                let urgency = Some(grant.urgency);
                let (endpoint, version) = (grant.endpoint, grant.version);
                Ok(Target { endpoint, version, urgency, query: Some(query) })
            }
            Decision::Denial(denial) => {
                self.observe_decision("denied", waited);
                let retry_after = Duration::from_millis(u64::from(denial.retry_ms));
                Err(Refusal::retryable(denial.code, retry_after))
            }
            Decision::NoLeader | Decision::Timeout => {
                self.observe_decision("unscheduled", waited);
                self.choose_holder(call, &query, excluded)
            }
        }
    }

    /// Waits for a new leader, at most for a share of the target latency since the arrival of the request;
    /// returns false if none is known by then.
    async fn await_leader(&self, call: &Call, query: &Query) -> bool {
        let timeout = call.route.target.mul_f64(LEADER_WAIT_SHARE);
        let timeout = timeout.saturating_sub(call.received.elapsed());
        base::event!(
            INFO, Event::Waiting, request = %call.request.id, adapter = %query.adapter,
            most_ms = timeout.as_millis() as u64, "no engine is known to hold the adapter; waiting for a new leader"
        );
        self.keepers.await_leader(timeout).await
    }

    /// Records the result and the duration of a routing decision.
    fn observe_decision(&self, result: &str, waited: Duration) {
        self.metrics.decision_latency.with_label_values(&[result]).observe(waited.as_secs_f64());
    }

    /// Sends a query to the scheduler; returns it with the decision.
    async fn request_grant(
        self: &Arc<Gate<P>>,
        call: &Call,
        model: &Name,
        excluded: &[Name],
    ) -> (Query, Decision) {
        let query = self.build_query(call, model, excluded);
        let timeout = call.route.target.mul_f64(SCHEDULER_QUEUE_SHARE) + SCHEDULER_REPLY_MARGIN;
        let gap = call.route.gap.unwrap_or_default();
        let submission = Submission {
            query: query.clone(),
            tenant: call.tenant.as_ref().map(|tenant| tenant.name.clone()),
            gap_ms: u32::try_from(gap.as_millis()).unwrap_or(u32::MAX),
        };
        let decision = self.keepers.schedule(submission, timeout).await;
        (query, decision)
    }

    /// Chooses an engine that is known to hold the adapter, without the scheduler.
    fn choose_holder(
        &self,
        call: &Call,
        query: &Query,
        excluded: &[Name],
    ) -> Result<Target, Refusal> {
        let endpoints = self.view.endpoints();
        let candidates = endpoints.values().filter(|endpoint| {
            call.admits(endpoint)
                && self.view.holds(&endpoint.id, &Name::default())
                && (query.adapter.is_empty() || self.view.holds(&endpoint.id, &query.adapter))
        });
        let version = self.view.version(&query.model, &query.adapter);
        let mut limited = Limited::default();
        let candidates: Vec<&Endpoint> = candidates.collect();
        let target = loop {
            let admitted = candidates.iter().copied();
            let admitted = admitted.filter(|endpoint| !limited.contains(&endpoint.id));
            match self.least_loaded(admitted, excluded, version) {
                Err(refusal) => break Err(limited.refusal().unwrap_or(refusal)),
                Ok(target) => match self.keepers.take_share(&target.endpoint) {
                    Ok(()) => break Ok(target),
                    Err(wait) => {
                        self.record_limit_reached(call, &target.endpoint.id, wait);
                        limited.add(&target.endpoint.id, wait);
                    }
                },
            }
        };
        let endpoint = target.as_ref().map(|target| target.endpoint.id.clone()).unwrap_or_default();
        base::event!(
            WARN, Event::Unscheduled, request = %call.request.id, adapter = %query.adapter, endpoint = %endpoint
        );
        target
    }

    /// Builds the query to the scheduler, with the time left until target and deadline.
    fn build_query(&self, call: &Call, model: &Name, excluded: &[Name]) -> Query {
        let request = &call.request;
        let now = Instant::now();
        let left = call.deadline.saturating_duration_since(now);
        let elapsed = now.saturating_duration_since(call.received);
        let target = call.route.target.saturating_sub(elapsed);
        Query {
            request: self.keepers.next_number(),
            service: call.service.clone(),
            model: model.clone(),
            adapter: request.adapter.clone(),
            fingerprint: call.fingerprint.request,
            input: request.input,
            output: request.output,
            parts: request.parts.clone(),
            target_ms: target.as_millis() as u32,
            left_ms: left.as_millis() as u32,
            rank: call.route.rank,
            excluded: excluded.to_vec(),
            build: call.origin.as_ref().map(|origin| origin.build.clone()),
        }
    }
}
