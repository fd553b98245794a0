//! Plays one case of the review: starts the project's nodes as processes, with stand-ins of the
//! platform and of clients on loopback, and checks one rule.
//!
//! `standin CASE RECORD`; `TROUBLE=0` in the environment leaves the disruption out. Exits with 1 if
//! the rule was broken, 0 if it held, 2 if the case couldn't run.

mod json;
mod platform;

use std::{
    env, fs,
    fs::File,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{exit, Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use json::{base64, Json};
use platform::{Shared, SERVICE};

const HOST: &str = "nony24.example";
const PREFIX: &str = "/lohu930/";

struct Node {
    name: String,
    settings: PathBuf,
    front: SocketAddr,
    ready: SocketAddr,
    child: Option<Child>,
}

impl Node {
    fn start(&mut self) {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"));
        let Ok(log) = log else { return };
        let Ok(errors) = log.try_clone() else { return };
        let mut command = Command::new("target/release/guavacart");
        command
            .arg("node")
            .env_clear()
            .env("GUAVACART_CONFIG", &self.settings);
        command.stdin(Stdio::null()).stdout(log).stderr(errors);
        self.child = command.spawn().ok();
        let id = self.child.as_ref().map(Child::id);
        STARTED
            .lock()
            .unwrap_or_else(|err| err.into_inner())
            .extend(id);
    }

    /// Sends SIGTERM and waits until the process has ended, for grace-s at most.
    fn terminate(&mut self) {
        let Some(child) = &mut self.child else {
            return;
        };
        let _ = Command::new("kill")
            .arg("-TERM")
            .arg(child.id().to_string())
            .status();
        let end = Instant::now() + Duration::from_secs(6);
        while child.try_wait().is_ok_and(|status| status.is_none()) && Instant::now() < end {
            thread::sleep(Duration::from_millis(10));
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let id = child.id();
            STARTED
                .lock()
                .unwrap_or_else(|err| err.into_inner())
                .retain(|started| *started != id);
            let _ = child.wait();
        }
    }
}

struct Site {
    shared: Arc<Shared>,
    nodes: Vec<Node>,
    folder: PathBuf,
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.iter_mut().for_each(Node::kill);
        if env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Processes that were started and have not been waited for, so that their ids are still theirs.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case that couldn't run, and all processes that it started.
fn fail(text: &str) -> ! {
    eprintln!("the case couldn't run: {text}");
    for id in STARTED
        .lock()
        .unwrap_or_else(|err| err.into_inner())
        .drain(..)
    {
        let _ = Command::new("kill")
            .arg("-KILL")
            .arg(id.to_string())
            .status();
    }
    exit(2)
}

fn listener(ip: &str) -> TcpListener {
    TcpListener::bind((ip, 0)).unwrap_or_else(|err| fail(&format!("no port on {ip}: {err}")))
}

fn address(listener: &TcpListener) -> SocketAddr {
    listener.local_addr().unwrap_or_else(|_| fail("no address"))
}

fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |t| t.as_millis() as u64)
}

impl Site {
    /// Starts the platform and the nodes, and waits until every node is ready.
    fn start(record: File, nodes: usize, machines: usize, cpu: u64, cap: usize) -> Self {
        let shared = Shared::new(record, cpu, cap);
        for n in 0..machines {
            let listener = listener("127.0.0.1");
            shared.lock().add_machine(address(&listener));
            platform::serve_executor(&shared, n, listener);
        }
        let cloud = listener("127.0.0.1");
        let cloud_address = address(&cloud);
        platform::serve_cloud(&shared, cloud);
        let config = format!(
            "{{\"version\":7,\"routes\":[{{\"name\":\"r-3hwrr6x\",\"host\":\"{HOST}\",\"prefix\":\"{PREFIX}\",\
             \"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-duration-ms\":250,\"priority\":0,\
             \"service\":\"{SERVICE}\",\"max-attempts\":4,\"stretch\":1.5}}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"admission-check\":false}}]}}"
        );
        shared
            .lock()
            .store
            .put("op/config", &base64(config.as_bytes()), 0);
        platform::keep_time(&shared);
        let folder = env::temp_dir().join(format!("review-{}", std::process::id()));
        if fs::create_dir_all(&folder).is_err() {
            fail("no temporary folder");
        }
        let mut site = Self {
            shared,
            nodes: Vec::new(),
            folder,
        };
        for n in 0..nodes {
            let store = listener("127.0.0.1");
            let store_address = address(&store);
            platform::serve_store(&site.shared, n, store);
            site.add_node(n, store_address, cloud_address);
        }
        let began = Instant::now();
        while !site
            .nodes
            .iter()
            .all(|node| get(node.ready, "/-/readiness", 500).is_some_and(|r| r.0 == 200))
        {
            if began.elapsed() > Duration::from_secs(15) {
                fail("the nodes are not ready");
            }
            thread::sleep(Duration::from_millis(50));
        }
        if !site.shared.wait(Duration::from_secs(10), |world| {
            world.store.text("gc/owner").is_some() || world.last_writer.is_some()
        }) {
            fail("no node writes to the store");
        }
        thread::sleep(Duration::from_millis(1_500));
        site
    }

    fn add_node(&mut self, n: usize, store: SocketAddr, cloud: SocketAddr) {
        // Each run has loopback addresses of its own, so that runs side by side take no port of each other.
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + (id >> 8) % 250, id & 255, 11 + n);
        let ports: Vec<TcpListener> = (0..4).map(|_| listener(&ip)).collect();
        let at: Vec<SocketAddr> = ports.iter().map(address).collect();
        let name = format!("front-nbo-a-{}", n + 1);
        let text = format!(
            "node = \"{name}\"\nrole = \"node\"\nclass = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\n\
             zone = \"nbo-a\"\nregion = \"nairobi\"\ninternal-ports = [{},{}]\nseeds = []\nbootstrap = true\n\
             in-fault-set = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1100\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\n\
             orders = \"rpc\"\nadvice = \"\"\n[zones]\nnbo-a = \"nairobi\"\n[listen]\nfront = \"{}\"\nready = \"{}\"\ncontrol = \"{}\"\n\
             [limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n\
             [tolerate]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\n\
             grace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nouter-ms = 5000\nrecovery-s = 12\n\
             max-hold-ms = 6000\nstop-timeout-ms = 200\ngang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\n\
             finish_s = 14\nstatus_s = 120\ncross-rack-factor = 3\ncheckpoint-s = 2\nrestore-ms = 100\nnotice-ms = 4500\nmove-s = 1.5\n\
             maintenance-s = 2\nrequire-fencing = true\nlease-ms = 3000\nthaw-ms = 300\npace-ms = 100\nharm-ms = 4000\n\
             [platform]\naddress = \"{store}\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\n\
             max-value-bytes = 1048576\nmin-ttl-ms = 1000\n\
             [cloud]\naddress = \"{cloud}\"\nrate-per-s = 60.0\nduties = []\nduty-per-s = 60.0\n",
            at[0].port(), at[0].port(), at[1], at[2], at[3]
        );
        let settings = self.folder.join(format!("{name}.toml"));
        if fs::write(&settings, text).is_err() {
            fail("no settings file");
        }
        drop(ports);
        let mut node = Node {
            name,
            settings,
            front: at[1],
            ready: at[2],
            child: None,
        };
        node.start();
        self.nodes.push(node);
    }

    fn note(&self, text: &str) {
        self.shared.lock().note(text);
    }

    /// The node that leads: the one that gave the last order to the platform's machines.
    fn leader(&self) -> usize {
        let holder = self
            .shared
            .lock()
            .upkeeps
            .last()
            .map(|(_, _, holder, ..)| holder.clone());
        let is_it = |node: &Node| Some(&node.name) == holder.as_ref();
        self.nodes
            .iter()
            .position(is_it)
            .unwrap_or_else(|| fail("no node has given an order"))
    }

    fn write_wave(&self, number: u64, machines: &[usize], cap: usize) {
        let names: Vec<String> = machines.iter().map(|n| format!("\"m-{n}\"")).collect();
        let text = format!(
            "{{\"wave\":{number},\"machines\":[{}],\"duration-s\":60,\"cap\":{cap}}}",
            names.join(",")
        );
        let mut world = self.shared.lock();
        world.note(&format!("operator: op/wave/{number} = {text}"));
        world
            .store
            .put(&format!("op/wave/{number}"), &base64(text.as_bytes()), 0);
    }

    /// Submits a job as a client does: again at another node until it is accepted.
    fn submit(&self, id: &str, body: &str) -> bool {
        for attempt in 0..12 {
            let node = &self.nodes[attempt % self.nodes.len()];
            if node.child.is_none() {
                continue;
            }
            let answer = call(node.front, "POST", &format!("{PREFIX}{id}"), body, 3_000);
            let status = answer.map_or(0, |(status, _)| status);
            self.note(&format!("client: POST {id} at {} -> {status}", node.name));
            if status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(300));
        }
        false
    }

    /// Asks for a job's state once at each node.
    fn state(&self, id: &str) -> String {
        let mut last = String::new();
        for node in &self.nodes {
            if node.child.is_none() {
                continue;
            }
            if let Some((200, text)) = call(node.front, "GET", &format!("{PREFIX}{id}"), "", 3_000)
            {
                return Json::parse(&text).get("state").str().to_owned();
            }
            last = "no answer".into();
        }
        last
    }

    /// Ends the case: 1 if the rule was broken.
    fn end(self, rule: &str, matches: impl Fn(&str) -> bool) -> ! {
        let broken = {
            let mut world = self.shared.lock();
            let broken = world
                .breaks
                .iter()
                .filter(|b| b.rule == rule && matches(&b.text))
                .count();
            world.note(&format!("{rule}: broken {broken} times"));
            broken
        };
        println!("{rule}: broken {broken} times");
        drop(self);
        exit(i32::from(broken > 0))
    }
}

fn call(at: SocketAddr, method: &str, path: &str, body: &str, ms: u64) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(ms);
    let mut stream = TcpStream::connect_timeout(&at, timeout).ok()?;
    stream
        .set_read_timeout(Some(timeout + Duration::from_millis(300)))
        .ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Timeout-Ms: {ms}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).ok()?;
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let status = answer.split_whitespace().nth(1)?.parse().ok()?;
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Some((status, body.to_owned()))
}

fn get(at: SocketAddr, path: &str, ms: u64) -> Option<(u16, String)> {
    call(at, "GET", path, "", ms)
}

fn batch(count: usize, work_ms: u64, cpu: u64) -> String {
    format!(
        "{{\"spec\":\"work {work_ms}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\"mem-mb\":500,\"estimate-ms\":{work_ms}}}]}}"
    )
}

/// Upkeeps that have begun.
fn begun(site: &Site) -> usize {
    site.shared
        .lock()
        .upkeeps
        .iter()
        .filter(|(.., has_begun)| *has_begun)
        .count()
}

/// Case 1: the process that leads is killed during a wave of upkeep.
fn wave_twice(record: File, trouble: bool) -> ! {
    let mut site = Site::start(record, 3, 6, 8_000, 1);
    if !site.submit("00000000000000a1", &batch(24, 20_000, 1_000)) {
        fail("the first job was not accepted");
    }
    thread::sleep(Duration::from_secs(1));
    site.write_wave(1, &[0, 1, 2, 3], 1);
    if !site.shared.wait(Duration::from_secs(30), |world| {
        let is_back = |machine: &platform::Machine| {
            machine.upkeep_began.is_some()
                && machine.upkeep_until.is_none()
                && machine.life.is_some()
        };
        world
            .machines
            .iter()
            .filter(|machine| is_back(machine))
            .count()
            >= 3
    }) {
        fail("three machines have not had their upkeep");
    }
    // Work comes also to machines that have had their upkeep.
    thread::sleep(Duration::from_millis(100));
    if !site.submit("00000000000000a2", &batch(16, 20_000, 1_000)) {
        fail("the second job was not accepted");
    }
    thread::sleep(Duration::from_millis(500));
    if trouble {
        let leader = site.leader();
        site.note(&format!("trouble: {} is killed", site.nodes[leader].name));
        // With HOW=term it is stopped as an operator does, and started again once it has ended.
        if env::var("HOW").is_ok_and(|how| how == "term") {
            site.nodes[leader].terminate();
        }
        site.nodes[leader].kill();
        thread::sleep(Duration::from_secs(1));
        site.nodes[leader].start();
    }
    thread::sleep(Duration::from_secs(32));
    let states = (
        site.state("00000000000000a1"),
        site.state("00000000000000a2"),
    );
    site.note(&format!("states of the jobs: {} {}", states.0, states.1));
    if begun(&site) < 4 {
        fail("the wave did not go on");
    }
    site.end("TWICE", |_| true)
}

/// Case 2: the machine of the system that leads is partitioned from the store during a wave.
fn wave_cut(record: File, trouble: bool) -> ! {
    let site = Site::start(record, 3, 8, 8_000, 1);
    site.write_wave(1, &[0, 1, 2, 3, 4, 5, 6, 7], 1);
    if !site
        .shared
        .wait(Duration::from_secs(20), |world| !world.upkeeps.is_empty())
    {
        fail("no upkeep began");
    }
    thread::sleep(Duration::from_millis(200));
    let leader = site.leader();
    if trouble {
        site.note(&format!(
            "trouble: {} is cut off from the store for 5.5 s",
            site.nodes[leader].name
        ));
        site.shared.lock().cut.insert(leader);
        thread::sleep(Duration::from_millis(5_500));
        site.shared.lock().cut.remove(&leader);
        site.note("trouble over");
    }
    if !site.shared.wait(Duration::from_secs(60), |world| {
        world
            .store
            .text("status/wave/1")
            .is_some_and(|text| text.contains("completed"))
    }) {
        site.note("the wave did not end within 60 s");
    }
    thread::sleep(Duration::from_secs(3));
    let holder = site.nodes[leader].name.clone();
    site.end("LIMIT", |text| text.contains(&format!("by {holder} ")))
}

/// Case 3: the process that leads is killed while a machine is down for its upkeep.
fn wave_one(record: File, trouble: bool) -> ! {
    let mut site = Site::start(record, 3, 6, 8_000, 1);
    site.write_wave(1, &[2], 1);
    if !site
        .shared
        .wait(Duration::from_secs(20), |world| !world.upkeeps.is_empty())
    {
        fail("no upkeep began");
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        let leader = site.leader();
        site.note(&format!(
            "trouble: {} loses power for 3.5 s",
            site.nodes[leader].name
        ));
        site.nodes[leader].kill();
        thread::sleep(Duration::from_millis(3_500));
        site.nodes[leader].start();
    }
    thread::sleep(Duration::from_secs(8));
    site.end("ONE", |_| true)
}

/// Timed jobs that run every ten seconds for a year.
fn timed_jobs(record: File, trouble: bool) -> ! {
    let mut site = Site::start(record, 3, 6, 8_000, 1);
    let times = if trouble { 3_153_600 } else { 360 };
    site.note(&format!("four timed jobs of {times} times, one each 10 s"));
    for n in 0..4 {
        let timed = format!(
            "{{\"spec\":\"work 200\",\"steps\":[{{\"count\":1,\"cpu\":500,\"mem-mb\":100,\"estimate-ms\":200}}],\
             \"start-at-ms\":{},\"interval-ms\":10000,\"repeat-count\":{times}}}",
            unix_ms() + 5_000
        );
        if !site.submit(&format!("00000000000000a{n}"), &timed) {
            fail("a timed job was not accepted");
        }
    }
    let began = Instant::now();
    let mut next_submit = Duration::from_millis(500);
    let mut jobs = Vec::new();
    let mut ends = 0;
    let mut restart_at: Vec<Option<Instant>> = vec![None; site.nodes.len()];
    // The platform ends a process that exceeds its memory, and starts it again shortly after.
    while began.elapsed() < Duration::from_secs(40) {
        for n in 0..site.nodes.len() {
            let pid = site.nodes[n].child.as_ref().map(Child::id);
            let status = pid.and_then(|pid| fs::read_to_string(format!("/proc/{pid}/status")).ok());
            let rss = status.and_then(|status| {
                let line = status
                    .lines()
                    .find(|line| line.starts_with("VmRSS:"))?
                    .to_owned();
                line.split_whitespace().nth(1)?.parse::<u64>().ok()
            });
            if rss.is_some_and(|kb| kb > 260 * 1_000) {
                site.note(&format!(
                    "{} exceeds memory-mb 260 ({} MB) and is killed",
                    site.nodes[n].name,
                    rss.unwrap_or(0) / 1_000
                ));
                site.nodes[n].kill();
                restart_at[n] = Some(Instant::now() + Duration::from_millis(500));
                ends += 1;
            }
            if restart_at[n].is_some_and(|at| at <= Instant::now()) {
                restart_at[n] = None;
                site.nodes[n].start();
            }
        }
        if began.elapsed() >= next_submit
            && jobs.len() < 10
            && began.elapsed() < Duration::from_secs(20)
        {
            let id = format!("00000000000000f{}", jobs.len());
            if site.submit(&id, &batch(4, 1_000, 1_000)) {
                jobs.push(id);
            }
            next_submit = began.elapsed() + Duration::from_secs(2);
        }
        thread::sleep(Duration::from_millis(10));
    }
    site.note(&format!("processes killed for their memory: {ends}"));
    let mut open = 0;
    for id in &jobs {
        let state = site.state(id);
        site.note(&format!("client: GET {id} -> {state}"));
        open += usize::from(state != "completed");
    }
    if open > 0 {
        let text = format!("{open} of {} accepted jobs have not run, 20 s after the last was accepted, with all executors free", jobs.len());
        site.shared.lock().broken("LOST", text);
    }
    site.end("LOST", |_| true)
}

/// The store is down while a job of many short tasks runs.
fn many_ends(record: File, trouble: bool) -> ! {
    let site = Site::start(record, 3, 4, 32_000, 1);
    let (first, second) = ("00000000000000e7", "00000000000000e8");
    if !site.submit(first, &batch(8_000, 100, 500)) {
        fail("the first job was not accepted");
    }
    thread::sleep(Duration::from_millis(300));
    if trouble {
        site.note("trouble: the platform's store is down for 4 s, silent; leases pause");
        site.shared.lock().store_down(3);
        thread::sleep(Duration::from_secs(4));
        site.shared.lock().store_up();
        site.note("trouble over");
    }
    thread::sleep(Duration::from_secs(5));
    if !site.submit(second, &batch(8, 1_000, 1_000)) {
        fail("the second job was not accepted");
    }
    // finish_s after the end of the traffic jobs are asked for.
    thread::sleep(Duration::from_secs(14));
    let mut idle_since = Instant::now();
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end && idle_since.elapsed() < Duration::from_secs(3) {
        let running: usize = {
            let world = site.shared.lock();
            world
                .machines
                .iter()
                .filter_map(|m| m.life.as_ref())
                .map(|life| life.running.len())
                .sum()
        };
        if running > 0 {
            idle_since = Instant::now();
        }
        thread::sleep(Duration::from_millis(20));
    }
    let is_idle = idle_since.elapsed() >= Duration::from_secs(3);
    for id in [first, second] {
        let state = site.state(id);
        let mut world = site.shared.lock();
        let ended = world
            .done
            .keys()
            .filter(|task| task.starts_with(id))
            .count();
        world.note(&format!(
            "client: GET {id} -> {state}; {ended} of its tasks have ended done"
        ));
        if state != "completed" && is_idle {
            let text = format!("{id} has had nothing running for 3 s, {ended} of its tasks have ended, and no executor runs anything");
            world.broken("LOST", text);
        }
    }
    {
        let mut world = site.shared.lock();
        let ends: Vec<String> = world
            .machines
            .iter()
            .filter_map(|machine| machine.life.as_ref())
            .map(|life| {
                format!(
                    "{} lists {} ends that are not acknowledged",
                    life.id,
                    life.ended.len()
                )
            })
            .collect();
        world.note(&ends.join("; "));
    }
    site.end("LOST", |_| true)
}

/// An entry of another writer comes, of a service that the configuration doesn't name.
fn foreign_entry(record: File, trouble: bool) -> ! {
    let site = Site::start(record, 3, 6, 8_000, 1);
    let id = "00000000000000d1";
    if !site.submit(id, &batch(30, 8_000, 1_000)) {
        fail("the job was not accepted");
    }
    thread::sleep(Duration::from_secs(2));
    if trouble {
        let mut world = site.shared.lock();
        let busy = world
            .machines
            .iter()
            .find(|m| m.life.as_ref().is_some_and(|life| !life.running.is_empty()));
        let Some(address) = busy.map(|machine| machine.address) else {
            drop(world);
            fail("nothing runs");
        };
        let text = format!(
            "{{\"service\":\"vodo33x\",\"address\":\"{address}\",\"zone\":\"nbo-a\",\"version\":\"v0\",\"slots\":8,\
             \"state\":\"ready\",\"cold-remaining-ms\":0,\"seq-no\":1,\"born\":{},\"capacity\":{{\"cpu\":8000,\
             \"mem-mb\":64000,\"gpu\":0}},\"labels\":[\"a\",\"r1-0\"]}}",
            unix_ms()
        );
        world.note(&format!(
            "trouble: another writer's entry servers/i-other = {text}"
        ));
        world
            .store
            .put("servers/i-other", &base64(text.as_bytes()), 0);
    }
    thread::sleep(Duration::from_secs(20));
    let state = site.state(id);
    site.note(&format!("client: GET {id} -> {state}"));
    site.end("TWICE", |_| true)
}

/// Answers of the store are lost, and a job that was cancelled is stored late.
fn late_job(record: File, trouble: bool) -> ! {
    let site = Site::start(record, 3, 6, 8_000, 1);
    let id = "00000000000000d7";
    // Eight steps of 2 s, one after the other.
    let steps: Vec<String> = (0..8)
        .map(|step: usize| {
            let after = step
                .checked_sub(1)
                .map_or(String::new(), |earlier| format!(",\"after\":[{earlier}]"));
            format!("{{\"count\":4,\"cpu\":1000,\"mem-mb\":100,\"estimate-ms\":2000{after}}}")
        })
        .collect();
    let body = format!("{{\"spec\":\"work 2000\",\"steps\":[{}]}}", steps.join(","));
    let began = Instant::now();
    if trouble {
        let mut world = site.shared.lock();
        world.note(
            "trouble: for 4.5 s answers of the store are lost, and the writes are done 6 s later",
        );
        world.late = Some((id.to_owned(), Duration::from_secs(6)));
        world.writes = (0, 0);
    }
    // Other clients go on.
    let fronts: Vec<SocketAddr> = site.nodes.iter().map(|node| node.front).collect();
    let others = thread::spawn(move || {
        for n in 0..40 {
            call(
                fronts[n % fronts.len()],
                "POST",
                &format!("{PREFIX}{:016x}", 0xf000 + n),
                &batch(2, 300, 500),
                3_000,
            );
            thread::sleep(Duration::from_millis(100));
        }
    });
    let path = format!("{PREFIX}{id}");
    let post =
        call(site.nodes[0].front, "POST", &path, &body, 3_000).map_or(0, |(status, _)| status);
    site.note(&format!(
        "client: POST {id} at {} -> {post}",
        site.nodes[0].name
    ));
    let mut acknowledged = None;
    while acknowledged.is_none() && began.elapsed() < Duration::from_secs(10) {
        let delete =
            call(site.nodes[1].front, "DELETE", &path, "", 3_000).map_or(0, |(status, _)| status);
        site.note(&format!(
            "client: DELETE {id} at {} -> {delete}",
            site.nodes[1].name
        ));
        if delete == 200 || delete == 410 {
            acknowledged = Some(Instant::now());
        } else {
            thread::sleep(Duration::from_millis(200));
        }
    }
    let Some(acknowledged) = acknowledged else {
        fail("the cancel was not acknowledged");
    };
    thread::sleep(Duration::from_millis(4_500).saturating_sub(began.elapsed()));
    if trouble {
        let mut world = site.shared.lock();
        world.late = None;
        let (all, lost) = world.writes;
        world.note(&format!(
            "trouble over: {lost} of {all} writes got no answer"
        ));
    }
    let _ = others.join();
    thread::sleep(Duration::from_secs(20));
    let state = site.state(id);
    site.note(&format!("client: GET {id} -> {state}"));
    // cancel_ms after the acknowledgement, and only contact-ms after the last write can have been carried out late.
    let disrupted = Duration::from_millis(4_500) + Duration::from_secs(6);
    let from = (acknowledged + Duration::from_millis(3_000))
        .max(began + disrupted + Duration::from_millis(3_000));
    let late: Vec<String> = {
        let world = site.shared.lock();
        let started = world
            .started
            .iter()
            .filter(|(at, task)| *at > from && task.starts_with(id));
        started
            .map(|(at, task)| {
                format!(
                    "{task} begins {} ms after the cancel was acknowledged",
                    at.duration_since(acknowledged).as_millis()
                )
            })
            .collect()
    };
    for text in late {
        site.shared.lock().broken("UNASKED", text);
    }
    site.end("UNASKED", |_| true)
}

const CRASHES: u32 = 4;
const DOWN_MS: u64 = 600;
const UP_MS: u64 = 1_400;

/// An executor crashes and starts again by turns, whatever it runs.
fn given_up(record: File, trouble: bool) -> ! {
    let site = Site::start(record, 3, 24, 8_000, 1);
    site.shared.lock().machines[4].kind = "b";
    thread::sleep(Duration::from_secs(3));
    let id = "00000000000000d1";
    let body = "{\"spec\":\"work 3000\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem-mb\":500,\"estimate-ms\":3000,\"requires\":\"b\"}]}";
    if !site.submit(id, body) {
        fail("the job was not accepted");
    }
    if trouble {
        thread::sleep(Duration::from_millis(500));
        for crash in 1..=CRASHES {
            {
                let mut world = site.shared.lock();
                world.note(&format!("trouble: crash {crash} of {CRASHES}"));
                world.crash(4);
            }
            thread::sleep(Duration::from_millis(DOWN_MS));
            site.shared.lock().start_again(4);
            thread::sleep(Duration::from_millis(UP_MS));
        }
        site.note("trouble over");
    }
    let began = Instant::now();
    let mut state = String::new();
    while began.elapsed() < Duration::from_secs(30) && state != "completed" && state != "failed" {
        thread::sleep(Duration::from_millis(500));
        state = site.state(id);
    }
    site.note(&format!("client: GET {id} -> {state}"));
    if state == "failed" {
        site.shared.lock().broken("LOST", format!("{id} is shown as failed; no run of it has ended failed, and its queue has max-attempts 4"));
    }
    site.end("LOST", |_| true)
}

fn main() {
    let mut words = env::args().skip(1);
    let (Some(case), Some(record)) = (words.next(), words.next()) else {
        fail("give the case and the record's file");
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(mut file) = File::create(&record) else {
        fail("the record cannot be written");
    };
    let _ = writeln!(
        file,
        "case {case}, trouble {trouble}, began at {} (Unix ms); seconds since then",
        unix_ms()
    );
    // No case takes longer; one that hangs is ended.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        fail("it took too long");
    });
    match case.as_str() {
        "wave-twice" => wave_twice(file, trouble),
        "wave-cut" => wave_cut(file, trouble),
        "wave-one" => wave_one(file, trouble),
        "many-ends" => many_ends(file, trouble),
        "foreign-entry" => foreign_entry(file, trouble),
        "late-job" => late_job(file, trouble),
        "given-up" => given_up(file, trouble),
        "timed-jobs" => timed_jobs(file, trouble),
        _ => fail("no such case"),
    }
}
