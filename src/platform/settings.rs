//! Parser of the platform's settings file, which has one setting per line: `name=value`. Lines without `=`
//! and unknown settings are ignored.

use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use crate::kernel::cell::Millicores;
use crate::kernel::cell::admission::MemoryBudget;
use crate::kernel::connections::{ClientLimits, ConnectionCapacity};
use crate::prelude::*;
use crate::settings::SettingFault;
use crate::tasks::cell::settings::CellSettings;
use crate::tasks::cell::store_limits::StoreLimits;

/// Half-life of past use if the settings file names none: a team that used too much in the morning has most of
/// that behind it by the evening.
const DEFAULT_USAGE_HALF_LIFE: Duration = Duration::from_secs(4 * 3_600);

/// Setting with the half-life of past use in seconds.
const USAGE_HALF_LIFE: &str = "usage.half_life_s";
/// Variable that takes the place of that setting, as the platform's own settings file does not have it.
const USAGE_HALF_LIFE_VARIABLE: &str = "GODWITHAVEN_USAGE_HALF_LIFE_S";
/// Setting with the size of a partition of the store in MB.
const PARTITION_SIZE: &str = "platform.part_mb";
/// The smaller of the two usual sizes of an MB, so that records are not expected to be kept for longer than they are.
const BYTES_PER_MB: f64 = 1_000_000.0;
/// Memory of a process whose settings name none, in MB.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 4_096;

/// Settings by name, with the faults found so far.
struct SettingsParser {
    values: FastMap<String, String>,
    faults: Vec<String>,
}

impl SettingsParser {
    fn text(&mut self, name: &str) -> String {
        match self.values.get(name) {
            Some(text) if !text.is_empty() => text.clone(),
            _ => {
                self.faults.push(format!("{name} is missing"));
                String::new()
            }
        }
    }

    /// Returns a parsed setting; a missing or invalid one is a fault, and `placeholder` takes its place until
    /// [`parse`] returns the faults.
    fn parse<T: FromStr>(&mut self, name: &str, placeholder: T) -> T {
        let fault_count = self.faults.len();
        let text = self.text(name);
        if self.faults.len() > fault_count {
            return placeholder;
        }
        text.parse().unwrap_or_else(|_| {
            self.faults.push(format!("{name}={text} is invalid"));
            placeholder
        })
    }

    /// Returns a parsed setting, or `default` if it is missing; an invalid one is a fault.
    fn parse_or<T: FromStr>(&mut self, name: &str, default: T) -> T {
        if self.values.contains_key(name) { self.parse(name, default) } else { default }
    }

    /// Returns the sizes that the store accepts.
    fn store_limits(&mut self) -> StoreLimits {
        let default = StoreLimits::default();
        let limits = StoreLimits {
            record_bytes: self.parse_or("platform.record_bytes", default.record_bytes),
            append_bytes: self.parse_or("platform.call_bytes", default.append_bytes),
            partition_bytes: self.partition_bytes(default.partition_bytes),
        };
        if !limits.is_usable() {
            self.faults.push(format!(
                "platform.record_bytes, platform.call_bytes and platform.part_mb: {limits} cannot be used"
            ));
        }
        limits
    }

    /// Returns the size of a partition from which the store drops the oldest records, given in MB.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a fraction of a byte does not matter; values that are negative or no number become 0"
    )]
    fn partition_bytes(&mut self, default: u64) -> u64 {
        if !self.values.contains_key(PARTITION_SIZE) {
            return default;
        }
        let megabytes: f64 = self.parse(PARTITION_SIZE, 1.0);
        (megabytes * BYTES_PER_MB) as u64
    }

    fn address(&mut self, name: &str) -> SocketAddr {
        self.parse(name, SocketAddr::from(([127, 0, 0, 1], 0)))
    }

    fn milliseconds(&mut self, name: &str) -> Duration {
        Duration::from_millis(self.parse(name, 0))
    }

    /// Returns the socket addresses of a comma-separated list; invalid ones are faults.
    fn addresses(&mut self, name: &str) -> Vec<Arc<str>> {
        let text = self.values.get(name).cloned().unwrap_or_default();
        let mut addresses = Vec::new();
        for part in text.split(',').map(str::trim).filter(|part| !part.is_empty()) {
            match part.parse::<SocketAddr>() {
                Ok(_) => addresses.push(part.into()),
                Err(_) => self.faults.push(format!("{name}: {part} is not a socket address")),
            }
        }
        addresses
    }

    /// Returns the CPU limit of this process.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a CPU limit is far below u64::MAX; negative values become 0"
    )]
    fn cpu_limit(&mut self) -> Millicores {
        let share: f64 = self.parse("limits.cpu_share", 1.0);
        (share * 1_000.0).round() as Millicores
    }

    /// Returns the half-life of past use, a whole number of seconds; zero switches the account off.
    fn usage_half_life(&mut self) -> Duration {
        Duration::from_secs(self.parse_or(USAGE_HALF_LIFE, DEFAULT_USAGE_HALF_LIFE.as_secs()))
    }

    /// Returns the room for connections of clients: a part of the memory and descriptors of the process, or what
    /// is set in their place.
    fn connection_capacity(&mut self, memory_mb: u64) -> ConnectionCapacity {
        let descriptors = self.parse_or("limits.max_fds", DEFAULT_DESCRIPTORS);
        let derived = ConnectionCapacity::of_machine(memory_mb, descriptors);
        ConnectionCapacity {
            callers: self.parse_or("clients.connections", derived.callers),
            callers_per_address: self
                .parse_or("clients.connections_per_address", derived.callers_per_address),
            operators: self.parse_or("clients.operator_connections", derived.operators),
            peers: self.parse_or("clients.peer_connections", derived.peers),
            bytes: self.parse_or("clients.buffered_bytes", derived.bytes),
            answer_bytes: self.parse_or("clients.answer_bytes", derived.answer_bytes),
        }
    }

    /// Returns the longest time for the body of a request, and for an answer.
    fn exchange_timeout(&mut self) -> Duration {
        let default = ClientLimits::default().exchange_timeout;
        let millis = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.parse_or("clients.exchange_timeout_ms", millis))
    }

    /// Returns the first port of the range for internal use, which serves the metrics.
    fn metrics_port(&mut self) -> u16 {
        let text = self.text("internal_ports");
        let range = text.split_once(',').and_then(|(first, last)| {
            let (first, last): (u16, u16) = (first.trim().parse().ok()?, last.trim().parse().ok()?);
            (first <= last).then_some(first)
        });
        range.unwrap_or_else(|| {
            self.faults.push(format!("internal_ports={text} is not a range of ports"));
            0
        })
    }
}

/// Loads the settings file; the returned fault lists everything that is wrong with it.
pub fn load(path: &str) -> Result<CellSettings, SettingFault> {
    let mut text = std::fs::read_to_string(path)
        .map_err(|error| SettingFault { text: format!("{path} cannot be read: {error}") })?;
    if let Ok(half_life) = std::env::var(USAGE_HALF_LIFE_VARIABLE) {
        // The last line of a name counts.
        text.extend(["\n", USAGE_HALF_LIFE, "=", &half_life]);
    }
    parse(&text)
}

fn parse(text: &str) -> Result<CellSettings, SettingFault> {
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    let values = pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect();
    let mut parser = SettingsParser { values, faults: Vec::new() };
    let ip: IpAddr = parser.parse("ip", IpAddr::from([127, 0, 0, 1]));
    let metrics_port = parser.metrics_port();
    let memory_mb = parser.parse_or("limits.memory_mb", DEFAULT_MEMORY_MB);
    let advisor = parser.values.get("advice").filter(|address| !address.is_empty());
    let settings = CellSettings {
        advisor_address: advisor.map(|address| address.as_str().into()),
        vm: parser.text("node").into(),
        zone: parser.text("zone").into(),
        front_end_listen: parser.address("listen.front"),
        readiness_listen: parser.address("listen.ready"),
        peer_listen: parser.address("listen.control"),
        peer_addresses: parser.addresses("seeds"),
        metrics_listen: SocketAddr::from((ip, metrics_port)),
        store_address: parser.text("platform.address").into(),
        store_limits: parser.store_limits(),
        cpu_limit: parser.cpu_limit(),
        memory_budget: MemoryBudget::of_process(memory_mb.saturating_mul(1_000_000)),
        connection_capacity: parser.connection_capacity(memory_mb),
        exchange_timeout: parser.exchange_timeout(),
        longest_lease: parser.milliseconds("bounds.max_hold_ms"),
        log_retention: Duration::from_secs(parser.parse("platform.keep_s", 300)),
        usage_half_life: parser.usage_half_life(),
        grace: Duration::from_secs(parser.parse("bounds.grace_s", 6)),
    };
    if parser.faults.is_empty() { Ok(settings) } else { Err(SettingFault { text: parser.faults.join("\n") }) }
}
