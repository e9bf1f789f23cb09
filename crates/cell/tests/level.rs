//! Tests of the level of the log, which no command of a later revision passes.

mod running;

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::Instant;

use base::Name;
use cell::engines::Engines;
use cell::engines::Holder;
use cell::engines::Response;
use cell::state::Command;
use disk::Store;
use fleet::endpoint::Endpoint;
use fleet::message::Call;
use fleet::message::Frame;
use fleet::message::Reply;
use fleet::message::Welcome;
use fleet::revision::Revision;
use raft::message::Payload;
use running::Running;
use running::addresses;
use running::settings;
use running::start;
use sched::action::Answer;
use sched::action::Order;
use sched::action::Report;
use tempfile::TempDir;

const TIMEOUT: Duration = Duration::from_secs(20);

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

/// Answers links as a keeper of a former release, which names its revision and never votes.
async fn run_former_keeper(address: SocketAddr) {
    let listener = link::bind(address).expect("the address is free");
    while let Ok((stream, _)) = listener.accept().await {
        let (link, mut inbox) = link::open(stream, Frame::Ping);
        link.send(Frame::Welcome(Welcome { revision: Revision::TUNNELS, ..Welcome::default() }));
        tokio::spawn(async move { while inbox.recv().await.is_some() {} });
    }
}

/// Deregisters an endpoint until the leader acknowledges it.
async fn deregister(keeper: &Running<NoEngines>, id: &str) {
    let start = Instant::now();
    let call = Call::Leave { id: Name::from(id), born: Some(1) };
    while keeper.keeper.call(call.clone()).await != Reply::Done {
        assert!(start.elapsed() < TIMEOUT, "the departure is not acknowledged");
    }
}

/// Returns the commands in the log of a replica, from a copy of its files.
fn commands(directory: &Path) -> Vec<Command> {
    let copy = TempDir::new().expect("a directory");
    for file in std::fs::read_dir(directory).expect("the directory of a replica") {
        let file = file.expect("a file");
        std::fs::copy(file.path(), copy.path().join(file.file_name())).expect("copied");
    }
    let (_, stored, _) = Store::open(copy.path()).expect("a replica");
    let data = stored.entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Data(data) => Some(data),
        _ => None,
    });
    data.map(|data| postcard::from_bytes(data).expect("a command")).collect()
}

fn is_departure(command: &Command) -> bool {
    matches!(command, Command::Depart(_))
}

// Guards against departures that are acknowledged without a commit although all members could apply it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn departures_are_commands_once_all_members_support_them() {
    let directory = TempDir::new().expect("a directory");
    let seeds = addresses(21);
    let settings: Vec<_> = seeds.iter().map(|seed| settings(*seed, &seeds, &directory)).collect();
    let keepers: Vec<_> =
        settings.iter().map(|settings| start(settings.clone(), NoEngines)).collect();
    let start = Instant::now();
    for number in 0.. {
        deregister(&keepers[0], &format!("x{number}")).await;
        if commands(&settings[0].data_dir).iter().any(is_departure) {
            break;
        }
        assert!(start.elapsed() < TIMEOUT, "no departure is committed");
    }
    let commands = commands(&settings[0].data_dir);
    let raised = commands.iter().position(|command| matches!(command, Command::Raise(_)));
    assert!(raised < commands.iter().position(is_departure), "{commands:?}");
}

// Guards against a command that a voter of a former release can't apply, at which it would stop.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_departure_is_committed_while_a_member_of_a_former_release_is_left() {
    let directory = TempDir::new().expect("a directory");
    let seeds = addresses(31);
    tokio::spawn(run_former_keeper(seeds[2]));
    let settings: Vec<_> =
        seeds[..2].iter().map(|seed| settings(*seed, &seeds, &directory)).collect();
    let keepers: Vec<_> =
        settings.iter().map(|settings| start(settings.clone(), NoEngines)).collect();
    let start = Instant::now();
    // Longer than the leader needs to raise the level in a cell of this release.
    while start.elapsed() < Duration::from_secs(2) {
        deregister(&keepers[0], "x").await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    for settings in &settings {
        let commands = commands(&settings.data_dir);
        let early = commands
            .iter()
            .any(|command| is_departure(command) || matches!(command, Command::Raise(_)));
        assert!(!early, "{commands:?}");
    }
}
