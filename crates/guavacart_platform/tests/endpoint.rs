//! The endpoint client against servers that answer wrongly, late or not at all.

#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use guavacart_platform::endpoint::{
    Dispatch, EndpointError, EndpointHealth, Endpoints, HttpEndpoints,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

const LONG: Duration = Duration::from_secs(20);

/// Reads one request, whose body is `{}`, and returns its bytes.
async fn read_request(stream: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while !received.ends_with(b"{}") {
        match stream.read(&mut buf).await {
            Ok(n) if n > 0 => received.extend_from_slice(&buf[..n]),
            _ => break,
        }
    }
    received
}

/// Starts a server that answers the first request of each connection with `answer`.
///
/// The server then closes the connection, or keeps it open if `keep_open` is true.
async fn endpoint(answer: &'static str, keep_open: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut held = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            read_request(&mut stream).await;
            stream.write_all(answer.as_bytes()).await.unwrap();
            if keep_open {
                held.push(stream);
            }
        }
    });
    address
}

fn dispatch(connections: u32, timeout: Duration) -> Dispatch {
    Dispatch {
        id: "r1".parse().unwrap(),
        body: Bytes::from_static(b"{}"),
        content_type: Some("application/json".into()),
        connections,
        timeout,
    }
}

fn kind(err: &EndpointError) -> &'static str {
    match err {
        EndpointError::NotSent { .. } => "not sent",
        EndpointError::Busy { .. } => "busy",
        EndpointError::Leaving { .. } => "leaving",
        EndpointError::Broken { .. } => "broken",
    }
}

macro_rules! failing_answers {
    ($($name:ident: $answer:literal => $kind:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let address = endpoint($answer, false).await;
            let err = HttpEndpoints::open()
                .run(address, dispatch(60, LONG), || true)
                .await
                .unwrap_err();
            assert_eq!(kind(&err), $kind, "{err}");
        }
    )*};
}

failing_answers! {
    truncated_body: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 10\r\n\r\nfour" => "broken";
    closed_without_an_answer: "" => "broken";
    answer_with_another_request_id: "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nContent-Length: 2\r\n\r\nok" => "broken";
    answer_without_request_id: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" => "broken";
    answer_without_content_length: "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nok" => "broken";
    busy_endpoint: "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Run: busy\r\nContent-Length: 0\r\n\r\n" => "busy";
    leaving_endpoint: "HTTP/1.1 503 No\r\nRequest-Id: r1\r\nNot-Run: leaving\r\nContent-Length: 0\r\n\r\n" => "leaving";
    refusal_with_another_request_id: "HTTP/1.1 503 No\r\nRequest-Id: r2\r\nNot-Run: busy\r\nContent-Length: 0\r\n\r\n" => "broken";
}

#[tokio::test]
async fn complete_answer_with_an_error_status_is_returned() {
    let ok = "HTTP/1.1 500 Own\r\nRequest-Id: r1\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\noops";
    let address = endpoint(ok, true).await;
    let answer = HttpEndpoints::open()
        .run(address, dispatch(60, LONG), || true)
        .await
        .unwrap();
    assert_eq!(answer.status, 500);
    assert_eq!(answer.content_type.as_deref(), Some("text/plain"));
    assert_eq!(&answer.body[..], b"oops");
}

/// Guards against a timeout for each idle connection after all have gone silent.
#[tokio::test]
async fn one_timeout_is_enough_to_replace_silent_connections() {
    let ok = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok";
    let address = endpoint(ok, true).await;
    let endpoints = HttpEndpoints::open();
    let run = |timeout| endpoints.run(address, dispatch(60, timeout), || true);
    let (first, second, third) = tokio::join!(run(LONG), run(LONG), run(LONG));
    for answer in [first, second, third] {
        assert_eq!(answer.unwrap().status, 200);
    }
    let err = run(Duration::from_millis(100)).await.unwrap_err();
    assert_eq!(kind(&err), "broken", "{err}");
    let answer = run(Duration::from_secs(1)).await;
    assert_eq!(answer.unwrap().status, 200);
}

#[tokio::test]
async fn refused_connection_is_reported_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let err = HttpEndpoints::open()
        .run(address, dispatch(60, LONG), || true)
        .await
        .unwrap_err();
    assert_eq!(kind(&err), "not sent");
}

#[tokio::test]
async fn nothing_is_sent_without_the_right_to_send() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoints = HttpEndpoints::open();
    let err = endpoints
        .run(address, dispatch(60, LONG), || false)
        .await
        .unwrap_err();
    assert_eq!(kind(&err), "not sent");
    let (mut stream, _) = listener.accept().await.unwrap();
    drop(endpoints);
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert!(received.is_empty());
}

#[tokio::test]
async fn timeout_after_sending_is_broken_and_closes_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoints = HttpEndpoints::open();
    let err = endpoints
        .run(address, dispatch(1, Duration::from_millis(80)), || true)
        .await
        .unwrap_err();
    assert_eq!(kind(&err), "broken");
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut received = Vec::new();
    stream.read_to_end(&mut received).await.unwrap();
    assert!(received.ends_with(b"{}"));
    while endpoints.connections(address) > 0 {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn open_connections_never_exceed_the_cap() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoints = HttpEndpoints::open();
    let mut waiting = Vec::new();
    let mut held = Vec::new();
    for _ in 0..3 {
        let endpoints = endpoints.clone();
        waiting.push(tokio::spawn(async move {
            endpoints.run(address, dispatch(3, LONG), || true).await
        }));
        held.push(listener.accept().await.unwrap());
    }
    let err = endpoints
        .run(address, dispatch(3, LONG), || true)
        .await
        .unwrap_err();
    assert_eq!(kind(&err), "not sent");
    assert_eq!(endpoints.connections(address), 3);
    drop(held);
    for task in waiting {
        assert_eq!(kind(&task.await.unwrap().unwrap_err()), "broken");
    }
}

#[tokio::test]
async fn request_is_not_resent_if_a_reused_connection_closes() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoints = HttpEndpoints::open();
    let server = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        read_request(&mut stream).await;
        let ok = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 2\r\n\r\nok";
        stream.write_all(ok).await.unwrap();
        read_request(&mut stream).await;
        drop(stream);
        listener
    });
    let first = endpoints.run(address, dispatch(1, LONG), || true).await;
    assert!(first.is_ok());
    let second = endpoints.run(address, dispatch(1, LONG), || true).await;
    assert_eq!(kind(&second.unwrap_err()), "broken");
    let listener = server.await.unwrap();
    let again = tokio::time::timeout(Duration::from_millis(50), listener.accept()).await;
    assert!(again.is_err(), "the request was sent again");
}

#[tokio::test]
async fn health_report_is_decoded() {
    let answer = "HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{\"busy\":3,\"leaving\":false} ";
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buf = [0; 1024];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
        stream.write_all(answer.as_bytes()).await.unwrap();
    });
    let health = HttpEndpoints::open().health(address, LONG).await.unwrap();
    let expected = EndpointHealth {
        busy: 3,
        leaving: false,
    };
    assert_eq!(health, expected);
}
