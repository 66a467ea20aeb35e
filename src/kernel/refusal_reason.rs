use serde::{Deserialize, Serialize};

/// Stable code of a refusal, which callers can rely on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// The request needs a key and has none.
    #[display("key_missing")]
    KeyMissing,
    /// The key is not granted, or no longer.
    #[display("key_unknown")]
    KeyUnknown,
    /// The key belongs to another team.
    #[display("key_of_other_team")]
    KeyOfOtherTeam,
    /// The queue, service, team or job does not exist.
    #[display("not_found")]
    NotFound,
    /// The id was used before for another job or request.
    #[display("id_reused")]
    IdReused,
    /// The request body exceeds the size limit.
    #[display("too_large")]
    TooLarge,
    /// A bound on open tasks or open requests is reached.
    #[display("queue_full")]
    QueueFull,
    /// No worker is large enough for a task of the job, even if empty, or the workers cannot hold its gang.
    #[display("fits_nowhere")]
    FitsNowhere,
    /// The deadline passed before the work was started, or cannot be met. Also if all callers disconnect
    /// while the request is not in flight.
    #[display("deadline")]
    Deadline,
    /// No usable bundle is in force, or the bundle of the process may be out of date.
    #[display("no_configuration")]
    NoConfiguration,
    /// The control log cannot be read or appended to.
    #[display("log_unavailable")]
    LogUnavailable,
    /// No endpoint started the request in any attempt.
    #[display("no_endpoint")]
    NoEndpoint,
    /// No process owns the shard now, or its owner cannot be reached or no longer takes requests for it: the
    /// process is stopping, or another one owns the shard. Also if an attempt fails after all callers have
    /// disconnected.
    #[display("no_owner")]
    NoOwner,
    /// The entry process is stopping.
    #[display("stopping")]
    Stopping,
    /// The connection to the endpoint failed after the request may have been sent.
    #[display("connection_lost")]
    ConnectionLost,
    /// The endpoint did not answer before the deadline.
    #[display("timeout")]
    Timeout,
    /// The id was used before, and the answer is not known any more.
    #[display("answer_unknown")]
    AnswerUnknown,
}
