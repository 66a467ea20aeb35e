use crate::kernel::cell::GraphSpec;

/// Bytes that an accepted job keeps in the memory of the owner.
pub type StateBytes = u64;

/// Bytes of a job beside its steps and its payload.
const BYTES_PER_JOB: StateBytes = 2_048;
/// Bytes of a step with its state. 78,000 ready steps of one task took 770 bytes each.
const BYTES_PER_STEP: StateBytes = 1_024;
/// Bytes of a dependency of a step.
const BYTES_PER_DEPENDENCY: StateBytes = 4;

/// Returns the bytes that a job takes while it waits. Tasks that have not begun take none; those that run are bounded by
/// the workers.
#[must_use]
pub fn waiting_bytes(spec: &GraphSpec) -> StateBytes {
    let steps = spec.steps.iter().map(|step| BYTES_PER_STEP + BYTES_PER_DEPENDENCY * step.after.len() as u64);
    BYTES_PER_JOB + spec.payload.len() as u64 + steps.sum::<u64>()
}
