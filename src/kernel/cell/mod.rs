//! Scheduling of multi-step jobs on the workers of a cell, and ownership of the cell.
//!
//! A cell is a set of workers and the jobs that one owner process schedules on them. The owner records each
//! start and each end in the log of the cell, which is a topic of the store, before it acts on it, so that
//! another process can take over by replaying the log. Submissions, cancellations and claims of ownership are
//! in other topics of the store.
//!
//! A job consists of steps, and a step of tasks that are all alike. An occurrence is one repetition of all
//! steps of a job, a run is one execution of a task on a worker, counted from the decision to start it, and a
//! gang is a step whose tasks have to run together. A term is the time from the claim of a process to the
//! loss of its ownership.

mod adaptive_timeout;
pub mod admission;
mod cell_config;
mod cell_effect;
mod cell_event;
mod cell_job;
mod cell_notice;
mod cell_record;
mod cell_scheduler;
mod cell_state;
mod cell_summary;
mod cell_worker;
mod claim_record;
mod claim_watch;
mod clock_reading;
mod command_answer;
mod end_handler;
mod forecast;
mod former_release;
mod gang_watch;
mod graph_spec;
mod handover_watch;
mod job_snapshot;
mod job_status;
mod late_runs;
mod leases;
mod listing_update;
mod order;
mod permits;
mod poll_reconciler;
mod poll_report;
mod pools;
mod record_replayer;
mod replay_outcome;
mod retention;
mod run_end;
mod run_time_estimator;
mod session;
mod skipped_records;
mod slow_runs;
mod start_pass;
mod step_key;
mod step_spec;
mod step_state;
mod store_health;
mod submit_rate;
mod task_key;
mod task_placement;
mod task_table;
mod term_release;
mod usage;
mod waiting_tasks;

pub use adaptive_timeout::AdaptiveTimeout;
pub use cell_config::{CellConfig, PermitRule, QueueRule, TeamRule};
pub use cell_effect::{CellEffect, StartCommand, StartInputs, StopCommand};
pub use cell_event::{CellEvent, CommandOutcome, WorkerListing};
pub use cell_job::{CLOSED_JOB_RETENTION, CellJob, OccurrenceState};
pub use cell_notice::CellNotice;
pub use cell_record::CellRecord;
pub use cell_scheduler::CellScheduler;
pub use cell_state::{CellState, StepView};
pub use cell_summary::{CellSummary, PoolSummary, WaitSummary};
pub use cell_worker::CellWorker;
pub use claim_record::{ClaimKind, ClaimRecord};
pub use claim_watch::{CellOwner, ClaimWatch};
pub use clock_reading::ClockReading;
pub use command_answer::CommandAnswer;
pub use end_handler::EndHandler;
pub use forecast::{JobForecast, JobForecaster, StepForecast, WorkerFit};
pub use former_release::FormerRelease;
pub use gang_watch::GangWatch;
pub use graph_spec::{GraphSpec, MAX_ESTIMATE, MAX_STEPS_PER_JOB, MAX_TASKS_PER_JOB, RepeatSchedule};
pub use handover_watch::{HandoverWatch, MIN_OWNER_MILLICORES, Millicores, ProxyNumber};
pub use job_snapshot::{JobSnapshot, OccurrenceSnapshot, StepSnapshot, TaskSnapshot};
pub use job_status::JobStatus;
pub use late_runs::{LateEvidence, LateRun, RunWatch};
pub use leases::{
    CLOCK_READING_ERROR, CallFence, FORMER_CALL_TIME, FormerLease, InheritedLeases, LATE_CALL_WINDOW,
    LeaseBasis, LeaseWatch, RestartRule, WorkerFence, WorkerLease, longest_real_time,
};
pub use listing_update::ListingUpdate;
pub use order::{
    ClassSummary, EstimateRatios, JobLateness, PassOrder, PreemptionHeadroom, PreemptionRule, RankUpdate,
    RankedStep, ReadySteps, ShareStanding, StepClass, StepRank, StepRanking, TaskRank, VictimSearch,
};
pub use permits::{
    IdleAccelerators, PermitCache, PermitDemand, PermitDispatch, PermitLoad, PermitOption, PermitPlan,
    PermitPlanner, PermitRequest, PermitRequestKind, PermitRequestNumber, PermitSkip, PermitSkipCounts,
    PermitStats, QueuePermitStats, RoomForecast,
};
pub use poll_reconciler::PollReconciler;
pub use poll_report::{EndCause, EndedRun, PollReport, RunningRun};
pub use pools::WorkerPools;
pub use record_replayer::RecordReplayer;
pub use replay_outcome::ReplayOutcome;
pub use retention::{LogPosition, PartitionBound};
pub use run_end::{EndSource, LossCause, RunEnd};
pub use run_time_estimator::RunTimeEstimator;
pub use session::{AnswerChange, KnownWorker, NotSentReason, PollRequest, TermAuthority, WorkerSession};
pub use skipped_records::SkippedRecords;
pub use slow_runs::{
    CallerSlack, CopyKeeper, DiscardBudget, ExpectationSource, LookPlanner, ProgressUpdate, RunExpectation,
    RunForecast, RunTimeProfile, RunnerProfile, SlowRun, SlowRunAction, SlowRunEvidence, SlowRunState,
    SlowRunWatch, StepExpectations, StopCost,
};
pub use start_pass::{PassRotation, StartPass};
pub use step_key::StepKey;
pub use step_spec::StepSpec;
pub use step_state::{StepState, StepWait, TaskState};
pub use store_health::StoreHealth;
pub use submit_rate::SubmitRate;
pub use task_key::TaskKey;
pub use task_placement::{COMMAND_VALIDITY, PlacementPhase, TaskPlacement};
pub use task_table::TaskTable;
pub use term_release::TermRelease;
pub use usage::{
    DiscardedRun, TeamStanding, TeamUsage, UsageCorrection, UsageRecord, UsageSchedule, UsageWatch,
};
pub use waiting_tasks::WaitingTasks;
