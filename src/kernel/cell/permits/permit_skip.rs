/// Why a step that lacks room or a permit sends no permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitSkip {
    /// A request is open, or the last one failed a short time ago.
    Requested,
    /// The step has tickets for all workers on which its tasks are expected to fit.
    Ticketed,
    /// No worker that could be named has room or is about to have it.
    NoRoom,
    /// Steps before it wait for the room that is expected.
    Behind,
    /// The request would wait too long for a process that can send it.
    Queue,
}

/// Number of waiting steps by the reason why they send no permit request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PermitSkipCounts {
    /// Steps with an open request or a failed one.
    pub requested: usize,
    /// Steps with tickets.
    pub ticketed: usize,
    /// Steps for which no room is expected.
    pub no_room: usize,
    /// Steps that are behind others.
    pub behind: usize,
    /// Steps whose request would wait too long.
    pub queue: usize,
}

impl PermitSkipCounts {
    /// Counts the reasons.
    #[must_use]
    pub fn of(skips: impl Iterator<Item = PermitSkip>) -> Self {
        let mut counts = Self::default();
        for skip in skips {
            let count = match skip {
                PermitSkip::Requested => &mut counts.requested,
                PermitSkip::Ticketed => &mut counts.ticketed,
                PermitSkip::NoRoom => &mut counts.no_room,
                PermitSkip::Behind => &mut counts.behind,
                PermitSkip::Queue => &mut counts.queue,
            };
            *count += 1;
        }
        counts
    }
}
