//! The weights of a server with a model: the adapters that it holds, and the orders that change them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use crate::server::Server;

pub const NAME: &str = "base";
/// The time of an adapter's load.
const LOAD: Duration = Duration::from_millis(250);

/// The sizes of a server, as the `Engine` of its service states them, in MB.
#[derive(Clone, Copy)]
pub struct Sizes {
    pub weights: u32,
    pub model: u32,
    pub adapter: u32,
    pub slots: usize,
}

pub struct Model {
    sizes: Sizes,
    /// When the load of each adapter ends.
    adapters: BTreeMap<String, Instant>,
    users: BTreeMap<String, u32>,
    /// The adapters that are unloaded once no request uses them.
    leaving: BTreeSet<String>,
    sequence: u64,
    fence: u64,
    /// The order that the server could not bear.
    pub overload: Option<String>,
}

/// Returns the value of a field in a flat JSON object; empty if there is none.
fn field(body: &str, name: &str) -> String {
    let Some((_, rest)) = body.split_once(&format!("\"{name}\":")) else { return String::new() };
    let end = rest.find([',', '}']).unwrap_or(rest.len());
    rest[..end].trim().trim_matches('"').to_owned()
}

impl Model {
    pub fn new(sizes: Sizes) -> Model {
        Model {
            sizes,
            adapters: BTreeMap::new(),
            users: BTreeMap::new(),
            leaving: BTreeSet::new(),
            sequence: 0,
            fence: 0,
            overload: None,
        }
    }

    /// Begins a request; returns false if its adapter is not there.
    pub fn begin(&mut self, adapter: &str) -> bool {
        let there = adapter.is_empty()
            || (!self.leaving.contains(adapter)
                && self.adapters.get(adapter).is_some_and(|ready| Instant::now() >= *ready));
        if there && !adapter.is_empty() {
            *self.users.entry(adapter.to_owned()).or_default() += 1;
        }
        there
    }

    pub fn end(&mut self, adapter: &str) {
        if let Some(users) = self.users.get_mut(adapter) {
            *users = users.saturating_sub(1);
            if *users == 0 && self.leaving.remove(adapter) {
                self.adapters.remove(adapter);
            }
        }
    }

    fn names(&self, loaded: bool) -> Vec<String> {
        let now = Instant::now();
        let listed = self.adapters.iter().filter(|(_, ready)| (now >= **ready) == loaded);
        listed.map(|(name, _)| format!("{name}@1")).collect()
    }

    /// Returns the models that it holds, as JSON.
    pub fn held(&self) -> String {
        format!("[{{\"Name\":\"{NAME}\",\"Version\":1,\"Adapters\":{:?}}}]", self.names(true))
    }

    pub fn report(&self, born: u64) -> String {
        let incoming: Vec<String> =
            self.names(false).iter().map(|name| format!("{NAME}/{name}")).collect();
        format!(
            "{{\"Stage\":\"both\",\"Models\":{},\"Busy\":false,\"Sequence\":{},\"Queued\":0,\"InFlight\":{},\"KvUsed\":0,\
             \"KvTotal\":130000,\"Handles\":0,\"Incoming\":{incoming:?},\"born\":{born}}}",
            self.held(),
            self.sequence,
            self.users.values().sum::<u32>()
        )
    }

    /// Carries out an order; returns the status, or `None` if the server crashes because of it.
    pub fn order(&mut self, body: &str, server: &Server) -> Option<u16> {
        let (operation, adapter) = (field(body, "Operation"), field(body, "Adapter"));
        let (expected, holder) = (field(body, "Expected"), field(body, "Holder"));
        let fence: u64 = field(body, "FencingToken").parse().unwrap_or(0);
        let text = format!(
            "order to {}: {operation} {adapter}, expected {expected}, {holder}, {fence}",
            server.identity.id
        );
        let status = self.carry_out(&operation, &adapter, &expected, fence);
        let held = self.sizes.model + self.adapters.len() as u32 * self.sizes.adapter;
        let answer = status.map_or_else(|| "crash".to_owned(), |status| status.to_string());
        let line = format!(
            "{text}: {answer}; then {held} of {} MB, {} of {} adapters",
            self.sizes.weights,
            self.adapters.len(),
            self.sizes.slots
        );
        if status.is_none() {
            self.overload = Some(line.clone());
        }
        server.record.write(&line);
        status
    }

    fn carry_out(
        &mut self,
        operation: &str,
        adapter: &str,
        expected: &str,
        fence: u64,
    ) -> Option<u16> {
        if fence < self.fence {
            return Some(412);
        }
        self.fence = fence;
        let now = Instant::now();
        match operation {
            "loading" if adapter.is_empty() => Some(200),
            "loading" => match self.adapters.get(adapter) {
                Some(ready) if now >= *ready => Some(200),
                Some(_) => Some(202),
                None if !expected.is_empty() && expected != self.sequence.to_string() => Some(409),
                None => {
                    self.sequence += 1;
                    self.adapters.insert(adapter.to_owned(), now + LOAD);
                    let held = self.sizes.model + self.adapters.len() as u32 * self.sizes.adapter;
                    (held <= self.sizes.weights && self.adapters.len() <= self.sizes.slots)
                        .then_some(202)
                }
            },
            "unloading" if !self.adapters.contains_key(adapter) => Some(200),
            "unloading" if self.leaving.contains(adapter) => Some(202),
            "unloading" if !expected.is_empty() && expected != self.sequence.to_string() => {
                Some(409)
            }
            "unloading" => {
                self.sequence += 1;
                if self.users.get(adapter).is_some_and(|users| *users > 0) {
                    self.leaving.insert(adapter.to_owned());
                    return Some(202);
                }
                self.adapters.remove(adapter);
                Some(200)
            }
            _ => Some(400),
        }
    }
}
