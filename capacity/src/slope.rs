//! Least squares.

/// A straight line through measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// Growth of the value for each unit.
    pub slope: f64,
    /// Value at zero units.
    pub base: f64,
    /// Largest distance of a point from the line, as a share of the largest value.
    pub error: f64,
}

impl SlopeFit {
    /// Fits a line to points of units and value; `None` with fewer than two distinct units.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a fit has a handful of points")]
    pub fn new(points: &[(f64, f64)]) -> Option<Self> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let base = slope.mul_add(-mean_x, mean_y);
        let largest = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let worst = points.iter().map(|(x, y)| (slope.mul_add(*x, base) - y).abs()).fold(0.0, f64::max);
        Some(Self { slope, base, error: worst / largest })
    }
}
