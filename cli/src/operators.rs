//! Reads the operators' interfaces of entry processes.

use std::time::Duration;

use serde_json::Value;

use crate::failure::CommandFailure;

/// Addresses, comma-separated, where no flag names any.
const VARIABLE: &str = "GODWITHAVEN_ENTRY";
/// Address where neither flag nor variable names any.
const DEFAULT_ENTRY: &str = "127.0.0.1:8082";
/// Longest wait for one entry process.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest page in bytes.
const PAGE_LIMIT: usize = 64 << 20;

/// A page of one entry process, or why it cannot be read.
pub type PageResult = Result<Value, String>;

/// Asks entry processes one after the other.
pub struct OperatorClient {
    entries: Vec<String>,
    client: awc::Client,
}

impl OperatorClient {
    /// Returns a client for the addresses; without any, for those of the environment.
    pub fn new(entries: &[String]) -> Self {
        let mut entries = entries.to_vec();
        if entries.is_empty() {
            let text = std::env::var(VARIABLE).unwrap_or_else(|_| DEFAULT_ENTRY.to_owned());
            entries = text.split(',').map(|entry| entry.trim().to_owned()).collect();
        }
        // An address given twice would count its use twice.
        let mut seen = std::collections::BTreeSet::new();
        entries.retain(|entry| seen.insert(entry.clone()));
        let client = awc::Client::builder().timeout(TIMEOUT).disable_redirects().finish();
        Self { entries, client }
    }

    /// Returns the page of each entry process.
    pub async fn all(&self, path: &str) -> Vec<(String, PageResult)> {
        let mut pages = Vec::new();
        for entry in &self.entries {
            pages.push((entry.clone(), self.page(entry, path).await));
        }
        pages
    }

    /// Returns the pages that can be read; notes the others on standard error.
    pub async fn readable(&self, path: &str) -> Result<Vec<Value>, CommandFailure> {
        let mut pages = Vec::new();
        let mut faults = Vec::new();
        for (entry, result) in self.all(path).await {
            match result {
                Ok(page) => pages.push(page),
                Err(fault) => faults.push(format!("{entry}: {fault}")),
            }
        }
        if pages.is_empty() {
            return Err(CommandFailure::Failed(faults.join("\n")));
        }
        for fault in faults {
            eprintln!("{fault}");
        }
        Ok(pages)
    }

    /// Returns the page of the first entry process that can be read.
    pub async fn first(&self, path: &str) -> Result<Value, CommandFailure> {
        let mut faults = Vec::new();
        for entry in &self.entries {
            match self.page(entry, path).await {
                Ok(page) => return Ok(page),
                Err(fault) => faults.push(format!("{entry}: {fault}")),
            }
        }
        Err(CommandFailure::Failed(faults.join("\n")))
    }

    async fn page(&self, entry: &str, path: &str) -> PageResult {
        let response = self.client.get(format!("http://{entry}{path}")).send().await;
        let mut response = response.map_err(|error| error.to_string())?;
        let status = response.status();
        let page: Value = response.json().limit(PAGE_LIMIT).await.map_err(|error| error.to_string())?;
        if status.is_success() {
            return Ok(page);
        }
        Err(page["error"].as_str().map_or_else(|| status.to_string(), str::to_owned))
    }
}
