//! Straight lines through measured points, fitted by least squares.

/// A straight line fitted to measured points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlopeFit {
    /// Increase of the value per unit.
    pub slope: f64,
    /// Value of the line at zero units.
    pub intercept: f64,
    /// Largest vertical distance of a point from the line, divided by the largest absolute value.
    pub max_relative_error: f64,
}

impl SlopeFit {
    /// Fits a line to pairs of units and value. Returns `None` if there are fewer than two distinct units.
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
        let intercept = slope.mul_add(-mean_x, mean_y);
        let max_value = points.iter().map(|(_, y)| y.abs()).fold(f64::MIN_POSITIVE, f64::max);
        let max_distance =
            points.iter().map(|(x, y)| (slope.mul_add(*x, intercept) - y).abs()).fold(0.0, f64::max);
        Some(Self { slope, intercept, max_relative_error: max_distance / max_value })
    }
}
