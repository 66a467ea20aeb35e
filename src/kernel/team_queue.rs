use std::collections::{BTreeMap, BTreeSet};

use crate::kernel::TeamLimits;
use crate::prelude::*;

/// Weight of a team that the configuration does not name.
const DEFAULT_SHARE: u64 = 1;
/// Bound of a team that the configuration does not name.
const DEFAULT_MAX_REQUESTS: u32 = 1_000;

/// Waiting requests: teams by weighted slot time, earliest deadline first within a team.
#[derive(Clone, Debug, Default)]
pub struct TeamQueue {
    lanes: BTreeMap<TeamId, TeamLane>,
    waiting: usize,
    /// Weighted slot time of the lane that was served last; new lanes start here.
    virtual_time: f64,
}

#[derive(Clone, Debug)]
struct TeamLane {
    share: u64,
    max_requests: u32,
    open: u32,
    spent: f64,
    waiting: BTreeSet<(Instant, u64, RequestId)>,
}

impl TeamLane {
    const fn new(share: u64, max_requests: u32, spent: f64) -> Self {
        Self { share, max_requests, open: 0, spent, waiting: BTreeSet::new() }
    }
}

impl TeamQueue {
    /// Takes over shares and bounds; waiting requests stay.
    pub fn set_teams(&mut self, teams: &[TeamLimits]) {
        for team in teams {
            let lane = self.lane(&team.team);
            lane.share = team.share.max(1);
            lane.max_requests = team.max_requests;
        }
        self.lanes.retain(|id, lane| lane.open > 0 || teams.iter().any(|team| team.team == *id));
    }

    /// Whether the team may have one more open request.
    #[must_use]
    pub fn has_room(&self, team: &TeamId) -> bool {
        self.lanes.get(team).is_none_or(|lane| lane.open < lane.max_requests)
    }

    /// Counts one more open request of the team.
    pub fn open(&mut self, team: &TeamId) {
        let now = self.virtual_time;
        let lane = self.lane(team);
        if lane.open == 0 {
            // A team that was idle must not collect a claim on the past.
            lane.spent = lane.spent.max(now);
        }
        lane.open += 1;
    }

    /// Counts one open request of the team less.
    pub fn close(&mut self, team: &TeamId) {
        let lane = self.lane(team);
        lane.open = lane.open.saturating_sub(1);
    }

    /// Adds a request.
    pub fn push(&mut self, team: &TeamId, deadline: Instant, sequence: u64, id: RequestId) {
        let added = self.lane(team).waiting.insert((deadline, sequence, id));
        self.waiting += usize::from(added);
    }

    /// Removes a request wherever it waits.
    pub fn remove(&mut self, team: &TeamId, deadline: Instant, sequence: u64, id: &RequestId) {
        let removed = self.lane(team).waiting.remove(&(deadline, sequence, id.clone()));
        self.waiting -= usize::from(removed);
    }

    /// Removes and returns the request to serve next.
    pub fn pop(&mut self) -> Option<RequestId> {
        let ready = self.lanes.values_mut().filter(|lane| !lane.waiting.is_empty());
        let lane = ready.min_by(|left, right| left.spent.total_cmp(&right.spent))?;
        self.virtual_time = self.virtual_time.max(lane.spent);
        let (_, _, id) = lane.waiting.pop_first()?;
        self.waiting -= 1;
        Some(id)
    }

    /// Charges slot time to a team; negative to correct an earlier estimate.
    pub fn charge(&mut self, team: &TeamId, seconds: f64) {
        let lane = self.lane(team);
        #[expect(clippy::cast_precision_loss, reason = "shares are small whole numbers")]
        let share = lane.share as f64;
        lane.spent += seconds / share;
    }

    /// Returns how many requests of the team wait with a deadline up to the given one.
    #[must_use]
    pub fn ahead(&self, team: &TeamId, deadline: Instant) -> usize {
        let Some(lane) = self.lanes.get(team) else { return 0 };
        // Deadlines are mostly in order of arrival, so counting from the end is short.
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
        let spent = self.virtual_time;
        let new = || TeamLane::new(DEFAULT_SHARE, DEFAULT_MAX_REQUESTS, spent);
        self.lanes.entry(team.clone()).or_insert_with(new)
    }
}
