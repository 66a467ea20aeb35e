//! An entry process of a soak run.

use std::fs::File;
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use godwithaven_standins::relay::{RelayMode, RelayStandin};
use serde_json::Value;

use crate::fixture_platform::{Platform, write_settings_with_store};

/// An entry process that may be paused or down.
pub struct SoakProcess {
    pub name: String,
    pub first_port: u16,
    pub child: Option<Child>,
    pub paused: bool,
    /// When a paused process is resumed or a stopped one is restarted.
    pub resume_at: Option<Instant>,
    /// The only connection to the store.
    pub store_relay: RelayStandin,
    /// When a process that is cut from the store reaches it again.
    pub store_back_at: Option<Instant>,
}

impl SoakProcess {
    /// Starts the child process; its log is added to that of its former lives.
    pub fn start(&mut self, platform: &Platform) {
        let store = self.store_relay.address;
        let path = write_settings_with_store(platform, &self.name, self.first_port, store);
        let log = File::options().create(true).append(true).open(path.with_extension("log"));
        let child = Command::new(env!("CARGO_BIN_EXE_godwithaven-entry"))
            .env("GODWITHAVEN_CONFIG", &path)
            .stdout(log.expect("the log can be written"))
            .spawn();
        self.child = Some(child.expect("the program starts"));
        self.resume_at = None;
    }

    /// Sends a signal to the child process.
    pub fn signal(&self, signal: &str) {
        let Some(child) = &self.child else { return };
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
        assert!(sent.is_ok(), "the signal can be sent");
    }

    /// Kills the child process, if there is one, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process can be killed");
            child.wait().expect("the process can be awaited");
        }
    }

    /// Resumes a paused process or restarts a stopped one when `resume_at` has passed.
    pub fn resume_or_restart(&mut self, platform: &Platform) {
        if self.resume_at.is_none_or(|resume_at| Instant::now() < resume_at) {
            return;
        }
        self.resume_at = None;
        if std::mem::take(&mut self.paused) {
            self.signal("-CONT");
            return;
        }
        let ended = self.child.as_mut().is_none_or(|child| matches!(child.try_wait(), Ok(Some(_))));
        if ended {
            self.start(platform);
        } else {
            // The process is still stopping; it is checked again later.
            self.resume_at = Some(Instant::now() + Duration::from_millis(200));
        }
    }

    /// Cuts the process from the store for this time, or for longer if it is cut already.
    pub fn cut_from_store(&mut self, duration: Duration) {
        self.store_relay.set_mode(RelayMode::Cut);
        self.store_back_at = self.store_back_at.max(Some(Instant::now() + duration));
    }

    /// Connects the process to the store again when `store_back_at` has passed.
    pub fn reconnect_store(&mut self) {
        if self.store_back_at.is_some_and(|back_at| Instant::now() >= back_at) {
            self.store_back_at = None;
            self.store_relay.set_mode(RelayMode::Pass);
        }
    }

    /// Returns the newest token, up to `highest`, under which the process has owned the cell. Its calls to restarted
    /// workers may carry higher ones.
    pub fn owned_token(&self, platform: &Platform, highest: u64) -> Option<u64> {
        let path = platform.directory.join(format!("{}.log", self.name));
        let log = std::fs::read_to_string(path).unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains("cell has an owner"));
        let entries = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        // The log names the owner with a suffix for each life of the process.
        let is_named = |entry: &Value| {
            entry["owner"].as_str().and_then(|owner| owner.split('.').next()) == Some(&self.name)
        };
        let tokens = entries.filter(is_named).filter_map(|entry| entry["token"].as_u64());
        tokens.filter(|token| *token <= highest).max()
    }
}
