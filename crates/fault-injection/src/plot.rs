//! Plots as SVG.

use plotters::coord::Shift;
use plotters::coord::ranged1d::SegmentValue;
use plotters::prelude::*;

/// What can go wrong while a plot is drawn.
pub type PlotError = Box<dyn std::error::Error + Send + Sync>;

/// Width and height of a plot.
pub const SIZE: (u32, u32) = (720, 300);
/// The colours of series, in their order.
pub const COLOURS: [RGBColor; 6] = [
    RGBColor(0x1f, 0x77, 0xb4),
    RGBColor(0xd6, 0x5f, 0x0e),
    RGBColor(0x2c, 0x8c, 0x3c),
    RGBColor(0xb0, 0x30, 0x60),
    RGBColor(0x6b, 0x4c, 0x9a),
    RGBColor(0x55, 0x55, 0x55),
];

/// A name and its points.
pub type Series = (String, Vec<(f64, f64)>);

/// Draws an SVG of this size.
///
/// # Errors
/// When it cannot be drawn.
pub fn render_svg(
    draw: impl FnOnce(&DrawingArea<SVGBackend<'_>, Shift>) -> Result<(), PlotError>, size: (u32, u32),
) -> Result<String, PlotError> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, size).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Lines over seconds.
///
/// # Errors
/// When they cannot be drawn.
pub fn line_chart(title: &str, unit: &str, series: &[Series]) -> Result<String, PlotError> {
    let all = || series.iter().flat_map(|(_, points)| points);
    let right = all().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = all().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.08;
    render_svg(
        |area| {
            let mut chart = ChartBuilder::on(area)
                .caption(title, ("sans-serif", 17))
                .margin(10)
                .x_label_area_size(38)
                .y_label_area_size(58)
                .build_cartesian_2d(0.0..right, 0.0..top)?;
            chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
            for (number, (name, points)) in series.iter().enumerate() {
                let colour = COLOURS[number % COLOURS.len()];
                chart
                    .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour.stroke_width(2)));
            }
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.85))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            Ok(())
        },
        SIZE,
    )
}

/// Bars side by side: a group for each label, a bar for each series.
///
/// # Errors
/// When they cannot be drawn.
pub fn bar_chart(
    title: &str, unit: &str, labels: &[String], series: &[(String, Vec<f64>)],
) -> Result<String, PlotError> {
    let figures = || series.iter().flat_map(|(_, figures)| figures).copied();
    let (low, high) = (figures().fold(0.0, f64::min), figures().fold(1e-9, f64::max));
    let range = low * 1.1..high * 1.1;
    let count = labels.len().max(1);
    render_svg(
        |area| {
            let mut chart = ChartBuilder::on(area)
                .caption(title, ("sans-serif", 17))
                .margin(10)
                .x_label_area_size(38)
                .y_label_area_size(58)
                .build_cartesian_2d((0..count - 1).into_segmented(), range)?;
            let name = |at: &SegmentValue<usize>| match at {
                SegmentValue::CenterOf(at) => labels.get(*at).cloned().unwrap_or_default(),
                _ => String::new(),
            };
            chart
                .configure_mesh()
                .disable_x_mesh()
                .light_line_style(WHITE)
                .y_desc(unit)
                .x_labels(count)
                .x_label_formatter(&name)
                .draw()?;
            let plane = chart.plotting_area();
            let width = f64::from(plane.dim_in_pixel().0) / count as f64;
            let each = (width * 0.7 / series.len().max(1) as f64) as i32;
            for (number, (_, figures)) in series.iter().enumerate() {
                let colour = COLOURS[number % COLOURS.len()];
                for (at, figure) in figures.iter().enumerate() {
                    let place = SegmentValue::CenterOf(at);
                    let foot = plane.map_coordinate(&(place.clone(), 0.0));
                    let head = plane.map_coordinate(&(place, *figure));
                    let left = foot.0 - each * series.len() as i32 / 2 + each * number as i32;
                    let bar = [(left, foot.1), (left + each - 1, head.1)];
                    area.draw(&Rectangle::new(bar, colour.filled()))?;
                }
            }
            if series.len() > 1 {
                for (number, (name, _)) in series.iter().enumerate() {
                    let (x, y) = (SIZE.0 as i32 - 170, 14 + 15 * number as i32);
                    let colour = COLOURS[number % COLOURS.len()];
                    area.draw(&Rectangle::new([(x, y), (x + 10, y + 10)], colour.filled()))?;
                    area.draw(&Text::new(name.clone(), (x + 15, y), ("sans-serif", 12)))?;
                }
            }
            Ok(())
        },
        SIZE,
    )
}

/// A text as it stands in a page.
pub fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}
