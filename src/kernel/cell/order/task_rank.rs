/// Urgency of a task for preemptions; lower ranks are more urgent. Holds whether the job was submitted above the
/// rate of its team, then the priority of its queue. The other fields of a
/// [`StepRank`](crate::kernel::cell::StepRank) decide on the order of starts but not on preemptions.
pub type TaskRank = (bool, u32);
