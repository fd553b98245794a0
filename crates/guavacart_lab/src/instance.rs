//! Real `guavacart serve` processes.

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

/// How long a process may take to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Clock ticks in a second, as Linux counts processor time for all programs.
const CLOCK_TICKS: f64 = 100.0;
/// How often an awaited exit is looked for.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// Why an instance could not be run.
#[derive(Debug, Error)]
pub enum InstanceError {
    /// The lab does not know its own place.
    #[error("the lab's own executable has no directory: {0}")]
    NoDirectory(io::Error),
    /// Cargo could not build the binary.
    #[error("`{0}` failed; its own message says why")]
    NotBuilt(SmolStr),
    /// The binary is missing.
    #[error("{0} is missing; build it with `cargo build -p guavacart` in the same profile")]
    NoBinary(PathBuf),
    /// The process could not be started or its files not be written.
    #[error("instance {name} could not be started: {source}")]
    Start {
        /// The instance.
        name: SmolStr,
        /// What went wrong.
        source: io::Error,
    },
    /// Its settings could not be written as TOML.
    #[error("the settings of instance {name} are not TOML: {source}")]
    Settings {
        /// The instance.
        name: SmolStr,
        /// What went wrong.
        source: toml::ser::Error,
    },
    /// The process did not say where it listens.
    #[error("instance {name} did not listen within {START_TIMEOUT:?}; see {log}")]
    NotListening {
        /// The instance.
        name: SmolStr,
        /// Its log.
        log: PathBuf,
    },
    /// A signal could not be sent.
    #[error("instance {name} could not be signalled: {source}")]
    Signal {
        /// The instance.
        name: SmolStr,
        /// What went wrong.
        source: nix::errno::Errno,
    },
    /// The process did not end in time after SIGTERM.
    #[error("instance {name} did not stop within {limit:?}; see {log}")]
    NotStopped {
        /// The instance.
        name: SmolStr,
        /// The time it had.
        limit: Duration,
        /// Its log.
        log: PathBuf,
    },
}

/// What the settings file of an instance says.
#[derive(Clone, Debug, Serialize)]
pub struct InstanceSettings {
    /// Its id.
    pub instance: SmolStr,
    /// Its data centre.
    pub data_centre: SmolStr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// The instance list.
    pub instance_list: SocketAddr,
    /// How long a stopping instance goes on taking requests.
    pub linger: SmolStr,
    /// Who may do what.
    pub access: AccessSettings,
}

/// Tokens in a settings file.
#[derive(Clone, Debug, Serialize)]
pub struct AccessSettings {
    /// Key that entry instances share.
    pub peer_key: SmolStr,
    /// Token of reading operators.
    pub reader: SmolStr,
    /// Token of operators who submit patches.
    pub writer: SmolStr,
    /// Token of each team.
    pub teams: std::collections::BTreeMap<SmolStr, SmolStr>,
}

/// The line by which a process says where it listens.
#[derive(Clone, Copy, Debug, Deserialize)]
struct Listening {
    callers: SocketAddr,
    peers: SocketAddr,
}

/// A running process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Instance {
    name: SmolStr,
    child: Child,
    log: PathBuf,
    callers: SocketAddr,
    peers: SocketAddr,
}

/// The `guavacart` binary beside the lab's own executable, or one directory up for tests.
///
/// `cargo run` builds the lab alone, so under it the binary is built first.
pub fn binary() -> Result<PathBuf, InstanceError> {
    let lab = std::env::current_exe().map_err(InstanceError::NoDirectory)?;
    let beside = lab.with_file_name("guavacart");
    if lab.file_stem().is_some_and(|stem| stem == "guavacart-lab") {
        build(&beside)?;
    }
    if beside.is_file() {
        return Ok(beside);
    }
    let up = lab.parent().and_then(Path::parent);
    match up.map(|dir| dir.join("guavacart")) {
        Some(path) if path.is_file() => Ok(path),
        _ => Err(InstanceError::NoBinary(beside)),
    }
}

/// Has Cargo build `binary` in the profile of its directory, if Cargo runs this process.
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
        // The manifest that Cargo names is the lab's; the workspace is the same.
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
    /// Starts `binary serve` with `settings`, with its files in `dir`, and waits until it listens.
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
        // From here on the process ends with this value, whatever happens.
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

    /// Its id.
    pub fn name(&self) -> &SmolStr {
        &self.name
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where peers connect.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Processor time that it has used, in seconds; none once it has ended.
    pub fn cpu_seconds(&self) -> Option<f64> {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.pid())).ok()?;
        // The name in brackets may hold blanks; user and system time are fields 14 and 15.
        let (_, fields) = stat.rsplit_once(')')?;
        let mut fields = fields.split_ascii_whitespace().skip(11);
        let user: f64 = fields.next()?.parse().ok()?;
        let system: f64 = fields.next()?.parse().ok()?;
        Some((user + system) / CLOCK_TICKS)
    }

    /// Memory that it holds resident, in bytes; none once it has ended.
    pub fn resident_bytes(&self) -> Option<u64> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_ascii_whitespace().nth(1)?.parse().ok()?;
        Some(kib << 10)
    }

    /// Kills it and waits for its end.
    pub fn kill(&mut self) {
        // Both fail only if the process has ended already.
        if self.child.kill().is_ok() && self.child.wait().is_err() {
            tracing::debug!(name = %self.name, "process had ended already");
        }
    }

    /// Stops its threads without its knowing.
    pub fn pause(&self) -> Result<(), InstanceError> {
        self.signal(Signal::SIGSTOP)
    }

    /// Lets it go on after [`Instance::pause`].
    pub fn resume(&self) -> Result<(), InstanceError> {
        self.signal(Signal::SIGCONT)
    }

    /// Asks it to stop gracefully and waits for its exit code; none if a signal ended it. Blocks.
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

    /// True until the process has ended.
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

/// Copies every line to the log and tells where the process listens.
fn copy_log(stdout: ChildStdout, mut log: File, tx: &flume::Sender<Listening>) {
    let mut told = false;
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        if writeln!(log, "{line}").is_err() {
            return;
        }
        if told {
            continue;
        }
        if let Some(listening) = parse_listening(&line) {
            told = tx.send(listening).is_ok();
        }
    }
}

/// Both `{"event": "listening", ..}` and the same below `fields` are understood.
fn parse_listening(line: &str) -> Option<Listening> {
    let value: serde_json::Value = serde_json::from_str(line).ok()?;
    let fields = value.get("fields").unwrap_or(&value);
    if fields.get("event")?.as_str()? != "listening" {
        return None;
    }
    Listening::deserialize(fields).ok()
}
