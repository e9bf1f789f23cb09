//! A fake keeper that serves the real calls from tables in memory, without a log.

use std::collections::HashMap;
use std::collections::HashSet;
use std::sync::Arc;

use base::Code;
use base::Name;
use futures::StreamExt;
use parking_lot::Mutex;
use state::Command;
use state::Outcome;
use state::View;
use state::journal::Answer;
use state::journal::Claim;
use state::journal::Key;
use state::view::Ownership;
use tarpc::context::Context;
use tarpc::server::BaseChannel;
use tarpc::server::Channel;
use tokio::net::TcpListener;
use wire::keeper::Bid;
use wire::keeper::Envelope;
use wire::keeper::Fault;
use wire::keeper::Grant;
use wire::keeper::Keeper as _;
use wire::keeper::Permit;
use wire::keeper::Renewal;
use wire::keeper::Status;
use wire::keeper::Update;

/// The keeper's tables.
#[derive(Default)]
pub(crate) struct Tables {
    pub(crate) view: View,
    pub(crate) journal: HashMap<Key, (Claim, u64, Option<Answer>)>,
    pub(crate) implicated: Vec<(Name, Vec<u64>)>,
    pub(crate) ended: HashSet<u64>,
    pub(crate) permits: u64,
    /// The number of claims to commit without a response.
    pub(crate) lose_claims: usize,
    /// Whether renewals get no response.
    pub(crate) partitioned: bool,
    count: u64,
}

/// A running fake keeper.
#[derive(Clone)]
pub(crate) struct Keeper {
    pub(crate) address: Name,
    pub(crate) tables: Arc<Mutex<Tables>>,
}

pub(crate) const LEASE_MS: u64 = 1_000;

impl Keeper {
    pub(crate) async fn start(view: View) -> Keeper {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = Name::from(listener.local_addr().expect("an address").to_string());
        let tables = Arc::new(Mutex::new(Tables { view, ..Tables::default() }));
        tables.lock().view.revision = 1;
        let keeper = Keeper { address, tables };
        let server = keeper.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let channel = BaseChannel::with_defaults(wire::transport::wrap(stream));
                let calls = channel.execute(server.clone().serve());
                tokio::spawn(calls.for_each(|call| async move {
                    tokio::spawn(call);
                }));
            }
        });
        keeper
    }

    /// Assigns an endpoint to a gate under a new fencing token.
    pub(crate) fn assign(&self, endpoint: &str, gate: &str) {
        let mut tables = self.tables.lock();
        tables.count += 1;
        let fence = tables.count;
        tables.view.revision += 1;
        let owned = tables.view.endpoints.get_mut(endpoint).expect("the endpoint is known");
        owned.owner = Some(Name::from(gate));
        owned.fence = fence;
    }

    /// Changes the view and its configuration revision.
    pub(crate) fn change(&self, change: impl FnOnce(&mut View)) {
        let mut tables = self.tables.lock();
        change(&mut tables.view);
        tables.view.revision += 1;
        tables.view.configuration = tables.view.revision;
    }
}

impl Tables {
    fn claim(&mut self, claim: Claim) -> Outcome {
        if let Some((former, number, answer)) = self.journal.get(&claim.key) {
            if former.digest != claim.digest {
                return refuse(Code::KeyReused);
            }
            return match answer {
                Some(answer) => Outcome::Recorded { answer: answer.clone() },
                None if *former == claim => Outcome::Claimed { claim: *number },
                None => refuse(Code::KeyInProgress),
            };
        }
        self.count += 1;
        self.journal.insert(claim.key.clone(), (claim, self.count, None));
        Outcome::Claimed { claim: self.count }
    }

    fn register(&mut self, endpoint: state::view::Endpoint) -> Outcome {
        self.count += 1;
        self.view.revision += 1;
        let mut gates: Vec<&Name> = self.view.gates.keys().collect();
        gates.sort();
        let first = gates.first().map(|gate| (*gate).clone());
        let fence = self.count;
        let fresh = Ownership { endpoint: endpoint.clone(), owner: first, fence };
        let owned = self.view.endpoints.entry(endpoint.name.clone()).or_insert(fresh);
        owned.endpoint = endpoint;
        Outcome::Done { revision: self.view.revision }
    }
}

fn refuse(code: Code) -> Outcome {
    Outcome::Refused { code, detail: String::from(code.text()), revision: 0 }
}

impl wire::keeper::Keeper for Keeper {
    async fn install(self, _: tarpc::context::Context, _: wire::keeper::Chunk) {}

    async fn deliver(self, _: Context, _: Envelope) {}

    async fn enroll(self, _: Context, _: raft::message::Member) -> Result<(), Fault> {
        Ok(())
    }

    async fn renew(self, _: Context, renewal: Renewal) -> Result<Grant, Fault> {
        if self.tables.lock().partitioned {
            return std::future::pending().await;
        }
        let mut tables = self.tables.lock();
        if tables.ended.contains(&renewal.gate.incarnation) {
            return Err(Fault::LeaseEnded);
        }
        let name = renewal.gate.name.clone();
        if renewal.leave {
            tables.view.gates.remove(&name);
            tables.view.revision += 1;
        } else if tables.view.gates.get(&name) != Some(&renewal.gate) {
            tables.view.gates.insert(name, renewal.gate);
            tables.view.revision += 1;
        }
        let update = if renewal.applied == tables.view.revision {
            Update::Deltas(Vec::new())
        } else {
            Update::Whole(Box::new(tables.view.clone()))
        };
        Ok(Grant { lease_ms: LEASE_MS, update, in_force: tables.view.configuration })
    }

    async fn submit(self, _: Context, command: Command) -> Result<Outcome, Fault> {
        let mut tables = self.tables.lock();
        Ok(match command {
            Command::Claim { claim, .. } => {
                let outcome = tables.claim(claim);
                if tables.lose_claims > 0 {
                    tables.lose_claims -= 1;
                    return Err(Fault::Unknown);
                }
                outcome
            }
            Command::Finish { key, answer, .. } => {
                let record = tables.journal.get_mut(&key).expect("a claim is there");
                record.2 = Some(answer);
                Outcome::Done { revision: 0 }
            }
            Command::Release { key, claim } => {
                tables.journal.retain(|claimed, record| *claimed != key || record.1 != claim);
                Outcome::Done { revision: 0 }
            }
            Command::Register { endpoint } => tables.register(endpoint),
            Command::Implicate { endpoint, fingerprints, .. } => {
                tables.implicated.push((endpoint, fingerprints));
                Outcome::Done { revision: 0 }
            }
            _ => Outcome::Done { revision: 0 },
        })
    }

    async fn permit(self, _: Context, _: Bid) -> Result<Permit, Fault> {
        let mut tables = self.tables.lock();
        tables.permits += 1;
        Ok(Permit { id: tables.permits })
    }

    async fn settle(self, _: Context, _: u64) {}

    async fn view(self, _: Context) -> Result<View, Fault> {
        Ok(self.tables.lock().view.clone())
    }

    async fn status(self, _: Context) -> Status {
        Status {
            host: Name::from("fake"),
            id: 1,
            group: 1,
            role: Name::from("leader"),
            term: 1,
            leader: None,
            commit: 0,
            applied: 0,
            voters: Vec::new(),
            learners: Vec::new(),
            configuration: 0,
            in_force: 0,
        }
    }
}
