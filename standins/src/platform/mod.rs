//! Stand-ins for the users' platform: its log store, its workers and its placement advisor.

mod advisor;
mod call_delay;
mod cut_side;
mod model_call;
mod model_host;
mod runs_report;
mod store;
mod worker;
mod worker_action;
mod worker_answer;
mod worker_clock;
mod worker_event;
mod worker_model;
mod worker_outcome;
mod worker_request;
mod worker_state;

pub use advisor::AdvisorStandin;
pub use call_delay::{CallDelay, CallKind};
pub use cut_side::CutSide;
pub use model_call::{CallState, ModelCall};
pub use model_host::ModelHost;
pub use runs_report::RunsReport;
pub use store::StoreStandin;
pub use worker::PlatformWorker;
pub use worker_action::WorkerAction;
pub use worker_answer::WorkerAnswer;
pub use worker_clock::WorkerClock;
pub use worker_event::WorkerEvent;
pub use worker_model::WorkerModel;
pub use worker_outcome::WorkerOutcome;
pub use worker_request::WorkerRequest;
