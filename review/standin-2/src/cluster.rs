//! A small deployment: the store, executors, and the project's nodes as separate processes.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    executor::{Executor, Kind},
    http::{self, Server},
    json::{Json, map, n, s},
    record::Record,
    store::Store,
};

pub const HOST: &str = "jobs.example";

pub struct Queue {
    pub prefix: &'static str,
    pub priority: u64,
    pub max_attempts: u64,
}

pub struct Cluster {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub executors: Vec<Arc<Executor>>,
    pub nodes: Vec<Node>,
    folder: PathBuf,
    _store_servers: Vec<Server>,
}

pub struct Node {
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Arc<Mutex<Child>>,
}

/// Longest time of a run; the nodes are ended then.
const MAX_RUN: Duration = Duration::from_secs(100);

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &self.nodes {
            let mut child = node.child.lock().unwrap();
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// A loopback address of this run's own, so that runs at the same time do not take each other's ports.
pub fn ip(last: usize) -> String {
    let pid = std::process::id();
    format!("127.{}.{}.{last}", 16 + pid % 200, pid / 200 % 250)
}

fn free_port(ip: &str) -> u16 {
    let listener = TcpListener::bind(format!("{ip}:0")).expect("a free port");
    listener.local_addr().expect("an address").port()
}

impl Cluster {
    /// Starts everything, and waits until the nodes are ready and have run a job.
    pub fn start(record: Arc<Record>, queues: &[Queue], kinds: Vec<Kind>, nodes: usize) -> Cluster {
        let store = Store::start();
        let serve = |node| store.serve(node).expect("the store starts");
        let servers: Vec<Server> = (0..nodes).map(serve).collect();
        let routes = queues.iter().enumerate().map(|(index, queue)| {
            map([
                ("name", s(&format!("r-{index}"))),
                ("host", s(HOST)),
                ("prefix", s(queue.prefix)),
                ("kind", s("unsafe")),
                ("timeout-ms", n(3_000)),
                ("target-duration-ms", n(1_000)),
                ("priority", n(queue.priority)),
                ("service", s("pool")),
                ("max-attempts", n(queue.max_attempts)),
                ("stretch", Json::Num(2.0)),
            ])
        });
        let service = map([
            ("name", s("pool")),
            ("health-path", s("/health")),
            ("max-conns", n(64)),
            ("protocol", s("h1")),
            ("tls", Json::Bool(false)),
            ("admission-check", Json::Bool(false)),
            ("spare", Json::Bool(false)),
        ]);
        let limits = map([
            ("max-header-bytes", n(16_384)),
            ("max-body-bytes", n(262_144)),
            ("header-timeout-ms", n(3_000)),
            ("idle-timeout-ms", n(15_000)),
        ]);
        let config = map([
            ("version", n(7)),
            ("routes", Json::List(routes.collect())),
            ("services", Json::List(vec![service])),
            ("limits", limits),
        ]);
        store.write("op/config", &config.to_string());
        let gangs = Arc::default();
        let started = kinds.into_iter().map(|kind| Executor::start(kind, &store, &gangs, &record).expect("an executor starts"));
        let executors = started.collect();
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut cluster = Cluster { record, store, executors, nodes: Vec::new(), folder, _store_servers: servers };
        for index in 0..nodes {
            let node = cluster.start_node(index);
            cluster.nodes.push(node);
        }
        let end = Instant::now() + Duration::from_secs(15);
        while !cluster.nodes.iter().all(Node::is_ready) {
            assert!(Instant::now() < end, "the nodes are not ready in time");
            thread::sleep(Duration::from_millis(50));
        }
        let job = cluster.submit(0, queues[0].prefix, 1, "done 20 100", &[step(1, 100, 16, 20)]);
        while cluster.state(0, queues[0].prefix, &job).as_deref() != Some("completed") {
            assert!(Instant::now() < end, "no job runs in time");
            thread::sleep(Duration::from_millis(50));
        }
        cluster.record.line("the deployment is ready");
        cluster
    }

    fn start_node(&self, index: usize) -> Node {
        let ip = ip(11 + index);
        let (front, ready, control, link) = (free_port(&ip), free_port(&ip), free_port(&ip), free_port(&ip));
        let store = self._store_servers[index].address;
        let text = format!(
            r#"node = "front-a-{index}"
role = "node"
class = "front"
serves = ["front"]
ip = "{ip}"
zone = "a"
region = "r"
internal-ports = [{link},{link}]
seeds = ["{ip}:{control}"]
bootstrap = true
in-fault-set = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
contracts = ["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"]
orders = "rpc"
[zones]
a = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 6
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
outer-ms = 5000
recovery-s = 12
max-hold-ms = 6000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
cross-rack-factor = 3
checkpoint-s = 0.5
restore-ms = 600
notice-ms = 4500
move-s = 1.5
maintenance-s = 2
require-fencing = true
lease-ms = 3000
thaw-ms = 300
pace-ms = 100
harm-ms = 4000
[platform]
address = "{store}"
form = "kv"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
max-value-bytes = 1048576
min-ttl-ms = 1000
"#
        );
        let path = self.folder.join(format!("node-{index}.toml"));
        fs::write(&path, text).expect("the settings are written");
        let log = fs::File::create(self.folder.join(format!("node-{index}.log"))).expect("a log");
        let copy = log.try_clone().expect("a log");
        let child = Command::new("target/release/guavacart")
            .arg("node")
            .env("GUAVACART_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(Stdio::from(log))
            .stderr(Stdio::from(copy))
            .spawn()
            .expect("target/release/guavacart starts");
        let child = Arc::new(Mutex::new(child));
        let (overdue, record) = (Arc::clone(&child), Arc::clone(&self.record));
        thread::spawn(move || {
            thread::sleep(MAX_RUN);
            let _ = overdue.lock().unwrap().kill();
            record.line("the run took too long");
            thread::sleep(Duration::from_secs(1));
            std::process::exit(2);
        });
        self.record.line(&format!("node {index} started, submitters at {ip}:{front}"));
        let address = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Node { front: address(front), ready: address(ready), child }
    }

    /// Calls a node as a client; retries after no answer, 429 or 503, by other nodes in turn.
    pub fn call(&self, node: usize, method: &str, path: &str, body: &str) -> Option<(u16, Vec<u8>)> {
        let answer = http::call(self.nodes[node].front, method, path, HOST, body, Duration::from_secs(3));
        let text = match &answer {
            Some((status, body)) => format!("{status} {}", String::from_utf8_lossy(body)),
            None => "no answer".to_owned(),
        };
        let sent = if body.is_empty() { String::new() } else { format!(" {body}") };
        self.record.line(&format!("client: {method} {path}{sent} at node {node} -> {text}"));
        answer
    }

    /// Submits a job until it is accepted.
    pub fn submit(&self, node: usize, prefix: &str, id: u64, spec: &str, steps: &[Json]) -> String {
        let id = format!("{:016x}", 0x5c0e_7a21_0000_0000 + id);
        let body = map([("spec", s(spec)), ("steps", Json::List(steps.to_vec()))]).to_string();
        let end = Instant::now() + Duration::from_secs(15);
        for attempt in 0.. {
            let node = (node + attempt) % self.nodes.len();
            let answer = self.call(node, "POST", &format!("{prefix}{id}"), &body);
            if answer.is_some_and(|(status, _)| (200..300).contains(&status)) {
                return id;
            }
            assert!(Instant::now() < end, "a job is not accepted in time");
            thread::sleep(Duration::from_millis(200));
        }
        unreachable!()
    }

    pub fn state(&self, node: usize, prefix: &str, id: &str) -> Option<String> {
        let (status, body) = self.call(node, "GET", &format!("{prefix}{id}"), "")?;
        if status != 200 {
            return Some(format!("status {status}"));
        }
        Json::parse(&body)?.get("state").str().map(str::to_owned)
    }

    pub fn waiting(&self, node: usize, prefix: &str) -> Option<u64> {
        let (status, body) = self.call(node, "GET", prefix, "")?;
        (status == 200).then(|| Json::parse(&body)?.get("waiting").num()).flatten()
    }

    /// Kills the node that last wrote to the store under a condition.
    pub fn kill_last_writer(&self) -> usize {
        let node = self.store.last_writer().expect("a node has written");
        let _ = self.nodes[node].child.lock().unwrap().kill();
        self.record.line(&format!("node {node} is killed, which last wrote to the store under a condition"));
        node
    }

    /// Lets an executor crash, and start again after that time.
    pub fn crash(&self, executor: usize, down: Duration) {
        self.executors[executor].crash();
        let (executor, store) = (Arc::clone(&self.executors[executor]), Arc::clone(&self.store));
        thread::spawn(move || {
            thread::sleep(down);
            executor.come_up(&store).expect("the executor starts again");
        });
    }

    /// Tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        let running = self.executors.iter().flat_map(|executor| executor.running());
        running.filter(|task| task.starts_with(job)).count()
    }

    pub fn all_running(&self) -> usize {
        self.executors.iter().map(|executor| executor.running().len()).sum()
    }
}

impl Node {
    fn is_ready(&self) -> bool {
        let answer = http::call(self.ready, "GET", "/-/readiness", HOST, "", Duration::from_millis(500));
        answer.is_some_and(|(status, _)| status == 200)
    }
}

pub fn step(count: u64, cpu: u64, mem_mb: u64, estimate_ms: u64) -> Json {
    map([("count", n(count)), ("cpu", n(cpu)), ("mem-mb", n(mem_mb)), ("estimate-ms", n(estimate_ms))])
}

/// The step with one more field.
pub fn with(step: Json, key: &str, value: Json) -> Json {
    match step {
        Json::Map(mut fields) => {
            fields.insert(key.to_owned(), value);
            Json::Map(fields)
        }
        other => other,
    }
}
