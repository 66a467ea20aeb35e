use std::collections::BTreeMap;

use crate::prelude::*;

/// Waiting work for one resource, by the priority of its queue and by team.
///
/// Work is given as the time in seconds for which it would use the whole resource.
#[derive(Clone, Debug, Default)]
pub struct WaitingWork {
    priorities: BTreeMap<u32, FastMap<TeamId, f64>>,
}

impl WaitingWork {
    /// Adds work of a team.
    pub fn add(&mut self, priority: u32, team: &TeamId, seconds: f64) {
        *self.priorities.entry(priority).or_default().entry(team.clone()).or_default() += seconds;
    }

    /// Returns the teams with work; some of them several times.
    pub fn teams(&self) -> impl Iterator<Item = &TeamId> {
        self.priorities.values().flat_map(FastMap::keys)
    }

    /// Returns all work.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.priorities.values().flat_map(FastMap::values).sum()
    }

    /// Returns the work of all teams in queues of a priority below `priority`, which is more urgent.
    #[must_use]
    pub fn more_urgent(&self, priority: u32) -> f64 {
        self.priorities.range(..priority).flat_map(|(_, teams)| teams.values()).sum()
    }

    /// Returns the work of all teams in queues that are as urgent as `priority` or more.
    #[must_use]
    pub fn up_to(&self, priority: u32) -> f64 {
        self.priorities.range(..=priority).flat_map(|(_, teams)| teams.values()).sum()
    }

    /// Returns the work of a team in queues that are as urgent as `priority` or more.
    #[must_use]
    pub fn of_team(&self, priority: u32, team: &str) -> f64 {
        self.priorities.range(..=priority).filter_map(|(_, teams)| teams.get(team)).sum()
    }

    /// Returns how long a new job of a team waits until the work before it has got the resource. Teams with
    /// work in queues of the same priority share the resource by `weight`, so that the work of the others does
    /// not delay a team for longer than its own work takes in its part of the resource.
    #[must_use]
    pub fn wait(&self, priority: u32, team: &str, weight: impl Fn(&str) -> f64) -> f64 {
        let before = self.more_urgent(priority);
        let Some(teams) = self.priorities.get(&priority) else { return before };
        let own = teams.get(team).copied().unwrap_or_default();
        let weights: f64 = teams.keys().map(|team| weight(team)).sum();
        let all: f64 = teams.values().sum();
        before + (own * weights / weight(team)).min(all)
    }
}
