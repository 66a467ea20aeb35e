//! Stand-ins for the services that godwithaven depends on: the log service, the directory with the VM list,
//! workers and endpoints, and the store, the workers and the advisor of the users' platform. A relay adds
//! network faults, and [`invariant`] checks what the workers recorded.
//!
//! Most stand-ins are actix-rt tasks that own their state; tests control them with messages and set some of
//! their faults through watch channels. The directory has no such task: its list is in a watch channel.
//! Stand-ins implement the protocols of the design page and share no code with the library.

pub mod directory;
pub mod endpoint;
pub mod invariant;
pub mod logservice;
pub mod platform;
pub mod relay;
pub mod server;
pub mod worker;
pub mod world;
