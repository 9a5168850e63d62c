//! Means of few figures, with how far they can be trusted.

use serde::Serialize;

/// A mean with its 95% interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// The mean.
    pub mean: f64,
    /// Half the width of the interval; absent with fewer than two figures.
    #[serde(rename = "within")]
    pub half_width: Option<f64>,
    /// How many figures.
    pub count: usize,
}

/// The 97.5% points of Student's t for 1 to 30 degrees of freedom; beyond, the normal's serves.
const T975: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

impl Estimate {
    /// The mean of some figures.
    pub fn of(figures: &[f64]) -> Self {
        let count = figures.len();
        let mean = figures.iter().sum::<f64>() / count.max(1) as f64;
        let half_width = (count > 1).then(|| {
            let squares: f64 = figures.iter().map(|figure| (figure - mean).powi(2)).sum();
            let deviation = (squares / (count - 1) as f64).sqrt();
            T975.get(count - 2).copied().unwrap_or(1.96) * deviation / (count as f64).sqrt()
        });
        Self { mean, half_width, count }
    }
}
