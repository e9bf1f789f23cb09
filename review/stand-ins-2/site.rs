//! A site on loopback addresses: the project's own programs as processes, with settings like those of a small deployment.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::record::Record;

pub const HOST: &str = "site.example";
const METRICS_PORT: u16 = 9_464;
/// `PR_SET_PDEATHSIG` and `SIGKILL` of Linux: the processes end with the one that started them, however it ends.
const SET_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;
/// `SIGHUP`.
const HANG_UP: i32 = 1;

unsafe extern "C" {
    fn prctl(option: i32, signal: u64) -> i32;
    fn kill(process: i32, signal: i32) -> i32;
}

/// What the settings of a site state.
#[derive(Clone, Copy)]
pub struct Options {
    pub gates: u8,
    pub keepers: u8,
}

pub struct Node {
    name: String,
    child: Child,
}

pub struct Site {
    options: Options,
    gates: Vec<Node>,
    keepers: Vec<Node>,
    network: String,
    port: u16,
    folder: PathBuf,
    record: Record,
}

/// Returns whether a port is free on an address.
fn is_free(ip: &str, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok()
}

impl Site {
    /// Starts keepers and gates.
    pub fn start(options: Options, record: &Record) -> Site {
        let pid = std::process::id();
        let network = format!("127.{}.{}", 60 + pid % 60, 1 + (pid / 60) % 250);
        let ip = format!("{network}.10");
        let ports = (6_000..7_000).step_by(20);
        let mut free = ports
            .into_iter()
            .filter(|base| (*base..base + 20).chain([METRICS_PORT]).all(|port| is_free(&ip, port)));
        let port = free.next().unwrap_or_else(|| crate::cannot_run("no free ports"));
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|_| crate::cannot_run("no temporary folder"));
        let mut site = Site {
            options,
            gates: Vec::new(),
            keepers: Vec::new(),
            network,
            port,
            folder,
            record: record.clone(),
        };
        for number in 0..options.keepers {
            let node = site.launch(
                "target/release/platform-keeper",
                &format!("core-{number}"),
                &site.keeper_ip(number),
                true,
            );
            site.keepers.push(node);
        }
        for number in 0..options.gates {
            let node = site.launch(
                "target/release/platform-gate",
                &format!("edge-{number}"),
                &site.gate_ip(number),
                true,
            );
            site.gates.push(node);
        }
        site
    }

    pub fn keeper_ip(&self, number: u8) -> String {
        format!("{}.{}", self.network, 10 + number)
    }

    pub fn gate_ip(&self, number: u8) -> String {
        format!("{}.{}", self.network, 50 + number)
    }

    /// Returns the address of a server.
    pub fn server(&self, number: u8) -> SocketAddr {
        format!("{}.{}:{}", self.network, 100 + number, self.port + 4).parse().unwrap()
    }

    pub fn front(&self, gate: u8) -> SocketAddr {
        format!("{}:{}", self.gate_ip(gate), self.port).parse().unwrap()
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        let address = |number| format!("{}:{}", self.keeper_ip(number), self.port + 2);
        (0..self.options.keepers).map(|number| address(number).parse().unwrap()).collect()
    }

    fn launch(&self, program: &'static str, name: &str, ip: &str, bootstrap: bool) -> Node {
        let data = self.folder.join(name);
        fs::create_dir_all(&data).ok();
        let seeds: Vec<String> = self.controls().iter().take(3).map(ToString::to_string).collect();
        let is_keeper = program.ends_with("keeper");
        let (class, serves) =
            if is_keeper { ("core", "\"control\", \"directory\"") } else { ("edge", "\"edge\"") };
        let memory = if is_keeper { 256 } else { 260 };
        let port = self.port;
        let listen = if is_keeper {
            format!("Control = \"{ip}:{}\"\nDirectory = \"{ip}:{}\"\n", port + 2, port + 3)
        } else {
            format!("Front = \"{ip}:{port}\"\nReady = \"{ip}:{}\"\n", port + 1)
        };
        let data_dir = if is_keeper { format!("DataDir = {data:?}\n") } else { String::new() };
        let text = format!(
            "NodeName = \"{name}\"\nRole = \"{class}\"\nMachineClass = \"{class}\"\nServes = [{serves}]\nIp = \"{ip}\"\n\
             Zone = \"a\"\nRegion = \"r\"\nInternalPorts = [{}, {}]\nSeeds = {seeds:?}\nBootstrap = {bootstrap}\n\
             CountedForTolerance = {is_keeper}\n{data_dir}HeartbeatMs = 1200\nConfigMode = \"highest\"\n\
             [Zones]\na = \"r\"\n[Listen]\n{listen}\
             [Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = {memory}\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 128\n\
             [FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n\
             [Bounds]\nSeedLagS = 3\nReuseAfterS = 2\nStabilityWindowMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n\
             GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\nMaxStretchMs = 5000\n\
             RetryBudgetRatio = 0.2\nBudgetWindowS = 10\nBudgetSlack = 52\nRecoveryS = 12\nPassMs = 120\nRetryAfterS = 0\n\
             RequireFencing = true\nLeaseMs = 3000\nThawSlackMs = 300\nCeilingWindowS = 5\nCeilingOverage = 1.1\n\
             version_ms = 5000\nttl_max_s = 5\n",
            port + 5,
            port + 19
        );
        fs::write(self.folder.join(format!("{name}.toml")), text).expect("settings are written");
        self.spawn(program, name)
    }

    /// Starts a program with the command of the deploy file.
    fn spawn(&self, program: &'static str, name: &str) -> Node {
        let log =
            File::options().create(true).append(true).open(self.folder.join(format!("{name}.log")));
        let log = log.expect("a log");
        let mut command = Command::new(program);
        command.env_clear();
        for variable in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(variable) {
                command.env(variable, value);
            }
        }
        command.env("RADISHBANK_SETTINGS", self.folder.join(format!("{name}.toml")));
        command.stdin(Stdio::null()).stderr(log.try_clone().expect("a log")).stdout(log);
        unsafe {
            command.pre_exec(|| {
                prctl(SET_DEATH_SIGNAL, KILL);
                Ok(())
            });
        }
        let child = command.spawn();
        let child = child.unwrap_or_else(|error| crate::cannot_run(&format!("{program}: {error}")));
        self.record.write(&format!("started {name}, process {}", child.id()));
        Node { name: name.to_owned(), child }
    }

    /// Sends SIGHUP to a gate.
    pub fn hang_up_gate(&self, gate: usize) {
        self.record.write(&format!("SIGHUP to {}", self.gates[gate].name));
        unsafe { kill(self.gates[gate].child.id() as i32, HANG_UP) };
    }

    /// Sends a configuration until it is acknowledged.
    pub fn publish(&self, config: &str) {
        let deadline = Instant::now() + Duration::from_secs(30);
        while Instant::now() < deadline {
            for control in self.controls() {
                let answer = http::control(control, "PUT", "/v1/config", config);
                let status = answer.as_ref().map_or(0, http::Message::status);
                if status == 200 {
                    return self.record.write("configuration acknowledged");
                }
                if (400..500).contains(&status) {
                    crate::cannot_run(&format!(
                        "configuration refused: {}",
                        answer.unwrap().text()
                    ));
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        crate::cannot_run("no acknowledgement of the configuration");
    }

    /// Waits until all gates are ready.
    pub fn await_ready(&self) {
        let deadline = Instant::now() + Duration::from_secs(30);
        for gate in 0..self.options.gates {
            let address: SocketAddr =
                format!("{}:{}", self.gate_ip(gate), self.port + 1).parse().unwrap();
            while http::control(address, "GET", "/v1/ready", "")
                .is_none_or(|ready| ready.status() != 200)
            {
                if Instant::now() > deadline {
                    crate::cannot_run("a gate does not become ready");
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
    }

    /// Copies the ends of the logs into the record.
    pub fn record_logs(&self, pattern: &str, most: usize) {
        for node in self.keepers.iter().chain(&self.gates) {
            let log = fs::read_to_string(self.folder.join(format!("{}.log", node.name)))
                .unwrap_or_default();
            let lines: Vec<&str> = log.lines().filter(|line| line.contains(pattern)).collect();
            for line in lines.iter().rev().take(most).rev() {
                self.record.write(&format!("log of {}: {line}", node.name));
            }
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for node in self.keepers.iter_mut().chain(&mut self.gates) {
            node.child.kill().ok();
            node.child.wait().ok();
        }
        fs::remove_dir_all(&self.folder).ok();
    }
}
