//! Identifier aliases.

use std::sync::Arc;
use std::time::Duration;

/// Version of a bundle; the first published one is 1.
pub type BundleVersion = u64;
/// Token of a shard claim: the log offset of the claim. A higher token is newer.
pub type FencingToken = u64;
/// Revision of the list of running tasks of a worker.
pub type ReportRevision = u64;
/// Offset of a record group in the log.
pub type LogOffset = u64;
/// Sequence number of a record group within one process, from 1.
pub type GroupSequence = u64;
/// Number of a record whose writer waits for its fold, unique within one process.
pub type CommitTicket = u64;
/// Name of a job, `team/name`.
pub type JobId = Arc<str>;
/// Name of one attempt of a task, `team/name#index@attempt`.
pub type TaskId = Arc<str>;
/// Number of an attempt of a task; a later owner of a shard starts with higher ones.
pub type AttemptNumber = u64;
/// Name of a team.
pub type TeamId = Arc<str>;
/// Name of a submission queue.
pub type QueueId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a shard: `region/index` for workers, `service:name/index` for endpoints.
pub type ShardId = Arc<str>;
/// Name of a VM.
pub type VmId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Name of one life of an entry process, `vm.incarnation`.
pub type ProcessId = Arc<str>;
/// Request id chosen by the caller, scoped by team: `team/id`.
pub type RequestId = Arc<str>;
/// Number of one dispatch of a request to an endpoint, unique within a router.
pub type AttemptId = u64;
/// SHA-256 digest of a request body or of a key.
pub type Sha256Digest = [u8; 32];
/// Name of a worker: one registration of an endpoint that runs tasks.
pub type WorkerId = Arc<str>;
/// Number of one start of a task, from 1; a later start has a higher one.
pub type RunNumber = u64;
/// Number of one end in the list of a worker, from 1 in each life of the worker.
pub type TaskEndNumber = u64;
/// Name of a checkpoint that a worker saved.
pub type CheckpointId = Arc<str>;
/// Ticket by which a worker accepts the tasks of a step.
pub type PermitTicket = Arc<str>;
/// Name of what the tasks of a step execute.
pub type ImageId = Arc<str>;
/// Label of a worker.
pub type LabelId = Arc<str>;
/// Number of an upkeep campaign.
pub type CampaignId = u64;
/// A worker's own monotonic time, counted from an origin that only the worker knows.
pub type WorkerTime = Duration;
/// Start of one life of a worker since 1970, which tells its lives apart.
pub type WorkerIncarnation = Duration;
/// Number of a partition of a topic of the store, from 0.
pub type PartitionNumber = u32;
