//! Identifier aliases.

use std::sync::Arc;
use std::time::Duration;

/// Version of a policy bundle. The first published bundle has version 1 or higher; 0 means none.
pub type BundleVersion = u64;
/// Fencing token of a shard claim: the log offset of the claim plus one, so that 0 means unclaimed. A higher
/// token is newer, and records under an older one have no effect.
pub type FencingToken = u64;
/// Revision of a worker's list of running tasks.
pub type ReportRevision = u64;
/// Offset of a record group in the log.
pub type LogOffset = u64;
/// Sequence number of a record group within one process, from 1.
pub type GroupSequence = u64;
/// Number of a record whose writer waits until the record is applied, unique within one process.
pub type CommitTicket = u64;
/// Name of a job, `team/name`.
pub type JobId = Arc<str>;
/// Name of one attempt of a task and not of the task itself: `team/name#index@attempt`.
pub type TaskId = Arc<str>;
/// Number of an attempt of a task in a shard. A later owner of the shard uses higher numbers.
pub type AttemptNumber = u64;
/// Name of a team.
pub type TeamId = Arc<str>;
/// Name of a submission queue.
pub type QueueId = Arc<str>;
/// Name of a service.
pub type ServiceId = Arc<str>;
/// Name of a shard: `region/index` for workers, `service:name/index` for endpoints. The first kind is called
/// a worker shard, the second a service partition.
pub type ShardId = Arc<str>;
/// Name of a VM.
pub type VmId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Name of a region.
pub type RegionId = Arc<str>;
/// Name of a rack.
pub type RackId = Arc<str>;
/// Name of one incarnation of an entry process, `vm.incarnation`.
pub type ProcessId = Arc<str>;
/// Request id chosen by the caller, scoped by team: `team/id`.
pub type RequestId = Arc<str>;
/// Number of one dispatch of a request to an endpoint, unique within a router.
pub type AttemptId = u64;
/// SHA-256 digest of a request body or of a key.
pub type Sha256Digest = [u8; 32];
/// Name of a worker of a cell, assigned for each registration of a process that runs tasks. Shards name
/// their workers by [`VmId`].
pub type WorkerId = Arc<str>;
/// Number of one start of a task in a cell, from 1. A later start has a higher number.
pub type RunNumber = u64;
/// Number of an entry in a worker's list of ended tasks, from 1 in each incarnation of the worker.
pub type TaskEndNumber = u64;
/// Name of a checkpoint that a worker saved.
pub type CheckpointId = Arc<str>;
/// Ticket of a permit, which a worker requires to accept the tasks of a step.
pub type PermitTicket = Arc<str>;
/// Name of the image that the tasks of a step execute.
pub type ImageId = Arc<str>;
/// Label of a worker, which a step can require.
pub type LabelId = Arc<str>;
/// Number of a maintenance campaign.
pub type CampaignId = u64;
/// Reading of a worker's monotonic clock, counted from an origin that only the worker knows.
pub type WorkerTime = Duration;
/// Incarnation of a worker: its start as time since 1970, which distinguishes its restarts.
pub type WorkerIncarnation = Duration;
/// Number of a partition of a topic in the platform's store, from 0.
pub type PartitionNumber = u32;
