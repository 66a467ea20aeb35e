//! Settings of an entry process, read from flags and environment variables.

mod command_line;
mod log_format;
mod setting_fault;
mod setting_reader;
mod setting_spec;

use std::net::SocketAddr;

pub use command_line::CommandLine;
pub use log_format::LogFormat;
pub use setting_fault::SettingFault;
use setting_reader::SettingReader;
pub use setting_spec::SettingSpec;

use crate::kernel::connections::{ClientLimits, ConnectionCapacity, MAX_DESCRIPTORS, MAX_MEMORY_MB};
use crate::prelude::*;

/// Smallest limit on a head that a process accepts, in bytes.
const MIN_HEADER_BYTES: usize = 256;
/// Largest limit on a head or a body that a process accepts, in bytes.
const MAX_CLIENT_BYTES: usize = 1 << 30;

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM that the process runs on.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Listen address for callers; port 0 selects a free port.
    pub listen: SocketAddr,
    /// Listen address for other entry processes.
    pub peer_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_listen: SocketAddr,
    /// Address of the log service, `ip:port`.
    pub log: String,
    /// Address of the service that serves the VM list, `ip:port`.
    pub directory: String,
    /// Public keys, in hexadecimal digits, whose signatures count for the first bundle, and later while the
    /// bundle in force names no signers.
    pub signers: Vec<String>,
    /// Number of signatures that the first bundle needs.
    pub approvals: usize,
    /// Shortest time between two appends to the log; records in between are appended as one group.
    pub commit_window: Duration,
    /// Time between two syncs with the same worker.
    pub sync_interval: Duration,
    /// Duration of the lease that a sync grants to a worker.
    pub lease: Duration,
    /// How many connections of clients the process holds, and how many bytes they buffer together.
    pub connection_capacity: ConnectionCapacity,
    /// Limits on each connection of a client.
    pub client_limits: ClientLimits,
    /// Format of log lines.
    pub log_format: LogFormat,
}

const fn spec(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingSpec {
    SettingSpec { flag, variable, default, help }
}

/// Flags, environment variables, defaults and help texts of all settings of an entry process.
pub const ENTRY_SETTINGS: &[SettingSpec] = &[
    spec("vm", "GODWITHAVEN_VM", None, "name of this VM"),
    spec("zone", "GODWITHAVEN_ZONE", None, "availability zone of this VM"),
    spec("listen", "GODWITHAVEN_LISTEN", Some("127.0.0.1:8080"), "address for callers, ip:port"),
    spec(
        "peer-listen",
        "GODWITHAVEN_PEER_LISTEN",
        Some("127.0.0.1:8081"),
        "address for entry processes, ip:port",
    ),
    spec(
        "operator-listen",
        "GODWITHAVEN_OPERATOR_LISTEN",
        Some("127.0.0.1:8082"),
        "address for operators, ip:port",
    ),
    spec("log", "GODWITHAVEN_LOG", None, "address of the log service, ip:port"),
    spec("directory", "GODWITHAVEN_DIRECTORY", None, "address of the VM list, ip:port"),
    spec(
        "signers",
        "GODWITHAVEN_SIGNERS",
        None,
        "public keys for the first bundle, hexadecimal, comma-separated",
    ),
    spec("approvals", "GODWITHAVEN_APPROVALS", Some("1"), "signatures that the first bundle needs"),
    spec(
        "commit-window-ms",
        "GODWITHAVEN_COMMIT_WINDOW_MS",
        Some("50"),
        "shortest time between two appends of this process in milliseconds; the first record after a pause is appended at once",
    ),
    spec(
        "sync-interval-ms",
        "GODWITHAVEN_SYNC_INTERVAL_MS",
        Some("2000"),
        "time between worker syncs in milliseconds",
    ),
    spec("lease-ms", "GODWITHAVEN_LEASE_MS", Some("30000"), "lease of a worker in milliseconds"),
    spec("memory-mb", "GODWITHAVEN_MEMORY_MB", Some("256"), "memory of this process in MB"),
    spec("max-fds", "GODWITHAVEN_MAX_FDS", Some("4096"), "descriptors of this process"),
    spec(
        "max-header-bytes",
        "GODWITHAVEN_MAX_HEADER_BYTES",
        Some("16384"),
        "largest request line and headers of a client in bytes",
    ),
    spec(
        "max-body-bytes",
        "GODWITHAVEN_MAX_BODY_BYTES",
        Some("1048576"),
        "largest body of a request of a client in bytes",
    ),
    spec(
        "header-timeout-ms",
        "GODWITHAVEN_HEADER_TIMEOUT_MS",
        Some("3000"),
        "longest time for the head of a request in milliseconds",
    ),
    spec(
        "idle-timeout-ms",
        "GODWITHAVEN_IDLE_TIMEOUT_MS",
        Some("15000"),
        "longest time without a request, or without progress of one or of its answer, in milliseconds",
    ),
    spec(
        "exchange-timeout-ms",
        "GODWITHAVEN_EXCHANGE_TIMEOUT_MS",
        Some("60000"),
        "longest time for the body of a request, and for an answer, in milliseconds",
    ),
    spec("log-format", "GODWITHAVEN_LOG_FORMAT", Some("pairs"), "form of log lines, pairs or json"),
];

/// Returns the output of `godwithaven-entry --help`.
#[must_use]
pub fn help() -> String {
    let line = |spec: &SettingSpec| {
        let default = spec.default.map(|default| format!(" [default {default}]")).unwrap_or_default();
        format!("  --{} VALUE\n      {}{default} [{}]\n", spec.flag, spec.help, spec.variable)
    };
    let lines: String = ENTRY_SETTINGS.iter().map(line).collect();
    format!(
        "godwithaven-entry: admits, routes and places work on an entry VM\n\n{lines}  --help\n  --version\n\n\
         Each flag has the variable in brackets; flags win. Exit code 2: settings that cannot be used.\n"
    )
}

impl EntrySettings {
    /// Reads each setting from `flag`; if that has none, from `variable`; otherwise takes the default.
    ///
    /// # Errors
    ///
    /// Returns one fault that names all settings that are missing, invalid or in conflict with each other.
    pub fn read(
        flag: impl Fn(&str) -> Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingFault> {
        let mut reader = SettingReader::new(flag, variable);
        let settings = Self {
            vm: reader.name("vm"),
            zone: reader.name("zone"),
            listen: reader.address("listen"),
            peer_listen: reader.address("peer-listen"),
            operator_listen: reader.address("operator-listen"),
            log: reader.address("log").to_string(),
            directory: reader.address("directory").to_string(),
            signers: reader.public_keys("signers"),
            approvals: reader.parse("approvals", 1, |text| text.parse().ok().filter(|&count| count > 0)),
            commit_window: reader.milliseconds("commit-window-ms", 0),
            sync_interval: reader.milliseconds("sync-interval-ms", 1),
            lease: reader.milliseconds("lease-ms", 1),
            connection_capacity: ConnectionCapacity::of_machine(
                reader.number("memory-mb", 1, MAX_MEMORY_MB),
                reader.number("max-fds", 1, MAX_DESCRIPTORS),
            ),
            client_limits: ClientLimits {
                head_bytes: reader.number("max-header-bytes", MIN_HEADER_BYTES, MAX_CLIENT_BYTES),
                body_bytes: reader.number("max-body-bytes", 1, MAX_CLIENT_BYTES),
                head_timeout: reader.milliseconds("header-timeout-ms", 1),
                idle_timeout: reader.milliseconds("idle-timeout-ms", 1),
                exchange_timeout: reader.milliseconds("exchange-timeout-ms", 1),
            },
            log_format: reader.parse("log-format", LogFormat::Pairs, LogFormat::parse),
        };
        let mut faults = reader.faults;
        if faults.is_empty() {
            faults = settings.conflicts();
        }
        if faults.is_empty() { Ok(settings) } else { Err(SettingFault { text: faults.join("\n") }) }
    }

    /// Returns one sentence for each conflict between settings that are valid on their own.
    fn conflicts(&self) -> Vec<String> {
        let mut faults = Vec::new();
        if self.lease < self.sync_interval * 3 {
            faults.push("--lease-ms must be at least three times --sync-interval-ms".to_owned());
        }
        if self.approvals > self.signers.len() {
            let text = format!("--approvals is {}, but --signers has {}", self.approvals, self.signers.len());
            faults.push(text);
        }
        faults
    }
}
