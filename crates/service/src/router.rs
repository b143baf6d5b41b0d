//! Serves a router within the limits of a process.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use tokio::net::TcpListener;
use viz::types::RouteInfo;
use viz::{Body, Handler as _, IntoResponse, Router, Tree};

use crate::http::{BodySlot, Handler, HeadLimits, Reply, RequestBody, serve};
use crate::{Gate, Shutdown};

/// Serves a router until the shutdown, then finishes the requests in flight. Handlers read
/// bodies with [`take_body`](crate::take_body).
pub async fn serve_router(listener: TcpListener, router: Router, gate: Gate, shutdown: Shutdown) {
    let handler = Arc::new(RouterHandler(router.into()));
    serve(listener, handler, HeadLimits::default(), gate, shutdown).await;
}

struct RouterHandler(Tree);

#[async_trait]
impl Handler for RouterHandler {
    async fn handle(&self, req: Request<RequestBody>) -> Reply {
        let (mut head, body) = req.into_parts();
        let (method, path) = (head.method.clone(), head.uri.path().to_owned());
        let found = self.0.find(&method, &path).or_else(|| {
            let is_head = method == Method::HEAD;
            is_head.then(|| self.0.find(&Method::GET, &path)).flatten()
        });
        let Some((handler, route)) = found else {
            return empty(StatusCode::NOT_FOUND);
        };
        head.extensions.insert(Arc::new(RouteInfo {
            id: *route.id,
            pattern: route.pattern(),
            params: route.params().into(),
        }));
        head.extensions.insert(BodySlot::new(body));
        let req = Request::from_parts(head, Body::Empty);
        let response = handler.call(req).await;
        let response = response.unwrap_or_else(IntoResponse::into_response);
        let (head, body) = response.into_parts();
        match body.collect().await {
            Ok(body) => Response::from_parts(head, Full::new(body.to_bytes())),
            Err(err) => {
                tracing::error!(event = "response_failed", error = %err);
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }
}

fn empty(status: StatusCode) -> Reply {
    let mut reply = Response::new(Full::new(Bytes::new()));
    *reply.status_mut() = status;
    reply
}
