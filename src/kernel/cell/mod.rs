//! Decides which tasks of multi-step jobs run on which workers of a cell, and which process decides it.
//!
//! A cell is everything that one owner process decides for. The owner records each start and each end in its log
//! before it acts on it, so that another process can take over by replaying the log.

mod call_timing;
mod cell_config;
mod cell_effect;
mod cell_event;
mod cell_job;
mod cell_record;
mod cell_scheduler;
mod cell_state;
mod cell_summary;
mod cell_worker;
mod claim_record;
mod claim_watch;
mod graph_spec;
mod job_status;
mod look_fold;
mod permit_book;
mod run_times;
mod start_pass;
mod step_key;
mod step_ranking;
mod step_spec;
mod step_state;
mod store_health;
mod straggler_watch;
mod submit_rate;
mod task_key;
mod task_placement;
mod victim_search;
mod worker_lease;
mod worker_look;
mod yield_headroom;

pub use call_timing::CallTiming;
pub use cell_config::{CellConfig, PermitRule, QueueRule, TeamRule};
pub use cell_effect::{CellEffect, StartInputs, StartOrder, StopOrder};
pub use cell_event::{CellEvent, OrderOutcome, WorkerListing};
pub use cell_job::{CellJob, OccurrenceState};
pub use cell_record::CellRecord;
pub use cell_scheduler::CellScheduler;
pub use cell_state::CellState;
pub use cell_summary::{CellSummary, PoolSummary};
pub use cell_worker::CellWorker;
pub use claim_record::{ClaimKind, ClaimRecord};
pub use claim_watch::{CellOwner, ClaimWatch};
pub use graph_spec::{GraphSpec, RepeatSchedule};
pub use job_status::JobStatus;
pub use look_fold::LookFold;
pub use permit_book::PermitBook;
pub use run_times::RunTimes;
pub use start_pass::StartPass;
pub use step_key::StepKey;
pub use step_ranking::StepRanking;
pub use step_spec::StepSpec;
pub use step_state::{JobLateness, StepOrder, StepState, StepWait, TaskState};
pub use store_health::StoreHealth;
pub use straggler_watch::StragglerWatch;
pub use submit_rate::SubmitRate;
pub use task_key::TaskKey;
pub use task_placement::{PlacementPhase, TaskPlacement};
pub use victim_search::{TaskRank, VictimSearch};
pub use worker_lease::WorkerLease;
pub use worker_look::{EndCause, EndedRun, RunningRun, WorkerLook};
pub use yield_headroom::YieldHeadroom;
