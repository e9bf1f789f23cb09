//! Questions where a request would go, to keepers that run in the test process.

mod running;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Code;
use base::Name;
use bytes::Bytes;
use cell::engines::Engines;
use cell::engines::Holder;
use cell::engines::Response;
use fleet::document::Document;
use fleet::endpoint::Endpoint;
use fleet::explanation::Outcome;
use fleet::explanation::Question;
use fleet::explanation::Refusal;
use fleet::message::Call;
use fleet::plan::EngineSpec;
use fleet::plan::Plan;
use fleet::plan::Service;
use running::Running;
use running::addresses;
use running::settings;
use running::start;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Engines that answer no order.
struct NoEngines;

impl Engines for NoEngines {
    async fn order(&self, _order: &Order, _holder: &Holder) -> Response<Answer> {
        Response { answer: Answer::Lost, leaving: false }
    }

    async fn inspect(&self, _endpoint: &Endpoint) -> Response<Option<Report>> {
        Response { answer: None, leaving: false }
    }
}

fn question(service: &str) -> Question {
    Question { service: Name::from(service), ..Question::default() }
}

/// Waits until a keeper gives an answer that `accepts` returns true for; returns the keeper's index.
async fn wait_for(
    keepers: &[Running<NoEngines>],
    service: &str,
    accepts: impl Fn(&Result<fleet::explanation::Report, Refusal>) -> bool,
) -> usize {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let answers = keepers.iter().map(|running| running.keeper.explain(&question(service)));
        if let Some(index) = answers.into_iter().position(|answer| accepts(&answer)) {
            return index;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("no keeper gives the answer in time");
}

/// Guards against an answer of a keeper that does not lead, and against names that the plan does not have.
#[tokio::test]
async fn only_the_leader_answers_and_only_what_the_plan_has() {
    let directory = TempDir::new().expect("a directory");
    let addresses = addresses(1);
    let start = |address| start(settings(address, &addresses, &directory), NoEngines);
    let keepers: Vec<_> = addresses.iter().map(|address| start(*address)).collect();
    let unknown = |answer: &_| matches!(answer, Err(Refusal::UnknownService));
    let leader = wait_for(&keepers, "llm", unknown).await;
    let engine = EngineSpec {
        slots: 8,
        kv_tokens: 10_000,
        adapter_slots: 2,
        weights_mb: 1.0,
        loads_per_s: 1.0,
        models: Vec::new(),
        stride: 1,
    };
    let service = |name, engine| Service { name: Name::from(name), max_connections: 1, engine };
    let services = vec![service("llm", Some(engine)), service("plain", None)];
    let plan = Arc::new(Plan { version: 1, services, ..Plan::default() });
    let document = Document::from(Bytes::from_static(b"{}"));
    keepers[leader].keeper.call(Call::Publish { plan, document }).await;
    let leader = wait_for(&keepers, "llm", Result::is_ok).await;
    for service in ["llm", "plain"] {
        let report = keepers[leader].keeper.explain(&question(service)).expect("an answer");
        assert_eq!(report.decision.outcome, Outcome::Refused);
        assert_eq!(report.decision.code, Some(Code::NoEndpoint));
    }
    let tenant = Some(Name::from("nobody"));
    let answer = keepers[leader].keeper.explain(&Question { tenant, ..question("llm") });
    assert_eq!(answer, Err(Refusal::UnknownTenant));
    let named = Some(Name::from(addresses[leader].to_string()));
    let names = |answer: &_| *answer == Err(Refusal::NotLeader { leader: named.clone() });
    assert_ne!(wait_for(&keepers, "llm", names).await, leader);
}
