//! A single HTTP/1.1 connection to a server.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::http::{HttpError, build_request, read_response};

/// A connection that is not replaced when it breaks.
///
/// It ends with the process that accepted it. Once that process has answered, no other one
/// receives a call on it, as long as nothing between the two forwards calls.
#[derive(Debug)]
pub struct HttpConnection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl HttpConnection {
    /// Opens a connection within `timeout`.
    pub(crate) async fn open(address: SocketAddr, timeout: Duration) -> Result<Self, HttpError> {
        let connect = async {
            let stream = TcpStream::connect(address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            handshake(TokioIo::new(stream)).await.ok()
        };
        let opened = tokio::time::timeout(timeout, connect).await.ok().flatten();
        let (sender, connection) = opened.ok_or(HttpError::NotSent(address))?;
        // It ends when the sender is dropped; its errors show in the calls.
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Returns whether the server has not closed the connection, as far as is known here.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends a request and returns the response whatever its status is.
    pub async fn send(
        &mut self,
        method: Method,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let no_response = |reason| HttpError::NoAnswer {
            address: self.address,
            reason,
        };
        let host = self.address.to_string();
        let mut req = build_request(method, path, headers, body).map_err(no_response)?;
        let host = host.parse().map_err(|_| no_response(host))?;
        req.headers_mut().insert(hyper::header::HOST, host);
        if self.sender.ready().await.is_err() {
            return Err(HttpError::NotSent(self.address));
        }
        let exchange = async {
            let response = self.sender.send_request(req).await;
            let response = response.map_err(|err| err.to_string())?;
            read_response(response).await
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result.map_err(no_response),
            Err(_) => Err(no_response(format!("no response within {timeout:?}"))),
        }
    }
}
