//! Tests of the endpoint pool, the request queues and the lease.

use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Name;
use blackboard::Board;
use blackboard::Phase;
use blackboard::Target;
use blackboard::Ticket;
use blackboard::Timestamp;
use blackboard::Waiter;
use state::Delta;
use state::View;
use state::view::Endpoint;
use state::view::Gate;
use state::view::Ownership;
use state::view::Patch;
use state::view::Role;
use tokio::sync::oneshot;
use tokio::time::Instant;
use wire::endpoint::Model;
use wire::endpoint::Running;
use wire::endpoint::State;
use wire::keeper::Update;

const HANDOVER: Duration = Duration::from_secs(2);
const HOUR: Duration = Duration::from_secs(3_600);

type Reply = oneshot::Receiver<Result<Ticket, Code>>;

fn model(adapter: &str) -> Model {
    Model { adapter: Name::from(adapter), version: Name::from("v1") }
}

fn gate(name: &str, incarnation: u64) -> Gate {
    let name = Name::from(name);
    let none = Name::default();
    let (domain, address, peer) = (none.clone(), none.clone(), none.clone());
    Gate { name, incarnation, domain, address, peer, relay: none }
}

fn owned(owner: &str, fence: u64, generation: u64) -> Ownership {
    let endpoint = Endpoint {
        name: Name::from("e1"),
        address: Name::default(),
        host: Name::from("h9"),
        domain: Name::default(),
        role: Role::Engine { base: Name::from("base"), slots: 2, batch: 2 },
        fenced: false,
        generation,
    };
    Ownership { endpoint, owner: Some(Name::from(owner)), fence }
}

/// Returns the board of gate `h1`. Its view contains the gates `h1` and `h2` and an engine owned by `h2`.
fn board() -> Arc<Board> {
    let (board, _) = Board::new(Name::from("h1"), HOUR, HANDOVER);
    let mut view = View { revision: 1, ..View::default() };
    for name in ["h1", "h2"] {
        view.gates.insert(Name::from(name), gate(name, 1));
    }
    view.endpoints.insert(Name::from("e1"), owned("h2", 1, 1));
    assert!(board.update(&Update::Whole(Box::new(view))));
    board.lease.lock().extend(Timestamp::now().after(HOUR));
    board
}

fn patch(board: &Board, patch: Patch) -> bool {
    let revision = board.view.read().revision + 1;
    board.update(&Update::Deltas(vec![Delta { revision, configuration: 0, patch }]))
}

fn assign_to_h1(board: &Board, fence: u64) {
    let name = Name::from("e1");
    assert!(patch(board, Patch::Endpoint(name, Some(owned("h1", fence, 1)))));
}

fn state(loaded: &[&str], running: &[(&str, &str)]) -> State {
    let running = running.iter().map(|(request, adapter)| Running {
        request: Name::from(*request),
        model: Some(model(adapter)),
    });
    State {
        generation: 1,
        loaded: loaded.iter().map(|adapter| model(adapter)).collect(),
        running: running.collect(),
        waiting: 0,
    }
}

fn apply_state(board: &Board, state: &State) -> bool {
    let name = Name::from("e1");
    let (fence, order_epoch) = {
        let pool = board.pool.lock();
        let entry = &pool.endpoints[&name];
        (entry.fence, entry.order_epoch)
    };
    board.apply_state(&name, fence, order_epoch, state)
}

fn evictable(board: &Board) -> bool {
    board.pool.lock().endpoints["e1"].evictable(Instant::now())
}

fn wait(board: &Arc<Board>, request: &str, priority: u8, alone: bool) -> Reply {
    let (reply, ticket) = oneshot::channel();
    let now = Instant::now();
    let waiter = Waiter {
        request: Name::from(request),
        endpoint: None,
        bound: false,
        priority,
        arrived: now,
        deadline: now + HOUR,
        alone,
        fingerprint: 1,
        reply,
    };
    board.admit(Target::Model(model("a")), waiter, 2).expect("the queue has room");
    ticket
}

#[test]
fn lease_is_extended_and_never_shortened() {
    let mut lease = blackboard::Lease::default();
    assert!(!lease.holds());
    lease.extend(Timestamp::now().after(HOUR));
    lease.extend(Timestamp::now());
    assert!(lease.holds());
    lease.end();
    assert!(!lease.holds());
    lease.extend(Timestamp::now());
    assert!(!lease.holds());
}

#[tokio::test(start_paused = true)]
async fn nothing_is_evicted_while_the_previous_owner_may_send() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    assert!(!evictable(&board));
    // The previous owner sends a request after the first probe.
    assert!(apply_state(&board, &state(&["a"], &[("r1", "a")])));
    tokio::time::advance(HANDOVER).await;
    assert!(!evictable(&board), "the request of the previous owner pins the endpoint");
    assert!(apply_state(&board, &state(&["a"], &[])));
    assert!(evictable(&board));
}

#[tokio::test(start_paused = true)]
async fn endpoint_of_an_ended_lease_is_exclusive_at_once() {
    let board = board();
    assert!(patch(&board, Patch::Gate(Name::from("h2"), None)));
    assign_to_h1(&board, 2);
    assert!(!evictable(&board), "it was not probed yet");
    assert!(apply_state(&board, &state(&["a"], &[])));
    assert!(evictable(&board));
}

#[tokio::test(start_paused = true)]
async fn state_read_during_an_order_is_not_applied() {
    let board = board();
    assign_to_h1(&board, 2);
    let name = Name::from("e1");
    board.set_phase(&name, 2, &model("a"), Some(Phase::Loading));
    let before = board.pool.lock().endpoints["e1"].order_epoch;
    board.set_phase(&name, 2, &model("a"), Some(Phase::Ready));
    assert!(!board.apply_state(&name, 2, before, &state(&[], &[])));
    assert!(board.pool.lock().endpoints["e1"].slots.contains_key(&model("a")));
}

#[tokio::test(start_paused = true)]
async fn requests_are_dispatched_by_priority_and_queue_is_bounded() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    let mut first = wait(&board, "r1", 5, false);
    let mut second = wait(&board, "r2", 5, false);
    let mut low = wait(&board, "r3", 1, false);
    let mut high = wait(&board, "r4", 9, false);
    let ticket = first.try_recv().expect("sent").expect("it has room");
    let _kept = second.try_recv().expect("sent").expect("it has room");
    assert!(low.try_recv().is_err() && high.try_recv().is_err());
    let (reply, _) = oneshot::channel();
    let now = Instant::now();
    let waiter = Waiter {
        request: Name::from("r5"),
        endpoint: None,
        bound: false,
        priority: 9,
        arrived: now,
        deadline: now + HOUR,
        alone: false,
        fingerprint: 1,
        reply,
    };
    let full = board.admit(Target::Model(model("a")), waiter, 2);
    assert_eq!(full, Err(Code::QueueFull));
    drop(ticket);
    board.dispatch();
    assert!(high.try_recv().is_ok() && low.try_recv().is_err());
}

#[tokio::test(start_paused = true)]
async fn suspect_request_runs_alone() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    let mut first = wait(&board, "r1", 5, false);
    let ticket = first.try_recv().expect("sent").expect("it has room");
    let mut suspect = wait(&board, "r2", 5, true);
    let mut other = wait(&board, "r3", 5, false);
    assert!(
        suspect.try_recv().is_err() && other.try_recv().is_err(),
        "the engine is reserved for the suspect"
    );
    drop(ticket);
    board.dispatch();
    let alone = suspect.try_recv().expect("sent").expect("it runs alone");
    assert!(other.try_recv().is_err());
    drop(alone);
    board.dispatch();
    assert!(other.try_recv().is_ok());
}

#[tokio::test(start_paused = true)]
async fn nothing_is_dispatched_without_a_lease() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    board.lease.lock().end();
    let mut waiting = wait(&board, "r1", 5, false);
    assert!(waiting.try_recv().is_err());
    assert!(!board.owns(&Name::from("e1"), 2));
    board.lease.lock().extend(Timestamp::now().after(HOUR));
    board.dispatch();
    assert!(waiting.try_recv().is_ok());
}

#[test]
fn revision_never_decreases() {
    let board = board();
    let older = View::default();
    assert!(!board.update(&Update::Whole(Box::new(older))));
    assert_eq!(board.view.read().revision, 1);
    let gap =
        Delta { revision: 9, configuration: 0, patch: Patch::Draining(Name::from("h2"), true) };
    assert!(!board.update(&Update::Deltas(vec![gap])));
    assert!(board.view.read().draining.is_empty());
}

#[tokio::test(start_paused = true)]
async fn new_generation_implicates_requests_in_flight() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    let mut first = wait(&board, "r1", 5, false);
    let _ticket = first.try_recv().expect("sent").expect("it has room");
    assert!(patch(&board, Patch::Endpoint(Name::from("e1"), Some(owned("h1", 2, 2)))));
    let pool = board.pool.lock();
    assert_eq!(pool.crashes.len(), 1);
    assert_eq!((pool.crashes[0].generation, &pool.crashes[0].fingerprints[..]), (1, &[1][..]));
    assert!(pool.endpoints["e1"].slots.is_empty() && !pool.endpoints["e1"].probed);
}

#[tokio::test(start_paused = true)]
async fn new_generation_implicates_a_request_whose_caller_has_left() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    let mut first = wait(&board, "r1", 5, false);
    let mut ticket = first.try_recv().expect("sent").expect("it has room");
    ticket.mark_sent();
    drop(ticket);
    set_ownership(&board, owned("h1", 2, 2));
    assert_eq!(crashes(&board), [(1, vec![1])]);
}

/// Returns the generations and fingerprints of the crashes that were not yet reported.
fn crashes(board: &Board) -> Vec<(u64, Vec<u64>)> {
    let pool = board.pool.lock();
    pool.crashes.iter().map(|crash| (crash.generation, crash.fingerprints.clone())).collect()
}

fn record_disconnect(board: &Board, fingerprint: u64) {
    board.record_disconnect(&Name::from("e1"), 1, fingerprint);
}

fn set_ownership(board: &Board, ownership: Ownership) {
    assert!(patch(board, Patch::Endpoint(Name::from("e1"), Some(ownership))));
}

#[tokio::test(start_paused = true)]
async fn a_crash_is_reported_by_the_gate_whose_connections_broke_although_the_endpoint_moved() {
    let board = board();
    assign_to_h1(&board, 2);
    assert!(apply_state(&board, &state(&["a"], &[])));
    record_disconnect(&board, 7);
    set_ownership(&board, owned("h2", 3, 1));
    record_disconnect(&board, 8);
    assert_eq!(crashes(&board), []);
    set_ownership(&board, owned("h2", 3, 2));
    assert_eq!(crashes(&board), [(1, vec![7, 8])]);
    set_ownership(&board, owned("h1", 4, 2));
    set_ownership(&board, owned("h1", 4, 3));
    assert_eq!(crashes(&board), [(1, vec![7, 8])]);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_broke_before_an_endpoint_moved_here_counts_at_its_crash() {
    let board = board();
    assign_to_h1(&board, 2);
    record_disconnect(&board, 7);
    set_ownership(&board, owned("h1", 3, 1));
    set_ownership(&board, owned("h1", 3, 2));
    assert_eq!(crashes(&board), [(1, vec![7])]);
}

#[tokio::test(start_paused = true)]
async fn a_connection_to_an_earlier_generation_is_a_crash_of_that_generation() {
    let board = board();
    assign_to_h1(&board, 2);
    set_ownership(&board, owned("h1", 2, 2));
    record_disconnect(&board, 7);
    assert_eq!(crashes(&board), [(1, vec![7])]);
}

#[tokio::test(start_paused = true)]
async fn a_broken_connection_to_a_generation_that_is_still_running_is_no_crash() {
    let board = board();
    assign_to_h1(&board, 2);
    record_disconnect(&board, 7);
    assert!(apply_state(&board, &state(&["a"], &[])));
    set_ownership(&board, owned("h1", 2, 2));
    assert_eq!(crashes(&board), []);
}

#[tokio::test(start_paused = true)]
async fn a_connection_that_broke_long_before_a_restart_is_no_crash() {
    let board = board();
    record_disconnect(&board, 7);
    tokio::time::advance(Duration::from_secs(60)).await;
    set_ownership(&board, owned("h2", 1, 2));
    assert_eq!(crashes(&board), []);
}
