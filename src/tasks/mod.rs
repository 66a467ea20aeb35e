//! The actix-rt tasks of an entry process. Each task owns its sockets and its state; tasks exchange messages
//! over bounded channels.

pub mod adapter;
pub mod admission;
pub mod cell;
pub mod client_access;
pub mod connection_lease;
pub mod connection_metrics;
pub mod connections;
pub mod directory;
pub mod endpoint;
pub mod entry;
pub mod forward;
pub mod heartbeat;
pub mod journal;
mod leased_stream;
mod metric_registration;
pub mod metrics;
pub mod operator;
pub mod operator_view;
pub mod outbox;
pub mod partition;
pub mod peer;
pub mod peer_explain;
pub mod publisher;
pub mod read_barrier;
pub mod router;
pub mod router_message;
pub mod scheduler;
pub mod sync_loop;
pub mod transfer;
pub mod vm_list;
pub mod worker;

/// Capacity of a task's channel in messages; senders wait while it is full.
pub const CHANNEL_CAPACITY: usize = 4_096;
