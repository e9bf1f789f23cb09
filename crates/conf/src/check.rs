//! Settings that contradict each other or the design.

use std::net::SocketAddr;
use std::time::Duration;

use base::Map;

use crate::Config;
use crate::Entry;
use crate::config::Scheme;
use crate::error::Fault;

/// The time within which a change of the configuration is in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);
/// The highest share in percent.
const WHOLE_PERCENT: u32 = 100;
/// The bound on drift above which leases cannot be trusted, in parts of a thousand.
const MOST_DRIFT_PERMILLE: u64 = 500;

/// Finds all contradictions; none if the settings can be used.
pub fn check(config: &Config) -> Vec<Fault> {
    let mut faults = Faults::default();
    entries(config, &mut faults);
    tokens(config, &mut faults);
    timing(config, &mut faults);
    store(config, &mut faults);
    limits(config, &mut faults);
    journal(config, &mut faults);
    placement(config, &mut faults);
    tls(config, &mut faults);
    faults.0
}

/// The contradictions found so far.
#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    /// Notes a fault of a setting unless `fits`.
    fn require(&mut self, fits: bool, setting: impl Into<String>, message: impl Into<String>) {
        if fits {
            return;
        }
        let (setting, message) = (setting.into(), message.into());
        self.0.push(Fault { position: None, setting, message });
    }

    /// Requires that a number is not 0.
    fn positive(&mut self, value: u64, setting: &str) {
        self.require(value > 0, setting, "must be greater than 0");
    }

    /// Requires that one time is shorter than another.
    fn shorter(&mut self, left: (&str, u64), right: (&str, u64)) {
        let message = format!("{} ms must be less than {}, {} ms", left.1, right.0, right.1);
        self.require(left.1 < right.1, left.0, message);
    }
}

fn entries(config: &Config, faults: &mut Faults) {
    let mut hosts = Map::default();
    let mut sockets = Map::default();
    for (index, entry) in config.entries.iter().enumerate() {
        let prefix = format!("entries[{index}]");
        faults.require(!entry.host.is_empty(), format!("{prefix}.host"), "must not be empty");
        faults.require(!entry.domain.is_empty(), format!("{prefix}.domain"), "must not be empty");
        unique(&mut hosts, &entry.host, format!("{prefix}.host"), faults);
        for (name, value) in addresses(entry) {
            let setting = format!("{prefix}.{name}");
            address(value, &setting, faults);
            unique(&mut sockets, value, setting, faults);
        }
    }
    disks(config, faults);
}

/// The addresses of an entry host by the names of their settings.
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

fn address(value: &str, setting: &str, faults: &mut Faults) {
    let parsed = value.parse::<SocketAddr>();
    let usable = parsed.is_ok_and(|socket| socket.port() != 0 && !socket.ip().is_unspecified());
    faults.require(usable, setting, format!("'{value}' is no address IP:PORT that can be called"));
}

/// Requires that a value other than the empty one stands once.
fn unique<'a>(
    seen: &mut Map<&'a str, String>,
    value: &'a str,
    setting: String,
    faults: &mut Faults,
) {
    if value.is_empty() {
        return;
    }
    if let Some(first) = seen.get(value) {
        faults.require(false, setting, format!("'{value}' is the value of {first} too"));
    } else {
        seen.insert(value, setting);
    }
}

/// After a loss of power at all hosts, those with a data folder agree by majority: an even number
/// survives no more losses than the odd one below it.
fn disks(config: &Config, faults: &mut Faults) {
    let count = config.entries.iter().filter(|entry| entry.data.is_some()).count();
    let odd = config.entries.is_empty() || count % 2 == 1;
    let message = format!("{count} of them have data, but the number must be odd");
    faults.require(odd, "entries", message);
    for (index, entry) in config.entries.iter().enumerate() {
        let empty = entry.data.as_ref().is_some_and(|data| data.as_os_str().is_empty());
        faults.require(!empty, format!("entries[{index}].data"), "must not be empty");
    }
}

fn tokens(config: &Config, faults: &mut Faults) {
    let tokens = &config.tokens;
    let all = [
        ("tokens.operator", &tokens.operator),
        ("tokens.endpoint", &tokens.endpoint),
        ("tokens.site", &tokens.site),
    ];
    for (setting, token) in all {
        let empty = token.as_ref().is_some_and(|token| token.is_empty());
        faults.require(!empty, setting, "must not be empty; leave it out for an open face");
    }
}

fn timing(config: &Config, faults: &mut Faults) {
    let timing = &config.timing;
    faults.positive(timing.heartbeat_ms, "timing.heartbeat_ms");
    faults.positive(timing.renew_ms, "timing.renew_ms");
    faults.positive(timing.announce_ms, "timing.announce_ms");
    faults.positive(timing.addresses_ms, "timing.addresses_ms");
    faults.positive(timing.summary_ms, "timing.summary_ms");
    faults.positive(timing.call_ms, "timing.call_ms");
    let lease = ("timing.lease_ms", timing.lease_ms);
    let election = ("timing.election_ms", timing.election_ms);
    let silent = ("timing.silent_ms", timing.silent_ms);
    faults.shorter(("timing.heartbeat_ms", timing.heartbeat_ms), election);
    faults.shorter(election, lease);
    faults.shorter(("timing.renew_ms", timing.renew_ms), lease);
    faults.shorter(("timing.call_ms", timing.call_ms), lease);
    faults.shorter(("timing.announce_ms", timing.announce_ms), silent);
    faults.shorter(silent, ("timing.forget_ms", timing.forget_ms));
    faults.require(
        timing.drift_permille <= MOST_DRIFT_PERMILLE,
        "timing.drift_permille",
        format!("must not exceed {MOST_DRIFT_PERMILLE}"),
    );
    let bound = timing.lease_end().saturating_add(Duration::from_millis(timing.renew_ms));
    let message = format!(
        "lease with drift and renewal take {} ms, but must be less than {} ms",
        bound.as_millis(),
        IN_FORCE.as_millis()
    );
    faults.require(bound < IN_FORCE, lease.0, message);
}

fn store(config: &Config, faults: &mut Faults) {
    let store = &config.store;
    if !store.address.is_empty() {
        address(&store.address, "store.address", faults);
    }
    let rate = store.loads_per_second;
    faults.require(
        rate.is_finite() && rate > 0.0,
        "store.loads_per_second",
        "must be greater than 0",
    );
    faults.positive(u64::from(store.in_flight), "store.in_flight");
}

fn limits(config: &Config, faults: &mut Faults) {
    let limits = &config.limits;
    faults.positive(limits.body_bytes as u64, "limits.body_bytes");
    faults.positive(limits.deadline_ms, "limits.deadline_ms");
    faults.positive(limits.in_progress as u64, "limits.in_progress");
    let fits = limits.retry_percent <= WHOLE_PERCENT;
    faults.require(fits, "limits.retry_percent", "must not exceed 100");
}

fn journal(config: &Config, faults: &mut Faults) {
    let journal = &config.journal;
    faults.positive(journal.answer_bytes as u64, "journal.answer_bytes");
    faults.positive(journal.keys as u64, "journal.keys");
    let (retention, deadline) = (journal.retention_ms, config.limits.deadline_ms);
    let message = format!("{retention} ms must be more than limits.deadline_ms, {deadline} ms");
    faults.require(retention > deadline, "journal.retention_ms", message);
}

fn placement(config: &Config, faults: &mut Faults) {
    let placement = &config.placement;
    faults.positive(placement.half_life_ms, "placement.half_life_ms");
    let fits = (1..=WHOLE_PERCENT).contains(&placement.full_percent);
    faults.require(fits, "placement.full_percent", "must be from 1 to 100");
    let fits = placement.off.is_empty() || placement.policy == Scheme::Worth;
    faults.require(fits, "placement.off", "only the policy 'worth' has parts to turn off");
}

fn tls(config: &Config, faults: &mut Faults) {
    let Some(tls) = &config.tls else { return };
    let message = "must not be empty: a certificate needs its key and a key its certificate";
    faults.require(!tls.certificate.as_os_str().is_empty(), "tls.certificate", message);
    faults.require(!tls.key.as_os_str().is_empty(), "tls.key", message);
}
