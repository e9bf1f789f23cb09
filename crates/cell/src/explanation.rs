//! Where the keeper that leads would send a request now.

use std::time::Duration;

use fleet::explanation::Budget;
use fleet::explanation::Question;
use fleet::explanation::Refusal;
use fleet::explanation::Report;
use fleet::message::Placement;
use fleet::message::Query;
use fleet::message::Submission;
use fleet::plan::EngineSpec;
use fleet::plan::Plan;
use fleet::plan::Route;

use crate::coordinator::Coordinator;
use crate::engines::Engines;
use crate::keeper::Keeper;
use crate::placing::EQUAL_SHARE;

/// The latency target of a request to a service without a route.
const DEFAULT_TARGET: Duration = Duration::from_secs(1);
/// The time until the deadline of such a request.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(15);

impl Coordinator {
    /// Returns what would be done with a request now, without any effect.
    fn explain(&mut self, question: &Question, plan: Option<&Plan>) -> Result<Report, Refusal> {
        let now = self.now();
        let leader = self.status.leader.clone();
        let Some(leadership) = &mut self.leadership else {
            return Err(Refusal::NotLeader { leader });
        };
        let request = Request::new(question, plan)?;
        let decision = match request.engine {
            Some(spec) => {
                let submission = request.submission(spec)?;
                leadership.scheduler.explain(&question.domain, submission, now)
            }
            None => {
                let placement = request.placement();
                leadership.balancer.explain(&question.domain, &placement, EQUAL_SHARE, now)
            }
        };
        let total = question.tenant.as_ref().and_then(|name| leadership.ledger.total(name, now));
        let budget = total.map(|total| Budget {
            tenant: total.tenant,
            limit: total.limit,
            used: total.used,
            refused: total.refused,
        });
        Ok(Report { decision, budget })
    }
}

impl<E: Engines> Keeper<E> {
    /// Returns what would be done with a request now, without sending it.
    ///
    /// # Errors
    ///
    /// This keeper does not lead, or the plan in force has no such service or tenant.
    pub fn explain(&self, question: &Question) -> Result<Report, Refusal> {
        let mut coordinator = self.coordinator.lock();
        let plan = self.state.read().plan.clone();
        coordinator.explain(question, plan.as_deref())
    }
}

/// A question with what the plan adds.
struct Request<'a> {
    question: &'a Question,
    /// The engines of the service; `None` for a plain service.
    engine: Option<&'a EngineSpec>,
    /// The first route to the service.
    route: Option<&'a Route>,
    rank: u8,
}

impl<'a> Request<'a> {
    fn new(question: &'a Question, plan: Option<&'a Plan>) -> Result<Request<'a>, Refusal> {
        let services = plan.into_iter().flat_map(|plan| &plan.services);
        let service = services.into_iter().find(|service| service.name == question.service);
        let service = service.ok_or(Refusal::UnknownService)?;
        let tenant = match &question.tenant {
            Some(name) => {
                let mut tenants = plan.into_iter().flat_map(|plan| &plan.tenants);
                Some(tenants.find(|known| known.name == *name).ok_or(Refusal::UnknownTenant)?)
            }
            None => None,
        };
        let leads = |route: &&Route| {
            route.splits.iter().any(|split| split.service == question.service && split.weight > 0)
        };
        let route = plan.into_iter().flat_map(|plan| &plan.routes).find(leads);
        let rank = question.rank.or(tenant.and_then(|tenant| tenant.rank));
        let rank = rank.or(route.map(|route| route.rank)).unwrap_or_default();
        Ok(Request { question, engine: service.engine.as_ref(), route, rank })
    }

    fn target_ms(&self) -> u32 {
        let target = self.route.map_or(DEFAULT_TARGET, |route| route.target);
        self.question.target_ms.unwrap_or(millis(target))
    }

    fn left_ms(&self) -> u32 {
        let timeout = self.route.map_or(DEFAULT_TIMEOUT, |route| route.timeout);
        self.question.left_ms.unwrap_or(millis(timeout))
    }

    fn submission(&self, spec: &EngineSpec) -> Result<Submission, Refusal> {
        let Question { service, adapter, input, output, .. } = self.question;
        let model = match &self.question.model {
            Some(name) if spec.models.iter().any(|model| model.name == *name) => name.clone(),
            Some(name) => {
                let message = format!("the service has no base model '{name}'");
                return Err(Refusal::Invalid { message });
            }
            None => spec.models.first().map(|model| model.name.clone()).unwrap_or_default(),
        };
        let query = Query {
            request: 0,
            service: service.clone(),
            model,
            adapter: adapter.clone(),
            // No request that was refused has this content, so it is not taken for a retry.
            fingerprint: rand::random(),
            input: *input,
            output: *output,
            parts: Vec::new(),
            target_ms: self.target_ms(),
            left_ms: self.left_ms(),
            rank: self.rank,
            excluded: Vec::new(),
            build: None,
        };
        let gap_ms = self.route.and_then(|route| route.gap).map_or(0, millis);
        Ok(Submission { query, tenant: self.question.tenant.clone(), gap_ms })
    }

    fn placement(&self) -> Placement {
        Placement {
            request: 0,
            service: self.question.service.clone(),
            target_ms: self.target_ms(),
            left_ms: self.left_ms(),
            rank: self.rank,
            tenant: self.question.tenant.clone(),
            excluded: Vec::new(),
            build: None,
        }
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
