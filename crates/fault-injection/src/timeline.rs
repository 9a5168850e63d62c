//! Timeline of a trial as SVG: the served share of traffic above a row for each fault.

use crate::plot::PlotError;
use plotters::prelude::*;

/// Width of the image, in pixels.
const WIDTH: u32 = 1100;
/// Height of the chart of the served share, in pixels.
const CHART_HEIGHT: u32 = 320;
/// Height of a fault's row, in pixels.
const ROW_HEIGHT: u32 = 26;
/// Maximum number of characters shown of a fault's name.
const MAX_NAME_LENGTH: usize = 60;

/// Data of the timeline. Times are in seconds since the start of the trial.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// Caption.
    pub title: String,
    /// End of the trial.
    pub end: f64,
    /// Times and the served shares of the total request value.
    pub served_share: Vec<(f64, f64)>,
    /// Start, end and name of each fault, in the order of the rows; `None` for a fault that did not start.
    pub faults: Vec<Option<(f64, f64, String)>>,
    /// Times of rule violations.
    pub violations: Vec<f64>,
}

impl Timeline {
    /// Renders the timeline.
    ///
    /// # Errors
    /// Returns an error when drawing fails.
    pub fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        let end = self.end.max(1.0);
        let rows = self.faults.len().max(1);
        let started_faults = || self.faults.iter().flatten();
        {
            let height = CHART_HEIGHT + ROW_HEIGHT * rows as u32 + 60;
            let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
            let failed = |error: &dyn std::fmt::Display| -> PlotError { error.to_string().into() };
            area.fill(&WHITE).map_err(|e| failed(&e))?;
            let (upper, lower) = area.split_vertically(CHART_HEIGHT);
            let mut chart = ChartBuilder::on(&upper)
                .caption(&self.title, ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(24)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..end, 0.0..1.05)
                .map_err(|e| failed(&e))?;
            chart
                .configure_mesh()
                .y_desc("served share of worth")
                .x_labels(20)
                .draw()
                .map_err(|e| failed(&e))?;
            for (begin, until, _) in started_faults() {
                let shade = Rectangle::new([(*begin, 0.0), (*until, 1.05)], RED.mix(0.07).filled());
                chart.draw_series([shade]).map_err(|e| failed(&e))?;
            }
            chart
                .draw_series(LineSeries::new(self.served_share.iter().copied(), BLUE.stroke_width(2)))
                .map_err(|e| failed(&e))?;
            let crosses = self.violations.iter().map(|at| Cross::new((*at, 1.02), 5, RED.stroke_width(2)));
            chart.draw_series(crosses).map_err(|e| failed(&e))?;
            let mut bars = ChartBuilder::on(&lower)
                .margin(10)
                .x_label_area_size(24)
                .y_label_area_size(44)
                .build_cartesian_2d(0.0..end, 0.0..rows as f64)
                .map_err(|e| failed(&e))?;
            bars.configure_mesh()
                .disable_y_mesh()
                .y_labels(0)
                .x_labels(20)
                .label_style(("sans-serif", 11))
                .axis_desc_style(("sans-serif", 12))
                .x_desc("seconds")
                .draw()
                .map_err(|e| failed(&e))?;
            for (row, fault) in self.faults.iter().enumerate() {
                let Some((begin, until, name)) = fault else { continue };
                let top = (rows - row) as f64;
                // Draws short faults with a minimum width, so that they stay visible.
                let until = until.max(*begin + end / 200.0);
                let bar = Rectangle::new([(*begin, top - 0.85), (until, top - 0.15)], RED.mix(0.5).filled());
                bars.draw_series([bar]).map_err(|e| failed(&e))?;
                let name: String = name.chars().take(MAX_NAME_LENGTH).collect();
                let text_x = if until > end * 0.6 { 0.01 * end } else { until + 0.005 * end };
                let text = Text::new(name, (text_x, top - 0.25), ("sans-serif", 13).into_font());
                bars.draw_series([text]).map_err(|e| failed(&e))?;
            }
            area.present().map_err(|e| failed(&e))?;
        }
        Ok(svg)
    }
}
