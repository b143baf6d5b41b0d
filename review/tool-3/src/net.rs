//! HTTP client, and a proxy in front of a server whose requests a case can inspect.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// A message as it was read: the head with its blank line, and the body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    fn bytes(&self) -> Vec<u8> {
        [self.head.as_bytes(), &self.body].concat()
    }
}

/// Reads a message with a content length from a connection; `None` at its end.
pub fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length
            .then(|| value.trim().parse::<usize>().ok())
            .flatten()
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some(Message { head, body })
}

/// Sends a request on a new connection; returns the status and the body of the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    wait: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&to, wait)?;
    stream.set_read_timeout(Some(wait))?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!(
        "content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    ));
    stream.write_all(text.as_bytes())?;
    let answer = read_message(&mut stream).ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = answer.head.split(' ').nth(1).and_then(|it| it.parse().ok());
    Ok((
        status.ok_or(std::io::ErrorKind::InvalidData)?,
        answer.text(),
    ))
}

/// What a proxy does with a request.
pub enum Action {
    /// Passes it on and returns the answer.
    Forward,
    /// Answers it with a status and a body, and does not pass it on.
    Answer(u16, String),
    /// Passes it on after this time, and never answers.
    ForwardLate(Duration),
}

/// Starts a proxy in front of a server; returns its address.
pub fn start_proxy(
    server: SocketAddr,
    decide: impl Fn(&Message) -> Action + Send + Sync + 'static,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let decide = Arc::new(decide);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let decide = decide.clone();
            thread::spawn(move || serve(stream, server, &*decide));
        }
    });
    Ok(address)
}

fn serve(mut client: TcpStream, server: SocketAddr, decide: &dyn Fn(&Message) -> Action) {
    let _ = client.set_nodelay(true);
    let mut upstream: Option<TcpStream> = None;
    while let Some(request) = read_message(&mut client) {
        match decide(&request) {
            Action::Forward => {
                let Some(answer) = forward(&mut upstream, server, &request) else {
                    return;
                };
                if client.write_all(&answer.bytes()).is_err() {
                    return;
                }
            }
            Action::Answer(status, body) => {
                let answer = format!(
                    "HTTP/1.1 {status} Rejected\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
                    body.len()
                );
                if client.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            Action::ForwardLate(delay) => {
                thread::spawn(move || {
                    thread::sleep(delay);
                    forward(&mut None, server, &request)
                });
                // A connection on which an answer is lost delivers nothing further.
                while read_message(&mut client).is_some() {}
                return;
            }
        }
    }
}

fn forward(
    upstream: &mut Option<TcpStream>,
    server: SocketAddr,
    request: &Message,
) -> Option<Message> {
    if upstream.is_none() {
        let stream = TcpStream::connect(server).ok()?;
        let _ = stream.set_nodelay(true);
        *upstream = Some(stream);
    }
    let stream = upstream.as_mut()?;
    stream.write_all(&request.bytes()).ok()?;
    read_message(stream)
}

/// Returns the values of a string field of a JSON text whose values have no escapes.
pub fn string_fields<'a>(json: &'a str, name: &str) -> Vec<&'a str> {
    let pattern = format!("\"{name}\":\"");
    let values = json.split(pattern.as_str()).skip(1);
    values.filter_map(|rest| rest.split('"').next()).collect()
}

/// Encodes a text in base64.
pub fn base64(text: &str) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let mut bytes = [0_u8; 3];
        bytes[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(bytes[0]) << 16 | u32::from(bytes[1]) << 8 | u32::from(bytes[2]);
        for at in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * at)) as usize & 63];
            out.push(if at <= chunk.len() { sign as char } else { '=' });
        }
    }
    out
}
