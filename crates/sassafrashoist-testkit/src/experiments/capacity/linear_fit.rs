//! Linear regression of measured points.

use serde_json::{Value, json};

/// One measured point.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Point {
    /// The size of what is measured, such as a number of VMs.
    pub size: f64,
    /// The value measured at that size.
    pub value: f64,
}

/// Fits a straight line by least squares and returns its slope, its value at size 0, the
/// coefficient of determination and the points.
pub fn fit_line(points: &[Point]) -> Value {
    let count = points.len() as f64;
    let mean_size = points.iter().map(|point| point.size).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let covariance: f64 =
        points.iter().map(|point| (point.size - mean_size) * (point.value - mean_value)).sum();
    let size_variance: f64 = points.iter().map(|point| (point.size - mean_size).powi(2)).sum();
    let value_variance: f64 = points.iter().map(|point| (point.value - mean_value).powi(2)).sum();
    let slope = covariance / size_variance;
    let explained = slope * covariance;
    let r_squared = if value_variance == 0.0 { 1.0 } else { explained / value_variance };
    let measured: Vec<_> = points.iter().map(|point| (point.size, point.value)).collect();
    json!({
        "slope": slope, "at_zero": mean_value - slope * mean_size, "r_squared": r_squared,
        "points": measured,
    })
}
