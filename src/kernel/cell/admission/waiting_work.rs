use std::collections::BTreeMap;

use crate::kernel::cell::JobLateness;
use crate::prelude::*;

/// Waiting work for one resource, by the priority of its queue, the lateness of its job and by team.
///
/// Work is given as the time in seconds for which it would use the whole resource.
#[derive(Clone, Debug, Default)]
pub struct WaitingWork {
    levels: BTreeMap<(u32, JobLateness), FastMap<TeamId, f64>>,
}

impl WaitingWork {
    /// Adds work of a team.
    pub fn add(&mut self, priority: u32, lateness: JobLateness, team: &TeamId, seconds: f64) {
        *self.levels.entry((priority, lateness)).or_default().entry(team.clone()).or_default() += seconds;
    }

    /// Returns the teams with work; some of them several times.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        self.levels.values().flat_map(FastMap::keys)
    }

    /// Returns all work.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.levels.values().flat_map(FastMap::values).sum()
    }

    /// Returns the work of all teams in queues of a priority below `priority`, which is more urgent.
    #[must_use]
    pub fn more_urgent(&self, priority: u32) -> f64 {
        self.levels.range(..(priority, JobLateness::InTime)).flat_map(|(_, teams)| teams.values()).sum()
    }

    /// Returns the work of all teams that comes before new jobs of queues of that priority.
    #[must_use]
    pub fn up_to(&self, priority: u32) -> f64 {
        self.levels.range(..=(priority, JobLateness::InTime)).flat_map(|(_, teams)| teams.values()).sum()
    }

    /// Returns the work of a team that comes before its new jobs in queues of that priority.
    #[must_use]
    pub fn of_team(&self, priority: u32, team: &str) -> f64 {
        self.levels.range(..=(priority, JobLateness::InTime)).filter_map(|(_, teams)| teams.get(team)).sum()
    }

    /// Returns how long a new job of a team waits until the work before it has got the resource. Late jobs of
    /// queues of the same priority come after it. Teams with work in these queues share the resource by `weight`, so that the work of the others does
    /// not delay a team for longer than its own work takes in its part of the resource.
    #[must_use]
    pub fn wait(&self, priority: u32, team: &str, weight: impl Fn(&str) -> f64) -> f64 {
        let before = self.more_urgent(priority);
        let Some(teams) = self.levels.get(&(priority, JobLateness::InTime)) else { return before };
        let own = teams.get(team).copied().unwrap_or_default();
        let weights: f64 = teams.keys().map(|team| weight(team)).sum();
        let all: f64 = teams.values().sum();
        before + (own * weights / weight(team)).min(all)
    }
}
