//! The replicated state and its snapshots.

use std::collections::BTreeMap;
use std::sync::Arc;

use base::Name;
use bytes::Bytes;
use cell::departed::MAX_DEPARTED;
use cell::state::Command;
use cell::state::State;
use fleet::document::Document;
use fleet::endpoint::Incarnation;
use fleet::extension::Extension;
use fleet::message::Call;
use fleet::message::Frame;
use fleet::message::Reply;
use fleet::message::Version;
use fleet::plan::Plan;
use fleet::quarantine::Subject;
use fleet::revision::Revision;
use fleet::tenant::Digest;
use fleet::tenant::Tenant;
use raft::message::Entry;
use raft::message::Members;
use raft::message::Object;
use raft::message::Part;
use raft::message::Payload;
use raft::message::Snapshot;

/// The layout of snapshots before there was a quarantine: plan, document and versions.
type Former = (Option<()>, Option<Vec<u8>>, BTreeMap<(Name, Name), u64>);

/// The layout of snapshots before they contained departures: with the quarantine at the end.
type WithoutDepartures = (Former, Vec<Subject>);

fn version() -> Version {
    Version { model: Name::from("base"), adapter: Name::from("a1"), version: 3 }
}

#[test]
fn a_snapshot_keeps_the_quarantine() {
    let mut state = State::default();
    let subjects = [Subject::Request(1), Subject::Part(2)];
    for subject in subjects {
        assert!(state.apply(Command::Quarantine(subject)));
        assert!(!state.apply(Command::Quarantine(subject)));
    }
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    let mut restored = State::decode(&snapshot).expect("a snapshot");
    assert!(restored.quarantine().iter().eq(subjects));
    assert!(restored.apply(Command::Release(subjects[0])));
    assert!(restored.quarantine().iter().eq([subjects[1]]));
}

#[test]
fn a_snapshot_of_an_earlier_release_is_read() {
    let Version { model, adapter, version: number } = version();
    let former: Former = (None, Some(b"document".to_vec()), [((model, adapter), number)].into());
    let snapshot = postcard::to_stdvec(&former).expect("encoded");
    let state = State::decode(&snapshot).expect("a snapshot");
    assert_eq!(state.versions(), [version()]);
    assert_eq!(state.quarantine().iter().count(), 0);
    assert!(State::decode(&snapshot[..snapshot.len() - 1]).is_err());
}

fn incarnation(id: &str, born: u64) -> Incarnation {
    Incarnation { endpoint: Name::from(id), born }
}

#[test]
fn a_snapshot_keeps_departures_and_the_level() {
    let mut state = State::default();
    assert!(state.apply(Command::Raise(Revision::DEPARTURES)));
    assert!(!state.apply(Command::Raise(Revision::UNNAMED)));
    assert!(state.apply(Command::Depart(incarnation("x", 5))));
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    let mut restored = State::decode(&snapshot).expect("a snapshot");
    assert_eq!(restored.level(), Revision::DEPARTURES);
    assert!(restored.departed().includes("x", 5));
    assert!(!restored.apply(Command::Depart(incarnation("x", 5))));
    assert!(restored.apply(Command::Depart(incarnation("y", 1))));
    // An earlier release of the same level ends its snapshots before the extension, which is empty here.
    let extension = snapshot.len() - 1;
    assert_eq!(
        State::decode(&snapshot[..extension]).expect("a snapshot").level(),
        Revision::DEPARTURES
    );
    assert_truncations(&snapshot, |length| length == extension);
}

// Guards against a snapshot that was cut off and is taken for that of an earlier release: without the extension, requests
// would need no keys.
#[test]
fn a_snapshot_of_this_level_is_read_only_if_it_is_complete() {
    let mut state = State::default();
    state.apply(Command::Raise(Revision::TENANTS));
    state.apply(Command::Quarantine(Subject::Request(1)));
    state.apply(Command::Depart(incarnation("x", 5)));
    state.apply(publish(&plan(1, &["blue"])));
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    assert!(matches!(
        State::decode(&snapshot).expect("a snapshot").plan_frame(Revision::CURRENT),
        Some(Frame::ExtendedPlan(..))
    ));
    assert_truncations(&snapshot, |_| false);
}

/// Asserts that a snapshot that was cut off is an error, but at the ends of the fields of the releases that had no levels
/// and at the lengths that are `allowed`.
fn assert_truncations(snapshot: &[u8], allowed: impl Fn(usize) -> bool) {
    let rest = |rest: &[u8]| snapshot.len() - rest.len();
    type Base = (Option<Arc<Plan>>, Option<Document>, BTreeMap<(Name, Name), u64>);
    let (_, after_base) = postcard::take_from_bytes::<Base>(snapshot).expect("the first fields");
    let (_, after_list) = postcard::take_from_bytes::<Vec<Subject>>(after_base).expect("a list");
    let unlevelled = [rest(after_base), rest(after_list)];
    for length in 0..snapshot.len() {
        let valid = unlevelled.contains(&length) || allowed(length);
        let decoded = State::decode(&snapshot[..length]);
        assert_eq!(decoded.is_ok(), valid, "{length} of {} bytes", snapshot.len());
    }
}

// Guards against a departure that ends the next incarnation of the same endpoint.
#[test]
fn only_the_departed_incarnation_and_earlier_ones_are_refused() {
    let mut state = State::default();
    state.apply(Command::Depart(incarnation("x", 5)));
    assert!(!state.apply(Command::Depart(incarnation("x", 4))));
    let departed = state.departed();
    assert_eq!([4, 5, 6].map(|born| departed.includes("x", born)), [true, true, false]);
    assert!(!departed.includes("y", 5));
}

// Guards against a list that grows with each endpoint that ever left, and against replicas that drop different ones.
#[test]
fn the_oldest_departures_are_dropped_beyond_the_limit() {
    let mut state = State::default();
    for number in 0..MAX_DEPARTED + 2 {
        state.apply(Command::Depart(incarnation(&format!("x{number}"), 1)));
    }
    let departed = state.departed();
    assert_eq!(departed.len(), MAX_DEPARTED);
    assert_eq!(["x0", "x1", "x2"].map(|id| departed.includes(id, 1)), [false, false, true]);
}

#[test]
fn a_snapshot_without_departures_is_read() {
    let Version { model, adapter, version: number } = version();
    let former: Former = (None, None, [((model, adapter), number)].into());
    let former: WithoutDepartures = (former, vec![Subject::Request(1)]);
    let snapshot = postcard::to_stdvec(&former).expect("encoded");
    let state = State::decode(&snapshot).expect("a snapshot");
    assert!(state.quarantine().iter().eq([Subject::Request(1)]));
    assert_eq!(state.level(), Revision::UNNAMED);
    assert!(state.departed().is_empty());
}

fn plan(version: u64, names: &[&str]) -> Arc<Plan> {
    let tenant = |name: &&str| Tenant {
        name: Name::from(*name),
        keys: vec![Digest::of(name.as_bytes())],
        rank: Some(1),
        quota: None,
    };
    Arc::new(Plan { version, tenants: names.iter().map(tenant).collect(), ..Plan::default() })
}

fn publish(plan: &Arc<Plan>) -> Command {
    let extension = Arc::new(Extension::of(plan));
    Command::PublishExtended { plan: plan.clone(), extension, document: Document::default() }
}

// Guards against a snapshot after which requests need no keys.
#[test]
fn a_snapshot_keeps_the_tenants() {
    let plan = plan(1, &["blue", "red"]);
    let mut state = State::default();
    assert!(state.apply(publish(&plan)));
    let snapshot = postcard::to_stdvec(&state).expect("encoded");
    let restored = State::decode(&snapshot).expect("a snapshot");
    let frame = restored.plan_frame(Revision::CURRENT);
    let Some(Frame::ExtendedPlan(decoded, extension)) = frame else { panic!("{frame:?}") };
    assert_eq!((decoded, extension.tenants.clone()), (plan.clone(), plan.tenants.clone()));
    // The extension is the last field: a snapshot that was cut off inside it is no plan without tenants.
    assert!(State::decode(&snapshot[..snapshot.len() - 1]).is_err());
}

// Guards against a node of a former release that serves a plan with tenants without checking their keys.
#[test]
fn a_former_revision_gets_no_plan_with_tenants() {
    for former in [Revision::UNNAMED, Revision::DEPARTURES] {
        let mut state = State::default();
        state.apply(publish(&plan(1, &[])));
        assert!(matches!(state.plan_frame(former), Some(Frame::Plan(_))));
        state.apply(publish(&plan(2, &["blue"])));
        assert!(state.plan_frame(former).is_none());
        let call = |names| {
            let plan = plan(3, names);
            let extension = Arc::new(Extension::of(&plan));
            let call = Call::PublishExtended { plan, extension, document: Document::default() };
            call.for_revision(former)
        };
        assert!(call(&["blue"]).is_none());
        assert!(matches!(call(&[]), Some(Call::Publish { .. })));
    }
    assert_eq!(publish(&plan(1, &["blue"])).level(), Revision::TENANTS);
}

// Guards against API keys in log lines and errors.
#[test]
fn no_debug_output_contains_the_operators_document() {
    let secret = "sk-secret";
    let document = Document::from(Bytes::from_static(b"{\"ApiKeys\":[\"sk-secret\"]}"));
    let plan = plan(1, &[secret]);
    let plan = Arc::new(Plan {
        tenants: plan
            .tenants
            .iter()
            .cloned()
            .map(|tenant| Tenant { name: Name::from("blue"), ..tenant })
            .collect(),
        ..Plan::clone(&plan)
    });
    let extension = Arc::new(Extension::of(&plan));
    let command = Command::PublishExtended {
        plan: plan.clone(),
        extension: extension.clone(),
        document: document.clone(),
    };
    let encoded = Bytes::from(postcard::to_stdvec(&command).expect("encoded"));
    let mut state = State::default();
    state.apply(command.clone());
    let data = Bytes::from(postcard::to_stdvec(&state).expect("encoded"));
    let (members, call) =
        (Members::default(), Call::PublishExtended { plan, extension, document: document.clone() });
    let object = Object::Entry { index: 1, term: 1, prev_term: 1 };
    let outputs = [
        format!("{command:?}"),
        format!("{state:?}"),
        format!("{:?}", state.plan_frame(Revision::CURRENT)),
        format!("{:?}", Frame::Call(1, call)),
        format!("{:?}", Reply::Document(Some(document))),
        format!("{:?}", Entry { index: 1, term: 1, payload: Payload::Data(encoded) }),
        format!("{:?}", Snapshot { index: 1, term: 1, members, data: data.clone() }),
        format!("{:?}", Part { object, digest: 1, total: data.len() as u64, offset: 0, data }),
    ];
    for output in outputs {
        assert!(output.len() > 20 && !output.contains(secret), "{output}");
    }
}
