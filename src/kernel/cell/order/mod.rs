//! Order of starts when not all waiting tasks can start: which steps a pass tries first, and which may preempt
//! others and reserve room. docs/design/order.md gives the reasons.

mod class_summary;
mod estimate_ratios;
mod job_lateness;
mod pass_order;
mod preemption_headroom;
mod preemption_rule;
mod rank_update;
mod ready_steps;
mod share_standing;
mod step_class;
mod step_rank;
mod step_ranking;
mod task_rank;
mod victim_search;

pub use class_summary::ClassSummary;
pub use estimate_ratios::EstimateRatios;
pub use job_lateness::JobLateness;
pub use pass_order::PassOrder;
pub use preemption_headroom::PreemptionHeadroom;
pub use preemption_rule::PreemptionRule;
pub use rank_update::RankUpdate;
pub use ready_steps::{RankedStep, ReadySteps};
pub use share_standing::ShareStanding;
pub use step_class::StepClass;
pub use step_rank::StepRank;
pub use step_ranking::StepRanking;
pub use task_rank::TaskRank;
pub use victim_search::VictimSearch;
