use serde::{Deserialize, Serialize};

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed.
    #[display("bad_request")]
    BadRequest,
    /// No key was given where one is needed.
    #[display("key_missing")]
    KeyMissing,
    /// The key is not, or no longer, granted.
    #[display("key_unknown")]
    KeyUnknown,
    /// The key belongs to another team.
    #[display("key_of_other_team")]
    KeyOfOtherTeam,
    /// No such queue, service, team or job.
    #[display("not_found")]
    NotFound,
    /// The id was used before with another body.
    #[display("id_reused")]
    IdReused,
    /// The body is larger than the limit.
    #[display("too_large")]
    TooLarge,
    /// A bounded queue is full.
    #[display("queue_full")]
    QueueFull,
    /// The job fits no VM.
    #[display("fits_nowhere")]
    FitsNowhere,
    /// The deadline cannot be met.
    #[display("deadline")]
    Deadline,
    /// No configuration is in force, or it is too old.
    #[display("no_configuration")]
    NoConfiguration,
    /// The log cannot be reached.
    #[display("log_unavailable")]
    LogUnavailable,
    /// No endpoint can take the request.
    #[display("no_endpoint")]
    NoEndpoint,
    /// No process owns the shard at present.
    #[display("no_owner")]
    NoOwner,
    /// The process is stopping.
    #[display("stopping")]
    Stopping,
    /// The connection to the endpoint failed after the request was sent.
    #[display("connection_lost")]
    ConnectionLost,
    /// The answer did not arrive in time.
    #[display("timeout")]
    Timeout,
    /// The answer is no longer known.
    #[display("answer_unknown")]
    AnswerUnknown,
}
