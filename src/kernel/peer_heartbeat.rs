use crate::prelude::*;

/// Heartbeat that an entry process sends to the others, and with which it answers theirs.
#[derive(Clone, Debug, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "independent facts about one process")]
pub struct PeerHeartbeat {
    /// The sending process.
    pub process: ProcessId,
    /// VM of the process.
    pub vm: VmId,
    /// Version of the bundle in force in the process, 0 if it has none.
    pub version: BundleVersion,
    /// Age of the newest log read that the process knows of, its own or a peer's; `None` if it knows of none.
    pub log_age: Option<Duration>,
    /// Whether the process is stopping: it hands its shards over and takes no new ones.
    pub leaving: bool,
    /// Whether peers may claim its shards although it is alive, because it cannot read the log.
    pub yielding: bool,
    /// Whether the process has applied the log to its end since its start or last pause.
    pub ready: bool,
    /// Whether the process receives no heartbeats from a peer that may be alive, so
    /// that others should fill in `heard`.
    pub misses_peer: bool,
    /// Processes whose heartbeats the sender received, with the age of the last one;
    /// empty while no peer is missed.
    pub heard: Vec<(ProcessId, Duration)>,
    /// Free capacity of each worker shard that the process owns.
    pub free: Vec<(ShardId, ResourceVector)>,
    /// Claims that the answer should confirm: worker shards of the sender with the tokens of its claims.
    /// Empty while the sender reads the log.
    pub claims: Vec<(ShardId, FencingToken)>,
    /// In an answer: whether the answering process has applied no claim newer than those in the heartbeat.
    pub confirms_claims: bool,
    /// Worker shards of the process with workers that are not on the VM list and may still run tasks.
    pub unlisted: Vec<ShardId>,
}
