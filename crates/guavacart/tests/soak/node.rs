//! One node as a process of its own, behind a relay to the store.

#![allow(dead_code, reason = "each soak uses its part")]

use std::{
    fs::{self, File},
    net::SocketAddr,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use nix::{
    sys::signal::{self, Signal},
    unistd::Pid,
};

use crate::{gate::Gate, loopback};

/// Time from the start of a process until its first statement, without the time for which it waits
/// for a processor; a signal before ends any process.
const START_TIME: Duration = Duration::from_millis(100);
/// Time after a fault for which a node may lag behind.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Last byte of the first node's address; those below are for executors.
const FIRST_ADDRESS: usize = 200;
/// Ports of each node for submitters, for readiness, and for links.
const PORTS: [u16; 4] = [8_000, 8_001, 8_002, 8_003];
/// Rate of a slow link, in bytes a second.
const SLOW_RATE: u64 = 20_000;

/// One node.
pub(crate) struct Node {
    pub(crate) name: String,
    /// Address for submitters.
    pub(crate) front: SocketAddr,
    dir: PathBuf,
    gate: Gate,
    /// The process; held during a fault that stops it.
    child: Mutex<Child>,
    /// When the process last started or continued.
    running_since: Mutex<Instant>,
    /// Time for which the process had waited for a processor by then.
    queued_before: Mutex<Duration>,
    /// Time from then to the last SIGHUP.
    last_hang_up: Mutex<Duration>,
    incarnation: AtomicU64,
    /// Descriptions of processes that had ended by themselves before a fault was to end them.
    own_ends: Mutex<Vec<String>>,
    /// When the last fault of the path to the store, or of the process, ended or will end.
    disturbed_until: Mutex<Option<Instant>>,
    faults: AtomicU64,
}

impl Node {
    /// Starts a node that uses the store and the service of machines at these addresses; `run`
    /// names its folder.
    pub(crate) fn spawn(
        run: &str,
        number: usize,
        store: SocketAddr,
        cloud: Option<SocketAddr>,
    ) -> Self {
        let name = format!("n-{number}");
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{run}-{name}"));
        // Logs of an earlier run would look like this one's.
        if dir.exists() {
            fs::remove_dir_all(&dir).expect("a folder of an earlier run");
        }
        fs::create_dir_all(&dir).expect("a folder");
        let gate = Gate::spawn(store);
        let ip = loopback::address(FIRST_ADDRESS + number);
        let [front, ready, links, last] = PORTS;
        let cloud = cloud.map_or_else(String::new, |cloud| {
            format!("[cloud]\naddress = \"{cloud}\"\n")
        });
        let settings = format!(
            "node = \"{name}\"\nip = \"{ip}\"\nzone = \"a\"\ninternal-ports = [{links}, {last}]\n\
             orders = \"rpc\"\n[listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [bounds]\ngrace-s = 2\nconfig-apply-ms = 2000\n[platform]\naddress = \"{}\"\n{cloud}",
            gate.address
        );
        fs::write(dir.join("node.toml"), settings).expect("the settings");
        let child = Mutex::new(start(&dir, 0));
        Self {
            name,
            front: SocketAddr::from((ip, front)),
            dir,
            gate,
            child,
            running_since: Mutex::new(Instant::now()),
            queued_before: Mutex::default(),
            last_hang_up: Mutex::default(),
            incarnation: AtomicU64::new(0),
            own_ends: Mutex::default(),
            disturbed_until: Mutex::new(None),
            faults: AtomicU64::new(0),
        }
    }

    /// Number of the process among those of this node.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation.load(Ordering::SeqCst)
    }

    /// Describes the ends of processes that have ended by themselves.
    pub(crate) fn own_ends(&self) -> Vec<String> {
        let mut child = self.child.lock().expect("no panic");
        let mut ends = self.own_ends.lock().expect("no panic").clone();
        ends.extend(self.own_end(&mut child));
        ends
    }

    fn own_end(&self, child: &mut Child) -> Option<String> {
        let status = child.try_wait().expect("a status")?;
        let hang_up = *self.last_hang_up.lock().expect("no panic");
        Some(format!(
            "{} has ended by itself: {status}; its last SIGHUP came {} ms after it started or continued",
            self.name,
            hang_up.as_millis()
        ))
    }

    pub(crate) fn faults(&self) -> u64 {
        self.faults.load(Ordering::Relaxed)
    }

    /// True if a fault touched the node within `CONTACT_TIME` before `at` or since.
    pub(crate) fn was_disturbed_since(&self, at: Instant) -> bool {
        let until = *self.disturbed_until.lock().expect("no panic");
        until.is_some_and(|until| until + CONTACT_TIME >= at)
    }

    fn mark_disturbed(&self, length: Duration) {
        self.faults.fetch_add(1, Ordering::Relaxed);
        let end = Instant::now() + length;
        let mut until = self.disturbed_until.lock().expect("no panic");
        *until = Some(until.map_or(end, |until| until.max(end)));
    }

    /// Silences the open connections to the store.
    pub(crate) fn silence_connections(&self) {
        self.mark_disturbed(Duration::ZERO);
        self.gate.silence_open_connections();
    }

    /// Cuts the node off from the store.
    pub(crate) fn cut_from_store(&self, length: Duration) {
        self.mark_disturbed(length);
        self.gate.shut();
        thread::sleep(length);
        self.gate.open();
        self.mark_disturbed(Duration::ZERO);
    }

    /// Slows the connections to the store down.
    pub(crate) fn limit_rate(&self, length: Duration) {
        self.mark_disturbed(length);
        self.gate.limit_rate(SLOW_RATE);
        thread::sleep(length);
        self.gate.limit_rate(0);
        self.mark_disturbed(Duration::ZERO);
    }

    /// Stops the process and lets it continue.
    pub(crate) fn pause(&self, length: Duration) {
        let mut child = self.child.lock().expect("no panic");
        if self.own_end(&mut child).is_some() {
            return;
        }
        self.mark_disturbed(length);
        send(&child, Signal::SIGSTOP);
        thread::sleep(length);
        *self.queued_before.lock().expect("no panic") = queued_time(&child);
        send(&child, Signal::SIGCONT);
        *self.running_since.lock().expect("no panic") = Instant::now();
        self.mark_disturbed(Duration::ZERO);
    }

    /// Kills the process and starts it again after a while.
    pub(crate) fn kill(&self, down: Duration) {
        self.end(Signal::SIGKILL, down);
    }

    /// Stops the process gracefully and starts it again.
    pub(crate) fn terminate(&self) {
        self.end(Signal::SIGTERM, Duration::ZERO);
    }

    fn end(&self, signal: Signal, down: Duration) {
        let mut child = self.child.lock().expect("no panic");
        self.mark_disturbed(down);
        match self.own_end(&mut child) {
            Some(end) => self.own_ends.lock().expect("no panic").push(end),
            None => send(&child, signal),
        }
        self.restart(&mut child, down);
    }

    /// Tells the process that its settings file has changed.
    pub(crate) fn hang_up(&self) {
        let mut child = self.child.lock().expect("no panic");
        let running_since = *self.running_since.lock().expect("no panic");
        let queued_before = *self.queued_before.lock().expect("no panic");
        loop {
            let queued = queued_time(&child).saturating_sub(queued_before);
            let missing = (START_TIME + queued).saturating_sub(running_since.elapsed());
            if missing.is_zero() {
                break;
            }
            thread::sleep(missing);
        }
        if self.own_end(&mut child).is_some() {
            return;
        }
        self.faults.fetch_add(1, Ordering::Relaxed);
        *self.last_hang_up.lock().expect("no panic") = running_since.elapsed();
        send(&child, Signal::SIGHUP);
    }

    fn restart(&self, child: &mut Child, down: Duration) {
        child.wait().expect("an exit status");
        let incarnation = self.incarnation.fetch_add(1, Ordering::SeqCst) + 1;
        thread::sleep(down);
        *child = start(&self.dir, incarnation);
        *self.queued_before.lock().expect("no panic") = Duration::ZERO;
        *self.running_since.lock().expect("no panic") = Instant::now();
        self.mark_disturbed(Duration::ZERO);
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let mut child = self.child.lock().expect("no panic");
        child.kill().expect("a running process");
        child.wait().expect("an exit status");
    }
}

fn start(dir: &std::path::Path, incarnation: u64) -> Child {
    let log = File::create(dir.join(format!("{incarnation}.log"))).expect("a log file");
    let err = log.try_clone().expect("a log file");
    Command::new(env!("CARGO_BIN_EXE_guavacart"))
        .args(["node", "--settings"])
        .arg(dir.join("node.toml"))
        .stdin(Stdio::null())
        .stdout(log)
        .stderr(err)
        .spawn()
        .expect("the guavacart binary can be started")
}

/// Time for which the first thread of a process has waited for a processor.
fn queued_time(child: &Child) -> Duration {
    let text = fs::read_to_string(format!("/proc/{}/schedstat", child.id()));
    let text = text.unwrap_or_default();
    let time = text.split(' ').nth(1).and_then(|time| time.parse().ok());
    Duration::from_nanos(time.unwrap_or_default())
}

fn send(child: &Child, signal: Signal) {
    let pid = i32::try_from(child.id()).expect("a process id");
    signal::kill(Pid::from_raw(pid), signal).expect("a running process");
}
