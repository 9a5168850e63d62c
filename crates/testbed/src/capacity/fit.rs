//! Linear fits through measured points.

/// A line `base + slope x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at 0.
    pub base: f64,
    /// Increase per unit of `x`.
    pub slope: f64,
    /// Largest relative distance of a point from the line.
    pub spread: f64,
}

impl Line {
    /// Value at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}

/// Fits a line to points `(x, y)` with the least squared relative errors. Points with `y` of 0 or below are ignored.
/// Returns `None` for fewer than two different `x`. Errors are relative because sizes differ a hundredfold: with
/// absolute errors the largest size alone would determine the line.
pub fn line(points: &[(f64, f64)]) -> Option<Line> {
    let used: Vec<(f64, f64)> = points.iter().copied().filter(|(_, y)| *y > 0.0).collect();
    let sum = |of: fn(f64, f64) -> f64| used.iter().map(|(x, y)| of(*x, *y) / (y * y)).sum::<f64>();
    let (weights, xs, ys) = (sum(|_, _| 1.0), sum(|x, _| x), sum(|_, y| y));
    let (squares, products) = (sum(|x, _| x * x), sum(|x, y| x * y));
    let determinant = weights * squares - xs * xs;
    if used.len() < 2 || determinant <= f64::EPSILON * weights * squares {
        return None;
    }
    let slope = (weights * products - xs * ys) / determinant;
    let base = (ys - slope * xs) / weights;
    let distance = |(x, y): &(f64, f64)| ((base + slope * x - y) / y).abs();
    let spread = used.iter().map(distance).fold(0.0, f64::max);
    Some(Line { base, slope, spread })
}
