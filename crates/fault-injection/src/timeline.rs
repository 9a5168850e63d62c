//! The timeline of a trial: faults and service side by side, as one SVG.

use crate::plot::PlotError;
use plotters::prelude::*;

/// Width, and the heights of the plot of service and of a fault's row.
const WIDTH: u32 = 1100;
const SERVICE: u32 = 320;
const ROW: u32 = 26;
/// How many letters of a fault's name are shown.
const NAME: usize = 60;

/// What is shown; times are seconds from the trial's begin.
#[derive(Clone, Debug, Default)]
pub struct Timeline {
    /// What stands above it.
    pub title: String,
    /// When the trial ended.
    pub end: f64,
    /// The share of worth that was served.
    pub served_share: Vec<(f64, f64)>,
    /// Faults in the order of their rows, with begin, end and name; nothing for one that never began.
    pub faults: Vec<Option<(f64, f64, String)>>,
    /// When a rule was broken.
    pub violations: Vec<f64>,
}

impl Timeline {
    /// Draws it.
    ///
    /// # Errors
    /// When the plot cannot be made.
    pub fn svg(&self) -> Result<String, PlotError> {
        let mut svg = String::new();
        let end = self.end.max(1.0);
        let rows = self.faults.len().max(1);
        let begun = || self.faults.iter().flatten();
        {
            let height = SERVICE + ROW * rows as u32 + 60;
            let area = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
            let failed = |error: &dyn std::fmt::Display| -> PlotError { error.to_string().into() };
            area.fill(&WHITE).map_err(|e| failed(&e))?;
            let (upper, lower) = area.split_vertically(SERVICE);
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
            for (begin, until, _) in begun() {
                let shade = Rectangle::new([(*begin, 0.0), (*until, 1.05)], RED.mix(0.07).filled());
                chart.draw_series([shade]).map_err(|e| failed(&e))?;
            }
            chart
                .draw_series(LineSeries::new(self.served_share.iter().copied(), BLUE.stroke_width(2)))
                .map_err(|e| failed(&e))?;
            let broken = self.violations.iter().map(|at| Cross::new((*at, 1.02), 5, RED.stroke_width(2)));
            chart.draw_series(broken).map_err(|e| failed(&e))?;
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
            for (number, fault) in self.faults.iter().enumerate() {
                let Some((begin, until, name)) = fault else { continue };
                let top = (rows - number) as f64;
                // A fault of a moment is seen too.
                let until = until.max(*begin + end / 200.0);
                let bar = Rectangle::new([(*begin, top - 0.85), (until, top - 0.15)], RED.mix(0.5).filled());
                bars.draw_series([bar]).map_err(|e| failed(&e))?;
                let name: String = name.chars().take(NAME).collect();
                let place = if until > end * 0.6 { 0.01 * end } else { until + 0.005 * end };
                let text = Text::new(name, (place, top - 0.25), ("sans-serif", 13).into_font());
                bars.draw_series([text]).map_err(|e| failed(&e))?;
            }
            area.present().map_err(|e| failed(&e))?;
        }
        Ok(svg)
    }
}
