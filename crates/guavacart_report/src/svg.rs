//! A report as an SVG plot: burn rate of each window, for each service and team.

use plotters::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::{
    report::{Burn, Report, Row},
    window::Window,
};

/// Width of the plot, in pixels.
const WIDTH: u32 = 1_000;
/// Height of the plot without its bars, in pixels.
const MARGINS: u32 = 106;
/// Height of the bars of one objective, in pixels.
const OBJECTIVE_HEIGHT: u32 = 52;
/// Width of the labels, in pixels.
const LABELS: u32 = 330;
/// Least burn rate that the axis reaches.
const LEAST_AXIS: f64 = 2.0;
/// The axis over the greatest burn rate, so that the legend at its end hides no bar.
const HEADROOM: f64 = 1.15;
/// Share of an objective's height that its bars fill.
const FILL: f64 = 0.8;

const FONT: &str = "sans-serif";
const COLORS: [RGBColor; 4] = [
    RGBColor(31, 119, 180),
    RGBColor(255, 127, 14),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
];

/// The plot could not be drawn.
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

/// The report as SVG text.
///
/// # Errors
/// Why the plot could not be drawn.
pub fn draw(report: &Report) -> Result<String, SvgError> {
    let bars: Vec<(String, &Burn)> = report.rows.iter().flat_map(labelled).collect();
    let lines = u32::try_from(bars.len().max(1)).unwrap_or(u32::MAX);
    let height = MARGINS.saturating_add(OBJECTIVE_HEIGHT.saturating_mul(lines));
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        chart(&root, report, &bars)?;
        root.present()?;
    }
    Ok(svg)
}

fn labelled(row: &Row) -> [(String, &Burn); 2] {
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
    let greatest = rates.fold(LEAST_AXIS, |greatest, burn| {
        greatest.max(burn.rate * HEADROOM)
    });
    let lines = bars.len().max(1) as f64;
    let title = format!("Burn rate, configuration {}", report.config);
    let mut chart = ChartBuilder::on(root)
        .caption(title, (FONT, 18))
        .margin(8)
        .y_label_area_size(LABELS)
        .x_label_area_size(40)
        .build_cartesian_2d(0.0..greatest, lines..0.0)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .x_label_style((FONT, 12))
        .x_desc("burn rate; the line at 1 spends the budget exactly")
        .axis_desc_style((FONT, 12))
        .draw()?;
    for (index, window) in Window::ALL.into_iter().enumerate() {
        let color = COLORS[index];
        let series = bars.iter().enumerate().map(|(line, (_, burn))| {
            let rate = burn.windows.get(&window).map_or(0.0, |burn| burn.rate);
            let height = FILL / Window::ALL.len() as f64;
            let top = line as f64 + (1.0 - FILL) / 2.0 + index as f64 * height;
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
