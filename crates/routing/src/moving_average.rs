//! Smooths measurements that a box publishes.

/// Weight of the newest measurement. Callers follow a published value within one measurement, so
/// that a heavier one makes load swing between boxes.
const NEWEST_WEIGHT: f64 = 0.3;

/// An exponential moving average, which starts at the first measurement.
#[derive(Debug, Default)]
pub struct MovingAverage {
    value: Option<f64>,
}

impl MovingAverage {
    /// Adds a measurement and returns the new average.
    pub fn add(&mut self, newest: f64) -> f64 {
        let former = self.value.unwrap_or(newest);
        let average = former + NEWEST_WEIGHT * (newest - former);
        self.value = Some(average);
        average
    }
}
