//! The leader's choice of endpoints for the calls of plain services.

use std::time::Duration;

use base::Code;
use base::Map;
use base::Name;
use fleet::endpoint::Endpoint;
use fleet::explanation;
use fleet::explanation::Explanation;
use fleet::message::Denial;
use fleet::message::Load;
use fleet::message::Outcome;
use fleet::message::Placement;
use fleet::placed::Call;

use crate::queue::Waiting;
use crate::service::DEFAULT_RETRY;
use crate::service::MARGIN;
use crate::service::Service;
use crate::site::Site;

/// The longest wait of a call at the leader. A gate that gets no answer for 150 ms chooses itself, and two messages take part
/// of that on a busy host.
pub(crate) const MAX_WAIT: Duration = Duration::from_millis(100);
/// The calls of the queue for which an endpoint is looked for when one has room, so that a call that may not be sent there
/// holds up no other.
const MAX_PASSED_OVER: usize = 8;
/// The time after its deadline when a call whose end was not reported is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(2);

/// The decision on a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The call is to be sent to an endpoint.
    Placed {
        /// The gate's link.
        gate: u64,
        /// The gate's number for the request.
        request: u64,
        /// The tenant, which is charged for a slot.
        tenant: Option<Name>,
        /// The endpoint.
        endpoint: Name,
        /// The start time of the endpoint.
        born: u64,
        /// The calls at the endpoint, this one included.
        calls: u32,
        /// The time for which the call waited for it.
        waited: Duration,
    },
    /// The call is refused.
    Denied {
        /// The gate's link.
        gate: u64,
        /// The refusal.
        denial: Denial,
        /// The calls of the service that wait.
        waiting: usize,
        /// The wait that was expected, in ms.
        wait_ms: u64,
    },
}

/// What the balancer knows about an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Status {
    /// The service.
    pub service: Name,
    /// The endpoint.
    pub endpoint: Name,
    /// The calls in progress that the leader has placed.
    pub in_progress: u32,
    /// The calls that the endpoint takes before callers wait.
    pub takes: f64,
    /// The time of a call that does not wait, in ms, if runs have shown it.
    pub work_ms: Option<f64>,
    /// The pace of its host, in percent of the usual time.
    pub pace: u32,
    /// The standard error of that time, as a share of it.
    pub uncertainty: f64,
    /// The age of the estimate.
    pub age: Option<Duration>,
}

/// What is to be done with a new call.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Decision {
    /// No endpoint may take it.
    NoEndpoint,
    /// It is sent to the endpoint with this index.
    Send(usize),
    /// It waits for this time at most.
    Wait(Duration),
    /// It is refused, since it would wait for longer than it may.
    Refuse { wait_ms: f64, allowed_ms: f64 },
}

/// A call in progress.
#[derive(Clone, Debug)]
struct Placed {
    service: Name,
    endpoint: Name,
    born: u64,
    /// The calls at the endpoint when it was sent; `None` if a former leader placed it.
    calls: Option<u32>,
    forget_at: Duration,
}

/// Chooses the endpoints for the calls of plain services, over all gates. It counts the calls in progress at each endpoint,
/// and keeps the calls that wait.
#[derive(Debug, Default)]
pub struct Balancer {
    services: Map<Name, Service>,
    /// The calls in progress, by gate and request.
    placed: Map<(u64, u64), Placed>,
    answers: Vec<Answer>,
}

impl Balancer {
    /// Replaces the list of endpoints that accept calls. What is known of those that stay is kept.
    pub fn set_endpoints<'a>(
        &mut self,
        endpoints: impl Iterator<Item = &'a Endpoint>,
        now: Duration,
    ) {
        let mut former = std::mem::take(&mut self.services);
        for endpoint in endpoints {
            let known = former.get_mut(&endpoint.service).and_then(|service| {
                let known = |site: &Site| site.id == endpoint.id && site.born == endpoint.born;
                let index = service.sites.iter().position(known)?;
                Some(service.sites.swap_remove(index))
            });
            let site = known.unwrap_or_else(|| Site::new(endpoint, now));
            self.services.entry(endpoint.service.clone()).or_default().sites.push(site);
        }
        for (name, service) in former {
            let new = self.services.entry(name).or_default();
            (new.queue, new.returning) = (service.queue, service.returning);
        }
        let services = &self.services;
        self.placed.retain(|_, call| {
            let service = services.get(&call.service);
            let mut sites = service.into_iter().flat_map(|service| &service.sites);
            sites.any(|site| site.id == call.endpoint && site.born == call.born)
        });
        self.services.retain(|_, service| !service.sites.is_empty() || service.queue.len() > 0);
        self.dispatch_all(now);
    }

    /// Places a call, queues it or refuses it. `excess` is what the call's tenant has received against its share.
    pub fn place(
        &mut self,
        gate: u64,
        domain: &str,
        placement: Placement,
        excess: f64,
        now: Duration,
    ) {
        let name = placement.service.clone();
        let excess = excess.max(1.0);
        match self.decide(domain, &placement, excess, now) {
            Decision::NoEndpoint => {
                let denial = denial(&placement, Code::NoEndpoint, DEFAULT_RETRY);
                self.answers.push(Answer::Denied { gate, denial, waiting: 0, wait_ms: 0 });
            }
            Decision::Send(index) => {
                self.send(gate, &name, index, &placement, Duration::ZERO, now);
            }
            Decision::Refuse { wait_ms, allowed_ms } => {
                let Some(service) = self.services.get_mut(&name) else { return };
                let rate = service.rate(&placement, now);
                let retry = service.retry_after(wait_ms - allowed_ms, rate, now);
                let waiting = service.queue.len();
                let denial = denial(&placement, Code::QueueFull, retry);
                let wait_ms = wait_ms as u64;
                self.answers.push(Answer::Denied { gate, denial, waiting, wait_ms });
            }
            Decision::Wait(time) => {
                let Some(service) = self.services.get_mut(&name) else { return };
                let (domain, until) = (Name::from(domain), now + time);
                let call = Waiting { gate, domain, placement, arrived: now, until, excess };
                if let Some(last) = service.queue.push(call) {
                    self.deny(last, Code::QueueFull, now);
                }
            }
        }
    }

    /// Decides on a new call, without any effect.
    fn decide(&self, domain: &str, placement: &Placement, excess: f64, now: Duration) -> Decision {
        let service = self.services.get(&placement.service);
        let admits = |service: &&Service| service.sites.iter().any(|site| site.admits(placement));
        let Some(service) = service.filter(admits) else { return Decision::NoEndpoint };
        let work_ms = service.work_ms(now);
        let work = work_ms.unwrap_or(1.0);
        let goal_ms = service.goal_ms(placement, work, Duration::ZERO, now);
        let ahead = service.queue.ahead(placement.rank, excess);
        if ahead == 0
            && let Some(index) = service.choose(placement, domain, goal_ms, false, now)
        {
            return Decision::Send(index);
        }
        let rate = service.rate(placement, now);
        let wait_ms = rate.map_or(0.0, |rate| (ahead + 1) as f64 / rate);
        let longest = MAX_WAIT.as_secs_f64() * 1e3;
        // Without any run the wait is unknown; the queue then is bounded by its length and by the wait.
        let allowed_ms = work_ms.map_or(longest, |work| longest.min(goal_ms - work * MARGIN));
        if wait_ms > allowed_ms {
            return Decision::Refuse { wait_ms, allowed_ms };
        }
        Decision::Wait(Duration::from_secs_f64(allowed_ms.max(1.0) / 1e3))
    }

    /// Returns what [`Balancer::place`] would do with a call now, and the state of each endpoint of its service.
    pub fn explain(
        &self,
        domain: &str,
        placement: &Placement,
        excess: f64,
        now: Duration,
    ) -> Explanation {
        let excess = excess.max(1.0);
        let service = self.services.get(&placement.service);
        let refused = |code| (explanation::Outcome::Refused, None, Some(code));
        let (outcome, endpoint, code) = match self.decide(domain, placement, excess, now) {
            Decision::NoEndpoint => refused(Code::NoEndpoint),
            Decision::Refuse { .. } => refused(Code::QueueFull),
            Decision::Send(index) => {
                let site = service.and_then(|service| service.sites.get(index));
                (explanation::Outcome::Granted, site.map(|site| site.id.clone()), None)
            }
            Decision::Wait(_) => {
                let admits = |service: &Service| service.queue.admits(placement.rank, excess);
                match service.is_some_and(admits) {
                    true => (explanation::Outcome::Queued, None, None),
                    false => refused(Code::QueueFull),
                }
            }
        };
        let work_ms = service.and_then(|service| service.work_ms(now)).unwrap_or(1.0);
        let goal_ms = service.map_or(0.0, |service| {
            service.goal_ms(placement, work_ms, Duration::ZERO, now) / MARGIN
        });
        let sites = service.into_iter().flat_map(|service| &service.sites);
        Explanation {
            outcome,
            endpoint,
            code,
            goal_ms,
            excess,
            waiting: service.map_or(0, |service| service.queue.len()),
            endpoints: sites.map(|site| site.explain(placement, domain, work_ms, now)).collect(),
        }
    }

    /// Records that a call is in progress at an endpoint.
    fn send(
        &mut self,
        gate: u64,
        service: &Name,
        index: usize,
        placement: &Placement,
        waited: Duration,
        now: Duration,
    ) {
        let Some(known) = self.services.get_mut(service) else { return };
        let site = &mut known.sites[index];
        let calls = site.add(now);
        let left = Duration::from_millis(u64::from(placement.left_ms));
        let call = Placed {
            service: service.clone(),
            endpoint: site.id.clone(),
            born: site.born,
            calls: Some(calls),
            forget_at: now + left + FORGET_AFTER,
        };
        let (endpoint, born, request) = (site.id.clone(), site.born, placement.request);
        let tenant = placement.tenant.clone();
        self.placed.insert((gate, request), call);
        self.answers.push(Answer::Placed { gate, request, tenant, endpoint, born, calls, waited });
    }

    /// Refuses a call that waited.
    fn deny(&mut self, call: Waiting, code: Code, now: Duration) {
        let Some(service) = self.services.get_mut(&call.placement.service) else { return };
        let rate = service.rate(&call.placement, now);
        let ahead = service.queue.ahead(call.placement.rank, call.excess);
        let wait_ms = rate.map_or(0.0, |rate| (ahead + 1) as f64 / rate);
        let retry = service.retry_after(wait_ms, rate, now);
        let denial = denial(&call.placement, code, retry);
        let (gate, waiting, wait_ms) = (call.gate, service.queue.len(), wait_ms as u64);
        self.answers.push(Answer::Denied { gate, denial, waiting, wait_ms });
    }

    /// Gives the calls of a service that wait to endpoints with room.
    fn dispatch(&mut self, name: &Name, now: Duration) {
        let mut index = 0;
        while index < MAX_PASSED_OVER {
            let Some(service) = self.services.get(name) else { return };
            let Some(call) = service.queue.get(index) else { return };
            let work = service.work_ms(now).unwrap_or(1.0);
            let waited = now.saturating_sub(call.arrived);
            let goal_ms = service.goal_ms(&call.placement, work, waited, now);
            let chosen = service.choose(&call.placement, &call.domain, goal_ms, false, now);
            match chosen {
                Some(site) => self.send_waiting(name, index, site, now),
                None => index += 1,
            }
        }
    }

    fn send_waiting(&mut self, name: &Name, index: usize, site: usize, now: Duration) {
        let Some(service) = self.services.get_mut(name) else { return };
        let call = service.queue.remove(index);
        let waited = now.saturating_sub(call.arrived);
        self.send(call.gate, name, site, &call.placement, waited, now);
    }

    fn dispatch_all(&mut self, now: Duration) {
        let waiting = self.services.iter().filter(|(_, service)| service.queue.len() > 0);
        let names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.dispatch(&name, now);
        }
    }

    /// Records the end of a call that was placed here; any other is ignored.
    pub fn ended(
        &mut self,
        gate: u64,
        request: u64,
        outcome: Outcome,
        ran: Duration,
        load: Option<Load>,
        now: Duration,
    ) {
        let Some(call) = self.placed.remove(&(gate, request)) else { return };
        if let Some(site) = self.site(&call) {
            site.end(call.calls, outcome, ran, load, now);
        }
        self.dispatch(&call.service, now);
    }

    /// Forgets a call that its gate will not send.
    pub fn withdraw(&mut self, gate: u64, request: u64, now: Duration) {
        if let Some(call) = self.placed.remove(&(gate, request)) {
            self.site(&call).into_iter().for_each(Site::forget);
            self.dispatch(&call.service, now);
            return;
        }
        for service in self.services.values_mut() {
            if service.queue.withdraw(gate, request) {
                return;
            }
        }
    }

    /// Forgets the calls of a gate whose link is lost. It reports those in progress when it connects again; until then the
    /// loads that endpoints report show them.
    pub fn gate_lost(&mut self, gate: u64, now: Duration) {
        self.services.values_mut().for_each(|service| service.queue.forget(gate));
        self.forget_where(|(from, _), _| *from == gate);
        self.dispatch_all(now);
    }

    /// Counts the calls of a gate that are in progress; those that are counted already are left as they are.
    pub fn restore(&mut self, gate: u64, calls: &[Call], now: Duration) {
        for call in calls {
            let left = Duration::from_millis(u64::from(call.left_ms));
            let placed = Placed {
                service: call.service.clone(),
                endpoint: call.endpoint.clone(),
                born: call.born,
                calls: None,
                forget_at: now + left + FORGET_AFTER,
            };
            if self.placed.contains_key(&(gate, call.request)) {
                continue;
            }
            if let Some(site) = self.site(&placed) {
                site.add(now);
                self.placed.insert((gate, call.request), placed);
            }
        }
    }

    /// Ends the waits whose time has passed: each such call goes to the best endpoint with room, or is refused. Forgets the
    /// calls whose end was never reported.
    pub fn poll(&mut self, now: Duration) {
        self.forget_where(|_, call| now >= call.forget_at);
        self.dispatch_all(now);
        let names: Vec<Name> = self.services.keys().cloned().collect();
        for name in names {
            let mut index = 0;
            while let Some(service) = self.services.get_mut(&name) {
                let Some(call) = service.queue.get(index) else { break };
                if call.until > now {
                    index += 1;
                    continue;
                }
                match service.choose(&call.placement, &call.domain, 0.0, true, now) {
                    Some(site) => self.send_waiting(&name, index, site, now),
                    None => {
                        let call = service.queue.remove(index);
                        self.deny(call, Code::QueueFull, now);
                    }
                }
            }
        }
    }

    /// Returns when [`Balancer::poll`] is due; `None` if no call waits.
    pub fn next_poll(&self) -> Option<Duration> {
        self.services.values().filter_map(|service| service.queue.earliest()).min()
    }

    /// Returns the decisions since the last time.
    pub fn take_answers(&mut self) -> impl Iterator<Item = Answer> {
        self.answers.drain(..)
    }

    /// Returns what is known about each endpoint.
    pub fn statuses(&self, now: Duration) -> impl Iterator<Item = Status> {
        self.services.iter().flat_map(move |(name, service)| {
            service.sites.iter().map(move |site| Status {
                service: name.clone(),
                endpoint: site.id.clone(),
                in_progress: site.in_progress,
                takes: site.takes(),
                work_ms: site.estimate.work_ms(now),
                uncertainty: site.estimate.uncertainty(now),
                pace: (site.estimate.pace(now) * 100.0).round() as u32,
                age: site.estimate.age(now),
            })
        })
    }

    /// Returns the number of calls that wait, by service.
    pub fn waiting(&self) -> impl Iterator<Item = (Name, usize)> {
        self.services.iter().map(|(name, service)| (name.clone(), service.queue.len()))
    }

    fn site(&mut self, call: &Placed) -> Option<&mut Site> {
        let sites = &mut self.services.get_mut(&call.service)?.sites;
        sites.iter_mut().find(|site| site.id == call.endpoint && site.born == call.born)
    }

    fn forget_where(&mut self, forgotten: impl Fn(&(u64, u64), &Placed) -> bool) {
        let calls: Vec<(u64, u64)> = self
            .placed
            .iter()
            .filter(|(key, call)| forgotten(key, call))
            .map(|(key, _)| *key)
            .collect();
        for key in calls {
            if let Some(call) = self.placed.remove(&key) {
                self.site(&call).into_iter().for_each(Site::forget);
            }
        }
    }
}

fn denial(placement: &Placement, code: Code, retry: Duration) -> Denial {
    Denial { request: placement.request, code, retry_ms: retry.as_millis() as u32 }
}
