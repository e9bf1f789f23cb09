//! Checks that settings are in range and do not contradict each other.

use std::net::SocketAddr;
use std::time::Duration;

use base::Map;

use crate::Config;
use crate::Entry;
use crate::config::Strategy;
use crate::error::Diagnostic;

/// The maximum time until a committed configuration is in force at every gate.
const MAX_IN_FORCE_TIME: Duration = Duration::from_secs(3);
/// The maximum of settings in percent.
const MAX_PERCENT: u32 = 100;
/// The maximum clock drift in parts per thousand; leases are not safe above it.
const MAX_DRIFT_PERMILLE: u64 = 500;

/// Returns all problems of the settings; empty if they are valid.
pub fn check(config: &Config) -> Vec<Diagnostic> {
    let mut diagnostics = Diagnostics::default();
    entries(config, &mut diagnostics);
    tokens(config, &mut diagnostics);
    tenants(config, &mut diagnostics);
    timing(config, &mut diagnostics);
    store(config, &mut diagnostics);
    limits(config, &mut diagnostics);
    journal(config, &mut diagnostics);
    placement(config, &mut diagnostics);
    tls(config, &mut diagnostics);
    diagnostics.0
}

/// Collects the problems found.
#[derive(Default)]
struct Diagnostics(Vec<Diagnostic>);

impl Diagnostics {
    /// Adds a diagnostic for a setting unless `valid` is true.
    fn require(&mut self, valid: bool, setting: impl Into<String>, message: impl Into<String>) {
        if valid {
            return;
        }
        let (setting, message) = (setting.into(), message.into());
        self.0.push(Diagnostic { position: None, setting, message });
    }

    /// Requires a value greater than 0.
    fn positive(&mut self, value: u64, setting: &str) {
        self.require(value > 0, setting, "must be greater than 0");
    }

    /// Requires that the first duration is shorter than the second; each is a setting and its value in
    /// milliseconds.
    fn shorter(&mut self, left: (&str, u64), right: (&str, u64)) {
        let message = format!("{} ms must be less than {} ({} ms)", left.1, right.0, right.1);
        self.require(left.1 < right.1, left.0, message);
    }
}

fn entries(config: &Config, diagnostics: &mut Diagnostics) {
    let mut hosts = Map::default();
    let mut sockets = Map::default();
    for (index, entry) in config.entries.iter().enumerate() {
        let prefix = format!("entries[{index}]");
        diagnostics.require(!entry.host.is_empty(), format!("{prefix}.host"), "must not be empty");
        diagnostics.require(
            !entry.domain.is_empty(),
            format!("{prefix}.domain"),
            "must not be empty",
        );
        unique(&mut hosts, &entry.host, format!("{prefix}.host"), diagnostics);
        for (name, value) in addresses(entry) {
            let setting = format!("{prefix}.{name}");
            address(value, &setting, diagnostics);
            unique(&mut sockets, value, setting, diagnostics);
        }
    }
    data_directories(config, diagnostics);
}

/// Returns the addresses of an entry host with the names of their settings.
fn addresses(entry: &Entry) -> [(&'static str, &str); 6] {
    [
        ("gate", &entry.gate),
        ("peer", &entry.peer),
        ("relay", &entry.relay),
        ("gate_admin", &entry.gate_admin),
        ("keeper", &entry.keeper),
        ("keeper_admin", &entry.keeper_admin),
    ]
}

fn address(value: &str, setting: &str, diagnostics: &mut Diagnostics) {
    let parsed = value.parse::<SocketAddr>();
    let valid = parsed.is_ok_and(|socket| socket.port() != 0 && !socket.ip().is_unspecified());
    diagnostics.require(
        valid,
        setting,
        format!("'{value}' is not IP:PORT with a specific IP address and port"),
    );
}

/// Requires that a value, unless empty, is not used by an earlier setting.
fn unique<'a>(
    settings: &mut Map<&'a str, String>,
    value: &'a str,
    setting: String,
    diagnostics: &mut Diagnostics,
) {
    if value.is_empty() {
        return;
    }
    if let Some(first) = settings.get(value) {
        diagnostics.require(false, setting, format!("'{value}' is already the value of {first}"));
    } else {
        settings.insert(value, setting);
    }
}

/// Requires an odd number of entry hosts with a data directory. After a power failure of all hosts these
/// form the majority, and an even number tolerates no more lost disks than the odd number below it.
fn data_directories(config: &Config, diagnostics: &mut Diagnostics) {
    let count = config.entries.iter().filter(|entry| entry.data.is_some()).count();
    let odd = config.entries.is_empty() || count % 2 == 1;
    let message = format!("the number of entries with data must be odd, but is {count}");
    diagnostics.require(odd, "entries", message);
    for (index, entry) in config.entries.iter().enumerate() {
        let empty = entry.data.as_ref().is_some_and(|data| data.as_os_str().is_empty());
        diagnostics.require(!empty, format!("entries[{index}].data"), "must not be empty");
    }
}

fn tokens(config: &Config, diagnostics: &mut Diagnostics) {
    let tokens = &config.tokens;
    let all = [
        ("tokens.operator", &tokens.operator),
        ("tokens.endpoint", &tokens.endpoint),
        ("tokens.site", &tokens.site),
    ];
    for (setting, token) in all {
        let empty = token.as_ref().is_some_and(|token| token.is_empty());
        diagnostics.require(
            !empty,
            setting,
            "must not be empty; omit it to allow access without a token",
        );
    }
}

/// Requires that names and keys of tenants are not empty and belong to one tenant. The messages never contain a key.
fn tenants(config: &Config, diagnostics: &mut Diagnostics) {
    let mut names = Map::default();
    let mut keys: Map<&str, (usize, &str)> = Map::default();
    for (index, tenant) in config.tenants.iter().enumerate() {
        let setting = format!("tenants[{index}].name");
        diagnostics.require(!tenant.name.is_empty(), &*setting, "must not be empty");
        let valid = tenant.name.chars().all(|letter| (' '..='~').contains(&letter));
        diagnostics.require(valid, &*setting, "must consist of visible ASCII characters");
        unique(&mut names, &tenant.name, setting, diagnostics);
        for (number, key) in tenant.keys.iter().enumerate() {
            let setting = format!("tenants[{index}].keys[{number}]");
            diagnostics.require(!key.is_empty(), &*setting, "must not be empty");
            if let Some((first, name)) = keys.insert(key, (index, &tenant.name))
                && first != index
            {
                let message =
                    format!("the tenants '{name}' and '{}' have a key in common", tenant.name);
                diagnostics.require(false, setting, message);
            }
        }
    }
}

fn timing(config: &Config, diagnostics: &mut Diagnostics) {
    let timing = &config.timing;
    diagnostics.positive(timing.heartbeat_ms, "timing.heartbeat_ms");
    diagnostics.positive(timing.renew_ms, "timing.renew_ms");
    diagnostics.positive(timing.announce_ms, "timing.announce_ms");
    diagnostics.positive(timing.addresses_ms, "timing.addresses_ms");
    diagnostics.positive(timing.summary_ms, "timing.summary_ms");
    diagnostics.positive(timing.call_ms, "timing.call_ms");
    let lease = ("timing.lease_ms", timing.lease_ms);
    let election = ("timing.election_ms", timing.election_ms);
    let silent = ("timing.silent_ms", timing.silent_ms);
    diagnostics.shorter(("timing.heartbeat_ms", timing.heartbeat_ms), election);
    diagnostics.shorter(election, lease);
    diagnostics.shorter(("timing.renew_ms", timing.renew_ms), lease);
    diagnostics.shorter(("timing.call_ms", timing.call_ms), lease);
    diagnostics.shorter(("timing.announce_ms", timing.announce_ms), silent);
    diagnostics.shorter(silent, ("timing.forget_ms", timing.forget_ms));
    diagnostics.require(
        timing.drift_permille <= MAX_DRIFT_PERMILLE,
        "timing.drift_permille",
        format!("must not exceed {MAX_DRIFT_PERMILLE}"),
    );
    let bound = timing.lease_timeout().saturating_add(Duration::from_millis(timing.renew_ms));
    let message = format!(
        "the lease with drift and one renewal takes {} ms, but must take less than {} ms",
        bound.as_millis(),
        MAX_IN_FORCE_TIME.as_millis()
    );
    diagnostics.require(bound < MAX_IN_FORCE_TIME, lease.0, message);
}

fn store(config: &Config, diagnostics: &mut Diagnostics) {
    let store = &config.store;
    if !store.address.is_empty() {
        address(&store.address, "store.address", diagnostics);
    }
    let rate = store.loads_per_second;
    diagnostics.require(
        rate.is_finite() && rate > 0.0,
        "store.loads_per_second",
        "must be greater than 0",
    );
    diagnostics.positive(u64::from(store.in_flight), "store.in_flight");
}

fn limits(config: &Config, diagnostics: &mut Diagnostics) {
    let limits = &config.limits;
    diagnostics.positive(limits.body_bytes as u64, "limits.body_bytes");
    diagnostics.positive(limits.deadline_ms, "limits.deadline_ms");
    diagnostics.positive(limits.in_progress as u64, "limits.in_progress");
    let valid = limits.retry_percent <= MAX_PERCENT;
    diagnostics.require(valid, "limits.retry_percent", "must not exceed 100");
}

fn journal(config: &Config, diagnostics: &mut Diagnostics) {
    let journal = &config.journal;
    diagnostics.positive(journal.answer_bytes as u64, "journal.answer_bytes");
    diagnostics.positive(journal.keys as u64, "journal.keys");
    let (retention, deadline) = (journal.retention_ms, config.limits.deadline_ms);
    let message = format!("{retention} ms must be greater than limits.deadline_ms ({deadline} ms)");
    diagnostics.require(retention > deadline, "journal.retention_ms", message);
}

fn placement(config: &Config, diagnostics: &mut Diagnostics) {
    let placement = &config.placement;
    diagnostics.positive(placement.half_life_ms, "placement.half_life_ms");
    let valid = (1..=MAX_PERCENT).contains(&placement.full_percent);
    diagnostics.require(valid, "placement.full_percent", "must be from 1 to 100");
    let valid = placement.off.is_empty() || placement.policy == Strategy::Worth;
    diagnostics.require(valid, "placement.off", "only the policy 'worth' has features to turn off");
}

fn tls(config: &Config, diagnostics: &mut Diagnostics) {
    let Some(tls) = &config.tls else { return };
    let message = "must not be empty: the certificate and the key are required together";
    diagnostics.require(!tls.certificate.as_os_str().is_empty(), "tls.certificate", message);
    diagnostics.require(!tls.key.as_os_str().is_empty(), "tls.key", message);
}
