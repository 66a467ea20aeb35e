//! Guards against wrong fits and against tables that leave out points; the figures of the capacity page come
//! from both.

use godwithaven_capacity::report;
use godwithaven_capacity::scenario::MeasuredPoint;
use godwithaven_capacity::slope::SlopeFit;
use googletest::prelude::*;

fn points() -> Vec<MeasuredPoint> {
    let point = |units, value| MeasuredPoint { scenario: "workers", units, metric: "bytes", value };
    vec![point(1.0, 12.0), point(3.0, 16.0), point(5.0, 20.0)]
}

#[gtest]
fn collinear_points_are_fitted_exactly() -> Result<()> {
    // Arrange
    let line = report::values(&points(), "workers", "bytes");

    // Act
    let fit = SlopeFit::new(&line);

    // Assert
    verify_that!(fit, some(eq(SlopeFit { slope: 2.0, intercept: 10.0, max_relative_error: 0.0 })))
}

#[gtest]
fn points_off_the_line_give_a_relative_error() -> Result<()> {
    // Arrange
    let line = [(0.0, 0.0), (1.0, 10.0), (2.0, 0.0)];

    // Act
    let error = SlopeFit::new(&line).map(|fit| fit.max_relative_error);

    // Assert
    verify_that!(error, some(gt(0.5)))
}

#[gtest]
fn points_with_equal_units_give_no_fit() -> Result<()> {
    verify_that!(SlopeFit::new(&[(2.0, 1.0), (2.0, 3.0)]), none())
}

#[gtest]
fn csv_and_fit_table_contain_every_point() -> Result<()> {
    // Act
    let (csv, table) = (report::csv(&points()), report::fit_table(&points()));

    // Assert
    expect_that!(
        csv,
        eq(
            "scenario,units,metric,value\nworkers,1,bytes,12.000\nworkers,3,bytes,16.000\nworkers,5,bytes,20.000\n"
        )
    );
    verify_that!(
        table,
        contains_substring("| workers | bytes | 1: 12.0, 3: 16.0, 5: 20.0 | 10.0 | 2.000 | 0% |")
    )
}
