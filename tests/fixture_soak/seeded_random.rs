//! Pseudorandom numbers of a soak run.

/// A pseudorandom number generator whose output depends only on the seed.
pub struct SeededRandom(pub u64);

impl SeededRandom {
    /// Returns a number below the bound.
    pub fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    /// Returns for each of `count` workers whether it is chosen; at least one is and one is not.
    pub fn next_share(&mut self, count: usize) -> Vec<bool> {
        let chosen = 1 + self.next_below((1 << count) - 2);
        (0..count).map(|number| chosen >> number & 1 == 1).collect()
    }
}
