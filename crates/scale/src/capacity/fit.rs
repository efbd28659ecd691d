//! Linear least-squares fit.

use serde::{Deserialize, Serialize};

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// Count of the dimension that the value grows with, such as gateways.
    pub size: u64,
    /// The value, in base units.
    pub value: f64,
}

/// `value = fixed + slope * size`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub fixed: f64,
    /// Growth of the value per unit of size.
    pub slope: f64,
}

impl Line {
    /// Value at a size.
    #[must_use]
    pub fn value_at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }

    /// Size at which the value reaches a limit, 0 if the fixed part already exceeds the limit;
    /// `None` when the value does not grow with size.
    #[must_use]
    pub fn size_at(&self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| ((limit - self.fixed) / self.slope).max(0.0))
    }
}

/// Fits the line with the least squared error: flat through a single size, zero without points.
#[must_use]
pub fn fit_line(points: &[Point]) -> Line {
    let count = points.len() as f64;
    if points.is_empty() {
        return Line::default();
    }
    let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let mut size_deviation_squares = 0.0;
    let mut deviation_products = 0.0;
    for point in points {
        let size_deviation = point.size as f64 - mean_size;
        size_deviation_squares += size_deviation * size_deviation;
        deviation_products += size_deviation * (point.value - mean_value);
    }
    let slope = if size_deviation_squares > 0.0 {
        deviation_products / size_deviation_squares
    } else {
        0.0
    };
    Line {
        fixed: mean_value - slope * mean_size,
        slope,
    }
}
