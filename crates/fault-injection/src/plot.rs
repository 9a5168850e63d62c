//! Line charts and bar charts as SVG.

use plotters::coord::Shift;
use plotters::coord::ranged1d::SegmentValue;
use plotters::prelude::*;

/// Error while drawing a plot.
pub type PlotError = Box<dyn std::error::Error + Send + Sync>;

/// Width and height of a plot, in pixels.
pub const SIZE: (u32, u32) = (720, 300);
/// Colors of the series, in order.
pub const COLOURS: [RGBColor; 6] = [
    RGBColor(0x1f, 0x77, 0xb4),
    RGBColor(0xd6, 0x5f, 0x0e),
    RGBColor(0x2c, 0x8c, 0x3c),
    RGBColor(0xb0, 0x30, 0x60),
    RGBColor(0x6b, 0x4c, 0x9a),
    RGBColor(0x55, 0x55, 0x55),
];

/// Name and points of a line.
pub type Series = (String, Vec<(f64, f64)>);

/// Renders an SVG image of the given size with the closure `draw`.
///
/// # Errors
/// Returns an error when drawing fails.
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

/// Renders a line chart. The x-axis shows seconds, the y-axis `unit`.
///
/// # Errors
/// Returns an error when drawing fails.
pub fn line_chart(title: &str, unit: &str, series: &[Series]) -> Result<String, PlotError> {
    let points = || series.iter().flat_map(|(_, points)| points);
    let max_x = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_y = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.08;
    render_svg(
        |area| {
            let mut chart = ChartBuilder::on(area)
                .caption(title, ("sans-serif", 17))
                .margin(10)
                .x_label_area_size(38)
                .y_label_area_size(58)
                .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
            chart.configure_mesh().x_desc("seconds").y_desc(unit).light_line_style(WHITE).draw()?;
            for (index, (name, points)) in series.iter().enumerate() {
                let colour = COLOURS[index % COLOURS.len()];
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

/// Renders a bar chart with a group of bars for each label and a bar in each group for each series.
///
/// # Errors
/// Returns an error when drawing fails.
pub fn bar_chart(
    title: &str, unit: &str, labels: &[String], series: &[(String, Vec<f64>)],
) -> Result<String, PlotError> {
    let values = || series.iter().flat_map(|(_, values)| values).copied();
    let (low, high) = (values().fold(0.0, f64::min), values().fold(1e-9, f64::max));
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
            let label = |segment: &SegmentValue<usize>| match segment {
                SegmentValue::CenterOf(index) => labels.get(*index).cloned().unwrap_or_default(),
                _ => String::new(),
            };
            chart
                .configure_mesh()
                .disable_x_mesh()
                .light_line_style(WHITE)
                .y_desc(unit)
                .x_labels(count)
                .x_label_formatter(&label)
                .draw()?;
            let plot_area = chart.plotting_area();
            let group_width = f64::from(plot_area.dim_in_pixel().0) / count as f64;
            let bar_width = (group_width * 0.7 / series.len().max(1) as f64) as i32;
            for (index, (_, values)) in series.iter().enumerate() {
                let colour = COLOURS[index % COLOURS.len()];
                for (group, value) in values.iter().enumerate() {
                    let center = SegmentValue::CenterOf(group);
                    let bottom = plot_area.map_coordinate(&(center.clone(), 0.0));
                    let top = plot_area.map_coordinate(&(center, *value));
                    let left = bottom.0 - bar_width * series.len() as i32 / 2 + bar_width * index as i32;
                    let bar = [(left, bottom.1), (left + bar_width - 1, top.1)];
                    area.draw(&Rectangle::new(bar, colour.filled()))?;
                }
            }
            if series.len() > 1 {
                for (index, (name, _)) in series.iter().enumerate() {
                    let (x, y) = (SIZE.0 as i32 - 170, 14 + 15 * index as i32);
                    let colour = COLOURS[index % COLOURS.len()];
                    area.draw(&Rectangle::new([(x, y), (x + 10, y + 10)], colour.filled()))?;
                    area.draw(&Text::new(name.clone(), (x + 15, y), ("sans-serif", 12)))?;
                }
            }
            Ok(())
        },
        SIZE,
    )
}

/// Escapes text for use in HTML and XML.
pub fn escape_xml(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;")
}
