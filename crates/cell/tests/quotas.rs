//! Tests of the ledger of quotas at keepers, with gates that are only links.

mod running;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use base::Name;
use bytes::Bytes;
use cell::engines::Engines;
use cell::engines::Holder;
use cell::engines::Response;
use fleet::endpoint::Endpoint;
use fleet::extension::Extension;
use fleet::message::Call;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Reply;
use fleet::message::Spending;
use fleet::plan::Plan;
use fleet::revision::Revision;
use fleet::tenant::Quota;
use fleet::tenant::Tenant;
use fleet::tenant::Unit;
use link::Inbox;
use link::Link;
use running::Running;
use running::addresses;
use running::settings;
use running::start;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(20);
/// The time in which a plan must be in force after its acknowledgement.
const APPLY_TIME: Duration = Duration::from_millis(2_500);
/// The units in a window, which is longer than the tests.
const LIMIT: u64 = 100_000;

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

/// Held by the test that runs. With twelve keepers at once, leaders lose their majorities on a busy machine, and these tests
/// assume one leader but for those that they stop.
static TURN: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// A cell of three keepers in whose plan a tenant has a quota.
struct Cell {
    addresses: Vec<SocketAddr>,
    keepers: Vec<Option<Running<NoEngines>>>,
    _directory: TempDir,
    _turn: tokio::sync::MutexGuard<'static, ()>,
}

impl Cell {
    async fn start(first: u8) -> Cell {
        let turn = TURN.lock().await;
        let directory = TempDir::new().expect("a directory");
        let addresses = addresses(first);
        let settings = addresses.iter().map(|seed| settings(*seed, &addresses, &directory));
        let keepers: Vec<_> = settings.map(|settings| Some(start(settings, NoEngines))).collect();
        let cell = Cell { addresses, keepers, _directory: directory, _turn: turn };
        cell.publish(1, LIMIT).await;
        cell
    }

    /// Puts a plan into force in which a tenant has this limit, most of it as a rate.
    async fn publish(&self, version: u64, limit: u64) {
        let window = Duration::from_secs(60);
        let quota = Quota {
            rate: limit as f64 * 0.9 / 60.0,
            burst: limit as f64 * 0.1,
            unit: Unit::Tokens,
            plain_tokens: 0,
            window,
            overage: 0.0,
        };
        let quota = Some(quota);
        let tenant = Tenant { name: Name::from("blue"), keys: Vec::new(), rank: None, quota };
        let plan = Plan { version, tenants: vec![tenant], ..Plan::default() };
        let extension = Arc::new(Extension::of(&plan));
        let plan = Arc::new(plan);
        let start = Instant::now();
        for keeper in self.keepers.iter().flatten().cycle() {
            let (plan, extension) = (plan.clone(), extension.clone());
            let call = Call::PublishExtended { plan, extension, document: Bytes::new().into() };
            if keeper.keeper.call(call).await == Reply::Done {
                return;
            }
            assert!(start.elapsed() < TIMEOUT, "the plan is not acknowledged");
        }
    }
}

/// A link of a node to the leader.
struct Node {
    link: Link<Frame>,
    inbox: Inbox<Frame>,
}

impl Node {
    /// Connects to a keeper as a gate, or as a keeper if `is_gate` is false. Returns also whether it leads.
    async fn connect_to(
        address: SocketAddr,
        name: &str,
        is_gate: bool,
        revision: Revision,
    ) -> Option<(bool, Node)> {
        let timeout = Duration::from_millis(300);
        let stream = link::connect(address.ip(), address, timeout).await.ok()?;
        let (link, mut inbox) = link::open(stream, Frame::Ping);
        link.send(Frame::Hello(Hello {
            node: Name::from(name),
            incarnation: 1,
            domain: Name::from("a"),
            front: is_gate.then(|| Name::from("127.0.0.1:1")),
            accepting: is_gate,
            revision,
        }));
        let welcome = tokio::time::timeout(timeout, inbox.recv()).await.ok().flatten();
        let leads = matches!(welcome, Some(Frame::Welcome(welcome)) if welcome.leads.is_some());
        Some((leads, Node { link, inbox }))
    }

    /// Connects to the leader as [`Node::connect_to`] does.
    async fn connect(cell: &Cell, name: &str, is_gate: bool, revision: Revision) -> (usize, Node) {
        let start = Instant::now();
        loop {
            for (number, address) in cell.addresses.iter().enumerate() {
                let node = Node::connect_to(*address, name, is_gate, revision).await;
                if let Some((true, node)) = node {
                    return (number, node);
                }
            }
            assert!(start.elapsed() < TIMEOUT, "no keeper leads");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn gate(cell: &Cell, name: &str) -> (usize, Node) {
        Node::connect(cell, name, true, Revision::CURRENT).await
    }

    /// Reserves units; returns those that were granted, those that are used, and the time to come back.
    async fn reserve(&mut self, need: u64) -> (u64, u64, Option<u32>) {
        self.try_reserve(need, Duration::from_secs(2)).await.expect("an answer")
    }

    /// Reserves units as [`Node::reserve`] does; returns `None` if there is no answer in time.
    async fn try_reserve(&mut self, need: u64, time: Duration) -> Option<(u64, u64, Option<u32>)> {
        let request = need;
        self.link.send(Frame::Reserve { request, tenant: Name::from("blue"), need, extra: 0 });
        let answer = async {
            loop {
                match self.inbox.recv().await.expect("the link is open") {
                    Frame::Reserved { request: of, granted, used, wait_ms } if of == request => {
                        return (granted, used, wait_ms);
                    }
                    _ => {}
                }
            }
        };
        tokio::time::timeout(time, answer).await.ok()
    }

    /// Returns whether a ledger arrives within two seconds.
    async fn gets_ledger(&mut self) -> bool {
        let ledger = async {
            loop {
                match self.inbox.recv().await {
                    Some(Frame::Ledger(changes)) if !changes.is_empty() => return,
                    Some(_) => {}
                    None => std::future::pending().await,
                }
            }
        };
        tokio::time::timeout(Duration::from_secs(2), ledger).await.is_ok()
    }
}

// Guards against gates that each get the whole limit, and against units that are lost when they come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn gates_reserve_from_one_limit() {
    let cell = Cell::start(61).await;
    let (_, mut one) = Node::gate(&cell, "one").await;
    let (_, mut other) = Node::gate(&cell, "other").await;
    assert_eq!(one.reserve(60_000).await.0, 60_000);
    let (granted, used, wait_ms) = other.reserve(50_000).await;
    assert_eq!((granted, used), (0, 60_000));
    // The window is 60 s, and a second longer for requests on their way.
    let wait = wait_ms.expect("a time to come back");
    assert!((59_000..61_500).contains(&wait), "{wait}");
    assert_eq!(other.reserve(40_000).await.0, 40_000);
    other.link.send(Frame::Unspent { tenant: Name::from("blue"), units: 30_000 });
    // Its answer shows that what was sent before it on this link has arrived.
    assert_eq!(other.reserve(LIMIT + 1).await.2, None);
    assert_eq!(one.reserve(30_001).await.0, 0);
    assert_eq!(one.reserve(30_000).await.0, 30_000);
    assert_eq!(one.reserve(LIMIT + 1).await.2, None);
    cell.publish(2, LIMIT * 2).await;
    // The leader applies a plan shortly after it was acknowledged.
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(one.reserve(90_000).await.0, 90_000);
    cell.publish(3, LIMIT).await;
    tokio::time::sleep(APPLY_TIME).await;
    assert_eq!(one.reserve(1).await.0, 0);
}

// Guards against a limit that begins anew with each leader: the first gate died with the former leader, the other one
// spent the rest without a leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_new_leader_knows_what_was_spent() {
    let mut cell = Cell::start(71).await;
    let (leader, mut one) = Node::gate(&cell, "one").await;
    assert_eq!(one.reserve(60_000).await.0, 60_000);
    // The other keepers are told every 500 ms.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    drop(one);
    cell.keepers[leader] = None;
    let (_, mut other) = Node::gate(&cell, "other").await;
    let slices = vec![(0, 30_000)];
    other.link.send(Frame::Spent(vec![Spending { tenant: Name::from("blue"), slices }]));
    let (granted, used, _) = other.reserve(10_001).await;
    assert_eq!((granted, used), (0, 90_000));
    assert_eq!(other.reserve(10_000).await.0, 10_000);
}

// Guards against tenants that are refused within their limit while no keeper leads, and against keepers that grant units
// beside the leader.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_answers_only_while_none_leads() {
    let mut cell = Cell::start(91).await;
    let (leader, mut one) = Node::gate(&cell, "one").await;
    assert_eq!(one.reserve(60_000).await.0, 60_000);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let left = (leader + 1) % 3;
    let other = Node::connect_to(cell.addresses[left], "other", true, Revision::CURRENT).await;
    let (leads, mut other) = other.expect("a link");
    assert!(!leads);
    let time = Duration::from_millis(300);
    assert_eq!(other.try_reserve(1, time).await, None);
    // The last keeper has no majority.
    cell.keepers[leader] = None;
    cell.keepers[(leader + 2) % 3] = None;
    let start = Instant::now();
    let answer = loop {
        if let Some(answer) = other.try_reserve(40_001, time).await {
            break answer;
        }
        assert!(start.elapsed() < TIMEOUT, "no deputy answers");
    };
    assert_eq!((answer.0, answer.1), (0, 60_000));
    assert_eq!(other.reserve(40_000).await.0, 40_000);
}

// Guards against frames that a node of a former release can't decode, at which it would close its link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_keeper_of_a_former_release_gets_no_ledger() {
    let cell = Cell::start(81).await;
    let (_, mut gate) = Node::gate(&cell, "one").await;
    assert_eq!(gate.reserve(1_000).await.0, 1_000);
    for (revision, expected) in [(Revision::DEPARTURES, false), (Revision::TENANTS, true)] {
        let (_, mut keeper) = Node::connect(&cell, "keeper", false, revision).await;
        gate.reserve(500).await;
        assert_eq!(keeper.gets_ledger().await, expected, "revision {revision}");
    }
}

// Guards against a keeper of an earlier release, which reads a plan without its tenants, through which an operator puts a
// plan into force that is served without checking keys.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_plan_from_a_former_keeper_does_not_remove_the_tenants() {
    let cell = Cell::start(101).await;
    for keeper in cell.keepers.iter().flatten() {
        let plan = Arc::new(Plan { version: 2, ..Plan::default() });
        let call = Call::Publish { plan, document: Bytes::new().into() };
        assert_eq!(keeper.keeper.call(call).await, Reply::Unsure);
    }
    cell.publish(2, LIMIT / 2).await;
}
