//! HTTP calls to the services and workers of the platform.

use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::plugins::http;

/// Largest accepted body of a response, sufficient for one page of the store.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A complete HTTP response.
pub struct CallResponse {
    pub status: StatusCode,
    pub body: Bytes,
}

/// Failure of a call that got no complete response.
#[derive(Debug, derive_more::Display)]
#[display("{reason}")]
pub struct CallFault {
    /// Description of the failure.
    pub reason: String,
    /// Whether no connection was made, so that the call cannot have taken effect.
    pub unsent: bool,
}

impl CallFault {
    fn new(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), unsent: false }
    }
}

impl From<SendRequestError> for CallFault {
    fn from(error: SendRequestError) -> Self {
        Self { unsent: http::is_unsent(&error), reason: error.to_string() }
    }
}

impl CallResponse {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("answer cannot be read: {error}"))
    }
}

/// Sends a request with a JSON body and waits for the complete response.
pub async fn post(
    request: awc::ClientRequest,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<CallResponse, CallFault> {
    let body = serde_json::to_vec(body).map_err(CallFault::new)?;
    send(request.content_type("application/json"), body, timeout).await
}

/// Sends a request and waits for the complete response; the timeout covers both.
pub async fn send(
    request: awc::ClientRequest,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<CallResponse, CallFault> {
    let call = async {
        let mut response = request.timeout(timeout).send_body(body).await?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await.map_err(CallFault::new)?;
        Ok(CallResponse { status: response.status(), body })
    };
    let timed_out = |_| Err(CallFault::new("no answer in time"));
    tokio::time::timeout(timeout, call).await.unwrap_or_else(timed_out)
}
