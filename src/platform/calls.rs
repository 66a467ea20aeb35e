//! HTTP calls to the platform.

use std::time::Duration;

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
) -> Result<CallAnswer, String> {
    let body = serde_json::to_vec(body).map_err(|error| error.to_string())?;
    send(request.content_type("application/json"), body, timeout).await
}

/// Sends a request and waits for the whole answer.
pub async fn send(
    request: awc::ClientRequest,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<CallAnswer, String> {
    let call = async {
        let mut response =
            request.timeout(timeout).send_body(body).await.map_err(|error| error.to_string())?;
        let body = response.body().limit(ANSWER_LIMIT).await.map_err(|error| error.to_string())?;
        Ok(CallAnswer { status: response.status(), body })
    };
    tokio::time::timeout(timeout, call).await.unwrap_or_else(|_| Err("no answer in time".to_owned()))
}
