//! Least squares.

use serde::{Deserialize, Serialize};

/// A measured value at a size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Point {
    /// How many there were of what the figure grows with.
    pub size: u64,
    /// The value, in base units.
    pub value: f64,
}

/// `value = fixed + slope * size`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub fixed: f64,
    /// Growth for each one more.
    pub slope: f64,
}

impl Line {
    /// The value at a size.
    #[must_use]
    pub fn at(&self, size: f64) -> f64 {
        self.fixed + self.slope * size
    }

    /// The size at which the value reaches a limit; `None` when it never does.
    #[must_use]
    pub fn size_at(&self, limit: f64) -> Option<f64> {
        (self.slope > 0.0).then(|| ((limit - self.fixed) / self.slope).max(0.0))
    }
}

/// The line with the least squared error; flat through a single size, zero without points.
#[must_use]
pub fn fit_line(points: &[Point]) -> Line {
    let count = points.len() as f64;
    if points.is_empty() {
        return Line::default();
    }
    let mean_size = points.iter().map(|point| point.size as f64).sum::<f64>() / count;
    let mean_value = points.iter().map(|point| point.value).sum::<f64>() / count;
    let mut spread = 0.0;
    let mut together = 0.0;
    for point in points {
        let size = point.size as f64 - mean_size;
        spread += size * size;
        together += size * (point.value - mean_value);
    }
    let slope = if spread > 0.0 { together / spread } else { 0.0 };
    Line {
        fixed: mean_value - slope * mean_size,
        slope,
    }
}
