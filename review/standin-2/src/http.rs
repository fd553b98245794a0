//! HTTP/1.1: a server with a thread for each connection, and a client that opens one connection a call.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: HashMap<String, String>,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Status and body; `None` ends the connection without an answer.
pub type Reply = Option<(u16, String)>;

/// A running server; `stop` closes its port and resets its connections.
pub struct Server {
    pub address: SocketAddr,
    is_over: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        listener.set_nonblocking(true)?;
        let is_over = Arc::new(AtomicBool::new(false));
        let streams = Arc::new(Mutex::new(Vec::new()));
        let (over, open, handler) = (Arc::clone(&is_over), Arc::clone(&streams), Arc::new(handler));
        thread::spawn(move || {
            while !over.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    let mut open = open.lock().unwrap();
                    open.retain(|s: &TcpStream| s.peer_addr().is_ok());
                    open.push(clone);
                }
                let (handler, over) = (Arc::clone(&handler), Arc::clone(&over));
                thread::spawn(move || {
                    let _ = serve(stream, &*handler, &over);
                });
            }
        });
        Ok(Server { address, is_over, streams })
    }

    pub fn stop(&self) {
        self.is_over.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &dyn Fn(&Request) -> Reply, over: &AtomicBool) -> std::io::Result<()> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let (method, target) = (words.next().unwrap_or("").to_owned(), words.next().unwrap_or("").to_owned());
        let headers = read_headers(&mut reader)?;
        let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        let query = pairs.map(|(k, v)| (k.to_owned(), unescape(v))).collect();
        let request = Request { method, path: path.to_owned(), query, headers, body };
        let reply = handler(&request);
        let Some((status, body)) = reply.filter(|_| !over.load(Ordering::Relaxed)) else {
            return writer.shutdown(Shutdown::Both);
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        writer.write_all((head + &body).as_bytes())?;
    }
}

fn read_headers(reader: &mut impl BufRead) -> std::io::Result<HashMap<String, String>> {
    let mut headers = HashMap::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 || line.trim().is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut i = 0;
    while i < bytes.len() {
        let hex = (bytes[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(b) => {
                out.push(b);
                i += 3;
            }
            None => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// One call on a connection of its own; `None` without an answer in time.
pub fn call(to: SocketAddr, method: &str, path: &str, host: &str, body: &str, timeout: Duration) -> Option<(u16, Vec<u8>)> {
    let stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nX-Timeout-Ms: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        timeout.as_millis(),
        body.len()
    );
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader).ok()?;
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some((status, body))
}
