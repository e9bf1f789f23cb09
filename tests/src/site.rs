//! A whole site: keepers, gates and stubs as processes.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::time::Duration;

use base::Map;
use conf::Config;
use serde_json::Value;
use serde_json::json;
use tempfile::TempDir;

use crate::address::Pool;
use crate::client::Answer;
use crate::client::Client;
use crate::folder;
use crate::network::Network;
use crate::process;
use crate::process::Process;
use crate::settings;
use crate::wait;

/// Timeout until a site is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of lines of each log that a failed test prints.
const LOG_TAIL_LINES: usize = 12;
const SETTINGS_FILE: &str = "site.jsonc";

/// The composition of a site.
pub struct Options {
    /// The number of entry hosts.
    pub entries: usize,
    /// The number of model engines.
    pub engines: usize,
    /// The number of endpoints of the plain service `ledger`.
    pub services: usize,
    /// Additional arguments of each engine.
    pub engine_args: Vec<String>,
    /// Whether the engines check fencing tokens.
    pub fenced: bool,
    /// Whether the links between hosts and to endpoints go through the fault-injecting proxy.
    pub proxied: bool,
    /// Modifies the settings before they are written.
    pub adjust: fn(&mut Config),
}

impl Default for Options {
    fn default() -> Options {
        Options {
            entries: 5,
            engines: 3,
            services: 1,
            engine_args: Vec::new(),
            fenced: true,
            proxied: false,
            adjust: |_| {},
        }
    }
}

/// A running site.
pub struct Site {
    /// The settings.
    pub config: Config,
    /// The processes by name: `gate-1`, `keeper-1`, `engine-1`, `ledger-1`, `store`.
    pub processes: Map<String, Process>,
    /// The endpoints' addresses by process name.
    pub endpoints: Map<String, String>,
    /// The client of the callers.
    pub client: Client,
    network: Option<Network>,
    folder: TempDir,
}

impl Site {
    /// Starts a site and waits until every gate serves and knows every endpoint.
    pub async fn start(options: Options) -> Site {
        let mut site = Site::prepare(&options);
        site.start_proxy();
        site.start_keepers();
        site.start_gates();
        site.start_stubs(&options);
        site.wait_ready(options.engines + options.services).await;
        site
    }

    fn prepare(options: &Options) -> Site {
        let folder = folder::create();
        let mut pool = Pool::default();
        let mut config = settings::site(folder.path(), options.entries, 4, &mut pool);
        (options.adjust)(&mut config);
        let mut endpoints = Map::default();
        for number in 1..=options.engines {
            endpoints.insert(format!("engine-{number}"), pool.allocate());
        }
        for number in 1..=options.services {
            endpoints.insert(format!("ledger-{number}"), pool.allocate());
        }
        let planned = options.proxied.then(|| Network::new(&config, &endpoints, &mut pool));
        write(&config, &folder.path().join(SETTINGS_FILE));
        for number in 1..=options.entries {
            let host_config = planned.as_ref().map_or(&config, |(_, configs)| &configs[number - 1]);
            write(host_config, &folder.path().join(format!("entry-{number}.jsonc")));
        }
        let network = planned.map(|(network, _)| network);
        let client = Client::default();
        Site { config, processes: Map::default(), endpoints, client, network, folder }
    }

    fn start_proxy(&mut self) {
        let Some(network) = &self.network else { return };
        let settings = self.folder.path().join("proxy.jsonc");
        network.write(&settings);
        let args = words(&["proxy", "--settings", &settings.display().to_string()]);
        self.spawn("proxy", "radish-stub", args);
    }

    /// Sets the rules of the links whose names begin with `prefix`; `rules` is a JSON object of the
    /// proxy's rules.
    pub async fn set_links(&self, prefix: &str, rules: Value) {
        let network = self.network.as_ref().expect("the site has a proxy");
        let url = format!("http://{}/links/{prefix}*", network.control);
        let headers = [("content-type", "application/json")];
        let answer = self.client.send("PUT", &url, &headers, rules.to_string()).await;
        let answer = answer.expect("the proxy responds");
        assert!(answer.status.is_success(), "{prefix}: {}", answer.text());
    }

    /// Reads the rules and counters of all links.
    pub async fn link_status(&self) -> Value {
        let network = self.network.as_ref().expect("the site has a proxy");
        let url = format!("http://{}/links", network.control);
        self.client.get(&url).await.expect("the proxy responds").json()
    }

    /// Sets the rules of all links from and to an entry host, by its number.
    pub async fn set_host_links(&self, host: usize, rules: Value) {
        self.set_links(&format!("{host}-"), rules.clone()).await;
        for other in (1..=self.config.entries.len()).filter(|other| *other != host) {
            self.set_links(&format!("{other}-{host}-"), rules.clone()).await;
        }
    }

    /// Partitions an entry host: bytes from and to the other entry hosts are dropped silently.
    pub async fn isolate(&self, host: usize) {
        self.set_host_links(host, json!({"drop": "both"})).await;
    }

    /// Removes the faults from all links of an entry host.
    pub async fn heal(&self, host: usize) {
        self.set_host_links(host, json!({})).await;
    }

    /// Returns the path of the settings file.
    pub fn settings_path(&self) -> PathBuf {
        self.folder.path().join(SETTINGS_FILE)
    }

    fn spawn(&mut self, name: &str, program: &'static str, args: Vec<String>) {
        let log = self.folder.path().join(format!("{name}.log"));
        self.processes.insert(name.to_owned(), Process::start(program, args, log));
    }

    fn entry_args(&self, number: usize) -> Vec<String> {
        let settings = self.folder.path().join(format!("entry-{number}.jsonc"));
        let settings = settings.display().to_string();
        words(&["--config", &settings, "--host", &format!("entry-{number}")])
    }

    fn start_keepers(&mut self) {
        for number in 1..=self.config.entries.len() {
            let mut args = self.entry_args(number);
            if number == 1 {
                args.push("--bootstrap".to_owned());
            }
            self.spawn(&format!("keeper-{number}"), "radish-keeper", args);
        }
    }

    fn start_gates(&mut self) {
        for number in 1..=self.config.entries.len() {
            let args = self.entry_args(number);
            self.spawn(&format!("gate-{number}"), "radish-gate", args);
        }
    }

    fn start_stubs(&mut self, options: &Options) {
        let store = self.config.store.address.to_string();
        self.spawn("store", "radish-stub", words(&["store", "--address", &store]));
        for number in 1..=options.engines {
            let mut args = self.endpoint_args("engine", number);
            args.extend(words(&["--base", "base-1", "--slots", "6", "--batch", "8"]));
            args.extend(words(&["--store", &store]));
            if !options.fenced {
                args.push("--ignore-fence".to_owned());
            }
            args.extend(options.engine_args.iter().cloned());
            self.spawn(&format!("engine-{number}"), "radish-stub", args);
        }
        for number in 1..=options.services {
            let mut args = self.endpoint_args("ledger", number);
            args[0] = "service".to_owned();
            args.extend(words(&["--kind", "ledger"]));
            self.spawn(&format!("ledger-{number}"), "radish-stub", args);
        }
    }

    fn endpoint_args(&self, kind: &str, number: usize) -> Vec<String> {
        let name = format!("{kind}-{number}");
        let gates: Vec<&str> =
            self.config.entries.iter().map(|entry| entry.gate.as_str()).collect();
        let first = number % gates.len();
        let order = [&gates[first..], &gates[..first]].concat().join(",");
        let advertised = self.network.as_ref().map(|network| &network.advertised[&name]);
        let advertised = advertised.unwrap_or(&self.endpoints[&name]);
        words(&[
            kind,
            "--name",
            &name,
            "--address",
            &self.endpoints[&name],
            "--advertise",
            advertised,
            "--announce",
            &order,
            "--host",
            &format!("host-{name}"),
            "--domain",
            &format!("domain-{}", 1 + number % 4),
            "--endpoint-token",
            "endpoint-secret",
            "--seed",
            &number.to_string(),
        ])
    }

    /// Waits until every gate serves and reports at least `endpoints` ready endpoints in the site.
    pub async fn wait_ready(&self, endpoints: usize) {
        for number in 1..=self.config.entries.len() {
            wait::until(&format!("gate-{number} knows the whole site"), READY_TIMEOUT, || async {
                let status = self.status(number).await?;
                (status["serving"] == true && ready_endpoints(&status) >= endpoints).then_some(())
            })
            .await;
        }
    }

    /// Returns the status of a gate, or `None` if it does not respond.
    pub async fn status(&self, gate: usize) -> Option<Value> {
        let url = format!("http://{}/v1/status", self.config.entries[gate - 1].gate_admin);
        let headers = [("authorization", "Bearer operator-secret")];
        let answer = self.client.send("GET", &url, &headers, "").await.ok()?;
        answer.status.is_success().then(|| answer.json())
    }

    /// Runs `radishctl` with the settings of the site.
    pub async fn ctl(&self, args: &[&str]) -> Output {
        let mut command = Command::new(process::program("radishctl"));
        command.arg("--config").arg(self.settings_path()).args(args);
        tokio::task::spawn_blocking(move || command.output())
            .await
            .expect("the task does not panic")
            .expect("radishctl can be started")
    }

    /// Runs `radishctl` and returns its output; panics if it fails.
    pub async fn ctl_ok(&self, args: &[&str]) -> String {
        let output = self.ctl(args).await;
        let error = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "radishctl {args:?}: {error}");
        String::from_utf8_lossy(&output.stdout).into_owned()
    }

    /// Creates an adapter of `base-1` with versions `v1` to `vN`, in force everywhere.
    pub async fn create_adapter(&self, name: &str, versions: usize) {
        self.ctl_ok(&["adapter", "create", name, "--base", "base-1"]).await;
        for version in 1..=versions {
            let version = format!("v{version}");
            self.ctl_ok(&["version", "create", name, &version, "--wait", "10"]).await;
        }
    }

    /// Returns the URL of a path on the caller API of a gate.
    pub fn url(&self, gate: usize, path: &str) -> String {
        format!("http://{}{path}", self.config.entries[gate - 1].gate)
    }

    /// Sends a completion to a gate.
    pub async fn complete(&self, gate: usize, model: &str, prompt: &str) -> Result<Answer, String> {
        let body = serde_json::json!({"model": model, "prompt": prompt, "max_tokens": 8});
        let url = self.url(gate, "/v1/completions");
        self.client.send("POST", &url, &[], body.to_string()).await
    }

    /// Sends a non-idempotent call with an idempotency key to the ledger service through a gate.
    pub async fn sign(&self, gate: usize, key: &str, body: &str) -> Result<Answer, String> {
        let url = self.url(gate, "/v1/services/ledger/sign");
        self.client.send("POST", &url, &[("idempotency-key", key)], body.to_owned()).await
    }

    /// Returns the record of a stub.
    pub async fn record(&self, name: &str) -> Value {
        let url = format!("http://{}/control/record", self.endpoints[name]);
        self.client.get(&url).await.expect("the stub responds").json()
    }

    /// Sets the faults of a stub.
    pub async fn set_faults(&self, name: &str, faults: Value) {
        let url = format!("http://{}/control/faults", self.endpoints[name]);
        let headers = [("content-type", "application/json")];
        let answer = self.client.send("POST", &url, &headers, faults.to_string()).await;
        let answer = answer.expect("the stub responds");
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Returns the number of the gate that owns an endpoint.
    pub async fn owner(&self, endpoint: &str) -> usize {
        let text = self.ctl_ok(&["endpoints", "--json"]).await;
        let endpoints: Value = serde_json::from_str(&text).expect("the output is JSON");
        let owner = endpoints[endpoint]["owner"].as_str().expect("the endpoint has an owner");
        owner.trim_start_matches("entry-").parse().expect("the owner is a numbered entry host")
    }

    /// Returns the number of the leading keeper according to `gate`; waits until there is one.
    pub async fn leader(&self, gate: usize) -> usize {
        wait::until("a leader", READY_TIMEOUT, || async {
            let status = self.status(gate).await?;
            let keepers = status["keepers"].as_array()?.clone();
            let leader = keepers.iter().find(|keeper| keeper["role"] == "leader")?;
            leader["host"].as_str()?.trim_start_matches("entry-").parse().ok()
        })
        .await
    }

    /// Returns the number of runs of a key at all endpoints of the ledger service.
    pub async fn key_runs(&self, key: &str) -> u64 {
        let mut runs = 0;
        for name in self.endpoints.keys().filter(|name| name.starts_with("ledger")) {
            runs += self.record(name).await["keys"][key].as_u64().unwrap_or(0);
        }
        runs
    }

    /// Returns the violations recorded by the stubs.
    pub async fn violations(&self) -> Vec<Value> {
        let mut all = Vec::new();
        for name in self.endpoints.keys() {
            let record = self.record(name).await;
            all.extend(record["violations"].as_array().cloned().unwrap_or_default());
        }
        all
    }

    /// Configures `POST /sign` of the ledger service as non-idempotent.
    pub async fn mark_sign_non_idempotent(&self) {
        let call = ["service", "set", "ledger", "--non-idempotent", "POST /sign", "--wait", "10"];
        self.ctl_ok(&call).await;
    }

    /// Kills all gates and keepers, then restarts them.
    pub fn restart_entries(&mut self) {
        let entries = |name: &&String| name.starts_with("gate") || name.starts_with("keeper");
        let names: Vec<String> = self.processes.keys().filter(entries).cloned().collect();
        for name in &names {
            self.process(name).kill();
        }
        for name in &names {
            self.process(name).restart();
        }
    }

    /// Returns the process with a name; panics if there is none.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).expect("the site has a process with this name")
    }
}

fn write(config: &Config, path: &Path) {
    let text = serde_json::to_string_pretty(config).expect("the settings can be serialised");
    fs::write(path, text).expect("the settings file can be written");
}

fn ready_endpoints(status: &Value) -> usize {
    let gates = status["gates"].as_array().map(Vec::as_slice).unwrap_or_default();
    let endpoints = gates.iter().filter_map(|gate| gate["endpoints"].as_array()).flatten();
    endpoints.filter(|endpoint| endpoint["ready"] == true).count()
}

fn words(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| (*word).to_owned()).collect()
}

/// Prints the state of each process and the end of its log when a test fails.
impl Drop for Site {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for (name, process) in &mut self.processes {
            let log = process.log();
            let lines: Vec<&str> = log.lines().collect();
            let tail = lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n");
            eprintln!("--- {name}, running: {}\n{tail}", process.is_running());
        }
    }
}
