/// What the latest possible end of a worker's lease was worked out from, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum LeaseBasis {
    /// The leases that earlier owners may have granted, by their records or by the longest time that is possible.
    #[display("inherited")]
    Inherited,
    /// The first answer to this owner, since which the worker refuses the calls of earlier ones.
    #[display("first_answer")]
    FirstAnswer,
    /// A lease that this owner granted by the clock of the present incarnation.
    #[display("grant")]
    Grant,
    /// A call for a former incarnation, whose expiry by the former clock the worker has shortened.
    #[display("former_incarnation")]
    FormerIncarnation,
    /// The worker is gone, and nothing runs there.
    #[display("ended")]
    Ended,
}
