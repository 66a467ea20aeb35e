use serde::{Deserialize, Serialize};

/// Amounts of processor cores, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[display("{cores_milli}m cores, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields)]
pub struct ResourceVector {
    /// Processor cores, in thousandths.
    #[serde(default)]
    pub cores_milli: u64,
    /// Memory, in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

impl ResourceVector {
    /// Largest plausible capacity of one worker. A larger one would outweigh the real workers in every sum.
    pub const MAX_CAPACITY: Self = Self::new(u32::MAX as u64, u32::MAX as u64, u32::MAX as u64);

    /// Returns a vector of the given amounts.
    #[must_use]
    pub const fn new(cores_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self { cores_milli, memory_mib, accelerators }
    }

    /// Combines two vectors by applying `combine` to each dimension.
    #[must_use]
    pub fn zip(self, other: Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        Self {
            cores_milli: combine(self.cores_milli, other.cores_milli),
            memory_mib: combine(self.memory_mib, other.memory_mib),
            accelerators: combine(self.accelerators, other.accelerators),
        }
    }

    /// Returns the sum; each dimension saturates.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the difference; each dimension is at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Returns the vector multiplied by `count`; each dimension saturates.
    #[must_use]
    pub fn times(self, count: u64) -> Self {
        self.zip(Self::default(), |amount, _| amount.saturating_mul(count))
    }

    /// Returns the smaller amount in each dimension.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Whether the vector fits into `room` in every dimension.
    #[must_use]
    pub const fn fits(self, room: Self) -> bool {
        self.cores_milli <= room.cores_milli
            && self.memory_mib <= room.memory_mib
            && self.accelerators <= room.accelerators
    }

    /// Returns how often the vector fits into `room`, at most `u32::MAX`, which is also the result for a zero
    /// vector.
    #[must_use]
    pub fn count_in(self, room: Self) -> u64 {
        let times = |need: u64, room: u64| room.checked_div(need).unwrap_or(u64::MAX);
        times(self.cores_milli, room.cores_milli)
            .min(times(self.memory_mib, room.memory_mib))
            .min(times(self.accelerators, room.accelerators))
            .min(u64::from(u32::MAX))
    }

    /// Whether every dimension is zero.
    #[must_use]
    pub fn is_zero(self) -> bool {
        self == Self::default()
    }

    /// Returns the name of the first dimension that does not fit into `room`; `None` if all fit.
    #[must_use]
    pub const fn lacking(self, room: Self) -> Option<&'static str> {
        if self.cores_milli > room.cores_milli {
            return Some("cores");
        }
        if self.memory_mib > room.memory_mib {
            return Some("memory");
        }
        if self.accelerators > room.accelerators {
            return Some("accelerators");
        }
        None
    }

    /// Returns the fraction of `total` in each dimension; zero where `total` is zero.
    #[expect(clippy::cast_precision_loss, reason = "fleet totals stay far below 2^52")]
    fn fractions(self, total: Self) -> [f64; 3] {
        let fraction = |part: u64, whole: u64| if whole == 0 { 0.0 } else { part as f64 / whole as f64 };
        [
            fraction(self.cores_milli, total.cores_milli),
            fraction(self.memory_mib, total.memory_mib),
            fraction(self.accelerators, total.accelerators),
        ]
    }

    /// Returns the dominant share: the largest fraction of `total` over all dimensions.
    #[must_use]
    pub fn dominant_fraction(self, total: Self) -> f64 {
        self.fractions(total).into_iter().fold(0.0, f64::max)
    }

    /// Returns the smallest fraction of `total` over the dimensions that are not zero.
    #[must_use]
    pub fn least_fraction(self, total: Self) -> f64 {
        let used = self.fractions(total).into_iter().filter(|part| *part > 0.0);
        used.reduce(f64::min).unwrap_or_default()
    }
}
