//! HTTP/1.1 over std: a server with one thread for each connection, and a client with one call for
//! each connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut found = self
            .headers
            .iter()
            .filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, v)| v.as_str())
    }

    /// A parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.path.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| unescape(v))
    }
}

fn unescape(text: &str) -> String {
    let b = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < b.len() {
        if b[i] == b'%' && i + 2 < b.len() + 0 {
            if let Ok(n) = u8::from_str_radix(&text[i + 1..i + 3], 16) {
                out.push(n);
                i += 3;
                continue;
            }
        }
        out.push(b[i]);
        i += 1;
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// What a handler answers.
pub enum Answer {
    Reply(u16, String),
    /// The connection is closed without an answer.
    Close,
}

/// A server that can be taken down, which closes its port and all of its connections.
pub struct Server {
    stop: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Server {
    pub fn start(
        at: SocketAddr,
        handle: impl Fn(&Request) -> Answer + Send + Sync + 'static,
    ) -> Server {
        let listener = bind(at);
        listener.set_nonblocking(true).expect("nonblocking");
        let stop = Arc::new(AtomicBool::new(false));
        let open = Arc::new(Mutex::new(Vec::new()));
        let handle = Arc::new(handle);
        let (stopped, streams) = (Arc::clone(&stop), Arc::clone(&open));
        let thread = thread::spawn(move || {
            while !stopped.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            streams.lock().unwrap().push(clone);
                        }
                        let (handle, stopped) = (Arc::clone(&handle), Arc::clone(&stopped));
                        thread::spawn(move || serve(stream, &stopped, &*handle));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
        });
        Server {
            stop,
            open,
            thread: Some(thread),
        }
    }

    pub fn down(mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
        for stream in self.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn bind(at: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        match TcpListener::bind(at) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    }
    eprintln!("cannot bind {at}");
    std::process::exit(2);
}

fn serve(mut stream: TcpStream, stopped: &AtomicBool, handle: &dyn Fn(&Request) -> Answer) {
    let mut rest = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut rest) {
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        let answer = handle(&req);
        if stopped.load(Ordering::SeqCst) {
            break;
        }
        match answer {
            Answer::Close => break,
            Answer::Reply(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                let bytes = [head.as_bytes(), body.as_bytes()].concat();
                if stream.write_all(&bytes).is_err() {
                    break;
                }
            }
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = rest.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            rest.drain(..end + 4);
            return Some(head);
        }
        read_more(stream, rest)?;
    }
}

fn read_more(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<()> {
    let mut buf = [0; 16384];
    let n = stream.read(&mut buf).ok().filter(|n| *n > 0)?;
    rest.extend_from_slice(&buf[..n]);
    Some(())
}

fn headers(lines: std::str::Lines<'_>) -> Vec<(String, String)> {
    let pairs = lines.filter_map(|l| l.split_once(':'));
    pairs
        .map(|(n, v)| (n.trim().to_owned(), v.trim().to_owned()))
        .collect()
}

fn read_body(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    headers: &[(String, String)],
) -> Option<String> {
    let mut found = headers
        .iter()
        .filter(|(n, _)| n.eq_ignore_ascii_case("content-length"));
    let len: usize = found.next().and_then(|(_, v)| v.parse().ok()).unwrap_or(0);
    while rest.len() < len {
        read_more(stream, rest)?;
    }
    let body = rest.drain(..len).collect();
    String::from_utf8(body).ok()
}

fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Request> {
    let head = read_head(stream, rest)?;
    let mut lines = head.lines();
    let mut first = lines.next()?.split(' ');
    let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
    let headers = headers(lines);
    let body = read_body(stream, rest, &headers)?;
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

/// Calls once over a new connection; `None` without a complete answer.
pub fn call(
    at: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    timeout_ms: u64,
) -> Option<(u16, String)> {
    let timeout = Duration::from_millis(timeout_ms);
    let mut stream = TcpStream::connect_timeout(&at, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Timeout-Ms: {timeout_ms}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut rest = Vec::new();
    let head = read_head(&mut stream, &mut rest)?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = headers(lines);
    let body = read_body(&mut stream, &mut rest, &headers)?;
    Some((status, body))
}
