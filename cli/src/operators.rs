//! HTTP client for the operators' interface of entry processes.

use std::time::Duration;

use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::Stream;
use serde_json::Value;

use crate::failure::CommandFailure;

/// Environment variable with comma-separated addresses, read if no `--entry` is given.
const ENTRY_VARIABLE: &str = "GODWITHAVEN_ENTRY";
/// Address used if neither `--entry` nor the variable is given.
const DEFAULT_ENTRY: &str = "127.0.0.1:8082";
/// Timeout of one request to one entry process.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest accepted response body.
const MAX_PAGE_BYTES: usize = 64 << 20;

/// JSON page of one entry process, or why it cannot be read.
pub type PageResult = Result<Value, String>;

/// Reads pages from a list of entry processes, one process after the other.
pub struct OperatorClient {
    entries: Vec<String>,
    client: awc::Client,
}

impl OperatorClient {
    /// Returns a client for the given addresses, or for those of `GODWITHAVEN_ENTRY` if there are none.
    pub fn new(entries: &[String]) -> Self {
        let mut entries = entries.to_vec();
        if entries.is_empty() {
            let text = std::env::var(ENTRY_VARIABLE).unwrap_or_else(|_| DEFAULT_ENTRY.to_owned());
            entries = text.split(',').map(|entry| entry.trim().to_owned()).collect();
        }
        // With a duplicate address, sums over the processes would count that process twice.
        let mut seen = std::collections::BTreeSet::new();
        entries.retain(|entry| seen.insert(entry.clone()));
        let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).disable_redirects().finish();
        Self { entries, client }
    }

    /// Fetches a path from every entry process; returns each address with its page.
    pub async fn fetch_all(&self, path: &str) -> Vec<(String, PageResult)> {
        let mut pages = Vec::new();
        for entry in &self.entries {
            pages.push((entry.clone(), self.fetch(entry, path).await));
        }
        pages
    }

    /// Fetches a path from every entry process and returns the pages that can be read. Prints the errors of
    /// the others to standard error, and fails if no page can be read.
    pub async fn fetch_readable(&self, path: &str) -> Result<Vec<Value>, CommandFailure> {
        let mut pages = Vec::new();
        let mut errors = Vec::new();
        for (entry, result) in self.fetch_all(path).await {
            match result {
                Ok(page) => pages.push(page),
                Err(error) => errors.push(format!("{entry}: {error}")),
            }
        }
        if pages.is_empty() {
            return Err(CommandFailure::Failed(errors.join("\n")));
        }
        for error in errors {
            eprintln!("{error}");
        }
        Ok(pages)
    }

    /// Fetches the metrics of every entry process; returns each address with the text, or why it cannot be read.
    pub async fn fetch_metrics(&self) -> Vec<(String, Result<String, String>)> {
        let mut texts = Vec::new();
        for entry in &self.entries {
            texts.push((entry.clone(), self.fetch_text(entry, "/metrics").await));
        }
        texts
    }

    /// Posts a JSON document to the entry processes in order and returns the first page that can be read.
    pub async fn post_first(&self, path: &str, document: &Value) -> Result<Value, CommandFailure> {
        let mut errors = Vec::new();
        for entry in &self.entries {
            let request = self.client.post(format!("http://{entry}{path}"));
            let response = request.send_json(document).await.map_err(|error| error.to_string());
            let page = match response {
                Ok(response) => read_page(response).await,
                Err(error) => Err(error),
            };
            match page {
                Ok(page) => return Ok(page),
                Err(error) => errors.push(format!("{entry}: {error}")),
            }
        }
        Err(CommandFailure::Failed(errors.join("\n")))
    }

    async fn fetch_text(&self, entry: &str, path: &str) -> Result<String, String> {
        let response = self.client.get(format!("http://{entry}{path}")).send().await;
        let mut response = response.map_err(|error| error.to_string())?;
        let status = response.status();
        if !status.is_success() {
            return Err(status.to_string());
        }
        let body = response.body().limit(MAX_PAGE_BYTES).await.map_err(|error| error.to_string())?;
        String::from_utf8(body.to_vec()).map_err(|error| error.to_string())
    }

    /// Fetches a path from the entry processes in order and returns the first page that can be read.
    pub async fn fetch_first(&self, path: &str) -> Result<Value, CommandFailure> {
        let mut errors = Vec::new();
        for entry in &self.entries {
            match self.fetch(entry, path).await {
                Ok(page) => return Ok(page),
                Err(error) => errors.push(format!("{entry}: {error}")),
            }
        }
        Err(CommandFailure::Failed(errors.join("\n")))
    }

    /// Fetches a path from one entry process. The error is that of the connection or of decoding the page, or
    /// for an HTTP status other than 2xx the `error` field of the page, or else the status.
    async fn fetch(&self, entry: &str, path: &str) -> PageResult {
        let response = self.client.get(format!("http://{entry}{path}")).send().await;
        read_page(response.map_err(|error| error.to_string())?).await
    }
}

/// Reads a JSON page, or the error that it gives.
async fn read_page<S>(mut response: awc::ClientResponse<S>) -> PageResult
where
    S: Stream<Item = Result<Bytes, PayloadError>> + Unpin + 'static,
{
    let status = response.status();
    let page: Value = response.json().limit(MAX_PAGE_BYTES).await.map_err(|error| error.to_string())?;
    if status.is_success() {
        return Ok(page);
    }
    Err(page["error"].as_str().map_or_else(|| status.to_string(), str::to_owned))
}
