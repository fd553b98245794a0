//! A small deployment on loopback addresses: a store, executors, an advice service and the project's
//! own nodes as separate processes.

use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::executor::Fleet;
use crate::http::{Answer, Request, Server, call};
use crate::json::{Json, quote};
use crate::store::Store;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

/// The record of what was sent, answered and run.
pub struct Log {
    began: Instant,
    file: Mutex<fs::File>,
}

impl Log {
    pub fn ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>9.3} s  {text}\n", self.began.elapsed().as_secs_f64());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

pub struct Queue {
    pub name: &'static str,
    pub host: &'static str,
    pub prefix: &'static str,
    pub priority: u32,
    pub attempts: u32,
    pub advice: Option<&'static str>,
}

pub struct World {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub fleet: Arc<Fleet>,
    dir: PathBuf,
    nodes: Vec<Option<Child>>,
    /// For each node, a process that kills it if this program ends before it.
    guards: Vec<Option<Child>>,
    net: [u8; 2],
    _store_server: Server,
    _advice_server: Option<Server>,
}

/// Ids of all processes that were started and may run.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends a case that takes too long, with all processes that it started.
fn end_after(limit: Duration) {
    thread::sleep(limit);
    for id in PROCESSES.lock().unwrap().iter() {
        let _ = Command::new("kill").arg("-9").arg(id.to_string()).status();
    }
    eprintln!("the case took too long");
    std::process::exit(2);
}

/// Starts a process that kills the process `id` unless it reads a line before its input ends.
fn guard(id: u32) -> Option<Child> {
    Command::new("sh")
        .args(["-c", "read -r line || kill -9 \"$0\"", &id.to_string()])
        .stdin(Stdio::piped())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .ok()
}

const SERVICE: &str = "work-svc";

impl World {
    /// Starts the platform and `nodes` nodes, and waits until they are ready.
    pub fn start(
        record: &str,
        nodes: usize,
        checkpoint_ms: u64,
        queues: &[Queue],
        advise: Option<Box<dyn Fn(&Fleet, &Request) -> Answer + Send + Sync>>,
        executors: &[(&str, &[&str])],
    ) -> World {
        thread::spawn(|| end_after(Duration::from_secs(110)));
        let pid = std::process::id();
        let net = [64 + (pid / 250 % 60) as u8, (pid % 250) as u8 + 1];
        let file = fs::File::create(record).expect("record.txt cannot be written");
        let log = Arc::new(Log {
            began: Instant::now(),
            file: Mutex::new(file),
        });
        let store = Arc::new(Store::default());
        let at = |last: u8, port: u16| {
            SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net[0], net[1], last)), port)
        };
        let handle = Arc::clone(&store);
        let store_server = Server::start(at(200, 8169), move |req| handle.handle(req));
        let fleet = Fleet::new(Arc::clone(&store), Arc::clone(&log), checkpoint_ms);
        let advice_server = advise.map(|advise| {
            let fleet = Arc::clone(&fleet);
            Server::start(at(201, 8169), move |req| advise(&fleet, req))
        });
        let dir = std::env::temp_dir().join(format!("guavacart-review-3-{pid}"));
        fs::create_dir_all(&dir).expect("temporary folder");
        let (ticked_fleet, ticked_store) = (Arc::clone(&fleet), Arc::clone(&store));
        thread::spawn(move || {
            loop {
                ticked_fleet.tick();
                ticked_store.tick();
                thread::sleep(Duration::from_millis(5));
            }
        });
        let beating = Arc::clone(&fleet);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_100));
                let ids: Vec<String> = beating
                    .state
                    .lock()
                    .unwrap()
                    .executors
                    .keys()
                    .cloned()
                    .collect();
                ids.iter().for_each(|id| beating.beat(id));
            }
        });
        let mut world = World {
            log,
            store,
            fleet,
            dir,
            nodes: (0..nodes).map(|_| None).collect(),
            guards: (0..nodes).map(|_| None).collect(),
            net,
            _store_server: store_server,
            _advice_server: advice_server,
        };
        world.configure(1, queues);
        for (number, (id, labels)) in executors.iter().enumerate() {
            world
                .fleet
                .add(id, at(100 + number as u8, 8445), SERVICE, labels);
        }
        for node in 0..nodes {
            world.start_node(node);
        }
        let end = Instant::now() + Duration::from_secs(15);
        while (0..nodes).any(|node| !world.is_ready(node)) || world.store.raw("gc/owner").is_none()
        {
            if Instant::now() > end {
                world.log.line("the nodes do not become ready");
                world.finish();
                std::process::exit(2);
            }
            thread::sleep(Duration::from_millis(50));
        }
        world.log.line("all nodes are ready");
        thread::sleep(Duration::from_secs(3));
        world
    }

    pub fn configure(&self, version: u32, queues: &[Queue]) {
        let routes = queues.iter().map(|q| {
            let advice = q.advice.map_or(String::new(), |a| format!(",\"advice\":{a}"));
            format!(
                "{{\"name\":{},\"host\":{},\"prefix\":{},\"kind\":\"unsafe\",\"timeout-ms\":3000,\"target-duration-ms\":250,\"priority\":{},\"service\":\"{SERVICE}\",\"max-attempts\":{},\"stretch\":1.5{advice}}}",
                quote(q.name),
                quote(q.host),
                quote(q.prefix),
                q.priority,
                q.attempts
            )
        });
        let routes: Vec<String> = routes.collect();
        self.store.put(
            "op/config",
            &format!(
                "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health-path\":\"/health\",\"max-conns\":64,\"protocol\":\"h1\",\"tls\":false,\"admission-check\":false,\"spare\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}",
                routes.join(",")
            ),
        );
    }

    /// Adds an executor whose address ends with 100 + `number`.
    pub fn add_executor(&self, number: u8, id: &str, labels: &[&str]) {
        let ip = Ipv4Addr::new(127, self.net[0], self.net[1], 100 + number);
        let at = SocketAddr::new(IpAddr::V4(ip), 8445);
        self.fleet.add(id, at, SERVICE, labels);
    }

    fn node_ip(&self, node: usize) -> String {
        format!("127.{}.{}.{}", self.net[0], self.net[1], node + 1)
    }

    fn name(node: usize) -> String {
        format!("front-za-{}", node + 1)
    }

    /// Starts a node with the command of the deploy file.
    pub fn start_node(&mut self, node: usize) {
        let (ip, name) = (self.node_ip(node), Self::name(node));
        let (a, b) = (self.net[0], self.net[1]);
        let advice = if self._advice_server.is_some() {
            format!("advice = \"127.{a}.{b}.201:8169\"\n")
        } else {
            String::new()
        };
        let settings = format!(
            "node = \"{name}\"\nrole = \"node\"\nclass = \"front\"\nserves = [\"front\"]\nip = \"{ip}\"\nzone = \"za\"\nregion = \"ra\"\ninternal-ports = [7720,7735]\nseeds = []\nbootstrap = true\nin-fault-set = false\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat-ms = 1100\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"rpc\"\n{advice}[zones]\nza = \"ra\"\n[listen]\nfront = \"{ip}:8161\"\nready = \"{ip}:8167\"\n[limits]\ncpu-share = 0.25\ncores = 1\nmemory-mb = 260\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 0\n[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 3000\nack-ms = 4000\ncatch-up-s = 4\ndrain-ms = 2000\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 2000\nrollback-slack-ms = 250\nouter-ms = 5000\nrecovery-s = 12\nmax-hold-ms = 6000\nstop-timeout-ms = 200\ngang-timeout-ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\ncross-rack-factor = 3\ncheckpoint-s = {}\nrestore-ms = 100\nnotice-ms = 4500\nmove-s = 1.5\nmaintenance-s = 2\nrequire-fencing = true\nlease-ms = 3000\nthaw-ms = 300\npace-ms = 100\nharm-ms = 4000\n[platform]\naddress = \"127.{a}.{b}.200:8169\"\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nmax-value-bytes = 1048576\nmin-ttl-ms = 1000\n",
            self.fleet.checkpoint_ms as f64 / 1_000.0
        );
        let path = self.dir.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings");
        let output = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{name}.log")));
        let output = output.expect("log");
        let child = Command::new("target/release/guavacart")
            .arg("node")
            .env_clear()
            .env("GUAVACART_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("log"))
            .stderr(output)
            .spawn();
        match child {
            Ok(child) => {
                PROCESSES.lock().unwrap().push(child.id());
                self.guards[node] = guard(child.id());
                self.nodes[node] = Some(child);
            }
            Err(err) => {
                self.log.line(&format!("the node cannot be started: {err}"));
                self.finish();
                std::process::exit(2);
            }
        }
        self.log.line(&format!("node {name} is started"));
    }

    /// Ends the guard of a node that has ended.
    fn end_guard(&mut self, node: usize) {
        if let Some(mut guard) = self.guards[node].take() {
            if let Some(mut input) = guard.stdin.take() {
                let _ = input.write_all(b"ended\n");
            }
            let _ = guard.wait();
        }
    }

    /// Kills a node's process.
    pub fn kill_node(&mut self, node: usize) {
        self.end_guard(node);
        if let Some(mut child) = self.nodes[node].take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|id| *id != child.id());
            self.log
                .line(&format!("node {} is killed", Self::name(node)));
        }
    }

    /// The node that the store names as the owner: the one that last wrote under a condition.
    pub fn owner(&self) -> Option<usize> {
        let raw = self.store.raw("gc/owner")?;
        let text = unbase64(&raw);
        (0..self.nodes.len()).find(|node| {
            let name = Self::name(*node);
            text.windows(name.len()).any(|part| part == name.as_bytes())
        })
    }

    pub fn is_ready(&self, node: usize) -> bool {
        let at = format!("{}:8167", self.node_ip(node)).parse().unwrap();
        call(at, "GET", "x", "/-/readiness", "", 500).is_some_and(|(status, _)| status == 200)
    }

    /// A client's request to a node.
    pub fn client(
        &self,
        node: usize,
        method: &str,
        host: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let at = format!("{}:8161", self.node_ip(node)).parse().unwrap();
        let answer = call(at, method, host, path, body, 3_000);
        let shown = match &answer {
            Some((status, text)) => format!("{status} {text}"),
            None => "no answer".to_owned(),
        };
        let body = if body.is_empty() {
            String::new()
        } else {
            format!(" {body}")
        };
        self.log.line(&format!(
            "client: {method} {path}{body} at {} -> {shown}",
            Self::name(node)
        ));
        answer
    }

    /// The state that a node shows for a job.
    pub fn state(&self, node: usize, host: &str, path: &str) -> String {
        match self.client(node, "GET", host, path, "") {
            Some((200, text)) => {
                Json::parse(&text).map_or(String::new(), |j| j.get("state").str().to_owned())
            }
            Some((status, _)) => status.to_string(),
            None => "none".to_owned(),
        }
    }

    /// Ends all processes, and appends what the nodes logged to the record where asked.
    pub fn finish(&mut self) {
        for node in 0..self.nodes.len() {
            self.end_guard(node);
            if let Some(mut child) = self.nodes[node].take() {
                let _ = child.kill();
                let _ = child.wait();
                PROCESSES.lock().unwrap().retain(|id| *id != child.id());
            }
        }
        let logs = std::env::var("NODE_LOGS").unwrap_or_default();
        for node in 0..self.nodes.len() {
            let path = self.dir.join(format!("{}.log", Self::name(node)));
            if !logs.is_empty() {
                let _ = fs::copy(&path, format!("{logs}/{}.log", Self::name(node)));
            }
        }
        let _ = fs::remove_dir_all(&self.dir);
    }
}

fn unbase64(text: &str) -> Vec<u8> {
    let digit = |c: u8| match c {
        b'A'..=b'Z' => Some(c - b'A'),
        b'a'..=b'z' => Some(c - b'a' + 26),
        b'0'..=b'9' => Some(c - b'0' + 52),
        b'+' => Some(62),
        b'/' => Some(63),
        _ => None,
    };
    let digits: Vec<u32> = text.bytes().filter_map(digit).map(u32::from).collect();
    let mut out = Vec::new();
    for chunk in digits.chunks(4) {
        let n = chunk
            .iter()
            .enumerate()
            .fold(0, |n, (i, d)| n | d << (18 - 6 * i));
        let bytes = [(n >> 16) as u8, (n >> 8) as u8, n as u8];
        out.extend_from_slice(&bytes[..chunk.len().saturating_sub(1)]);
    }
    out
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
