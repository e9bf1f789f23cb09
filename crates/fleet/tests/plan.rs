//! Routes and what makes a plan invalid.

use std::time::Duration;

use base::Name;
use fleet::plan::Error;
use fleet::plan::Kind;
use fleet::plan::Limits;
use fleet::plan::Plan;
use fleet::plan::Route;
use fleet::plan::Service;
use fleet::plan::Split;
use fleet::routing::Table;

fn route(name: &str, prefix: &str, splits: &[(&str, u32)]) -> Route {
    Route {
        name: Name::from(name),
        host: Name::from("site.example"),
        prefix: Name::from(prefix),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        target: Duration::from_millis(100),
        rank: 0,
        attempts: 1,
        splits: splits
            .iter()
            .map(|(service, weight)| Split { service: Name::from(*service), weight: *weight })
            .collect(),
    }
}

fn plan(routes: Vec<Route>) -> Plan {
    let service =
        |name: &str| Service { name: Name::from(name), max_connections: 10, engine: None };
    let services = vec![service("a"), service("b")];
    Plan { version: 1, routes, services, limits: Limits::default() }
}

#[test]
fn the_longest_prefix_is_taken() {
    let routes = vec![route("short", "/x/", &[("a", 1)]), route("long", "/x/y/", &[("b", 1)])];
    let table = Table::new(plan(routes));
    let name = |path: &str| table.route("site.example", path).map(|route| route.name.to_string());
    assert_eq!(name("/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("/x/yz").as_deref(), Some("short"));
    assert_eq!(name("/y/"), None);
    assert!(table.route("other.example", "/x/").is_none());
}

#[test]
fn splits_follow_their_weights() {
    let route = route("r", "/x/", &[("a", 90), ("none", 0), ("b", 10)]);
    let taken =
        (0..1_000).filter(|point| &**route.select_service(f64::from(*point) / 1e3) == "b").count();
    assert_eq!(taken, 100);
    assert!((0..=1_000).all(|point| &**route.select_service(f64::from(point) / 1e3) != "none"));
}

#[test]
fn invalid_plans_are_refused_with_their_reason() {
    let good = || route("r", "/x/", &[("a", 1)]);
    assert_eq!(plan(vec![good()]).validate(), Ok(()));
    let unknown = plan(vec![route("r", "/x/", &[("nobody", 1)])]).validate();
    assert!(matches!(unknown, Err(Error::UnknownService { .. })));
    let same = plan(vec![good(), good()]).validate();
    assert!(matches!(same, Err(Error::DuplicateRoute { .. })));
    let weightless = plan(vec![route("r", "/x/", &[("a", 0)])]).validate();
    assert!(matches!(weightless, Err(Error::NoWeight(_))));
    let timeless = plan(vec![Route { timeout: Duration::ZERO, ..good() }]).validate();
    assert!(matches!(timeless, Err(Error::NoTimeout(_))));
    let no_slash = plan(vec![route("r", "/x", &[("a", 1)])]).validate();
    assert!(matches!(no_slash, Err(Error::BadPrefix(_))));
}
