//! Decides which steps ask the placement advisor for permits, when, and for which workers.

mod idle_accelerators;
mod permit_cache;
mod permit_demand;
mod permit_dispatch;
mod permit_load;
mod permit_option;
mod permit_plan;
mod permit_planner;
mod permit_request;
mod permit_skip;
mod permit_stats;
mod room_forecast;

pub use idle_accelerators::IdleAccelerators;
pub use permit_cache::PermitCache;
pub use permit_demand::PermitDemand;
pub use permit_dispatch::{PermitDispatch, PermitRequestNumber};
pub use permit_load::PermitLoad;
pub use permit_option::PermitOption;
pub use permit_plan::{PermitPlan, PermitRequestKind};
pub use permit_planner::PermitPlanner;
pub use permit_request::PermitRequest;
pub use permit_skip::{PermitSkip, PermitSkipCounts};
pub use permit_stats::{PermitStats, QueuePermitStats};
pub use room_forecast::RoomForecast;
