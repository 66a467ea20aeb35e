//! Registration of the metrics of an entry process.

use prometheus::Registry;
use prometheus::core::Collector;

/// Registers a metric and returns it; the registered clone has the same values.
///
/// # Errors
///
/// Returns an error if the name is in use.
pub fn register_metric<T: Collector + Clone + 'static>(
    registry: &Registry,
    metric: T,
) -> prometheus::Result<T> {
    registry.register(Box::new(metric.clone()))?;
    Ok(metric)
}
