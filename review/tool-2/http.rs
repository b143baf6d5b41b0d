//! A small HTTP/1.1 server and client over loopback; all bodies have a length.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Maximum time for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

pub struct Request {
    pub method: String,
    /// Path without the query.
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    /// Returns a header by its lower-case name; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }

    /// Returns a value of the query; empty if there is none.
    pub fn value(&self, name: &str) -> &str {
        self.query
            .iter()
            .find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }
}

pub struct Response {
    pub status: u16,
    pub body: String,
}

/// Serves requests in a thread for each connection.
pub fn serve<H>(listener: TcpListener, handler: H)
where
    H: Fn(Request) -> Response + Send + Sync + 'static,
{
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || {
                // A connection that ends is of no interest here.
                let _ = serve_connection(&stream, handler.as_ref());
            });
        }
    });
}

fn serve_connection(stream: &TcpStream, handler: &dyn Fn(Request) -> Response) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    while let Some((first, headers, body)) = read_message(&mut reader)? {
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let request = Request {
            method,
            path: path.to_owned(),
            query: pairs
                .map(|(name, value)| (name.to_owned(), value.to_owned()))
                .collect(),
            headers,
            body,
        };
        let response = handler(request);
        let head = format!(
            "HTTP/1.1 {} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            response.status,
            response.body.len()
        );
        let mut writer = stream;
        writer.write_all((head + &response.body).as_bytes())?;
    }
    Ok(())
}

type Message = (String, Vec<(String, String)>, String);

/// Reads the first line, the headers and the body of a message; `None` at the end.
fn read_message(reader: &mut BufReader<&TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length = length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Some((first.trim_end().to_owned(), headers, body)))
}

/// Sends a request on a new connection and returns the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    timeout: Duration,
) -> io::Result<Response> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\ncontent-length: {}\r\n",
        body.len()
    );
    head += "content-type: application/json\r\n";
    if !headers.iter().any(|(name, _)| *name == "host") {
        head += &format!("host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    (&stream).write_all((head + "\r\n" + body).as_bytes())?;
    let mut reader = BufReader::new(&stream);
    let message = read_message(&mut reader)?;
    let (first, _, body) = message.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok(Response {
        status: status.unwrap_or(0),
        body,
    })
}
