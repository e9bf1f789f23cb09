//! Tests of the leadership of a cell whose keepers run in the test process.

mod running;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use base::Name;
use cell::engines::Engines;
use cell::engines::Holder;
use cell::engines::Response;
use fleet::endpoint::Announcement;
use fleet::endpoint::Endpoint;
use fleet::endpoint::State;
use fleet::message::Call;
use fleet::message::Frame;
use fleet::message::Hello;
use fleet::message::Reply;
use fleet::revision::Revision;
use running::Running;
use running::addresses;
use running::settings;
use running::start;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;
use tempfile::TempDir;
use tokio::sync::watch;

const TIMEOUT: Duration = Duration::from_secs(20);
/// Longer than any election timeout, shorter than the read timeout of a link.
const BUSY: Duration = Duration::from_secs(1);

/// Longer than the time after which a main thread counts as stalled, and than an election.
const HUNG: Duration = Duration::from_secs(10);

/// Engines that keep the thread of their caller busy once.
#[derive(Clone, Debug)]
struct BusyEngines {
    busy: Duration,
    was_busy: Arc<AtomicBool>,
}

impl BusyEngines {
    fn new(busy: Duration) -> BusyEngines {
        BusyEngines { busy, was_busy: Arc::default() }
    }
}

impl Engines for BusyEngines {
    async fn order(&self, _order: &Order, _holder: &Holder) -> Response<Answer> {
        Response { answer: Answer::Lost, leaving: false }
    }

    async fn inspect(&self, _endpoint: &Endpoint) -> Response<Option<Report>> {
        if !self.was_busy.load(Ordering::SeqCst) {
            thread::sleep(self.busy);
            self.was_busy.store(true, Ordering::SeqCst);
        }
        Response { answer: None, leaving: false }
    }
}

/// Opens the link of a gate to a keeper and records the highest term that a keeper leads in, with the
/// keeper's index.
async fn watch_terms(index: usize, keeper: SocketAddr, terms: Arc<watch::Sender<(u64, usize)>>) {
    let stream = link::connect(keeper.ip(), keeper, TIMEOUT).await.expect("a connection");
    let (link, mut inbox) = link::open(stream, Frame::Ping);
    link.send(Frame::Hello(Hello {
        node: Name::from("gate"),
        incarnation: 1,
        domain: Name::from("a"),
        front: Some(Name::from("127.0.0.1:1")),
        accepting: true,
        revision: Revision::CURRENT,
    }));
    while let Some(frame) = inbox.recv().await {
        if let Frame::Welcome(welcome) = frame
            && let Some(term) = welcome.leads
        {
            terms.send_if_modified(|known| {
                let later = term > known.0;
                *known = (*known).max((term, index));
                later
            });
        }
    }
}

fn engine(sequence: u64) -> Announcement {
    Announcement {
        id: Name::from("i-1"),
        born: 1,
        sequence,
        service: Name::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        domain: Name::from("a"),
        slots: 1,
        build: Name::from("v1"),
        state: State::Ready,
        held: Some(Vec::new()),
    }
}

/// Three keepers, the leader's main thread busy with an engine.
struct Cell {
    /// The term and the index of the first leader.
    first: (u64, usize),
    leader: watch::Receiver<(u64, usize)>,
    _keepers: Vec<Running<BusyEngines>>,
    _directory: TempDir,
}

impl Cell {
    async fn start(first_address: u8, engines: &BusyEngines) -> Cell {
        let directory = TempDir::new().expect("a directory");
        let seeds = addresses(first_address);
        let keepers: Vec<Running<BusyEngines>> = seeds
            .iter()
            .map(|seed| start(settings(*seed, &seeds, &directory), engines.clone()))
            .collect();
        let (sender, mut leader) = watch::channel((0, 0));
        let terms = Arc::new(sender);
        for (index, seed) in seeds.iter().enumerate() {
            tokio::spawn(watch_terms(index, *seed, terms.clone()));
        }
        let elected = leader.wait_for(|(term, _)| *term > 0);
        let first =
            *tokio::time::timeout(TIMEOUT, elected).await.expect("in time").expect("a term");
        let announced = keepers[first.1].keeper.call(Call::Announce(engine(1))).await;
        assert_eq!(announced, Reply::Done);
        Cell { first, leader, _keepers: keepers, _directory: directory }
    }
}

/// The replica shared a thread with the scheduler and with the calls to engines, so its heartbeats came
/// late whenever that thread was busy.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_whose_main_thread_is_busy_keeps_its_leadership() {
    let engines = BusyEngines::new(BUSY);
    let cell = Cell::start(1, &engines).await;
    let start = Instant::now();
    while !engines.was_busy.load(Ordering::SeqCst) {
        assert!(start.elapsed() < TIMEOUT, "the engine was not inspected");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    tokio::time::sleep(BUSY).await;
    assert_eq!(*cell.leader.borrow(), cell.first, "another keeper was elected");
}

/// The replica has a thread of its own, so it would keep the lead of a keeper that does nothing else.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leader_whose_main_thread_hangs_is_replaced() {
    let mut cell = Cell::start(11, &BusyEngines::new(HUNG)).await;
    let first = cell.first;
    let elected = cell.leader.wait_for(|(term, _)| *term > first.0);
    let next = *tokio::time::timeout(HUNG, elected).await.expect("in time").expect("a term");
    assert_ne!(next.1, first.1);
}
