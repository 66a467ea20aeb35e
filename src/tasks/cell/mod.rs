//! The actix-rt tasks of an entry process that serves a cell: admission of calls, ownership, scheduling and
//! commands to workers.

pub mod admission;
mod admission_report;
pub mod advisor;
mod await_optional;
pub mod claim;
pub mod config_feed;
mod decision_log;
pub mod inbox;
pub mod intake;
pub mod link;
mod link_answer;
pub mod metrics;
pub mod operator_pages;
pub mod owner;
mod owner_state;
pub mod ownership_check;
pub mod ownership_lease;
pub mod peer;
pub mod pending_refusal;
pub mod ports;
pub mod process;
mod process_listeners;
pub mod record_codec;
mod recovery;
mod recovery_summary;
pub mod settings;
pub mod store_limits;
pub mod submit_queue;
pub mod tail;
pub mod term_log;
