//! Generates the settings of a test site.

use std::path::Path;

use base::Name;
use conf::Config;
use conf::Entry;

use crate::address::Pool;

/// Number of entry hosts with a data directory.
const DATA_HOSTS: usize = 3;

/// Returns the settings of a site with `entries` entry hosts in `domains` failure domains; the first three
/// hosts have a data directory.
pub fn site(folder: &Path, entries: usize, domains: usize, pool: &mut Pool) -> Config {
    let mut config = Config { site: Name::from("test"), ..Config::default() };
    config.tokens.operator = Some(Name::from("operator-secret"));
    config.tokens.endpoint = Some(Name::from("endpoint-secret"));
    config.tokens.site = Some(Name::from("site-secret"));
    config.store.address = Name::from(pool.allocate());
    config.log.filter = Name::from("info");
    for number in 0..entries {
        config.entries.push(entry(folder, number, domains, pool));
    }
    config
}

fn entry(folder: &Path, number: usize, domains: usize, pool: &mut Pool) -> Entry {
    Entry {
        host: Name::from(format!("entry-{}", number + 1)),
        domain: Name::from(format!("domain-{}", 1 + number % domains)),
        gate: Name::from(pool.allocate()),
        peer: Name::from(pool.allocate()),
        relay: Name::from(pool.allocate()),
        gate_admin: Name::from(pool.allocate()),
        keeper: Name::from(pool.allocate()),
        keeper_admin: Name::from(pool.allocate()),
        data: (number < DATA_HOSTS).then(|| folder.join(format!("data-{}", number + 1))),
    }
}
