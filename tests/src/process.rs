//! Processes started by a test.

use std::env;
use std::fs;
use std::fs::File;
use std::io;
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
use nix::sys::wait;
use nix::sys::wait::WaitPidFlag;
use nix::unistd::Pid;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A process that is killed when dropped.
pub struct Process {
    program: &'static str,
    /// The folder of the program; `None` for the workspace's programs.
    folder: Option<PathBuf>,
    args: Vec<String>,
    /// Environment variables, as name and value.
    variables: Vec<(String, String)>,
    /// The file with the process's output.
    log: PathBuf,
    child: Child,
}

/// Returns the path of one of the workspace's programs.
pub fn program(name: &str) -> PathBuf {
    let test = env::current_exe().expect("the test has a path");
    let folder = test.parent().and_then(Path::parent).expect("the test is in the target folder");
    folder.join(name)
}

impl Process {
    /// Starts a program; its output is appended to the file `log`.
    pub fn start(program: &'static str, args: Vec<String>, log: PathBuf) -> Process {
        Process::start_with(program, args, Vec::new(), log)
    }

    /// Starts a program with additional environment variables.
    pub fn start_with(
        program: &'static str,
        args: Vec<String>,
        variables: Vec<(String, String)>,
        log: PathBuf,
    ) -> Process {
        Process::start_from(None, program, args, variables, log)
    }

    /// Starts a program from a folder; `None` for the workspace's programs.
    pub fn start_from(
        folder: Option<&Path>,
        program: &'static str,
        args: Vec<String>,
        variables: Vec<(String, String)>,
        log: PathBuf,
    ) -> Process {
        let child = spawn(&path(folder, program), &args, &variables, &log);
        Process { program, folder: folder.map(Path::to_owned), args, variables, log, child }
    }

    /// Sends a signal; after `SIGSTOP` waits until all threads of the process have stopped.
    pub fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.child.id() as i32);
        signal::kill(pid, signal).expect("the process exists");
        if signal == Signal::SIGSTOP {
            wait::waitpid(pid, Some(WaitPidFlag::WUNTRACED)).expect("the process has stopped");
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }

    /// Sends `SIGTERM` and waits for the end of the process; panics after `timeout`.
    pub fn stop(&mut self, timeout: Duration) -> ExitStatus {
        self.signal(Signal::SIGTERM);
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().expect("the process can be waited for") {
                return status;
            }
            assert!(Instant::now() < deadline, "{} did not stop in {timeout:?}", self.program);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Kills the process and starts the program with the same arguments.
    pub fn restart(&mut self) {
        self.kill();
        let path = path(self.folder.as_deref(), self.program);
        self.child = spawn(&path, &self.args, &self.variables, &self.log);
    }

    /// Sets the folder from which the program is started next; `None` for the workspace's programs.
    pub fn set_folder(&mut self, folder: Option<&Path>) {
        self.folder = folder.map(Path::to_owned);
    }

    /// Kills the process and starts the program with other arguments.
    pub fn restart_with(&mut self, args: Vec<String>) {
        self.args = args;
        self.restart();
    }

    /// Returns the arguments.
    pub fn args(&self) -> &[String] {
        &self.args
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Returns the output of the process so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

fn path(folder: Option<&Path>, name: &str) -> PathBuf {
    folder.map_or_else(|| program(name), |folder| folder.join(name))
}

fn spawn(path: &Path, args: &[String], variables: &[(String, String)], log: &Path) -> Child {
    let file =
        File::options().create(true).append(true).open(log).expect("the log file can be opened");
    let output = file.try_clone().expect("the log file can be opened twice");
    Command::new(path)
        .args(args)
        .envs(variables.iter().map(|(name, value)| (name, value)))
        .stdin(Stdio::null())
        .stdout(Stdio::from(output))
        .stderr(Stdio::from(file))
        .spawn()
        .unwrap_or_else(|error| {
            panic!("cannot start {}: {error}; run `cargo build --bins` first", path.display())
        })
}

/// Copies the log of a process to `failed-tests` in the target folder, in a folder of its site.
fn keep_log(log: &Path) -> io::Result<()> {
    let site = log.parent().and_then(Path::file_name).unwrap_or_default();
    let name = log.file_name().unwrap_or_default();
    let folder = program("../failed-tests").join(site);
    fs::create_dir_all(&folder)?;
    fs::copy(log, folder.join(name)).map(drop)
}

/// Keeps the log if the test fails.
impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        if !thread::panicking() {
            return;
        }
        if let Err(error) = keep_log(&self.log) {
            eprintln!("{}: the log was not kept: {error}", self.log.display());
        }
    }
}
