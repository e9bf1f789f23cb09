//! A value of each kind that a process sends to another one or writes to its disk.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use base::Code;
use base::Name;
use bytes::Bytes;
use cell::state::Command;
use cell::state::State;
use disk::Identity;
use fleet::document::Document;
use fleet::endpoint;
use fleet::endpoint::Adapter;
use fleet::endpoint::Announcement;
use fleet::endpoint::Endpoint;
use fleet::endpoint::Model;
use fleet::limit::Limit;
use fleet::message::Call;
use fleet::message::Denial;
use fleet::message::Ended;
use fleet::message::Envelope;
use fleet::message::Frame;
use fleet::message::Grant;
use fleet::message::Hello;
use fleet::message::Holding;
use fleet::message::Outcome;
use fleet::message::Query;
use fleet::message::Reply;
use fleet::message::Running;
use fleet::message::Version;
use fleet::message::Welcome;
use fleet::origin::Origin;
use fleet::plan::BaseModel;
use fleet::plan::EngineSpec;
use fleet::plan::Kind;
use fleet::plan::Limits;
use fleet::plan::Plan;
use fleet::plan::Route;
use fleet::plan::Service;
use fleet::plan::Split;
use fleet::quarantine::Crash;
use fleet::quarantine::Fingerprint;
use fleet::quarantine::Loss;
use fleet::quarantine::Subject;
use fleet::quarantine::Survival;
use fleet::registry::Registry;
use fleet::revision::Revision;
use limit::Rate;
use raft::message::Body;
use raft::message::Entry;
use raft::message::HardState;
use raft::message::Member;
use raft::message::Members;
use raft::message::Message;
use raft::message::Payload;
use raft::message::Snapshot;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// An encoded value.
pub(crate) struct Sample {
    pub(crate) name: &'static str,
    pub(crate) bytes: Vec<u8>,
    /// The value as text.
    pub(crate) text: String,
    /// Decodes another encoding of the type; returns the value as text.
    pub(crate) decode: fn(&[u8]) -> Result<String, postcard::Error>,
}

fn sample<T: Serialize + DeserializeOwned + Debug>(name: &'static str, value: &T) -> Sample {
    Sample {
        name,
        bytes: postcard::to_stdvec(value).expect("encoded"),
        text: format!("{value:?}"),
        decode: |bytes| postcard::from_bytes::<T>(bytes).map(|value| format!("{value:?}")),
    }
}

fn name(text: &str) -> Name {
    Name::from(text)
}

pub(crate) fn plan(version: u64) -> Plan {
    let route = |route: &str, kind| Route {
        name: name(route),
        host: name("site.example"),
        prefix: name(&format!("/{route}/")),
        kind,
        timeout: Duration::from_millis(4_000),
        target: Duration::from_millis(800),
        rank: 1,
        attempts: 2,
        splits: vec![Split { service: name("llm"), weight: 3 }],
        public: false,
        gap: None,
    };
    let engine = EngineSpec {
        slots: 64,
        kv_tokens: 130_000,
        adapter_slots: 5,
        weights_mb: 66_000.0,
        loads_per_s: 4.8,
        models: vec![BaseModel {
            name: name("base"),
            weights_mb: 65_100.0,
            load: Duration::from_millis(2_500),
            adapter_mb: 12.5,
        }],
        stride: 0,
    };
    Plan {
        version,
        routes: vec![
            route("safe", Kind::Idempotent),
            route("unsafe", Kind::NonIdempotent),
            route("stream", Kind::Stream { resumable: true }),
        ],
        services: vec![
            Service { name: name("llm"), max_connections: 360, engine: Some(engine) },
            Service { name: name("ledger"), max_connections: 96, engine: None },
        ],
        limits: Limits::default(),
        tenants: Vec::new(),
    }
}

pub(crate) fn version() -> Version {
    Version { model: name("base"), adapter: name("a1"), version: 3 }
}

fn announcement(id: &str, state: endpoint::State) -> Announcement {
    let adapters = vec![Adapter { name: name("a1"), version: 3 }];
    Announcement {
        id: name(id),
        born: 1_700_000_000_000,
        sequence: 7,
        service: name("llm"),
        address: ([10, 128, 0, 9], 8_080).into(),
        domain: name("a"),
        slots: 64,
        state,
        held: Some(vec![Model { model: name("base"), version: 1, adapters }]),
        build: name("v1"),
    }
}

fn endpoint() -> Endpoint {
    Endpoint::from(&announcement("i-1", endpoint::State::Ready))
}

fn entries() -> Vec<Entry> {
    let member = Member { id: 5, host: "10.0.0.1:7380".to_owned() };
    let members = Members { voters: vec![member.clone()], learners: vec![member] };
    let payloads =
        [Payload::Empty, Payload::Data(Bytes::from_static(b"command")), Payload::Members(members)];
    let entry = |(index, payload)| Entry { index, term: 2, payload };
    (1..).zip(payloads).map(entry).collect()
}

pub(crate) fn snapshot(data: Bytes) -> Snapshot {
    let member = Member { id: 5, host: "10.0.0.1:7380".to_owned() };
    let members = Members { voters: vec![member], learners: Vec::new() };
    Snapshot { index: 3, term: 2, members, data }
}

fn raft_messages() -> Vec<Message> {
    let bodies = [
        Body::Vote { last_index: 3, last_term: 2, pre: true },
        Body::Voted { granted: true, pre: false },
        Body::Append { prev_index: 3, prev_term: 2, entries: entries(), commit: 3, round: 9 },
        Body::Appended { success: true, index: 6, round: 9 },
        Body::Install { snapshot: snapshot(Bytes::from_static(b"state")), round: 10 },
    ];
    bodies.into_iter().map(|body| Message { term: 2, body }).collect()
}

/// Returns a state with something of everything that it contains.
pub(crate) fn state() -> State {
    let mut state = State::default();
    let document = Document::from(Bytes::from_static(b"{}"));
    state.apply(Command::Publish { plan: Arc::new(plan(7)), document });
    state.apply(Command::Name(version()));
    state.apply(Command::Quarantine(Subject::Request(11)));
    state.apply(Command::Quarantine(Subject::Part(12)));
    state
}

fn state_sample() -> Sample {
    let state = state();
    Sample {
        name: "state",
        bytes: postcard::to_stdvec(&state).expect("encoded"),
        text: format!("{state:?}"),
        decode: |bytes| State::decode(bytes).map(|state| format!("{state:?}")),
    }
}

/// What the replicated log and its snapshots contain.
pub(crate) fn records() -> Vec<Sample> {
    let document = Document::from(Bytes::from_static(b"{}"));
    vec![
        sample("command-publish", &Command::Publish { plan: Arc::new(plan(7)), document }),
        sample("command-name", &Command::Name(version())),
        sample("command-quarantine", &Command::Quarantine(Subject::Request(11))),
        sample("command-release", &Command::Release(Subject::Part(12))),
        sample("command-raise", &Command::Raise(Revision::DEPARTURES)),
        sample("command-depart", &Command::Depart(endpoint().incarnation())),
        state_sample(),
        sample("entries", &entries()),
        sample("hard-state", &HardState { term: 2, vote: Some(5), commit: 3 }),
        sample("snapshot", &snapshot(Bytes::from_static(b"state"))),
        sample("identity", &Identity { group: 1, replica: 5, host: name("10.0.0.1:7380") }),
    ]
}

fn calls() -> Vec<Sample> {
    let document = Document::from(Bytes::from_static(b"{}"));
    let draining = endpoint::State::Draining(Some(Duration::from_millis(2_500)));
    let call = |call| Frame::Call(4, call);
    let reply = |reply| Frame::Reply(4, reply);
    vec![
        sample(
            "call-publish",
            &call(Call::Publish { plan: Arc::new(plan(7)), document: document.clone() }),
        ),
        sample("call-name", &call(Call::Name(version()))),
        sample("call-document", &call(Call::Document)),
        sample("call-announce", &call(Call::Announce(announcement("i-1", draining)))),
        sample("call-leave", &call(Call::Leave { id: name("i-1"), born: Some(5) })),
        sample("reply-done", &reply(Reply::Done)),
        sample("reply-document", &reply(Reply::Document(Some(document)))),
        sample("reply-unsure", &reply(Reply::Unsure)),
    ]
}

fn requests() -> Vec<Sample> {
    let query = Query {
        request: 4,
        service: name("llm"),
        model: name("base"),
        adapter: name("a1"),
        fingerprint: 11,
        input: 2_368,
        output: 24,
        parts: vec![(12, 568), (13, 1_800)],
        target_ms: 800,
        left_ms: 4_000,
        rank: 1,
        excluded: vec![name("i-2")],
        build: Some(name("v1")),
    };
    let grant = Grant { request: 4, endpoint: endpoint(), version: Some(3), urgency: 5 };
    let denial = Denial { request: 4, code: Code::DeadlineUnreachable, retry_ms: 400 };
    let running = Running {
        request: 4,
        endpoint: name("i-1"),
        adapter: name("a1"),
        tokens: 2_392,
        left_ms: 900,
    };
    let outcomes = [
        Outcome::Done,
        Outcome::Refused,
        Outcome::Misdirected,
        Outcome::Failed,
        Outcome::Lost,
        Outcome::Cancelled,
    ];
    vec![
        sample("ask", &Frame::Ask(Box::new(query))),
        sample("withdraw", &Frame::Withdraw(4)),
        sample("grant", &Frame::Grant(grant)),
        sample("denial", &Frame::Denial(denial)),
        sample("began", &Frame::Began { request: 4, after_ms: 120 }),
        sample("ended", &outcomes.map(|outcome| Frame::Ended(Ended { request: 4, outcome }))),
        sample("running", &Frame::Running(vec![running])),
    ]
}

fn reports() -> Vec<Sample> {
    let origin = Origin { stream: 9, service: name("llm"), build: name("v1"), left_ms: 6_000 };
    let loss = Loss {
        endpoint: name("i-1"),
        born: 5,
        fingerprint: Fingerprint::new(11, [12, 13].into_iter()),
        ran_ms: 120,
        answering_ms: 20,
        age_ms: 3,
    };
    let subjects = vec![Subject::Request(11), Subject::Part(12)];
    let survival = Survival { endpoint: name("i-1"), born: 5, subjects: subjects.clone() };
    let crash = Crash { endpoint: name("i-1"), born: 5, silent_ms: 30 };
    let limit = Limit { endpoint: name("i-1"), born: 5, rate: Rate::new(1.5) };
    let located =
        Frame::Located { lookup: 8, origin: Some(origin.clone()), sole_build: Some(name("v1")) };
    vec![
        sample("origins", &Frame::Origins(vec![origin])),
        sample("locate", &Frame::Locate { lookup: 8, stream: 9, service: Some(name("llm")) }),
        sample("located", &located),
        sample("losses", &Frame::Losses(vec![loss])),
        sample("suspects", &Frame::Suspects(subjects.clone())),
        sample("survived", &Frame::Survived(survival)),
        sample("quarantine", &Frame::Quarantine(subjects)),
        sample("quarantine-hit", &Frame::QuarantineHit(Subject::Part(12))),
        sample("probe", &Frame::Probe(Subject::Request(11))),
        sample("crashed", &Frame::Crashed(crash)),
        sample("limit", &Frame::Limit(limit.clone())),
        sample("limits", &Frame::Limits(vec![limit])),
        sample("ask-permit", &Frame::AskPermit { request: 4, endpoint: name("i-1"), born: 5 }),
        sample("permit", &Frame::Permit { request: 4, wait_ms: Some(250) }),
    ]
}

/// The frames by which nodes introduce themselves and learn of the cell.
fn introductions() -> Vec<Sample> {
    let hello = Hello {
        node: name("edge-a-1"),
        incarnation: 77,
        domain: name("a"),
        front: Some(name("10.1.0.38:8149")),
        accepting: true,
        revision: Revision::UNNAMED,
    };
    let welcome = Welcome {
        leads: Some(2),
        members: vec![name("10.0.0.1:7380")],
        gates: 5,
        revision: Revision::UNNAMED,
    };
    let envelope = Envelope {
        group: 1,
        from: 5,
        host: name("10.0.0.1:7380"),
        to: 6,
        messages: raft_messages(),
    };
    let mut registry = Registry::default();
    registry.announce(announcement("i-1", endpoint::State::Ready), Duration::from_secs(3));
    let holding = Holding { endpoint: name("i-1"), adapter: name("a1"), held: true };
    vec![
        sample("ping", &Frame::Ping),
        sample("hello", &Frame::Hello(hello)),
        sample("welcome", &Frame::Welcome(welcome)),
        sample("raft", &Frame::Raft(envelope)),
        sample("join", &Frame::Join { id: 5, host: name("10.0.0.1:7380") }),
        sample("plan", &Frame::Plan(Arc::new(plan(7)))),
        sample("versions", &Frame::Versions(vec![version()])),
        sample("endpoints", &Frame::Endpoints(vec![endpoint()])),
        sample("registry", &Frame::Registry(Box::new(registry))),
        sample("holds", &Frame::Holds(vec![holding])),
    ]
}

/// The frames between nodes.
pub(crate) fn frames() -> Vec<Sample> {
    [introductions(), calls(), requests(), reports()].into_iter().flatten().collect()
}
