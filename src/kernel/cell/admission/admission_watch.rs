use std::collections::VecDeque;

use crate::kernel::cell::CellConfig;
use crate::kernel::cell::admission::{AdmissionEstimate, AdmissionNotice, QueueWait};
use crate::prelude::*;

/// Time for which a wait has to last before processes are told of it. Shorter ones come from bursts that the
/// cell works off, or from a moment without workers, as after a change of the owner.
const SUSTAIN_TIME: Duration = Duration::from_millis(1_500);
/// Multiple of the fixed part of the latency objective above which a wait is reported. No caller can use a
/// result that is later than this multiple of the whole objective.
const REPORTED_TARGETS: u32 = 3;

/// Finds the waits that have been long for some time.
///
/// The owner of the cell keeps it for its term. A new owner starts with an empty one, so that nothing is refused
/// before it has seen a long wait last.
#[derive(Clone, Debug, Default)]
pub struct AdmissionWatch {
    /// Estimates of the last [`SUSTAIN_TIME`], and the newest one before.
    recent: VecDeque<(Instant, AdmissionEstimate)>,
}

impl AdmissionWatch {
    /// Adds the estimate of `now`, and returns the waits that have been long for `SUSTAIN_TIME`. Each is the
    /// shortest of this time, so that a moment without a wait ends the notice.
    pub fn update(
        &mut self,
        estimate: AdmissionEstimate,
        config: &CellConfig,
        now: Instant,
    ) -> AdmissionNotice {
        self.recent.push_back((now, estimate));
        while self.recent.get(1).is_some_and(|(at, _)| now.saturating_duration_since(*at) >= SUSTAIN_TIME) {
            self.recent.pop_front();
        }
        let covered =
            self.recent.front().is_some_and(|(at, _)| now.saturating_duration_since(*at) >= SUSTAIN_TIME);
        let Some((_, newest)) = self.recent.back().filter(|_| covered) else {
            return AdmissionNotice::default();
        };
        let mut waits = Vec::new();
        for (queue, estimate) in &newest.queues {
            let Some(rule) = config.queues.get(queue) else { continue };
            let is_long = |wait: &Duration| *wait > rule.target.saturating_mul(REPORTED_TARGETS);
            let others = self.shortest(queue, None);
            let teams = estimate.teams.iter().map(|(team, _)| team);
            // With a long wait of the other teams, those with a shorter one have to be named as well.
            let teams = teams
                .map(|team| (team, self.shortest(queue, Some(team))))
                .filter(|(_, wait)| is_long(wait) || is_long(&others));
            let teams = teams.map(|(team, wait)| (Some(team.clone()), wait));
            let others = Some((None, others)).filter(|(_, wait)| is_long(wait));
            waits.extend(teams.chain(others).map(|(team, wait)| QueueWait {
                queue: queue.clone(),
                team,
                wait,
            }));
        }
        AdmissionNotice { waits, ..AdmissionNotice::default() }
    }

    /// Returns the shortest recent wait of a team, or of the teams without waiting work.
    fn shortest(&self, queue: &QueueId, team: Option<&TeamId>) -> Duration {
        let waits = self.recent.iter().map(|(_, estimate)| estimate.wait(queue, team).time);
        waits.min().unwrap_or_default()
    }
}
