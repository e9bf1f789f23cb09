//! A small deployment of gates and keepers as processes, with settings as the platform writes them.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

const FRONT_PORT: u16 = 7_101;
const READY_PORT: u16 = 7_102;
const CONTROL_PORT: u16 = 7_103;
const DIRECTORY_PORT: u16 = 7_104;
const INTERNAL_PORTS: (u16, u16) = (7_105, 7_120);
/// The port of servers, which have addresses of their own.
pub const SERVER_PORT: u16 = 7_130;
/// The host name of all routes.
pub const HOST: &str = "site.example";
/// `HeartbeatMs` in the settings.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// `DrainMs` in the settings.
pub const DRAIN: Duration = Duration::from_millis(2_000);
/// `LeaseMs` in the settings.
pub const LEASE: Duration = Duration::from_millis(3_000);
/// `StabilityWindowMs` in the settings.
pub const STABILITY_WINDOW: Duration = Duration::from_millis(3_000);
/// `MemoryMb` of a core machine.
pub const KEEPER_MEMORY_MB: u64 = 256;
/// `MemoryMb` of an edge machine.
pub const GATE_MEMORY_MB: u64 = 390;
/// The size of a page of memory in /proc, in KB.
const PAGE_KB: u64 = 4;

/// The processes that were started and have not been waited for, by name.
static PROCESSES: Mutex<BTreeMap<String, Child>> = Mutex::new(BTreeMap::new());

/// Kills all processes that were started.
pub fn kill_all() {
    let mut processes = PROCESSES.lock().expect("no holder panics");
    for (_, mut child) in std::mem::take(&mut *processes) {
        // Fails only if the process has ended.
        child.kill().ok();
        child.wait().ok();
    }
}

/// A deployment in a temporary folder, which is removed at the end.
pub struct Site {
    record: Record,
    folder: PathBuf,
    /// The first three bytes of all addresses.
    network: String,
    keepers: u8,
    gates: u8,
}

impl Site {
    /// Starts gates and keepers for the first time.
    pub fn start(record: &Record, gates: u8, keepers: u8) -> Result<Site, String> {
        for program in ["platform-gate", "platform-keeper"] {
            if !PathBuf::from("target/release").join(program).exists() {
                return Err(format!("target/release/{program} is not built"));
            }
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let network = free_network().ok_or("no free loopback addresses")?;
        let site = Site { record: record.clone(), folder, network, keepers, gates };
        for number in 0..keepers {
            site.start_keeper(number, true)?;
        }
        for number in 0..gates {
            site.start_gate(number, true)?;
        }
        Ok(site)
    }

    /// Starts a gate.
    pub fn start_gate(&self, number: u8, bootstrap: bool) -> Result<(), String> {
        let name = format!("gate-{number}");
        let ip = self.gate_ip(number);
        let listen = format!("Front = \"{ip}:{FRONT_PORT}\"\nReady = \"{ip}:{READY_PORT}\"\n");
        self.write_settings(&name, &ip, "edge", bootstrap, "", &listen)?;
        self.spawn(&name, "platform-gate")
    }

    /// Starts a keeper with the files that it has.
    pub fn start_keeper(&self, number: u8, bootstrap: bool) -> Result<(), String> {
        let name = format!("keeper-{number}");
        let ip = self.keeper_ip(number);
        let data = self.folder.join(format!("{name}.data"));
        fs::create_dir_all(&data).map_err(|error| error.to_string())?;
        let listen =
            format!("Control = \"{ip}:{CONTROL_PORT}\"\nDirectory = \"{ip}:{DIRECTORY_PORT}\"\n");
        let data = format!("DataDir = \"{}\"\n", data.display());
        self.write_settings(&name, &ip, "core", bootstrap, &data, &listen)?;
        self.spawn(&name, "platform-keeper")
    }

    fn write_settings(
        &self,
        name: &str,
        ip: &str,
        class: &str,
        bootstrap: bool,
        data: &str,
        listen: &str,
    ) -> Result<(), String> {
        let seeds: Vec<String> = (0..self.keepers.min(3))
            .map(|number| format!("\"{}:{CONTROL_PORT}\"", self.keeper_ip(number)))
            .collect();
        let (serves, memory, fds, disk) = match class {
            "core" => ("[\"control\",\"directory\"]", KEEPER_MEMORY_MB, 4_096, 128),
            _ => ("[\"edge\"]", GATE_MEMORY_MB, 6_150, 0),
        };
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"my-{class}\"\nMachineClass = \"{class}\"\nServes = {serves}\n\
             Ip = \"{ip}\"\nZone = \"north-port\"\nRegion = \"klang\"\nInternalPorts = [{},{}]\n\
             Seeds = [{}]\nBootstrap = {bootstrap}\nCountedForTolerance = {}\n{data}\
             Discovery = \"registration\"\nEntry = \"directory\"\nHeartbeatMs = {}\n\
             Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"fleet\",\"stream\",\"engine\"]\n\
             ConfigMode = \"highest\"\n\n[Zones]\nnorth-port = \"klang\"\n\n[Listen]\n{listen}\n\
             [Limits]\nCpuShare = 1.0\nCores = 1\nMemoryMb = {memory}\nMaxFds = {fds}\nLinkMbps = 1000.0\nDiskMb = {disk}\n\n\
             [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStabilityWindowMs = {}\nAckMs = 4000\nCatchUpS = 4\n\
             DrainMs = {}\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\n\
             MaxStretchMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 58\nRecoveryS = 12\n\
             PassMs = 120\nRetryAfterS = 0\nRequireFencing = true\nLeaseMs = {}\nThawSlackMs = 300\n\
             CeilingWindowS = 5\nCeilingOverage = 1.1\nversion_ms = 5000\nttl_max_s = 5\n",
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds.join(","),
            class == "core",
            HEARTBEAT.as_millis(),
            STABILITY_WINDOW.as_millis(),
            DRAIN.as_millis(),
            LEASE.as_millis(),
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(path, text).map_err(|error| error.to_string())
    }

    fn spawn(&self, name: &str, program: &str) -> Result<(), String> {
        let path = self.folder.join(format!("{name}.log"));
        let log = File::options().create(true).append(true).open(path);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(format!("target/release/{program}"))
            .env("RADISHBANK_SETTINGS", self.folder.join(format!("{name}.toml")))
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn();
        let child = child.map_err(|error| format!("{program}: {error}"))?;
        self.record.line(&format!("platform: {name} starts"));
        PROCESSES.lock().expect("no holder panics").insert(name.to_owned(), child);
        Ok(())
    }

    /// Kills processes at the same moment (SIGKILL) and waits for their ends.
    pub fn kill(&self, names: &[String]) {
        let mut processes = PROCESSES.lock().expect("no holder panics");
        let mut killed: Vec<Child> =
            names.iter().filter_map(|name| processes.remove(name)).collect();
        for child in &mut killed {
            child.kill().ok();
        }
        for child in &mut killed {
            child.wait().ok();
        }
        self.record.line(&format!("platform: killed {}", names.join(", ")));
    }

    /// Returns the process id of a process that runs.
    fn pid(&self, name: &str) -> Option<u32> {
        let mut processes = PROCESSES.lock().expect("no holder panics");
        let child = processes.get_mut(name)?;
        matches!(child.try_wait(), Ok(None)).then(|| child.id())
    }

    /// Returns the resident memory of a process in MB; `None` if it does not run.
    pub fn memory_mb(&self, name: &str) -> Option<u64> {
        let pid = self.pid(name)?;
        let text = fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
        let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
        Some(pages * PAGE_KB / 1_024)
    }

    pub fn keeper_names(&self) -> Vec<String> {
        (0..self.keepers).map(|number| format!("keeper-{number}")).collect()
    }

    fn keeper_ip(&self, number: u8) -> String {
        format!("{}.{}", self.network, 10 + number)
    }

    fn gate_ip(&self, number: u8) -> String {
        format!("{}.{}", self.network, 50 + number)
    }

    /// Returns the address of a server.
    pub fn server_address(&self, number: u8) -> SocketAddr {
        address(&format!("{}.{}", self.network, 100 + number), SERVER_PORT)
    }

    pub fn front(&self, gate: u8) -> SocketAddr {
        address(&self.gate_ip(gate), FRONT_PORT)
    }

    pub fn control(&self, keeper: u8) -> SocketAddr {
        address(&self.keeper_ip(keeper), CONTROL_PORT)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.keepers).map(|keeper| self.control(keeper)).collect()
    }

    pub fn gates(&self) -> u8 {
        self.gates
    }

    /// Sends a configuration to one keeper after the other until one acknowledges it; returns the time that this took.
    /// Other nodes are tried after a failure, a 5xx or `patience` without a response.
    pub fn publish(
        &self,
        config: &str,
        patience: Duration,
        limit: Duration,
    ) -> Result<Duration, String> {
        let start = Instant::now();
        let mut keeper = 0;
        while start.elapsed() < limit {
            let put = http::call(
                self.control(keeper),
                "PUT",
                "/v1/config",
                &[("Content-Type", "application/json")],
                config.as_bytes(),
                patience,
            );
            match put.map(|response| response.status()) {
                Ok(200) => return Ok(start.elapsed()),
                Ok(status) if (400..500).contains(&status) && status != 408 && status != 429 => {
                    return Err(format!("the configuration is refused with {status}"));
                }
                _ => {}
            }
            keeper = (keeper + 1) % self.keepers;
            std::thread::sleep(Duration::from_millis(100));
        }
        Err("no keeper acknowledges the configuration".to_owned())
    }

    /// Waits until all gates answer 200 on `/v1/ready`.
    pub fn await_ready(&self) -> Result<(), String> {
        let deadline = Instant::now() + Duration::from_secs(20);
        for gate in 0..self.gates {
            let ready = address(&self.gate_ip(gate), READY_PORT);
            loop {
                let answer =
                    http::call(ready, "GET", "/v1/ready", &[], b"", Duration::from_secs(1));
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > deadline {
                    return Err(format!("gate {gate} is not ready"));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        kill_all();
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&self.folder).ok();
        }
    }
}

fn address(ip: &str, port: u16) -> SocketAddr {
    SocketAddr::new(ip.parse().expect("a valid address"), port)
}

/// Returns the first three bytes of loopback addresses at which the ports are free.
fn free_network() -> Option<String> {
    let pid = std::process::id();
    (0..100u32).find_map(|number| {
        let [low, high] = [(pid + number) % 250, (pid / 250 + number) % 100 + 100];
        let network = format!("127.{high}.{low}");
        let free = [10u8, 11, 12, 13, 14, 50, 51, 100, 101, 102, 103, 104].iter().all(|host| {
            let ip: Ipv4Addr = format!("{network}.{host}").parse().expect("a valid address");
            (FRONT_PORT..=SERVER_PORT).all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        free.then_some(network)
    })
}

/// Returns a configuration. `routes` and `services` are lists of JSON objects.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"Version\":{version},\"Routes\":[{}],\"Services\":[{}],\"Limits\":{{\"MaxHeaderBytes\":16384,\
         \"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a route for [`config`].
pub fn route(name: &str, prefix: &str, kind: &str, service: &str, attempts: u32) -> String {
    route_with_timeout(name, prefix, kind, service, attempts, 1_000)
}

/// The same with a time-out in ms.
pub fn route_with_timeout(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    attempts: u32,
    timeout_ms: u64,
) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"Host\":\"{HOST}\",\"PathPrefix\":\"{prefix}\",\"Kind\":\"{kind}\",\"TimeoutMs\":{timeout_ms},\
         \"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"{service}\",\"MaxAttempts\":{attempts},\"Sticky\":false,\
         \"Resumable\":false}}"
    )
}

/// Returns a plain service for [`config`].
pub fn service(name: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":110,\"Protocol\":\"h1\",\"Tls\":false}}"
    )
}

/// Returns a service of model engines for [`config`].
pub fn model_service(name: &str, model: &str) -> String {
    format!(
        "{{\"Name\":\"{name}\",\"HealthPath\":\"/health\",\"MaxConnections\":370,\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":\
         {{\"Slots\":64,\"KvCapacityTokens\":148607,\"WeightsMb\":74600.0,\"AdapterSlots\":6,\"LoadsPerS\":2.4,\"Models\":\
         [{{\"Name\":\"{model}\",\"WeightsMb\":72700.0,\"LoadS\":3.2,\"Adapters\":3000,\"AdapterSizeMb\":66.0}}]}}}}"
    )
}
