//! The tail of the service and the finished batch work over time, as one SVG.

use std::{path::Path, time::Duration};

use plotters::{
    chart::{ChartBuilder, SeriesLabelPosition},
    drawing::{DrawingArea, IntoDrawingArea},
    prelude::{BLACK, LineSeries, PathElement, RGBColor, SVGBackend, WHITE},
    style::Color,
};

use super::{
    load::Timing,
    measure::{Judged, Run},
    site::Site,
};

/// Size of the picture, in pixels.
const SIZE: (u32, u32) = (900, 640);
/// Time that one point stands for.
const STEP: Duration = Duration::from_secs(1);
/// Greatest latency shown, over the least.
const TALLEST: f64 = 3.0;

/// The runs that are drawn, with their colours.
const LINES: [(&str, RGBColor); 6] = [
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

/// Draws all runs.
pub(super) fn draw(
    path: &Path,
    site: &Site,
    timing: &Timing,
    judged: &Judged,
) -> Result<(), DrawError> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let panels = root.split_evenly((2, 1));
    let tail = |run: &Run, at: Duration| run.p99_ms(at, at + STEP);
    let work = |run: &Run, at: Duration| run.work_s(site, Duration::ZERO, at + STEP);
    let tails = lines(timing, judged, "without_services", tail);
    let works = lines(timing, judged, "without_batch", work);
    let title = format!("{}: p99 of each second, in ms", site.scenario);
    panel(&panels[0], &title, timing, &tails)?;
    panel(
        &panels[1],
        "Batch work finished so far, in s",
        timing,
        &works,
    )?;
    root.present()?;
    Ok(())
}

fn lines<'a>(
    timing: &Timing,
    judged: &Judged,
    left_out: &str,
    value: impl Fn(&Run, Duration) -> f64,
) -> Vec<Line<'a>> {
    let seconds = u32::try_from(timing.length.as_secs()).unwrap_or(u32::MAX);
    let wanted = LINES.into_iter().filter(|(name, _)| *name != left_out);
    let line = |(name, colour)| {
        let run = judged.run(name)?;
        let point = |i: u32| (f64::from(i), value(run, STEP * i));
        Some((name, colour, (0..seconds).map(point).collect()))
    };
    wanted.filter_map(line).collect()
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
        true => top.min(least * TALLEST),
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
