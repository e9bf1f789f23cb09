//! Output of listings, status and explanations.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use base::Map;
use base::Name;
use serde::Serialize;
use state::View;
use state::view;
use wire::admin;
use wire::keeper;

use crate::Error;
use crate::Table;
use crate::cli::Listing;

const HOUR_MS: u64 = 3_600_000;

pub(super) fn listing(view: &View, listing: Listing) -> String {
    let table = match listing {
        Listing::Adapters => adapters(view),
        Listing::Defaults => defaults(&view.defaults),
        Listing::Exceptions => exceptions(view),
        Listing::Services => services(view),
        Listing::Endpoints => endpoints(view),
        Listing::Quarantine => quarantine(view),
    };
    table.to_string()
}

pub(super) fn listing_json(view: &View, listing: Listing) -> Result<String, Error> {
    match listing {
        Listing::Adapters => super::json(&ordered(&view.adapters)),
        Listing::Defaults => super::json(&view.defaults),
        Listing::Exceptions => super::json(&ordered(&view.exceptions)),
        Listing::Services => super::json(&ordered(&view.services)),
        Listing::Endpoints => super::json(&ordered(&view.endpoints)),
        Listing::Quarantine => super::json(&ordered(&view.quarantine)),
    }
}

fn ordered<K: Ord + Serialize, V: Serialize>(
    map: &Map<K, V>,
) -> std::collections::BTreeMap<&K, &V> {
    map.iter().collect()
}

fn adapters(view: &View) -> Table {
    let mut table = Table::new(&["ADAPTER", "BASE", "DEFAULT", "VERSIONS"]);
    for (name, adapter) in ordered(&view.adapters) {
        let versions: Vec<String> = adapter.versions.iter().map(version).collect();
        let default = adapter.default.clone().unwrap_or_default();
        table.add_row([
            name.to_string(),
            adapter.base.to_string(),
            default.to_string(),
            versions.join(" "),
        ]);
    }
    table
}

fn version(version: &view::Version) -> String {
    let suffix = if version.deprecated { " (deprecated)" } else { "" };
    format!("{}{suffix}", version.name)
}

fn defaults(defaults: &view::Defaults) -> Table {
    let mut table = Table::new(&["DEFAULT", "VALUE"]);
    table.add_row(["deadline-ms".to_owned(), defaults.deadline_ms.to_string()]);
    table.add_row(["caller-limit".to_owned(), defaults.caller_limit.to_string()]);
    table.add_row(["queue-limit".to_owned(), defaults.queue_limit.to_string()]);
    table.add_row(["stall-weight".to_owned(), defaults.stall_weight.to_string()]);
    table
}

fn exceptions(view: &View) -> Table {
    let mut table = Table::new(&["ADAPTER", "RULE", "AUTHOR", "AGE", "REASON"]);
    for (adapter, exception) in ordered(&view.exceptions) {
        table.add_row([
            adapter.to_string(),
            rule(&exception.rule),
            exception.author.to_string(),
            age(exception.created_ms),
            exception.reason.to_string(),
        ]);
    }
    table
}

fn rule(rule: &view::Rule) -> String {
    match rule {
        view::Rule::Pinned => "pinned".to_owned(),
        view::Rule::Never => "never".to_owned(),
        view::Rule::QueueLimit(limit) => format!("queue-limit={limit}"),
    }
}

fn age(created_ms: u64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    let hours = now.saturating_sub(created_ms) / HOUR_MS;
    if hours < 48 { format!("{hours} h") } else { format!("{} d", hours / 24) }
}

fn services(view: &View) -> Table {
    let mut table = Table::new(&["SERVICE", "NON-IDEMPOTENT CALLS"]);
    for (kind, service) in ordered(&view.services) {
        let calls: Vec<&str> = service.non_idempotent.iter().map(Name::as_str).collect();
        table.add_row([kind.to_string(), calls.join(", ")]);
    }
    table
}

fn endpoints(view: &View) -> Table {
    let mut table =
        Table::new(&["ENDPOINT", "SERVES", "ADDRESS", "HOST", "DOMAIN", "OWNER", "FENCE"]);
    for (name, ownership) in ordered(&view.endpoints) {
        let endpoint = &ownership.endpoint;
        let serves = match &endpoint.role {
            view::Role::Engine { base, .. } => format!("engine {base}"),
            view::Role::Service { kind, .. } => format!("service {kind}"),
        };
        table.add_row([
            name.to_string(),
            serves,
            endpoint.address.to_string(),
            endpoint.host.to_string(),
            endpoint.domain.to_string(),
            ownership.owner.clone().unwrap_or_default().to_string(),
            ownership.fence.to_string(),
        ]);
    }
    table
}

fn quarantine(view: &View) -> Table {
    let mut table = Table::new(&["FINGERPRINT", "AGE"]);
    for (fingerprint, since_ms) in ordered(&view.quarantine) {
        table.add_row([format!("{fingerprint:016x}"), age(*since_ms)]);
    }
    table
}

pub(super) fn members(keepers: &[keeper::Status]) -> String {
    let mut table = Table::new(&["KEEPER", "ROLE", "TERM", "COMMIT", "APPLIED", "LEADER"]);
    for keeper in keepers {
        table.add_row([
            keeper.host.to_string(),
            keeper.role.to_string(),
            keeper.term.to_string(),
            keeper.commit.to_string(),
            keeper.applied.to_string(),
            keeper.leader.clone().unwrap_or_default().to_string(),
        ]);
    }
    table.to_string()
}

pub(super) fn status(status: &admin::Status) -> String {
    let mut text = format!(
        "gate {}: {}, configuration {}\n\n",
        status.gate,
        if status.serving { "serving" } else { "not serving" },
        status.configuration
    );
    text.push_str(&members(&status.keepers));
    text.push('\n');
    let mut table = Table::new(&["GATE", "DRAINING", "ENDPOINT", "READY", "IN FLIGHT", "WAITING"]);
    for gate in &status.gates {
        for endpoint in &gate.endpoints {
            table.add_row([
                gate.gate.to_string(),
                gate.draining.to_string(),
                endpoint.name.to_string(),
                endpoint.ready.to_string(),
                endpoint.in_flight.to_string(),
                endpoint.waiting.to_string(),
            ]);
        }
    }
    text + &table.to_string()
}

pub(super) fn explanation(explanation: &admin::Explanation) -> String {
    let mut text = format!("request {}\n", explanation.request);
    for line in &explanation.lines {
        text.push_str(line);
        text.push('\n');
    }
    text
}
