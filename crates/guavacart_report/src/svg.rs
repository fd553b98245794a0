//! Draws a report as an SVG plot with a bar for the burn rate of each window, service and team.

use plotters::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    report::{Burn, Report, Row},
    window::Window,
};

/// Width of the plot, in pixels.
const WIDTH_PX: u32 = 1_000;
/// Height of the plot without the bars, in pixels.
const MARGINS_HEIGHT_PX: u32 = 106;
/// Height of the bars of one objective, in pixels.
const OBJECTIVE_HEIGHT_PX: u32 = 52;
/// Width of the label column, in pixels.
const LABELS_WIDTH_PX: u32 = 330;
/// Smallest burn rate at which the axis may end.
const MIN_AXIS_END: f64 = 2.0;
/// Length of the axis relative to the longest bar. The space beyond the bars keeps the legend from
/// hiding one.
const AXIS_STRETCH: f64 = 1.15;
/// Share of an objective's height that its bars occupy.
const BARS_SHARE: f64 = 0.8;

const FONT: &str = "sans-serif";
const COLORS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];

/// The drawing library failed.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("the plot could not be drawn: {cause}")]
pub struct SvgError {
    cause: SmolStr,
}

impl<E: std::error::Error + Send + Sync> From<DrawingAreaErrorKind<E>> for SvgError {
    fn from(err: DrawingAreaErrorKind<E>) -> Self {
        let cause = format_smolstr!("{err}");
        Self { cause }
    }
}

/// Draws the report and returns the text of the SVG file.
///
/// # Errors
/// Returns an error if the drawing library fails.
pub fn draw_svg(report: &Report) -> Result<String, SvgError> {
    let bars: Vec<(String, &Burn)> = report.rows.iter().flat_map(labelled_burns).collect();
    let lines = u32::try_from(bars.len().max(1)).unwrap_or(u32::MAX);
    let height = MARGINS_HEIGHT_PX.saturating_add(OBJECTIVE_HEIGHT_PX.saturating_mul(lines));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH_PX, height)).into_drawing_area();
        root.fill(&WHITE)?;
        chart(&root, report, &bars)?;
        root.present()?;
    }
    Ok(svg)
}

fn labelled_burns(row: &Row) -> [(String, &Burn); 2] {
    let team = row.team.as_ref().map_or("(all)", |team| team.as_str());
    let label = |objective| format!("{} {team} {objective}", row.service);
    [
        (label("availability"), &row.availability),
        (label("latency"), &row.latency),
    ]
}

fn chart<DB: DrawingBackend>(
    root: &DrawingArea<DB, plotters::coord::Shift>,
    report: &Report,
    bars: &[(String, &Burn)],
) -> Result<(), DrawingAreaErrorKind<DB::ErrorType>> {
    let rates = bars.iter().flat_map(|(_, burn)| burn.windows.values());
    let axis_end = rates.fold(MIN_AXIS_END, |axis_end, burn| {
        axis_end.max(burn.rate * AXIS_STRETCH)
    });
    let lines = bars.len().max(1) as f64;
    let title = format!("Burn rate, configuration {}", report.config);
    let mut chart = ChartBuilder::on(root)
        .caption(title, (FONT, 18))
        .margin(8)
        .y_label_area_size(LABELS_WIDTH_PX)
        .x_label_area_size(40)
        .build_cartesian_2d(0.0..axis_end, lines..0.0)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .x_label_style((FONT, 12))
        .x_desc("burn rate; a rate of 1 (vertical line) uses up exactly the error budget")
        .axis_desc_style((FONT, 12))
        .draw()?;
    for (index, window) in Window::ALL.into_iter().enumerate() {
        let color = COLORS[index];
        let series = bars.iter().enumerate().map(|(line, (_, burn))| {
            let rate = burn.windows.get(&window).map_or(0.0, |burn| burn.rate);
            let height = BARS_SHARE / Window::ALL.len() as f64;
            let top = line as f64 + (1.0 - BARS_SHARE) / 2.0 + index as f64 * height;
            Rectangle::new([(0.0, top), (rate, top + height)], color.filled())
        });
        chart
            .draw_series(series)?
            .label(window.to_string())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
    }
    let budget = [(1.0, 0.0), (1.0, lines)];
    chart.draw_series(LineSeries::new(budget, BLACK))?;
    chart
        .configure_series_labels()
        .label_font((FONT, 12))
        .border_style(BLACK)
        .background_style(WHITE)
        .draw()?;
    let (_, plot) = chart.plotting_area().get_pixel_range();
    for (line, (label, _)) in bars.iter().enumerate() {
        let height = f64::from(plot.end - plot.start) / lines;
        let y = f64::from(plot.start) + (line as f64 + 0.4) * height;
        root.draw(&Text::new(label.clone(), (8, y as i32), (FONT, 13)))?;
    }
    Ok(())
}
