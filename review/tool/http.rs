//! HTTP/1.1 server and client, one thread a connection, loopback only.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub path: String,
    pub query: BTreeMap<String, String>,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

pub enum Reply {
    Send(u16, String),
    /// The connection stays open, and nothing more is sent on it.
    Silence,
    /// The connection is closed.
    Cut,
}

pub type Handler = dyn Fn(Request) -> Reply + Send + Sync;

pub fn serve(listener: TcpListener, handler: Arc<Handler>) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::Builder::new()
                .stack_size(256 * 1024)
                .spawn(move || {
                    let _ = connection(stream, &*handler);
                })
                .expect("a thread");
        }
    });
}

fn connection(stream: TcpStream, handler: &Handler) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let request = read_request(&mut reader)?;
        match handler(request) {
            Reply::Send(status, body) => {
                let head = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                writer.write_all((head + &body).as_bytes()).ok()?;
            }
            Reply::Cut => return None,
            Reply::Silence => {
                // Until the peer gives up.
                let mut rest = [0; 1024];
                while reader.read(&mut rest).ok()? > 0 {}
                return None;
            }
        }
    }
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then_some(())?;
    let mut words = line.split_whitespace();
    let (_method, target) = (words.next()?, words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let length = headers
        .get("content-length")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(key, value)| {
            (
                key.to_owned(),
                value.replace("%2F", "/").replace("%21", "!"),
            )
        })
        .collect();
    Some(Request {
        path: path.to_owned(),
        query,
        headers,
        body: String::from_utf8(body).ok()?,
    })
}

fn read_headers(reader: &mut impl BufRead) -> Option<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        (reader.read_line(&mut line).ok()? > 0).then_some(())?;
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (key, value) = line.split_once(':')?;
        headers.insert(key.to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Sends a request on a new connection; `None` if there is no whole answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&to, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let mut writer = stream.try_clone().ok()?;
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
        body.len()
    );
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {to}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    writer.write_all((text + "\r\n" + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let mut body = String::new();
    match headers.get("content-length").and_then(|v| v.parse().ok()) {
        Some(length) => {
            let mut bytes = vec![0; length];
            reader.read_exact(&mut bytes).ok()?;
            body = String::from_utf8(bytes).ok()?;
        }
        None => {
            reader.read_to_string(&mut body).ok()?;
        }
    }
    Some((status, body))
}
