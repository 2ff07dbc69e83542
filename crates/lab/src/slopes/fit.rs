//! Measured points and the straight line through them.

use std::fmt;

/// One measured point.
#[derive(Clone, Copy, Debug)]
pub(super) struct Point {
    /// The size.
    pub(super) size: f64,
    /// What was measured.
    pub(super) value: f64,
}

/// Points of one measurement along one axis.
#[derive(Clone, Debug)]
pub(super) struct Series {
    /// What was measured, with its unit.
    pub(super) what: &'static str,
    /// The axis.
    pub(super) axis: &'static str,
    /// The points.
    pub(super) points: Vec<Point>,
}

/// A straight line and how far the points lie from it.
#[derive(Clone, Copy, Debug)]
struct Line {
    slope: f64,
    start: f64,
    worst_error: f64,
}

impl Series {
    pub(super) fn new(what: &'static str, axis: &'static str) -> Self {
        Self {
            what,
            axis,
            points: Vec::new(),
        }
    }

    pub(super) fn add(&mut self, size: usize, value: f64) {
        self.points.push(Point {
            size: size as f64,
            value,
        });
    }

    /// Least squares; the error is the largest distance of a point from the line.
    fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |part: fn(&Point) -> f64| self.points.iter().map(part).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|p| p.size), mean(|p| p.value));
        let along: f64 = self
            .points
            .iter()
            .map(|p| (p.size - mean_size) * (p.value - mean_value))
            .sum();
        let spread: f64 = self
            .points
            .iter()
            .map(|p| (p.size - mean_size).powi(2))
            .sum();
        let slope = if spread > 0.0 { along / spread } else { 0.0 };
        let start = mean_value - slope * mean_size;
        let worst_error = self
            .points
            .iter()
            .map(|p| (p.value - start - slope * p.size).abs())
            .fold(0.0, f64::max);
        Line {
            slope,
            start,
            worst_error,
        }
    }

    pub(super) fn json(&self) -> serde_json::Value {
        let line = self.line();
        let points: Vec<[f64; 2]> = self.points.iter().map(|p| [p.size, p.value]).collect();
        serde_json::json!({
            "what": self.what,
            "axis": self.axis,
            "points": points,
            "slope": line.slope,
            "start": line.start,
            "worst_error": line.worst_error,
        })
    }
}

impl fmt::Display for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} by {}:", self.what, self.axis)?;
        for point in &self.points {
            write!(f, " {}={:.4}", point.size, point.value)?;
        }
        let line = self.line();
        write!(
            f,
            "; {:.6} each + {:.4}, worst error {:.4}",
            line.slope, line.start, line.worst_error
        )
    }
}
