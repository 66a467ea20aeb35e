use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::TeamLimits;
use crate::prelude::*;

/// Weight of a team that the bundle does not name.
const DEFAULT_WEIGHT: u64 = 1;
/// Bound on the open requests of a team that the bundle does not name.
const DEFAULT_MAX_REQUESTS: u32 = 1_000;

/// Weighted fair queue of waiting requests. The team with the least slot time relative to its weight is
/// served first; within a team, the request with the earliest deadline.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    lanes: BTreeMap<TeamId, TeamLane>,
    waiting: usize,
    /// Highest `weighted_time` of a lane that was served; idle lanes start from it.
    virtual_time: f64,
}

/// Queue and counters of one team.
#[derive(Clone, Debug)]
struct TeamLane {
    weight: u64,
    max_requests: u32,
    open: u32,
    /// Slot time in seconds that was charged to the team, divided by its weight.
    weighted_time: f64,
    waiting: BTreeSet<(Instant, u64, RequestId)>,
}

impl TeamLane {
    const fn new(weight: u64, max_requests: u32, weighted_time: f64) -> Self {
        Self { weight, max_requests, open: 0, weighted_time, waiting: BTreeSet::new() }
    }
}

impl TeamQueue {
    /// Sets the weights and bounds of the teams; waiting requests stay queued.
    pub fn set_teams(&mut self, teams: &[TeamLimits]) {
        for team in teams {
            let lane = self.lane(&team.team);
            lane.weight = team.share.max(1);
            lane.max_requests = team.max_requests;
        }
        self.lanes.retain(|id, lane| lane.open > 0 || teams.iter().any(|team| team.team == *id));
    }

    /// Whether the bound of the team allows one more open request.
    #[must_use]
    pub fn has_room(&self, team: &TeamId) -> bool {
        self.lanes.get(team).is_none_or(|lane| lane.open < lane.max_requests)
    }

    /// Counts one more open request of the team.
    pub fn open(&mut self, team: &TeamId) {
        let virtual_time = self.virtual_time;
        let lane = self.lane(team);
        if lane.open == 0 {
            // A team must not accumulate credit while it is idle.
            lane.weighted_time = lane.weighted_time.max(virtual_time);
        }
        lane.open += 1;
    }

    /// Counts one open request of the team as ended.
    pub fn close(&mut self, team: &TeamId) {
        let lane = self.lane(team);
        lane.open = lane.open.saturating_sub(1);
    }

    /// Queues a request; `sequence` orders requests with the same deadline.
    pub fn push(&mut self, team: &TeamId, deadline: Instant, sequence: u64, id: RequestId) {
        let added = self.lane(team).waiting.insert((deadline, sequence, id));
        self.waiting += usize::from(added);
    }

    /// Removes a request if it is queued with this deadline and sequence.
    pub fn remove(&mut self, team: &TeamId, deadline: Instant, sequence: u64, id: &RequestId) {
        let removed = self.lane(team).waiting.remove(&(deadline, sequence, id.clone()));
        self.waiting -= usize::from(removed);
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<RequestId> {
        let ready = self.lanes.values_mut().filter(|lane| !lane.waiting.is_empty());
        let lane = ready.min_by(|left, right| left.weighted_time.total_cmp(&right.weighted_time))?;
        self.virtual_time = self.virtual_time.max(lane.weighted_time);
        let (_, _, id) = lane.waiting.pop_first()?;
        self.waiting -= 1;
        Some(id)
    }

    /// Charges slot time in seconds to a team; a negative value corrects an earlier estimate.
    pub fn charge(&mut self, team: &TeamId, seconds: f64) {
        let lane = self.lane(team);
        #[expect(clippy::cast_precision_loss, reason = "shares are small whole numbers")]
        let weight = lane.weight as f64;
        lane.weighted_time += seconds / weight;
    }

    /// Returns how many requests of the team wait with a deadline up to `deadline`.
    #[must_use]
    pub fn waiting_ahead(&self, team: &TeamId, deadline: Instant) -> usize {
        let Some(lane) = self.lanes.get(team) else { return 0 };
        // Deadlines mostly follow the order of arrival, so few later ones are counted from the end.
        lane.waiting.len() - lane.waiting.iter().rev().take_while(|(at, ..)| *at > deadline).count()
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    fn lane(&mut self, team: &TeamId) -> &mut TeamLane {
        let weighted_time = self.virtual_time;
        let new = || TeamLane::new(DEFAULT_WEIGHT, DEFAULT_MAX_REQUESTS, weighted_time);
        self.lanes.entry(team.clone()).or_insert_with(new)
    }
}
