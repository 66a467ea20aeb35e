use crate::prelude::*;

/// What an entry process tells the others with each heartbeat.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one process")]
pub struct PeerHeartbeat {
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
    /// Whether it misses heartbeats of a process that may be alive, so that others should name whom they hear.
    pub misses_peer: bool,
    /// Other processes and how long ago they were heard; empty while nobody misses anyone.
    pub heard: Vec<(ProcessId, Duration)>,
    /// Free capacity of its worker shards.
    pub free: Vec<(ShardId, ResourceVector)>,
}
