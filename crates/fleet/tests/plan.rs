//! Route lookup, traffic splits and the validation of plans.

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
        public: false,
        gap: None,
    }
}

fn plan(routes: Vec<Route>) -> Plan {
    let service =
        |name: &str| Service { name: Name::from(name), max_connections: 10, engine: None };
    let services = vec![service("a"), service("b")];
    Plan { version: 1, routes, services, limits: Limits::default(), tenants: Vec::new() }
}

#[test]
fn the_route_with_the_longest_prefix_matches() {
    let routes = vec![route("short", "/x/", &[("a", 1)]), route("long", "/x/y/", &[("b", 1)])];
    let table = Table::new(plan(routes));
    let name = |path: &str| table.route("site.example", path).map(|route| route.name.to_string());
    assert_eq!(name("/x/y/z").as_deref(), Some("long"));
    assert_eq!(name("/x/yz").as_deref(), Some("short"));
    assert_eq!(name("/y/"), None);
    assert!(table.route("other.example", "/x/").is_none());
}

#[test]
fn services_are_selected_by_weight() {
    let route = route("r", "/x/", &[("a", 90), ("none", 0), ("b", 10)]);
    let selected =
        (0..1_000).filter(|point| &**route.select_service(f64::from(*point) / 1e3) == "b").count();
    assert_eq!(selected, 100);
    assert!((0..=1_000).all(|point| &**route.select_service(f64::from(point) / 1e3) != "none"));
}

#[test]
fn validation_returns_the_reason() {
    let valid = || route("r", "/x/", &[("a", 1)]);
    assert_eq!(plan(vec![valid()]).validate(), Ok(()));
    let unknown = plan(vec![route("r", "/x/", &[("nobody", 1)])]).validate();
    assert!(matches!(unknown, Err(Error::UnknownService { .. })));
    let duplicate = plan(vec![valid(), valid()]).validate();
    assert!(matches!(duplicate, Err(Error::DuplicateRoute { .. })));
    let no_weight = plan(vec![route("r", "/x/", &[("a", 0)])]).validate();
    assert!(matches!(no_weight, Err(Error::NoWeight(_))));
    let no_timeout = plan(vec![Route { timeout: Duration::ZERO, ..valid() }]).validate();
    assert!(matches!(no_timeout, Err(Error::NoTimeout(_))));
    let no_slash = plan(vec![route("r", "/x", &[("a", 1)])]).validate();
    assert!(matches!(no_slash, Err(Error::BadPrefix(_))));
}
