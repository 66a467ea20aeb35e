//! Settings of an entry process, from flags and environment variables.

use std::net::SocketAddr;

use crate::prelude::*;

/// Settings of an entry process.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// Name of the VM.
    pub vm: VmId,
    /// Availability zone of the VM.
    pub zone: ZoneId,
    /// Address of the callers' interface; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Address of the interface for other entry processes.
    pub peer_listen: SocketAddr,
    /// Address of the operators' interface.
    pub operator_listen: SocketAddr,
    /// Address of the log service, `ip:port`.
    pub log: String,
    /// Address of the VM list, `ip:port`.
    pub directory: String,
    /// Hexadecimal public keys that may sign the first bundle.
    pub signers: Vec<String>,
    /// Signatures that the first bundle needs.
    pub approvals: usize,
    /// Group commit window.
    pub commit_window: Duration,
    /// Time between two syncs of a worker.
    pub sync_interval: Duration,
    /// Lease that a sync grants to a worker.
    pub lease: Duration,
    /// Form of log lines.
    pub log_format: LogFormat,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// `key=value` pairs.
    #[default]
    Pairs,
    /// One JSON object a line.
    Json,
}

/// One setting: flag, environment variable, default and help text.
#[derive(Clone, Copy, Debug)]
pub struct SettingEntry {
    /// Flag without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// Default; `None` if the setting must be given.
    pub default: Option<&'static str>,
    /// What it means, with its unit.
    pub help: &'static str,
}

const fn entry(
    flag: &'static str,
    variable: &'static str,
    default: Option<&'static str>,
    help: &'static str,
) -> SettingEntry {
    SettingEntry { flag, variable, default, help }
}

/// All settings of an entry process.
pub const ENTRY_SETTINGS: &[SettingEntry] = &[
    entry("vm", "GODWITHAVEN_VM", None, "name of this VM"),
    entry("zone", "GODWITHAVEN_ZONE", None, "availability zone of this VM"),
    entry("listen", "GODWITHAVEN_LISTEN", Some("127.0.0.1:8080"), "address for callers, ip:port"),
    entry(
        "peer-listen",
        "GODWITHAVEN_PEER_LISTEN",
        Some("127.0.0.1:8081"),
        "address for entry processes, ip:port",
    ),
    entry(
        "operator-listen",
        "GODWITHAVEN_OPERATOR_LISTEN",
        Some("127.0.0.1:8082"),
        "address for operators, ip:port",
    ),
    entry("log", "GODWITHAVEN_LOG", None, "address of the log service, ip:port"),
    entry("directory", "GODWITHAVEN_DIRECTORY", None, "address of the VM list, ip:port"),
    entry(
        "signers",
        "GODWITHAVEN_SIGNERS",
        None,
        "public keys for the first bundle, hexadecimal, comma-separated",
    ),
    entry("approvals", "GODWITHAVEN_APPROVALS", Some("1"), "signatures that the first bundle needs"),
    entry(
        "commit-window-ms",
        "GODWITHAVEN_COMMIT_WINDOW_MS",
        Some("50"),
        "group commit window in milliseconds",
    ),
    entry(
        "sync-interval-ms",
        "GODWITHAVEN_SYNC_INTERVAL_MS",
        Some("2000"),
        "time between worker syncs in milliseconds",
    ),
    entry("lease-ms", "GODWITHAVEN_LEASE_MS", Some("30000"), "lease of a worker in milliseconds"),
    entry("log-format", "GODWITHAVEN_LOG_FORMAT", Some("pairs"), "form of log lines, pairs or json"),
];

/// A setting that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error, miette::Diagnostic)]
#[display("{text}")]
#[diagnostic(code(godwithaven::settings), help("each flag --NAME has a variable; flags win over variables"))]
pub struct SettingFault {
    /// What is wrong, in one sentence.
    pub text: String,
}

impl EntrySettings {
    /// Reads all settings from `flag`, then `variable`, then the default.
    ///
    /// # Errors
    ///
    /// Returns the first setting that is missing or cannot be used.
    pub fn read(
        flag: impl Fn(&str) -> Option<String>,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingFault> {
        let value = |name: &str| -> Result<String, SettingFault> {
            let entry = ENTRY_SETTINGS.iter().find(|entry| entry.flag == name);
            let Some(entry) = entry else { return Err(fault(format!("setting {name:?} does not exist"))) };
            let given =
                flag(name).or_else(|| variable(entry.variable)).or_else(|| entry.default.map(str::to_owned));
            given.ok_or_else(|| fault(format!("--{name} or {} is missing: {}", entry.variable, entry.help)))
        };
        let settings = Self {
            vm: value("vm")?.into(),
            zone: value("zone")?.into(),
            listen: parse("listen", &value("listen")?)?,
            peer_listen: parse("peer-listen", &value("peer-listen")?)?,
            operator_listen: parse("operator-listen", &value("operator-listen")?)?,
            log: parse::<SocketAddr>("log", &value("log")?)?.to_string(),
            directory: parse::<SocketAddr>("directory", &value("directory")?)?.to_string(),
            signers: value("signers")?.split(',').map(str::to_owned).collect(),
            approvals: parse("approvals", &value("approvals")?)?,
            commit_window: milliseconds("commit-window-ms", &value("commit-window-ms")?)?,
            sync_interval: milliseconds("sync-interval-ms", &value("sync-interval-ms")?)?,
            lease: milliseconds("lease-ms", &value("lease-ms")?)?,
            log_format: log_format(&value("log-format")?)?,
        };
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingFault> {
        if self.lease < self.sync_interval * 3 {
            return Err(fault("--lease-ms must be at least three times --sync-interval-ms".into()));
        }
        if self.approvals == 0 || self.approvals > self.signers.len() {
            return Err(fault("--approvals must be between 1 and the number of signers".into()));
        }
        let valid = |signer: &String| hex::decode(signer).is_ok_and(|bytes| bytes.len() == 32);
        match self.signers.iter().find(|signer| !valid(signer)) {
            Some(signer) => Err(fault(format!("--signers: {signer:?} is not 64 hexadecimal digits"))),
            None => Ok(()),
        }
    }
}

fn fault(text: String) -> SettingFault {
    SettingFault { text }
}

fn parse<T: std::str::FromStr>(name: &str, value: &str) -> Result<T, SettingFault> {
    value.parse().map_err(|_| fault(format!("--{name}: {value:?} cannot be used")))
}

fn milliseconds(name: &str, value: &str) -> Result<Duration, SettingFault> {
    parse(name, value).map(Duration::from_millis)
}

fn log_format(value: &str) -> Result<LogFormat, SettingFault> {
    match value {
        "pairs" => Ok(LogFormat::Pairs),
        "json" => Ok(LogFormat::Json),
        _ => Err(fault(format!("--log-format: {value:?} is neither pairs nor json"))),
    }
}
