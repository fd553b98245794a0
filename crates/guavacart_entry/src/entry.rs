//! Starts an entry instance and runs it until a stop signal.

use std::{
    collections::{HashMap, VecDeque},
    net::{SocketAddr, TcpListener, UdpSocket},
    sync::Arc,
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use flume::Sender;
use guavacart_config::Settings;
use guavacart_platform::{
    HttpStore, Traffic, endpoint::HttpEndpoints, instance_list::HttpInstanceList,
    worker::HttpWorkers,
};
use guavacart_report::Recorder;
use guavacart_scheduler::{Event, Start, State, membership::Member};
use guavacart_types::Incarnation;
use tokio::{runtime::Runtime, sync::watch};

use crate::{
    EntryError,
    batch::BatchRunner,
    calls::{CallIds, PendingCalls},
    clock::Clock,
    fence::Fence,
    front::{Front, FrontContext},
    heartbeats::{self, HeartbeatSender},
    links::{self, LinkContext, Links},
    listing::{self, PeerAddresses},
    metrics::Metrics,
    reducer_thread::{Input, ReducerThread},
    runner::Runner,
    status_counters::StatusCounters,
    stop_signal::StopSignal,
    store_health::{CountedStore, StoreHealth},
};

/// Threads of the asynchronous runtime, which serves the sockets.
const RUNTIME_THREADS: usize = 2;
/// Most threads that run blocking store calls at once.
const MAX_BLOCKING_THREADS: usize = 32;
/// Timeout of a store call.
const STORE_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a read of the instance list.
const LIST_READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Capacity of the reducer's inbox; senders wait while it is full.
const MAX_INBOX_INPUTS: usize = 65_536;
/// Most attempts to find a port that is free for both TCP and UDP, if the settings leave the choice
/// to the system (port 0).
const MAX_PORT_ATTEMPTS: usize = 16;

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    callers: SocketAddr,
    peers: SocketAddr,
    runtime: Runtime,
    front: Front,
    /// The reducer thread's inbox.
    inbox: Sender<Input>,
    reducer_thread: thread::JoinHandle<()>,
    stop_signal: StopSignal,
}

impl Entry {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    /// Returns [`EntryError::Bind`] if a listener cannot be bound, and [`EntryError::Runtime`] if
    /// threads, signal handlers or the metrics socket cannot be created.
    pub fn spawn(settings: Settings) -> Result<Self, EntryError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .max_blocking_threads(MAX_BLOCKING_THREADS)
            .enable_all()
            .build()
            .map_err(EntryError::Runtime)?;
        let stop_signal = StopSignal::register(&runtime).map_err(EntryError::Runtime)?;
        let callers_listener = bind_tcp(settings.callers, "callers")?;
        let (peers_listener, peers_socket) = bind_peers(settings.peers)?;
        let callers = local_address(&callers_listener, settings.callers)?;
        let peers = local_address(&peers_listener, settings.peers)?;
        let metrics =
            Metrics::open(&settings.instance, settings.metrics).map_err(EntryError::Runtime)?;
        let clock = Clock::start();
        let store = HttpStore::open(settings.store, STORE_CALL_TIMEOUT);
        let list = HttpInstanceList::open(settings.instance_list, LIST_READ_TIMEOUT);
        let workers = HttpWorkers::open();
        let counters = StatusCounters {
            store_health: StoreHealth::new(clock),
            heartbeats: Traffic::default(),
            links: Traffic::default(),
            store: store.traffic().clone(),
            list: list.traffic().clone(),
            workers: workers.traffic().clone(),
        };
        let store = CountedStore::new(store, counters.store_health.clone());
        let (inbox, inputs) = flume::bounded(MAX_INBOX_INPUTS);
        let addresses = PeerAddresses::default();
        let member = Member {
            id: settings.instance.clone(),
            incarnation: incarnation(),
        };
        let call_ids = CallIds::after(member.incarnation);
        let links = Links::new(
            Arc::new(LinkContext::new(
                member.clone(),
                settings.access.peer_key.clone(),
                addresses.clone(),
                inbox.clone(),
                call_ids.clone(),
                metrics.clone(),
                counters.links.clone(),
            )),
            runtime.handle().clone(),
        );
        let socket = Arc::new(peers_socket);
        let heartbeats = HeartbeatSender {
            socket: socket.clone(),
            addresses: addresses.clone(),
            key: settings.access.peer_key.clone(),
            traffic: counters.heartbeats.clone(),
        };
        let (stopped, stopped_rx) = watch::channel(false);
        let start = Start {
            member,
            data_centre: settings.data_centre.clone(),
            now: clock.now(),
            linger: settings.linger,
        };
        let reducer_thread = ReducerThread {
            state: State::new(&start),
            runner: Runner {
                calls: PendingCalls::default(),
                clock,
                fence: Fence::default(),
                runtime: runtime.handle().clone(),
                inbox: inbox.clone(),
                store: store.clone(),
                endpoints: HttpEndpoints::open(),
                batch: BatchRunner {
                    store: store.clone(),
                    workers,
                    clock,
                    runtime: runtime.handle().clone(),
                    inbox: inbox.clone(),
                },
                config_revision: Arc::default(),
                deferred: VecDeque::new(),
                submitters: HashMap::new(),
                links: links.clone(),
                heartbeats,
                metrics: metrics.clone(),
                counters: counters.clone(),
                recorder: Recorder::new(clock.now()),
                stopped,
            },
            inbox: inputs,
            clock,
        };
        let reducer_thread = spawn_thread("reducer", move || reducer_thread.run())?;
        spawn_heartbeat_receiver(&settings, socket, &metrics, &counters, inbox.clone())?;
        spawn_list_poller(list, addresses, inbox.clone())?;
        let peers_listener = into_tokio_listener(&runtime, peers_listener)?;
        runtime.spawn(links::accept(peers_listener, links.clone()));
        let callers_listener = into_tokio_listener(&runtime, callers_listener)?;
        let front = FrontContext {
            limits: settings.limits,
            access: settings.access,
            inbox: inbox.clone(),
            call_ids,
            links,
            store,
            metrics,
        };
        let front = Front::spawn(runtime.handle(), callers_listener, front, stopped_rx);
        Ok(Self {
            callers,
            peers,
            runtime,
            front,
            inbox,
            reducer_thread,
            stop_signal,
        })
    }

    /// Returns the address on which callers and operators are served.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the address on which peers are served: heartbeats over UDP, links over TCP.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully and returns when no request is in
    /// flight.
    ///
    /// # Errors
    /// Returns [`EntryError::ReducerEnded`] if the reducer thread ended before the stop was
    /// complete.
    pub fn wait(self) -> Result<(), EntryError> {
        let Self {
            runtime,
            front,
            inbox,
            reducer_thread,
            mut stop_signal,
            ..
        } = self;
        runtime.block_on(async {
            stop_signal.received().await;
            front.report_stopping();
            inbox
                .send_async(Input::Event(Event::StopRequested))
                .await
                .map_err(|_| EntryError::ReducerEnded)?;
            front.wait_drained().await;
            if reducer_thread.is_finished() {
                return Err(EntryError::ReducerEnded);
            }
            Ok(())
        })?;
        runtime.shutdown_background();
        Ok(())
    }
}

/// Returns the wall time in microseconds, so that a later start has a greater incarnation.
fn incarnation() -> Incarnation {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    Incarnation(u64::try_from(since.as_micros()).unwrap_or(u64::MAX))
}

fn bind_tcp(address: SocketAddr, purpose: &'static str) -> Result<TcpListener, EntryError> {
    TcpListener::bind(address).map_err(|source| EntryError::Bind {
        address,
        purpose,
        source,
    })
}

/// Binds the same port for both TCP and UDP.
fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), EntryError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let listener = bind_tcp(address, "peers")?;
        let port = local_address(&listener, address)?;
        match UdpSocket::bind(port) {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && attempts < MAX_PORT_ATTEMPTS => {}
            Err(source) => {
                let address = port;
                let purpose = "peers";
                return Err(EntryError::Bind {
                    address,
                    purpose,
                    source,
                });
            }
        }
    }
}

fn local_address(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener.local_addr().map_err(|source| EntryError::Bind {
        address,
        purpose: "local address",
        source,
    })
}

fn into_tokio_listener(
    runtime: &Runtime,
    listener: TcpListener,
) -> Result<tokio::net::TcpListener, EntryError> {
    listener
        .set_nonblocking(true)
        .map_err(EntryError::Runtime)?;
    let _guard = runtime.enter();
    tokio::net::TcpListener::from_std(listener).map_err(EntryError::Runtime)
}

fn spawn_thread(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> Result<thread::JoinHandle<()>, EntryError> {
    thread::Builder::new()
        .name(name.into())
        .spawn(run)
        .map_err(EntryError::Runtime)
}

fn spawn_heartbeat_receiver(
    settings: &Settings,
    socket: Arc<UdpSocket>,
    metrics: &Metrics,
    counters: &StatusCounters,
    inbox: Sender<Input>,
) -> Result<(), EntryError> {
    let metrics = metrics.clone();
    let traffic = counters.heartbeats.clone();
    let me = settings.instance.clone();
    let key = settings.access.peer_key.clone();
    spawn_thread("heartbeats", move || {
        heartbeats::receive(&socket, &me, &key, &metrics, &traffic, &inbox);
    })?;
    Ok(())
}

fn spawn_list_poller(
    list: HttpInstanceList,
    addresses: PeerAddresses,
    inbox: Sender<Input>,
) -> Result<(), EntryError> {
    spawn_thread("instance-list", move || {
        listing::poll(&list, &addresses, &inbox);
    })?;
    Ok(())
}
