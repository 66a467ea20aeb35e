use super::StartPass;
use crate::kernel::cell::{StepKey, TaskKey, TaskRank, VictimSearch};
use crate::prelude::*;

impl StartPass<'_> {
    /// Preempts less urgent tasks of a team at its limit, so that `missing` tasks of the step can start.
    pub(super) fn preempt_in_team(&mut self, key: &StepKey, task_rank: TaskRank, missing: u32) {
        let Some((spec, step, _)) = self.state.step(key) else { return };
        let team = spec.team.clone();
        let wanted = step.need.times(u64::from(missing));
        let exhausted = self.teams_without_victims.get(&team).is_some_and(|searched| task_rank >= *searched);
        if exhausted || self.preemptions_left == 0 {
            return;
        }
        let free = self.state.shares.remaining_allotment(&team).plus(self.stopping_in_team(&team));
        if wanted.fits(free) {
            return;
        }
        let search = VictimSearch { state: self.state, rank: task_rank };
        let victims = search.find_in_team(&team, wanted, free, self.now);
        if victims.is_empty() {
            self.teams_without_victims.insert(team.clone(), task_rank);
        }
        for victim in victims.into_iter().take(self.preemptions_left) {
            self.preemptions_left -= 1;
            self.note_preempted(&victim, &team);
            self.state.preempt(&victim, "yields_in_team", self.now);
        }
    }

    fn note_preempted(&mut self, victim: &TaskKey, team: &TeamId) {
        let Some((_, step, _)) = self.state.step(&victim.step) else { return };
        let need = step.need;
        if let Some(stopping) = &mut self.stopping_by_team {
            let sum = stopping.entry(team.clone()).or_default();
            *sum = sum.plus(need);
        }
        self.state.headroom.record_preemption(team, need, self.now);
    }

    /// Returns the resources of the tasks of a team that are being stopped.
    fn stopping_in_team(&mut self, team: &TeamId) -> ResourceVector {
        let state = &self.state;
        let stopping = self.stopping_by_team.get_or_insert_with(|| {
            let mut sums: FastMap<TeamId, ResourceVector> = FastMap::default();
            for (key, _) in state.placements.iter().filter(|(_, placement)| placement.stop_reason.is_some()) {
                if let Some((spec, step, _)) = state.step(&key.step) {
                    let sum = sums.entry(spec.team.clone()).or_default();
                    *sum = sum.plus(step.need);
                }
            }
            sums
        });
        stopping.get(team).copied().unwrap_or_default()
    }
}
