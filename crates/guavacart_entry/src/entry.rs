//! Starts an entry instance and waits for its end.

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
    calls::{CallIds, Calls},
    clock::Clock,
    core::{Core, Input},
    fence::Fence,
    front::{Front, FrontContext},
    heartbeats::{self, HeartbeatSender},
    links::{self, LinkContext, Links},
    listing::{self, Addresses},
    meters::Meters,
    metrics::Metrics,
    runner::Runner,
    stop_signal::StopSignal,
    store_health::{CountedStore, StoreHealth},
};

/// Threads that serve sockets.
const SOCKET_THREADS: usize = 2;
/// Most threads that wait for the store at once.
const BLOCKING_THREADS: usize = 32;
/// Longest wait for an answer of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the instance list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Most inputs that wait for the reducer; senders wait beyond it.
const INBOX_INPUTS: usize = 65_536;
/// How often a free port is sought that both TCP and UDP can take.
const PORT_TRIES: usize = 16;

/// A running entry instance.
#[derive(Debug)]
pub struct Entry {
    callers: SocketAddr,
    peers: SocketAddr,
    runtime: Runtime,
    front: Front,
    inbox: Sender<Input>,
    core: thread::JoinHandle<()>,
    stop_signal: StopSignal,
}

impl Entry {
    /// Binds the listeners and starts the threads.
    ///
    /// # Errors
    /// Returns which listener could not be bound, or that no threads could be had.
    pub fn spawn(settings: Settings) -> Result<Self, EntryError> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(SOCKET_THREADS)
            .max_blocking_threads(BLOCKING_THREADS)
            .enable_all()
            .build()
            .map_err(EntryError::Runtime)?;
        let stop_signal = StopSignal::bind(&runtime).map_err(EntryError::Runtime)?;
        let callers_listener = bind_tcp(settings.callers, "callers")?;
        let (peers_listener, peers_socket) = bind_peers(settings.peers)?;
        let callers = local(&callers_listener, settings.callers)?;
        let peers = local(&peers_listener, settings.peers)?;
        let metrics =
            Metrics::open(&settings.instance, settings.metrics).map_err(EntryError::Runtime)?;
        let clock = Clock::start();
        let store = HttpStore::open(settings.store, STORE_TIMEOUT);
        let list = HttpInstanceList::open(settings.instance_list, LIST_TIMEOUT);
        let workers = HttpWorkers::open();
        let meters = Meters {
            store_health: StoreHealth::new(clock),
            heartbeats: Traffic::default(),
            links: Traffic::default(),
            store: store.traffic().clone(),
            list: list.traffic().clone(),
            workers: workers.traffic().clone(),
        };
        let store = CountedStore::new(store, meters.store_health.clone());
        let (inbox, inputs) = flume::bounded(INBOX_INPUTS);
        let addresses = Addresses::default();
        let member = Member {
            id: settings.instance.clone(),
            incarnation: incarnation(),
        };
        let call_ids = CallIds::start(member.incarnation);
        let links = Links::new(
            Arc::new(LinkContext::new(
                member.clone(),
                settings.access.peer_key.clone(),
                addresses.clone(),
                inbox.clone(),
                call_ids.clone(),
                metrics.clone(),
                meters.links.clone(),
            )),
            runtime.handle().clone(),
        );
        let socket = Arc::new(peers_socket);
        let heartbeats = HeartbeatSender {
            socket: socket.clone(),
            addresses: addresses.clone(),
            key: settings.access.peer_key.clone(),
            traffic: meters.heartbeats.clone(),
        };
        let (stopped, stopped_rx) = watch::channel(false);
        let start = Start {
            member,
            data_centre: settings.data_centre.clone(),
            now: clock.now(),
            linger: settings.linger,
        };
        let core = Core {
            state: State::new(&start),
            runner: Runner {
                calls: Calls::default(),
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
                config_taken: Arc::default(),
                later: VecDeque::new(),
                submitters: HashMap::new(),
                links: links.clone(),
                heartbeats,
                metrics: metrics.clone(),
                meters: meters.clone(),
                recorder: Recorder::start(clock.now()),
                stopped,
            },
            inbox: inputs,
            clock,
        };
        let core = spawn_thread("reducer", move || core.run())?;
        spawn_receiver(&settings, socket, &metrics, &meters, inbox.clone())?;
        spawn_lister(list, addresses, inbox.clone())?;
        let peers_listener = nonblocking(&runtime, peers_listener)?;
        runtime.spawn(links::accept(peers_listener, links.clone()));
        let callers_listener = nonblocking(&runtime, callers_listener)?;
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
            core,
            stop_signal,
        })
    }

    /// Where callers and operators connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where peers connect, both UDP and TCP.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Runs until SIGTERM or SIGINT, then stops gracefully and returns once nothing is in flight.
    ///
    /// # Errors
    /// Returns [`EntryError::Lost`] if the reducer's thread ended first.
    pub fn wait(self) -> Result<(), EntryError> {
        let Self {
            runtime,
            front,
            inbox,
            core,
            mut stop_signal,
            ..
        } = self;
        runtime.block_on(async {
            stop_signal.received().await;
            front.stop_taking();
            inbox
                .send_async(Input::Event(Event::StopRequested))
                .await
                .map_err(|_| EntryError::Lost)?;
            front.drained().await;
            if core.is_finished() {
                return Err(EntryError::Lost);
            }
            Ok(())
        })?;
        runtime.shutdown_background();
        Ok(())
    }
}

/// Microseconds of wall time, so that a later start has a greater incarnation.
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

/// Binds one port for both TCP and UDP.
fn bind_peers(address: SocketAddr) -> Result<(TcpListener, UdpSocket), EntryError> {
    let mut tries = 0;
    loop {
        tries += 1;
        let listener = bind_tcp(address, "peers")?;
        let port = local(&listener, address)?;
        match UdpSocket::bind(port) {
            Ok(socket) => return Ok((listener, socket)),
            Err(_) if address.port() == 0 && tries < PORT_TRIES => {}
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

fn local(listener: &TcpListener, address: SocketAddr) -> Result<SocketAddr, EntryError> {
    listener.local_addr().map_err(|source| EntryError::Bind {
        address,
        purpose: "local address",
        source,
    })
}

fn nonblocking(
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

fn spawn_receiver(
    settings: &Settings,
    socket: Arc<UdpSocket>,
    metrics: &Metrics,
    meters: &Meters,
    inbox: Sender<Input>,
) -> Result<(), EntryError> {
    let metrics = metrics.clone();
    let traffic = meters.heartbeats.clone();
    let me = settings.instance.clone();
    let key = settings.access.peer_key.clone();
    spawn_thread("heartbeats", move || {
        heartbeats::receive(&socket, &me, &key, &metrics, &traffic, &inbox);
    })?;
    Ok(())
}

fn spawn_lister(
    list: HttpInstanceList,
    addresses: Addresses,
    inbox: Sender<Input>,
) -> Result<(), EntryError> {
    spawn_thread("instance-list", move || {
        listing::poll(&list, &addresses, &inbox);
    })?;
    Ok(())
}
