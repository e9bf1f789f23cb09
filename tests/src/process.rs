//! Processes that a test started.

use std::env;
use std::fs::File;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::ExitStatus;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use nix::sys::signal;
use nix::sys::signal::Signal;
use nix::unistd::Pid;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that ends with the test.
pub struct Process {
    program: &'static str,
    args: Vec<String>,
    variables: Vec<(String, String)>,
    log: PathBuf,
    child: Child,
}

/// Returns the path of one of the workspace's programs.
pub fn program(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the path of the test");
    let folder = test.parent().and_then(Path::parent).expect("the target folder");
    folder.join(name)
}

impl Process {
    /// Starts a program; its standard error goes to the file `log`.
    pub fn start(program: &'static str, args: Vec<String>, log: PathBuf) -> Process {
        Process::start_with(program, args, Vec::new(), log)
    }

    /// Starts a program with variables of its environment.
    pub fn start_with(
        program: &'static str,
        args: Vec<String>,
        variables: Vec<(String, String)>,
        log: PathBuf,
    ) -> Process {
        let child = spawn(program, &args, &variables, &log);
        Process { program, args, variables, log, child }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process exists");
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Asks the process to stop and waits for its end; panics after `limit`.
    pub fn stop(&mut self, limit: Duration) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(Instant::now() < end, "{} did not stop in {limit:?}", self.program);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Starts the program again with the same arguments.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(self.program, &self.args, &self.variables, &self.log);
    }

    /// Starts the program again with other arguments.
    pub fn restart_with(&mut self, args: Vec<String>) {
        self.args = args;
        self.restart();
    }

    /// Returns the arguments.
    pub fn args(&self) -> &[String] {
        &self.args
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Tells whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns what the process logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn spawn(name: &str, args: &[String], variables: &[(String, String)], log: &Path) -> Child {
    let file = File::options().create(true).append(true).open(log).expect("a log file");
    let output = file.try_clone().expect("a second handle of the log");
    Command::new(program(name))
        .args(args)
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::from(output))
        .stderr(Stdio::from(file))
        .spawn()
        .unwrap_or_else(|error| panic!("{name} does not start: {error}; build the programs first"))
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
