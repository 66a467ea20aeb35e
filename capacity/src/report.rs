//! Writes measured points as CSV, Markdown and SVG.

use std::fmt::Write as _;
use std::path::Path;

use plotters::prelude::*;

use crate::platform::CapacityResult;
use crate::scenario::MeasuredPoint;
use crate::slope::SlopeFit;

/// Returns the points as CSV with a header line.
#[must_use]
pub fn csv(points: &[MeasuredPoint]) -> String {
    let mut text = String::from("scenario,units,metric,value\n");
    for point in points {
        let _ = writeln!(text, "{},{},{},{:.3}", point.scenario, point.units, point.metric, point.value);
    }
    text
}

/// Returns a Markdown table with a row for each scenario and metric that a line can be fitted to.
#[must_use]
pub fn fit_table(points: &[MeasuredPoint]) -> String {
    let mut text = String::from(
        "| varied | metric | points | at zero | per unit | error |\n| --- | --- | --- | ---: | ---: | ---: |\n",
    );
    for (scenario, metric) in series(points) {
        let line = values(points, scenario, metric);
        let list: Vec<String> = line.iter().map(|(units, value)| format!("{units}: {value:.1}")).collect();
        let Some(fit) = SlopeFit::new(&line) else { continue };
        let _ = writeln!(
            text,
            "| {scenario} | {metric} | {} | {:.1} | {:.3} | {:.0}% |",
            list.join(", "),
            fit.intercept,
            fit.slope,
            fit.max_relative_error * 100.0
        );
    }
    text
}

/// Returns the distinct pairs of scenario and metric, in the order of measurement.
#[must_use]
pub fn series(points: &[MeasuredPoint]) -> Vec<(&'static str, &'static str)> {
    let mut series = Vec::new();
    for point in points {
        if !series.contains(&(point.scenario, point.metric)) {
            series.push((point.scenario, point.metric));
        }
    }
    series
}

/// Returns units and values of one scenario and metric.
#[must_use]
pub fn values(points: &[MeasuredPoint], scenario: &str, metric: &str) -> Vec<(f64, f64)> {
    let wanted = points.iter().filter(|point| point.scenario == scenario && point.metric == metric);
    wanted.map(|point| (point.units, point.value)).collect()
}

/// Draws the points of one scenario and metric with their fitted line, as an SVG file.
///
/// # Errors
///
/// Returns an error if the file cannot be written or there are fewer than two distinct units.
pub fn plot(points: &[MeasuredPoint], scenario: &str, metric: &str, path: &Path) -> CapacityResult<()> {
    let line = values(points, scenario, metric);
    let fit = SlopeFit::new(&line).ok_or("too few distinct points to fit a line for the plot")?;
    let largest = |get: fn(&(f64, f64)) -> f64| line.iter().map(get).fold(1.0, f64::max) * 1.1;
    let (width, height) = (largest(|point| point.0), largest(|point| point.1));
    let area = SVGBackend::new(path, (640, 400)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(format!("{metric} by {scenario}"), ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(80)
        .build_cartesian_2d(0.0..width, 0.0..height)?;
    chart.configure_mesh().x_desc(scenario).y_desc(metric).draw()?;
    chart.draw_series(line.iter().map(|point| Circle::new(*point, 4, BLUE.filled())))?;
    let ends = [0.0, width].map(|x| (x, fit.slope.mul_add(x, fit.intercept)));
    chart.draw_series(LineSeries::new(ends, &RED))?;
    area.present()?;
    Ok(())
}
