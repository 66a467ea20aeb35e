//! Decisions: typed events and the current time in, typed effects out.
//!
//! Nothing here knows a socket, a clock, a random source or a message encoding.

mod admission_check;
mod bundle_codec;
mod endpoint_summary;
mod endpoint_vm;
mod front_reply;
mod front_request;
mod group_commit;
pub mod id;
mod job_explanation;
mod job_kind;
mod job_outcome;
mod job_spec;
mod job_state;
mod ledger_change;
mod ledger_state;
mod log_record;
mod peer_view;
mod placement_policy;
mod plugin_registry;
mod policy_bundle;
mod record_group;
mod refusal_reason;
pub mod rendezvous;
mod resource_vector;
mod route_effect;
mod route_event;
mod routing_policy;
mod run_state;
mod schedule_effect;
mod schedule_event;
mod service_router;
mod shard_claim;
mod shard_scheduler;
mod shard_summary;
mod task_end;
mod team_refusal;
mod worker_command;
mod worker_report;
mod worker_state;
mod worker_vm;

pub use admission_check::AdmissionCheck;
pub use bundle_codec::BundleCodec;
pub use endpoint_summary::EndpointSummary;
pub use endpoint_vm::EndpointVm;
pub use front_reply::FrontReply;
pub use front_request::FrontRequest;
pub use group_commit::GroupCommit;
pub use job_explanation::JobExplanation;
pub use job_kind::{JobKind, PriorityClass};
pub use job_outcome::JobOutcome;
pub use job_spec::JobSpec;
pub use job_state::JobState;
pub use ledger_change::LedgerChange;
pub use ledger_state::LedgerState;
pub use log_record::LogRecord;
pub use peer_view::{PeerView, SUSPECT_AFTER};
pub use placement_policy::PlacementPolicy;
pub use plugin_registry::{PluginEntry, PluginRegistry, known_names};
pub use policy_bundle::{
    BundleRecord, PlacementChoice, PolicyBundle, QueuePolicy, ServicePolicy, TeamKey, TeamPolicy, ZonePolicy,
    ZoneState,
};
pub use record_group::RecordGroup;
pub use refusal_reason::RefusalReason;
pub use resource_vector::ResourceVector;
pub use route_effect::RouteEffect;
pub use route_event::{RouteEvent, RouteFailure, RouteRequest};
pub use routing_policy::{EndpointLoad, RoutingPolicy};
pub use run_state::RunState;
pub use schedule_effect::ScheduleEffect;
pub use schedule_event::ScheduleEvent;
pub use service_router::ServiceRouter;
pub use shard_claim::ShardClaim;
pub use shard_scheduler::ShardScheduler;
pub use shard_summary::ShardSummary;
pub use task_end::{TaskEnd, TaskEnding};
pub use team_refusal::TeamRefusal;
pub use worker_command::WorkerCommand;
pub use worker_report::{TaskReport, WorkerReport};
pub use worker_state::WorkerState;
pub use worker_vm::WorkerVm;
