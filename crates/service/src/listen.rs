//! TCP listeners and the HTTP server loop.

use std::net::SocketAddr;

use eyre::WrapErr;
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

/// Serves HTTP until the shutdown starts, then completes the requests in flight.
pub async fn serve_http(listener: TcpListener, router: Router, mut shutdown: Shutdown) {
    let server = viz::serve(listener, router).signal(async move { shutdown.wait().await });
    if let Err(err) = server.await {
        tracing::warn!(event = "http_stopped", error = %err);
    }
}
