//! Where a job would go now, without submitting it.

mod job_forecast;
mod job_forecaster;
mod worker_fit;

pub use job_forecast::{JobForecast, StepForecast};
pub use job_forecaster::JobForecaster;
pub use worker_fit::WorkerFit;
