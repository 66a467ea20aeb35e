//! Stand-ins for the services that godwithaven depends on: the log service, the VM list, workers and
//! endpoints.
//!
//! Each stand-in is an actix-rt task that owns its state; tests control it with messages. Stand-ins implement
//! the protocols of the design page and share no code with the library.

pub mod directory;
pub mod endpoint;
pub mod invariant;
pub mod logservice;
pub mod platform;
pub mod relay;
pub mod server;
pub mod worker;
pub mod world;
