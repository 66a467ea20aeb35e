//! Ids and types that most modules use, imported with `use crate::prelude::*`.

pub use std::sync::Arc;
pub use std::time::{Duration, Instant, SystemTime};

pub use rustc_hash::{FxHashMap as FastMap, FxHashSet as FastSet};

pub use crate::kernel::id::*;
pub use crate::kernel::{JobSpec, LogRecord, PolicyBundle, ResourceVector};
