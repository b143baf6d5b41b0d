//! An HTTP server that accepts one call and follows a script.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::JoinHandle;

/// What the server does after it has read the complete call.
#[derive(Clone, Copy)]
pub enum Script {
    /// Responds with a status line, headers and a body.
    Answer(&'static str, &'static str, &'static str),
    /// Announces 10 bytes more than it sends, then closes the connection.
    Truncate(&'static str, &'static str),
    /// Closes the connection without a response.
    Close,
    /// Waits until the client closes the connection.
    Hang,
}

/// A running server for one call.
pub struct Server {
    pub addr: SocketAddr,
    thread: JoinHandle<String>,
}

impl Server {
    /// Starts the server on a free port.
    pub fn start(script: Script) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let thread = std::thread::spawn(move || {
            let (stream, _) = listener.accept().expect("a connection");
            serve(stream, script)
        });
        Self { addr, thread }
    }

    /// Waits for the end of the call; returns what the client sent.
    pub fn received(self) -> String {
        // Unblocks `accept` if the client never connected.
        drop(TcpStream::connect(self.addr));
        self.thread.join().expect("the server ends")
    }
}

fn serve(mut stream: TcpStream, script: Script) -> String {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    let mut received = String::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).expect("a header line");
        let lower = line.to_ascii_lowercase();
        if let Some(rest) = lower.strip_prefix("content-length:") {
            length = rest.trim().parse().expect("a length");
        }
        if line.trim().is_empty() {
            break;
        }
        received.push_str(&line.replace('\r', ""));
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).expect("the body");
    received.push_str(&String::from_utf8_lossy(&body));
    let mut write = |status: &str, headers: &str, length: usize, body: &str| {
        let head = format!("HTTP/1.1 {status}\r\n{headers}content-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is sent");
        stream.write_all(body.as_bytes()).expect("the body is sent");
    };
    match script {
        Script::Answer(status, headers, body) => write(status, headers, body.len(), body),
        Script::Truncate(status, body) => write(status, "", body.len() + 10, body),
        Script::Close => {}
        Script::Hang => {
            // Returns when the client closes the connection.
            let _ = reader.read(&mut [0]);
        }
    }
    received
}
