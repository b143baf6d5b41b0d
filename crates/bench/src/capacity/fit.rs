//! Measured points with medians and quantiles, and the line fitted through them.

use std::io::{self, Write};

/// Repeated measurements of one quantity at one size.
#[derive(Debug, Clone, PartialEq)]
pub struct Point {
    /// The size, such as a number of workers.
    pub size: f64,
    /// The measured values, sorted.
    values: Vec<f64>,
}

impl Point {
    /// Creates a point from repeated measurements.
    #[must_use]
    pub fn new(size: f64, mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        Self { size, values }
    }

    /// Returns the median, or 0 if there are no values.
    #[must_use]
    pub fn median(&self) -> f64 {
        self.quantile(0.5)
    }

    /// Returns the quantile at `share`, or 0 if there are no values.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        let last = self.values.len().saturating_sub(1);
        let i = (last as f64 * share).round() as usize;
        self.values.get(i).copied().unwrap_or(0.0)
    }
}

/// A straight line fitted to medians by least squares.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Fit {
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value for each unit of size.
    pub slope: f64,
    /// Largest deviation of a median from the line, divided by the largest median.
    pub error: f64,
}

impl Fit {
    /// Fits a line. If all points have the same size, the slope is 0.
    #[must_use]
    pub fn of(points: &[Point]) -> Self {
        let count = points.len().max(1) as f64;
        let mean = |value: fn(&Point) -> f64| points.iter().map(value).sum::<f64>() / count;
        let (x, y) = (mean(|p| p.size), mean(Point::median));
        let (mut xy, mut xx) = (0.0, 0.0);
        for point in points {
            xy += (point.size - x) * (point.median() - y);
            xx += (point.size - x).powi(2);
        }
        let slope = if xx > 0.0 { xy / xx } else { 0.0 };
        let intercept = y - slope * x;
        let largest = points.iter().map(Point::median).fold(0.0, f64::max);
        let deviation = |p: &Point| (p.median() - intercept - slope * p.size).abs();
        let largest_deviation = points.iter().map(deviation).fold(0.0, f64::max);
        let error = if largest > 0.0 {
            largest_deviation / largest
        } else {
            0.0
        };
        Self {
            intercept,
            slope,
            error,
        }
    }

    /// Returns the value of the line at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}

/// Prints the points of a quantity, the line fitted to them and the value of the line
/// at `target`.
pub fn print(
    out: &mut dyn Write,
    name: &str,
    unit: &str,
    size: &str,
    points: &[Point],
    target: f64,
) -> io::Result<Fit> {
    for point in points {
        writeln!(
            out,
            "{name} {size}={} median={:.3}{unit} p10={:.3} p90={:.3} runs={}",
            point.size,
            point.median(),
            point.quantile(0.1),
            point.quantile(0.9),
            point.values.len(),
        )?;
    }
    let fit = Fit::of(points);
    writeln!(
        out,
        "{name} fit={:.3}{unit}+{:.6}{unit}/{size} error={:.1}% at_{target}={:.3}{unit}",
        fit.intercept,
        fit.slope,
        fit.error * 100.0,
        fit.at(target),
    )?;
    Ok(fit)
}
