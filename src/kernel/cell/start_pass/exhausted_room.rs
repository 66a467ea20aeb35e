use crate::prelude::*;

/// Needs that are remembered for a kind of worker.
const MAX_REMEMBERED_NEEDS: usize = 8;

/// Needs for which no worker of a service with a label has room in this pass.
///
/// Room only shrinks during a pass, so a step with the same or a larger need does not have to search again.
#[derive(Debug, Default)]
pub(super) struct ExhaustedRoom {
    needs: FastMap<(ServiceId, Option<LabelId>), Vec<ResourceVector>>,
}

impl ExhaustedRoom {
    /// Whether a search for a need at most as large as `need` found no room.
    pub(super) fn covers(&self, workers: &(ServiceId, Option<LabelId>), need: ResourceVector) -> bool {
        self.needs.get(workers).is_some_and(|needs| needs.iter().any(|searched| searched.fits(need)))
    }

    /// Remembers that a search of all workers found no room for `need`.
    pub(super) fn remember(&mut self, workers: (ServiceId, Option<LabelId>), need: ResourceVector) {
        let needs = self.needs.entry(workers).or_default();
        needs.retain(|searched| !need.fits(*searched));
        if needs.len() < MAX_REMEMBERED_NEEDS {
            needs.push(need);
        }
    }
}
