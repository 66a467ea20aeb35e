//! Finds runs that are far slower than a new run of their task would be, and decides whether to restart them.

mod caller_slack;
mod copy_keeper;
mod discard_budget;
mod look_planner;
mod progress_update;
mod run_expectation;
mod run_forecast;
mod run_time_profile;
mod runner_profile;
mod slow_run;
mod slow_run_state;
mod slow_run_watch;
mod step_expectations;
mod stop_cost;

pub use caller_slack::CallerSlack;
pub use copy_keeper::CopyKeeper;
pub use discard_budget::DiscardBudget;
pub use look_planner::LookPlanner;
pub use progress_update::ProgressUpdate;
pub use run_expectation::{ExpectationSource, RunExpectation};
pub use run_forecast::RunForecast;
pub use run_time_profile::RunTimeProfile;
pub use runner_profile::RunnerProfile;
pub use slow_run::{SlowRun, SlowRunAction, SlowRunEvidence};
pub use slow_run_state::SlowRunState;
pub use slow_run_watch::SlowRunWatch;
pub use step_expectations::StepExpectations;
pub use stop_cost::StopCost;
