use crate::prelude::*;

/// What an entry process tells the others with each heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerBeat {
    /// The process.
    pub process: ProcessId,
    /// Its VM.
    pub vm: VmId,
    /// Version of its bundle, 0 if it has none.
    pub version: BundleVersion,
    /// Age of the newest log read that it knows of; `None` if it knows none.
    pub log_age: Option<Duration>,
    /// Whether it hands its shards over and takes no new ones.
    pub leaving: bool,
    /// Whether others may claim its shards although it is alive, because it cannot read the log.
    pub yielding: bool,
    /// Whether it has folded the log up to the present.
    pub ready: bool,
    /// Other processes and how long ago they were heard.
    pub heard: Vec<(ProcessId, Duration)>,
    /// Free capacity of its worker shards.
    pub free: Vec<(ShardId, ResourceVector)>,
}
