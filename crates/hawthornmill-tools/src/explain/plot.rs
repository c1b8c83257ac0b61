//! Plots entitled against received service over time, one panel for each service.

use std::collections::BTreeMap;

use hawthornmill::usage::explain::Interval;
use plotters::coord::Shift;
use plotters::prelude::*;

const WIDTH_PX: u32 = 1000;
const PANEL_HEIGHT_PX: u32 = 420;
/// Maximum number of accounts in a panel, those with the largest differences; the lines of more
/// accounts could not be distinguished.
const MAX_ACCOUNTS: usize = 8;

/// Time in seconds, entitled cost and received cost of each account.
type Series = BTreeMap<Box<str>, Vec<(f64, f64, f64)>>;

/// Returns the plot as SVG.
///
/// Received cost is a solid line, entitled cost a dashed line of the same color.
///
/// # Errors
/// The message of the plotting library.
pub fn svg(intervals: &[Interval]) -> Result<String, String> {
    let services = by_service(intervals);
    let mut text = String::new();
    let height = PANEL_HEIGHT_PX * services.len().max(1) as u32;
    let backend = SVGBackend::with_string(&mut text, (WIDTH_PX, height));
    draw_all(&backend.into_drawing_area(), &services).map_err(|e| e.to_string())?;
    Ok(text)
}

type DrawResult<'a> =
    Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw_all<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    services: &BTreeMap<Box<str>, Series>,
) -> DrawResult<'a> {
    area.fill(&WHITE)?;
    let panels = area.split_evenly((services.len().max(1), 1));
    for ((service, series), panel) in services.iter().zip(&panels) {
        draw_panel(panel, service, series)?;
    }
    area.present()
}

fn by_service(intervals: &[Interval]) -> BTreeMap<Box<str>, Series> {
    let start = intervals.first().map_or(0, |i| i.start_ms);
    let mut services: BTreeMap<Box<str>, Series> = BTreeMap::new();
    for interval in intervals {
        let seconds = (interval.start_ms - start) as f64 / 1000.0;
        for line in &interval.lines {
            let series = services.entry(line.service.clone()).or_default();
            let points = series.entry(line.account.clone()).or_default();
            points.push((seconds, line.usage.entitled, line.usage.received));
        }
    }
    for series in services.values_mut() {
        keep_largest_differences(series);
    }
    services
}

fn keep_largest_differences(series: &mut Series) {
    let difference = |points: &[(f64, f64, f64)]| -> f64 {
        points
            .iter()
            .map(|(_, entitled, received)| (entitled - received).abs())
            .sum()
    };
    let mut names: Vec<(f64, Box<str>)> = series
        .iter()
        .map(|(name, points)| (difference(points), name.clone()))
        .collect();
    names.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, name) in names.into_iter().skip(MAX_ACCOUNTS) {
        series.remove(&name);
    }
}

fn draw_panel<'a>(
    panel: &DrawingArea<SVGBackend<'a>, Shift>,
    service: &str,
    series: &Series,
) -> DrawResult<'a> {
    let points = || series.values().flatten();
    let x_max = points().map(|p| p.0).fold(1.0, f64::max);
    let y_max = points().map(|p| p.1.max(p.2)).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(panel)
        .caption(
            format!("{service}: received (solid) and owed (dashed) each second"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc("cost")
        .draw()?;
    for (index, (account, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let received = points.iter().map(|p| (p.0, p.2));
        chart
            .draw_series(LineSeries::new(received, color.stroke_width(2)))?
            .label(&**account)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
        let entitled = points.iter().map(|p| (p.0, p.1));
        chart.draw_series(DashedLineSeries::new(entitled, 5, 4, color.stroke_width(1)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}
