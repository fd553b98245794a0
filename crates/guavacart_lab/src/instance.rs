//! Entry instances, which are separate `guavacart serve` processes.

use std::{
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, ChildStdout, Command, Stdio},
    sync::OnceLock,
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

/// Longest wait for a new process to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Clock ticks per second in `/proc`; Linux reports processor time in this unit on all machines.
const CLOCK_TICKS: f64 = 100.0;
/// Time between two checks for an awaited exit.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Errors of an instance's start, control and stop.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The path of the lab's own executable is unknown.
    #[error("the path of the lab's own executable is unknown: {0}")]
    NoDirectory(io::Error),
    /// Cargo could not build the binary.
    #[error("`{0}` failed; see its output above")]
    NotBuilt(SmolStr),
    /// The binary does not exist.
    #[error("{0} does not exist; build it with `cargo build -p guavacart` in the same profile")]
    NoBinary(PathBuf),
    /// The process could not be started, its files could not be written or its exit code not be
    /// read.
    #[error("instance {name} could not be started: {source}")]
    Start {
        /// Name of the instance.
        name: SmolStr,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The settings could not be encoded as TOML.
    #[error("the settings of instance {name} could not be encoded as TOML: {source}")]
    Settings {
        /// Name of the instance.
        name: SmolStr,
        /// Cause of the failure.
        source: toml::ser::Error,
    },
    /// The process did not report in time where it listens.
    #[error("instance {name} did not listen within {START_TIMEOUT:?}; see {log}")]
    NotListening {
        /// Name of the instance.
        name: SmolStr,
        /// Path of its log.
        log: PathBuf,
    },
    /// A signal could not be sent.
    #[error("instance {name} could not be signalled: {source}")]
    Signal {
        /// Name of the instance.
        name: SmolStr,
        /// Cause of the failure.
        source: nix::errno::Errno,
    },
    /// The process did not end in time after SIGTERM.
    #[error("instance {name} did not stop within {limit:?}; see {log}")]
    NotStopped {
        /// Name of the instance.
        name: SmolStr,
        /// Longest wait.
        limit: Duration,
        /// Path of its log.
        log: PathBuf,
    },
}

/// Contents of an instance's settings file.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceSettings {
    /// Id of the instance.
    pub instance: SmolStr,
    /// Data centre of the instance.
    pub data_centre: SmolStr,
    /// Address to listen at for callers.
    pub callers: SocketAddr,
    /// Address to listen at for peers.
    pub peers: SocketAddr,
    /// Address of the store.
    pub store: SocketAddr,
    /// Address of the instance list.
    pub instance_list: SocketAddr,
    /// Time for which a stopping instance still accepts requests, as text with its unit.
    pub linger: SmolStr,
    /// Keys and tokens.
    pub access: AccessSettings,
}

/// Keys and tokens in a settings file.
#[derive(Clone, Debug, Serialize)]
pub struct AccessSettings {
    /// Key shared by all entry instances.
    pub peer_key: SmolStr,
    /// Token of operators who may only read.
    pub reader: SmolStr,
    /// Token of operators who may submit patches.
    pub writer: SmolStr,
    /// Token of each team.
    pub teams: std::collections::BTreeMap<SmolStr, SmolStr>,
}

/// Fields of the log line in which a process reports where it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Listening {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// A running instance; its process is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    name: SmolStr,
    child: Child,
    log: PathBuf,
    callers: SocketAddr,
    peers: SocketAddr,
}

/// Returns the path of the `guavacart` binary in the directory of the lab's own executable, or in
/// its parent, where it is for tests.
///
/// `cargo run` builds only the lab, so the lab then builds the binary first.
pub fn binary() -> Result<PathBuf, InstanceError> {
    let lab = std::env::current_exe().map_err(InstanceError::NoDirectory)?;
    let beside = lab.with_file_name("guavacart");
    if lab.file_stem().is_some_and(|stem| stem == "guavacart-lab") {
        build(&beside)?;
    }
    if beside.is_file() {
        return Ok(beside);
    }
    let parent = lab.parent().and_then(Path::parent);
    match parent.map(|dir| dir.join("guavacart")) {
        Some(path) if path.is_file() => Ok(path),
        _ => Err(InstanceError::NoBinary(beside)),
    }
}

/// Builds `binary` with Cargo in the profile of its directory, if Cargo started this process.
fn build(binary: &Path) -> Result<(), InstanceError> {
    static BUILT: OnceLock<bool> = OnceLock::new();
    let Some(cargo) = std::env::var_os("CARGO") else {
        return Ok(());
    };
    let profile = match binary.parent().and_then(Path::file_name) {
        Some(directory) if directory != "debug" => directory.to_string_lossy().into_owned(),
        _ => "dev".to_owned(),
    };
    let arguments = ["build", "--quiet", "-p", "guavacart", "--profile", &profile];
    let built = BUILT.get_or_init(|| {
        let mut command = Command::new(cargo);
        // Cargo sets the lab's manifest directory, which belongs to the same workspace.
        if let Some(directory) = std::env::var_os("CARGO_MANIFEST_DIR") {
            command.current_dir(directory);
        }
        let status = command.args(arguments).status();
        status.is_ok_and(|status| status.success())
    });
    match built {
        true => Ok(()),
        false => Err(InstanceError::NotBuilt(format_smolstr!(
            "cargo {}",
            arguments.join(" ")
        ))),
    }
}

impl Instance {
    /// Starts `binary serve` with `settings`, with its settings file and log in `dir`, and waits
    /// until it listens. Blocks.
    pub fn spawn(
        binary: &Path,
        dir: &Path,
        settings: &InstanceSettings,
    ) -> Result<Self, InstanceError> {
        let name = settings.instance.clone();
        let err = |source| InstanceError::Start {
            name: name.clone(),
            source,
        };
        let text = toml::to_string(settings).map_err(|source| InstanceError::Settings {
            name: name.clone(),
            source,
        })?;
        let file = dir.join(format!("{name}.toml"));
        fs::write(&file, text).map_err(err)?;
        let log = dir.join(format!("{name}.log"));
        let log_file = File::create(&log).map_err(err)?;
        let child = Command::new(binary)
            .arg("serve")
            .arg("--settings")
            .arg(&file)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log_file.try_clone().map_err(err)?)
            .spawn()
            .map_err(err)?;
        let unknown = SocketAddr::from(([127, 0, 0, 1], 0));
        // From here on, dropping this value kills the process, also on an error.
        let mut instance = Self {
            name,
            child,
            log,
            callers: unknown,
            peers: unknown,
        };
        let listening = instance.wait_listening(log_file)?;
        instance.callers = listening.callers;
        instance.peers = listening.peers;
        Ok(instance)
    }

    fn wait_listening(&mut self, log_file: File) -> Result<Listening, InstanceError> {
        let not_listening = || InstanceError::NotListening {
            name: self.name.clone(),
            log: self.log.clone(),
        };
        let stdout = self.child.stdout.take().ok_or_else(not_listening)?;
        let (tx, rx) = flume::bounded(1);
        thread::spawn(move || copy_log(stdout, log_file, &tx));
        rx.recv_timeout(START_TIMEOUT).map_err(|_| not_listening())
    }

    /// Returns the id of the instance.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Returns the address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address that peers connect to.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns the processor time that the process has used, in seconds; `None` once it has ended.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).ok()?;
        // The name in parentheses may contain spaces; user and system time are fields 14 and 15.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_ascii_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some((user + system) / CLOCK_TICKS)
    }

    /// Returns the resident memory of the process, in bytes; `None` once it has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        // Both calls fail only if the process has already ended.
        if self.child.kill().is_ok() && self.child.wait().is_err() {
            tracing::debug!(name = %self.name, "the process had already ended");
        }
    }

    /// Pauses the process with SIGSTOP, which it cannot notice.
    pub fn pause(&self) -> Result<(), InstanceError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Resumes the process after [`Instance::pause`].
    pub fn resume(&self) -> Result<(), InstanceError> {
        self.signal(Signal::SIGCONT)
    }

    /// Requests a graceful stop with SIGTERM and waits for the exit code; `None` if a signal ended
    /// the process. Blocks.
    pub fn stop(&mut self, limit: Duration) -> Result<Option<i32>, InstanceError> {
        self.signal(Signal::SIGTERM)?;
        let deadline = Instant::now() + limit;
        loop {
            let ended = self
                .child
                .try_wait()
                .map_err(|source| InstanceError::Start {
                    name: self.name.clone(),
                    source,
                })?;
            if let Some(status) = ended {
                return Ok(status.code());
            }
            if Instant::now() >= deadline {
                return Err(InstanceError::NotStopped {
                    name: self.name.clone(),
                    limit,
                    log: self.log.clone(),
                });
            }
            thread::sleep(EXIT_POLL);
        }
    }

    /// Returns true until the process has ended.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    fn signal(&self, signal: Signal) -> Result<(), InstanceError> {
        let pid = Pid::from_raw(self.child.id().cast_signed());
        kill(pid, signal).map_err(|source| InstanceError::Signal {
            name: self.name.clone(),
            source,
        })
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Copies every line to the log and sends the addresses from the first line that reports them.
fn copy_log(stdout: ChildStdout, mut log: File, tx: &flume::Sender<Listening>) {
    let mut is_sent = false;
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        if writeln!(log, "{line}").is_err() {
            return;
        }
        if is_sent {
            continue;
        }
        if let Some(listening) = parse_listening(&line) {
            is_sent = tx.send(listening).is_ok();
        }
    }
}

/// Parses a `listening` event, which may be the whole object or its `fields` member.
fn parse_listening(line: &str) -> Option<Listening> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    if fields.get("event")?.as_str()? != "listening" {
        return None;
    }
    Listening::deserialize(fields).ok()
}
