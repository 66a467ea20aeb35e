/// Why a start command is not sent, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum NotSentReason {
    /// The answer to the append of its record came too late to show that this process is still the owner.
    #[display("append_not_fresh")]
    AppendNotFresh,
    /// The command has expired.
    #[display("expired")]
    Expired,
    /// The run was given up or stopped while its record was stored.
    #[display("run_given_up")]
    RunGivenUp,
    /// The owner has no link to the worker.
    #[display("no_link")]
    NoLink,
    /// The store has not confirmed recently that this process is still the owner.
    #[display("ownership_not_confirmed")]
    OwnershipNotConfirmed,
    /// The worker has not answered its last poll.
    #[display("worker_silent")]
    WorkerSilent,
    /// The lease of the worker may not be renewed.
    #[display("worker_not_renewable")]
    WorkerNotRenewable,
    /// Another incarnation of the worker answers than the one that the decision is based on.
    #[display("other_incarnation")]
    OtherIncarnation,
    /// The worker may still carry out calls for a former incarnation.
    #[display("worker_unfenced")]
    WorkerUnfenced,
    /// The clock of the worker, by which a lease is granted, is unknown.
    #[display("worker_clock_unknown")]
    WorkerClockUnknown,
}
