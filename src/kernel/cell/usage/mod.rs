//! Past use of the teams of a cell: what is charged, how it is stored, and how it corrects the order of starts.
//!
//! The account itself is [`ShareAccounting`](crate::kernel::ShareAccounting), which the shards of the product
//! use too.

mod discarded_run;
mod team_standing;
mod team_usage;
mod usage_correction;
mod usage_record;
mod usage_schedule;
mod usage_watch;

pub use discarded_run::DiscardedRun;
pub use team_standing::TeamStanding;
pub use team_usage::TeamUsage;
pub use usage_correction::UsageCorrection;
pub use usage_record::UsageRecord;
pub use usage_schedule::UsageSchedule;
pub use usage_watch::UsageWatch;
