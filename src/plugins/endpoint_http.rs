//! Speaks to endpoints over HTTP/1.1.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::FutureExt;

use awc::error::{ConnectError, SendRequestError};

use crate::kernel::RouteFailure;
use crate::plugins::http;
use crate::prelude::*;
use crate::tasks::adapter::{AdapterEntry, EndpointAdapter, EndpointAnswer, EndpointClient};

inventory::submit!(AdapterEntry::Endpoint(EndpointAdapter { name: "endpoint_http", connect }));

/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// Header that names the request in both directions.
const REQUEST_ID: &str = "x-request-id";
/// Header of an answer that states that the request was not started.
const NOT_STARTED: &str = "x-not-started";

fn connect(address: &str, connections: usize) -> EndpointClient {
    let client = http::client(connections, Duration::from_secs(60));
    let url = format!("http://{address}/run");
    Rc::new(move |request, body, timeout| {
        send(client.clone(), url.clone(), request, body, timeout).boxed_local()
    })
}

async fn send(
    client: awc::Client,
    url: String,
    request: RequestId,
    body: Bytes,
    timeout: Duration,
) -> Result<EndpointAnswer, RouteFailure> {
    let call = client.post(url).timeout(timeout).insert_header((REQUEST_ID, &*request)).send_body(body);
    let mut response = match call.await {
        Ok(response) => response,
        Err(SendRequestError::Connect(ConnectError::Timeout | ConnectError::Io(_))) => {
            return Err(RouteFailure::NotStarted);
        }
        Err(_) => return Err(RouteFailure::Unknown),
    };
    let status = response.status().as_u16();
    if status == 503 && response.headers().contains_key(NOT_STARTED) {
        return Err(RouteFailure::NotStarted);
    }
    let named = response.headers().get(REQUEST_ID).is_some_and(|id| id.as_bytes() == request.as_bytes());
    if !named {
        log::warn!(request = &*request; "answer for another request dropped");
        return Err(RouteFailure::Unknown);
    }
    match response.body().limit(ANSWER_LIMIT).await {
        Ok(body) => Ok(EndpointAnswer { status, body }),
        Err(_) => Err(RouteFailure::Unknown),
    }
}
