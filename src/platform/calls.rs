//! HTTP calls to the platform.

use std::time::Duration;

use awc::error::SendRequestError;
use awc::http::StatusCode;
use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest answer in bytes: one page of the store.
const ANSWER_LIMIT: usize = 8 << 20;

/// An answer of the platform.
pub struct CallAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its whole body.
    pub body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, derive_more::Display)]
#[display("{reason}")]
pub struct CallFault {
    /// What went wrong.
    pub reason: String,
    /// Whether nothing of the request was sent, so that it surely has no effect.
    pub unsent: bool,
}

impl CallFault {
    fn new(reason: impl std::fmt::Display) -> Self {
        Self { reason: reason.to_string(), unsent: false }
    }
}

impl From<SendRequestError> for CallFault {
    fn from(error: SendRequestError) -> Self {
        Self { unsent: matches!(error, SendRequestError::Connect(_)), reason: error.to_string() }
    }
}

impl CallAnswer {
    /// Reads the body.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, String> {
        serde_json::from_slice(&self.body).map_err(|error| format!("answer cannot be read: {error}"))
    }
}

/// Sends a JSON body and waits for the whole answer.
pub async fn post(
    request: awc::ClientRequest,
    body: &impl Serialize,
    timeout: Duration,
) -> Result<CallAnswer, CallFault> {
    let body = serde_json::to_vec(body).map_err(CallFault::new)?;
    send(request.content_type("application/json"), body, timeout).await
}

/// Sends a request and waits for the whole answer.
pub async fn send(
    request: awc::ClientRequest,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<CallAnswer, CallFault> {
    let call = async {
        let mut response = request.timeout(timeout).send_body(body).await?;
        let body = response.body().limit(ANSWER_LIMIT).await.map_err(CallFault::new)?;
        Ok(CallAnswer { status: response.status(), body })
    };
    let late = |_| Err(CallFault::new("no answer in time"));
    tokio::time::timeout(timeout, call).await.unwrap_or_else(late)
}
