//! Leases of gates: renewal, expiry, release and the revision in force.

mod site;

use std::time::Duration;

use base::Code;
use base::Name;
use keeper::lease::Leases;
use keeper::lease::Rejection;
use site::*;
use state::Command;
use state::Outcome;
use state::View;
use wire::keeper::Fault;
use wire::keeper::Renewal;
use wire::keeper::Update;

const LEASE_TIMEOUT: Duration = Duration::from_millis(2_100);

fn view(gates: &[(&str, u64)]) -> View {
    let mut view = View::default();
    for (name, incarnation) in gates {
        view.gates.insert(Name::from(*name), renewal(name, *incarnation, 0).gate);
    }
    view
}

#[test]
fn lease_expires_only_after_its_duration_plus_drift() {
    let gate = Name::from("g1");
    let mut leases = Leases::new(LEASE_TIMEOUT);
    leases.sync(&view(&[("g1", 1)]), Duration::ZERO);
    let renewed = Duration::from_millis(1_000);
    leases.renew(&gate, 1, 5, renewed).unwrap();
    assert_eq!(leases.take_expired(renewed + LEASE_TIMEOUT - Duration::from_millis(1)), []);
    assert_eq!(leases.take_expired(renewed + LEASE_TIMEOUT), [(gate.clone(), 1)]);
    assert_eq!(leases.take_expired(renewed + LEASE_TIMEOUT), []);
    assert_eq!(leases.renew(&gate, 1, 5, renewed + LEASE_TIMEOUT), Err(Rejection::Ended));
    assert!(!leases.holds(&gate, 1));
}

#[test]
fn new_leader_treats_every_gate_as_renewed_at_its_election() {
    let elected = Duration::from_secs(100);
    let mut leases = Leases::new(LEASE_TIMEOUT);
    leases.sync(&view(&[("g1", 1)]), elected);
    assert_eq!(leases.take_expired(elected + LEASE_TIMEOUT - Duration::from_millis(1)), []);
    assert_eq!(leases.take_expired(elected + LEASE_TIMEOUT).len(), 1);
}

#[test]
fn renewal_of_a_previous_incarnation_is_rejected() {
    let mut leases = Leases::new(LEASE_TIMEOUT);
    leases.sync(&view(&[("g1", 1)]), Duration::ZERO);
    leases.sync(&view(&[("g1", 2)]), Duration::ZERO);
    assert_eq!(leases.renew(&Name::from("g1"), 1, 0, Duration::ZERO), Err(Rejection::Unknown));
    assert!(leases.holds(&Name::from("g1"), 2));
}

#[test]
fn revision_is_in_force_when_every_gate_has_applied_it() {
    let mut leases = Leases::new(LEASE_TIMEOUT);
    leases.sync(&view(&[("g1", 1), ("g2", 1)]), Duration::ZERO);
    assert_eq!(leases.in_force(9), 0);
    leases.renew(&Name::from("g1"), 1, 9, Duration::ZERO).unwrap();
    assert_eq!(leases.in_force(9), 0);
    leases.renew(&Name::from("g2"), 1, 7, Duration::ZERO).unwrap();
    assert_eq!(leases.in_force(9), 7);
    leases.sync(&view(&[("g1", 1)]), Duration::ZERO);
    assert_eq!(leases.in_force(9), 9);
    leases.sync(&view(&[]), Duration::ZERO);
    assert_eq!(leases.in_force(9), 9);
}

/// Renews the lease of a gate, which applies each update at once, until `done` returns true for its view and
/// the revision in force.
async fn renew_until(site: &Site, gate: &str, incarnation: u64, done: impl Fn(&View, u64) -> bool) {
    let mut applied = View::default();
    wait_until("the gate has reached the expected state", async || {
        let grant = site.renew(&renewal(gate, incarnation, applied.revision)).await.unwrap();
        match grant.update {
            Update::Whole(view) => applied = *view,
            Update::Deltas(deltas) => deltas.iter().for_each(|delta| assert!(applied.apply(delta))),
        }
        done(&applied, grant.in_force).then_some(())
    })
    .await;
}

#[tokio::test]
async fn gate_without_renewals_loses_its_endpoints_and_its_incarnation() {
    let site = Site::start_new(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.submit(&register_engine("e1")).await;
    assert_eq!(site.view().await.endpoints["e1"].owner, Some(Name::from("g1")));
    let fence = site.view().await.endpoints["e1"].fence;
    let moved = |view: &View, _| view.endpoints["e1"].owner == Some(Name::from("g2"));
    renew_until(&site, "g2", 1, moved).await;
    assert!(site.view().await.endpoints["e1"].fence > fence);
    assert_eq!(site.renew(&renewal("g1", 1, 0)).await, Err(Fault::LeaseEnded));
    site.renew(&renewal("g1", 2, 0)).await.unwrap();
}

#[tokio::test]
async fn lease_survives_a_crash_of_the_leader() {
    let mut site = Site::start_new(3).await;
    let grant = site.renew(&renewal("g1", 1, 0)).await.unwrap();
    assert_eq!(grant.lease_ms, site.config.timing.lease_ms);
    let leader = site.wait_until_settled().await;
    site.crash(&leader);
    let grant = site.renew(&renewal("g1", 1, 1)).await.unwrap();
    assert!(matches!(grant.update, Update::Deltas(_) | Update::Whole(_)));
    assert_eq!(site.view().await.gates["g1"].incarnation, 1);
}

#[tokio::test]
async fn incarnation_at_other_addresses_waits_until_the_lease_expires() {
    let site = Site::start_new(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    let mut other = renewal("g1", 2, 0);
    other.gate.address = Name::from("127.0.0.1:9");
    assert_eq!(site.renew(&other).await, Err(Fault::Busy));
    wait_until("the lease has expired", async || site.renew(&other).await.ok()).await;
    assert_eq!(site.renew(&renewal("g1", 1, 0)).await, Err(Fault::Busy));
}

#[tokio::test]
async fn submitted_joins_and_expirations_are_refused() {
    let site = Site::start_new(1).await;
    let gate = renewal("g1", 1, 0).gate;
    let join = Command::Join { gate: gate.clone() };
    let expire = Command::Expire { gate: gate.name, incarnation: 1 };
    for command in [join, expire] {
        let outcome = site.submit(&command).await;
        assert!(matches!(outcome, Outcome::Refused { code: Code::Invalid, .. }), "{outcome:?}");
    }
}

#[tokio::test]
async fn leaving_gate_hands_over_its_endpoints_at_once() {
    let site = Site::start_new(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.submit(&register_engine("e1")).await;
    site.renew(&renewal("g2", 1, 0)).await.unwrap();
    let leave = Renewal { leave: true, ..renewal("g1", 1, 0) };
    assert_eq!(site.renew(&leave).await.unwrap().lease_ms, 0);
    assert_eq!(site.view().await.endpoints["e1"].owner, Some(Name::from("g2")));
    assert_eq!(site.renew(&leave).await, Err(Fault::LeaseEnded));
}

#[tokio::test]
async fn change_is_in_force_when_each_gate_has_applied_it_or_lost_its_lease() {
    let site = Site::start_new(3).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    site.renew(&renewal("g2", 1, 0)).await.unwrap();
    let Outcome::Done { revision } = site.submit(&create_adapter("a")).await else { panic!() };
    let grant = site.renew(&renewal("g1", 1, revision)).await.unwrap();
    assert!(grant.in_force < revision);
    renew_until(&site, "g1", 1, |view, in_force| {
        let silent = view.gates.contains_key("g2");
        assert!(!silent || in_force < revision);
        in_force >= revision
    })
    .await;
    assert!(!site.view().await.gates.contains_key("g2"));
}

#[tokio::test]
async fn joining_gate_gets_an_even_share() {
    let site = Site::start_new(1).await;
    site.renew(&renewal("g1", 1, 0)).await.unwrap();
    for index in 0..4 {
        site.submit(&register_engine(&format!("e{index}"))).await;
    }
    let owned = |view: &View, gate: &str| {
        let owned =
            view.endpoints.values().filter(|ownership| ownership.owner.as_deref() == Some(gate));
        owned.count()
    };
    let even = |view: &View, _| owned(view, "g1") == 2 && owned(view, "g2") == 2;
    tokio::join!(renew_until(&site, "g1", 1, even), renew_until(&site, "g2", 1, even));
}
