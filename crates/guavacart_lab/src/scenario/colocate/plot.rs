//! Plots the tail latency of the service and the finished batch work over time, as one SVG.

use std::{path::Path, time::Duration};

use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingArea, IntoDrawingArea},
    prelude::{BLACK, LineSeries, PathElement, RGBColor, SVGBackend, WHITE},
    style::Color,
};

use super::{
    load::Timing,
    measure::{Comparison, Run},
    site::Site,
};

/// Width and height of the image, in pixels.
const IMAGE_SIZE: (u32, u32) = (900, 640);
/// Time that each point covers.
const STEP: Duration = Duration::from_secs(1);
/// Highest latency on the axis, relative to the lowest one measured; higher latencies are drawn at
/// this limit.
const MAX_LATENCY_FACTOR: f64 = 3.0;

/// The runs that are plotted, with their colours.
const LINE_COLOURS: [(&str, RGBColor); 6] = [
    ("learned", RGBColor(0, 90, 200)),
    ("none", RGBColor(200, 40, 40)),
    ("static", RGBColor(220, 150, 0)),
    ("reactive", RGBColor(130, 60, 170)),
    ("without_batch", RGBColor(90, 90, 90)),
    ("without_services", RGBColor(0, 140, 90)),
];

type Area<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;
type DrawError = Box<dyn std::error::Error + Send + Sync>;
type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Plots all runs and writes the SVG to `path`.
pub(super) fn draw(
    path: &Path,
    site: &Site,
    timing: &Timing,
    comparison: &Comparison,
) -> Result<(), DrawError> {
    let root = SVGBackend::new(path, IMAGE_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((2, 1));
    let tail = |run: &Run, at: Duration| run.p99_ms(at, at + STEP);
    let work = |run: &Run, at: Duration| run.work_s(site, Duration::ZERO, at + STEP);
    let tail_lines = lines(timing, comparison, "without_services", tail);
    let work_lines = lines(timing, comparison, "without_batch", work);
    let title = format!("{}: p99 of each second, in ms", site.scenario);
    panel(&panels[0], &title, timing, &tail_lines)?;
    panel(
        &panels[1],
        "Batch work finished so far, in s",
        timing,
        &work_lines,
    )?;
    root.present()?;
    Ok(())
}

fn lines<'a>(
    timing: &Timing,
    comparison: &Comparison,
    excluded: &str,
    value: impl Fn(&Run, Duration) -> f64,
) -> Vec<Line<'a>> {
    let seconds = u32::try_from(timing.length.as_secs()).unwrap_or(u32::MAX);
    let included = LINE_COLOURS
        .into_iter()
        .filter(|(name, _)| *name != excluded);
    let line = |(name, colour)| {
        let run = comparison.run(name)?;
        let point = |i: u32| (f64::from(i), value(run, STEP * i));
        Some((name, colour, (0..seconds).map(point).collect()))
    };
    included.filter_map(line).collect()
}

fn panel(
    area: &Area<'_>,
    title: &str,
    timing: &Timing,
    lines: &[Line<'_>],
) -> Result<(), DrawError> {
    let points = || lines.iter().flat_map(|(_, _, points)| points);
    let top = points().map(|(_, y)| *y).fold(0.0, f64::max);
    let least = points().map(|(_, y)| *y).filter(|y| *y > 0.0);
    let least = least.fold(f64::INFINITY, f64::min);
    let top = match title.contains("p99") {
        true => top.min(least * MAX_LATENCY_FACTOR),
        false => top,
    };
    let mut chart = ChartBuilder::on(area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..timing.length.as_secs_f64(), 0.0..top)?;
    chart.configure_mesh().disable_mesh().x_desc("s").draw()?;
    for (name, colour, points) in lines {
        let line = points.iter().map(|(x, y)| (*x, y.min(top)));
        let colour = *colour;
        chart
            .draw_series(LineSeries::new(line, colour.stroke_width(1)))?
            .label(*name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
