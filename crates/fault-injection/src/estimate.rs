//! Sample means with confidence intervals.

use serde::Serialize;

/// Sample mean with a 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Estimate {
    /// Sample mean.
    pub mean: f64,
    /// Half the width of the confidence interval; `None` with fewer than two samples.
    #[serde(rename = "within")]
    pub half_width: Option<f64>,
    /// Number of samples.
    pub count: usize,
}

/// 97.5% quantiles of Student's t-distribution for 1 to 30 degrees of freedom. Larger samples use the quantile of the
/// normal distribution.
const T_QUANTILES: [f64; 30] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
];

impl Estimate {
    /// Estimates the mean from samples.
    pub fn of(samples: &[f64]) -> Self {
        let count = samples.len();
        let mean = samples.iter().sum::<f64>() / count.max(1) as f64;
        let half_width = (count > 1).then(|| {
            let squares: f64 = samples.iter().map(|sample| (sample - mean).powi(2)).sum();
            let deviation = (squares / (count - 1) as f64).sqrt();
            T_QUANTILES.get(count - 2).copied().unwrap_or(1.96) * deviation / (count as f64).sqrt()
        });
        Self { mean, half_width, count }
    }
}
