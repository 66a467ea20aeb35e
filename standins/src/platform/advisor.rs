//! A placement advisor that permits every worker whose name does not begin with `denied`.

use std::net::SocketAddr;

use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use serde::Deserialize;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use crate::server;

#[derive(Deserialize)]
struct AdviseBody {
    workers: Vec<String>,
}

/// A running advisor; permits are valid for 2 s and all carry the same ticket.
#[derive(Clone, Debug)]
pub struct AdvisorStandin {
    /// Address of its HTTP server.
    pub address: SocketAddr,
}

impl AdvisorStandin {
    /// Starts the advisor on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the port cannot be bound.
    pub async fn start(token: CancellationToken) -> std::io::Result<Self> {
        let (listener, address) = server::bind("127.0.0.1:0").await?;
        actix_rt::spawn(server::serve(listener, token, answer));
        Ok(Self { address })
    }
}

async fn answer(mut request: Request) -> Response<Bytes> {
    let body = server::read_body(&mut request).await.unwrap_or_default();
    let Ok(body) = serde_json::from_slice::<AdviseBody>(&body) else {
        return Response::with_body(StatusCode::BAD_REQUEST, Bytes::new());
    };
    let permitted = body.workers.into_iter().filter(|worker| !worker.starts_with("denied"));
    let good: Vec<(String, &str)> = permitted.map(|worker| (worker, "ticket")).collect();
    server::json_response(StatusCode::OK, &json!({"good": good, "validity_ms": 2_000}))
}
