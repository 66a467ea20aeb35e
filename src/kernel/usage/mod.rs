//! Resources that teams use now and have used, for the shards of the product and for cells.

mod decayed_share;
mod share_accounting;
mod usage_decay;

pub use decayed_share::DecayedShare;
pub use share_accounting::ShareAccounting;
pub use usage_decay::UsageDecay;
