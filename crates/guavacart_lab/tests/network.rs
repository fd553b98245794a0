//! Tests of the instance list, the balancer and the fault proxies.

#![allow(clippy::unwrap_used)]

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use guavacart_lab::{
    balancer::Balancer,
    clock::now_us,
    fault::{FaultProxy, Faults, Network},
    instance_list::InstanceList,
    server::{Answer, Handler, Hangup, Server, answer},
};
use guavacart_platform::instance_list::{
    HttpInstanceList, InstanceList as _, ListTag, ListedInstanceWire, Listing, RoleWire,
};
use guavacart_scheduler::directory::ListedInstance;
use hyper::{Request, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, UdpSocket},
};

const TIMEOUT: Duration = Duration::from_secs(5);
const ANSWER_BYTES: usize = 50_000;

fn entry(id: &str, address: SocketAddr) -> ListedInstanceWire {
    ListedInstanceWire {
        data_centre: "dc1".into(),
        address,
        leaving: false,
        role: RoleWire::Entry { id: id.into() },
    }
}

async fn read(address: SocketAddr) -> Vec<ListedInstance> {
    match read_again(address, None).await {
        Listing::Full(listed, _) => listed,
        Listing::Unchanged => panic!("the list was not sent although the caller had none"),
    }
}

async fn read_again(address: SocketAddr, known: Option<ListTag>) -> Listing {
    let list = HttpInstanceList::open(address, TIMEOUT);
    tokio::task::spawn_blocking(move || list.read(known.as_ref()).unwrap())
        .await
        .unwrap()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn list_is_sent_again_only_when_it_changed() {
    let list = InstanceList::bind(Duration::ZERO).await.unwrap();
    let at = SocketAddr::from(([127, 0, 0, 1], 7));
    list.register(entry("e1", at));
    let Listing::Full(_, tag) = read_again(list.address(), None).await else {
        panic!("the list was not sent although the caller had none");
    };
    let again = read_again(list.address(), tag.clone()).await;
    assert_eq!(again, Listing::Unchanged);
    list.register(entry("e2", at));
    let changed = read_again(list.address(), tag).await;
    assert!(matches!(changed, Listing::Full(listed, _) if listed.len() == 2));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn list_shows_changes_after_its_lag() {
    let list = InstanceList::bind(Duration::from_millis(500))
        .await
        .unwrap();
    let at = SocketAddr::from(([127, 0, 0, 1], 7));
    list.register(entry("e1", at));
    assert_eq!(list.entries().len(), 1);
    assert!(read(list.address()).await.is_empty());
    while read(list.address()).await.is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    list.announce_leaving("e1");
    assert!(!read(list.address()).await[0].leaving);
    while !read(list.address()).await[0].leaving {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    list.remove("e1");
    while !read(list.address()).await.is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn list_view_has_proxy_addresses_except_its_own() {
    let list = InstanceList::bind(Duration::ZERO).await.unwrap();
    let network = Arc::new(Network::open(1));
    let (at1, at2) = (start_server().await, start_server().await);
    list.register(entry("e1", at1));
    list.register(entry("e2", at2));
    let view = list.bind_view("e1", Arc::clone(&network)).await.unwrap();
    let seen = read(view.address()).await;
    assert_eq!(seen[0].address, at1);
    assert_ne!(seen[1].address, at2);
    assert_eq!(exchange(seen[1].address).await.unwrap(), ANSWER_BYTES);
    network.cut(&["e1".into()], &["e2".into()]).await;
    let cut = tokio::time::timeout(Duration::from_millis(100), exchange(seen[1].address)).await;
    assert!(cut.is_err());
    network.heal().await;
    assert_eq!(exchange(seen[1].address).await.unwrap(), ANSWER_BYTES);
}

/// A server that answers every call with a fixed status.
struct FixedStatus(StatusCode);

impl Handler for FixedStatus {
    async fn handle(&self, _: Request<Bytes>) -> Result<Answer, Hangup> {
        Ok(answer(self.0, "x"))
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn balancer_forwards_to_healthy_instances_only() {
    let balancer = Balancer::bind().await.unwrap();
    let serving = Server::bind(Arc::new(FixedStatus(StatusCode::OK)))
        .await
        .unwrap();
    let stopping = Server::bind(Arc::new(FixedStatus(StatusCode::SERVICE_UNAVAILABLE)))
        .await
        .unwrap();
    balancer.add("e1", serving.address());
    balancer.add("e2", stopping.address());
    while balancer.healthy().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for _ in 0..4 {
        let mut stream = TcpStream::connect(balancer.address()).await.unwrap();
        let get = b"GET / HTTP/1.1\r\nHost: e\r\nConnection: close\r\n\r\n";
        stream.write_all(get).await.unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).await.unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        let local = stream.local_addr().unwrap();
        let backend = balancer.backend_of(local, now_us());
        assert_eq!(backend.as_deref(), Some("e1"));
    }
    drop(serving);
    while !balancer.healthy().is_empty() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a server that answers one byte with [`ANSWER_BYTES`] bytes, then closes the connection.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                if stream.read_u8().await.is_ok() {
                    // The proxy may have closed the connection, as some tests require.
                    let _ = stream.write_all(&vec![b'x'; ANSWER_BYTES]).await;
                }
            });
        }
    });
    address
}

/// Sends one byte and returns the length of the answer.
async fn exchange(address: SocketAddr) -> io::Result<usize> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(b"?").await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await
}

async fn proxied(change: impl FnOnce(&mut Faults)) -> FaultProxy {
    let proxy = FaultProxy::bind(start_server().await, 1).await.unwrap();
    proxy.set_faults(change);
    proxy
}

#[tokio::test]
async fn proxy_forwards_connections() {
    let proxy = proxied(|_| ()).await;
    assert_eq!(exchange(proxy.address()).await.unwrap(), ANSWER_BYTES);
    assert_eq!(proxy.counts(), (1, 0));
}

#[tokio::test]
async fn proxy_resets_connections() {
    let proxy = proxied(|f| f.reset = 1.0).await;
    let err = exchange(proxy.address()).await.unwrap_err();
    assert_eq!(err.kind(), io::ErrorKind::ConnectionReset);
    assert_eq!(proxy.counts(), (1, 1));
}

#[tokio::test]
async fn proxy_truncates_answers() {
    let proxy = proxied(|f| f.truncate = 1.0).await;
    assert!(exchange(proxy.address()).await.unwrap() < ANSWER_BYTES);
}

#[tokio::test]
async fn proxy_discards_and_delays_answers() {
    let proxy = proxied(|f| f.half_open = 1.0).await;
    let wait = Duration::from_millis(100);
    let discarded = tokio::time::timeout(wait, exchange(proxy.address())).await;
    assert!(discarded.is_err(), "{discarded:?}");
    let proxy = proxied(|f| f.delay = Duration::from_millis(30)).await;
    let start = tokio::time::Instant::now();
    exchange(proxy.address()).await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(60));
}

#[tokio::test]
async fn proxy_forwards_and_drops_datagrams() {
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let proxy = FaultProxy::bind(server.local_addr().unwrap(), 1)
        .await
        .unwrap();
    let client = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    client.connect(proxy.address()).await.unwrap();
    client.send(b"one").await.unwrap();
    let mut buf = [0; 16];
    let (n, from) = server.recv_from(&mut buf).await.unwrap();
    assert_eq!(&buf[..n], b"one");
    server.send_to(b"back", from).await.unwrap();
    let n = client.recv(&mut buf).await.unwrap();
    assert_eq!(&buf[..n], b"back");
    proxy.set_faults(|f| f.cut = true);
    client.send(b"lost").await.unwrap();
    let wait = Duration::from_millis(50);
    assert!(
        tokio::time::timeout(wait, server.recv_from(&mut buf))
            .await
            .is_err()
    );
    proxy.set_faults(|f| f.cut = false);
    client.send(b"two").await.unwrap();
    let (n, _) = server.recv_from(&mut buf).await.unwrap();
    assert_eq!(&buf[..n], b"two");
}
