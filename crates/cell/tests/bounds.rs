//! Tests of the bounds that follow from the memory of the host.

mod running;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use cell::engines::Engines;
use cell::engines::Holder;
use cell::engines::Response;
use fleet::document::Document;
use fleet::endpoint::Endpoint;
use fleet::extension::Extension;
use fleet::message::Call;
use fleet::message::Reply;
use fleet::plan::Limits;
use fleet::plan::Plan;
use running::Running;
use running::addresses;
use running::settings;
use running::start;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(20);
const MEMORY_BYTES: usize = 16 << 20;
/// The limit of a change that follows from it.
const LIMIT: usize = MEMORY_BYTES / 32;

/// Engines that are never reached.
#[derive(Clone, Copy, Debug)]
struct NoEngines;

impl Engines for NoEngines {
    async fn order(&self, _order: &Order, _holder: &Holder) -> Response<Answer> {
        Response { answer: Answer::Lost, leaving: false }
    }

    async fn inspect(&self, _endpoint: &Endpoint) -> Response<Option<Report>> {
        Response { answer: None, leaving: false }
    }
}

/// Sends a plan whose document has a size until the outcome is known.
async fn publish(keeper: &Running<NoEngines>, version: u64, bytes: usize) -> Reply {
    let plan = Plan {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: Limits::default(),
        tenants: Vec::new(),
    };
    let (plan, extension) = (Arc::new(plan), Arc::new(Extension::default()));
    let document = Document::from(Bytes::from(vec![b' '; bytes]));
    let start = Instant::now();
    loop {
        let (plan, extension, document) = (plan.clone(), extension.clone(), document.clone());
        let call = Call::PublishExtended { plan, extension, document };
        match keeper.keeper.call(call).await {
            Reply::Unsure => assert!(start.elapsed() < TIMEOUT, "no outcome is known"),
            reply => return reply,
        }
    }
}

// Guards against a state that is accepted and then too large for a replica that is behind.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_change_above_the_limit_of_the_memory_is_refused_with_the_limit() {
    let directory = TempDir::new().expect("a directory");
    let seeds = addresses(41);
    let keepers = seeds.iter().map(|seed| {
        let mut settings = settings(*seed, &seeds, &directory);
        settings.memory_bytes = MEMORY_BYTES;
        start(settings, NoEngines)
    });
    let keepers: Vec<_> = keepers.collect();
    for (version, keeper) in (1..).step_by(2).zip(&keepers) {
        let fitting = LIMIT - (1 << 10);
        assert_eq!(publish(keeper, version, fitting).await, Reply::Done);
        let Reply::TooLarge { bytes, limit } = publish(keeper, version + 1, LIMIT).await else {
            panic!("the change is not refused");
        };
        assert!(bytes > limit);
        assert_eq!(limit, LIMIT as u64);
        let document = keeper.keeper.call(Call::Document).await;
        let Reply::Document(Some(document)) = document else { panic!("{document:?}") };
        assert_eq!(document.into_bytes().len(), fitting);
    }
}
