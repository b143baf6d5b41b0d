//! TCP listeners and the HTTP server loop.

use std::net::SocketAddr;

use cumindeck_types::ByteSize;
use eyre::WrapErr;
use rustix::net::sockopt::set_socket_recv_buffer_size;
use tokio::net::TcpListener;
use viz::Router;

use crate::Shutdown;

/// Binds a TCP listener; an error states the address and the purpose of the listener.
pub async fn bind(purpose: &str, address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address).await.wrap_err_with(|| {
        format!(
            "can't listen on {address} for {purpose}; \
             check that the address belongs to this machine and that no other process uses the port"
        )
    })
}

/// Bounds the receive buffers of the connections that a listener accepts.
///
/// Received bytes that are not read count towards the memory of the machine.
pub(crate) fn bound_receive_buffer(listener: &TcpListener, size: ByteSize) {
    let bytes = usize::try_from(size.bytes()).unwrap_or(usize::MAX);
    if let Err(err) = set_socket_recv_buffer_size(listener, bytes) {
        tracing::warn!(event = "receive_buffer_not_set", error = %err);
    }
}

/// Serves HTTP without limits, for stand-ins and tools, until the shutdown starts, then completes the requests in flight.
pub async fn serve_http(listener: TcpListener, router: Router, mut shutdown: Shutdown) {
    let server = viz::serve(listener, router).signal(async move { shutdown.wait().await });
    if let Err(err) = server.await {
        tracing::warn!(event = "http_stopped", error = %err);
    }
}
