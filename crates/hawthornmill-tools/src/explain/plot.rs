//! A plot of owed against received over time, one panel for each service.

use std::collections::BTreeMap;

use hawthornmill::usage::explain::Interval;
use plotters::coord::Shift;
use plotters::prelude::*;

const WIDTH: u32 = 1000;
const PANEL: u32 = 420;
/// Accounts with the largest differences that a panel shows; more could not be told apart.
const ACCOUNTS: usize = 8;

type Series = BTreeMap<Box<str>, Vec<(f64, f64, f64)>>;

/// The plot as SVG; received is drawn whole, owed broken, in the same colour.
///
/// # Errors
/// In the library's words.
pub fn svg(steps: &[Interval]) -> Result<String, String> {
    let services = by_service(steps);
    let mut text = String::new();
    let height = PANEL * services.len().max(1) as u32;
    let backend = SVGBackend::with_string(&mut text, (WIDTH, height));
    draw_all(&backend.into_drawing_area(), &services).map_err(|e| e.to_string())?;
    Ok(text)
}

type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw_all<'a>(
    area: &DrawingArea<SVGBackend<'a>, Shift>,
    services: &BTreeMap<Box<str>, Series>,
) -> Drawn<'a> {
    area.fill(&WHITE)?;
    let panels = area.split_evenly((services.len().max(1), 1));
    for ((service, series), panel) in services.iter().zip(&panels) {
        draw(panel, service, series)?;
    }
    area.present()
}

fn by_service(steps: &[Interval]) -> BTreeMap<Box<str>, Series> {
    let start = steps.first().map_or(0, |s| s.start_ms);
    let mut services: BTreeMap<Box<str>, Series> = BTreeMap::new();
    for step in steps {
        let at = (step.start_ms - start) as f64 / 1000.0;
        for line in &step.lines {
            let series = services.entry(line.service.clone()).or_default();
            let points = series.entry(line.account.clone()).or_default();
            points.push((at, line.part.entitled, line.part.received));
        }
    }
    for series in services.values_mut() {
        keep_largest(series);
    }
    services
}

fn keep_largest(series: &mut Series) {
    let difference = |points: &[(f64, f64, f64)]| -> f64 {
        points
            .iter()
            .map(|(_, owed, received)| (owed - received).abs())
            .sum()
    };
    let mut names: Vec<(f64, Box<str>)> = series
        .iter()
        .map(|(name, points)| (difference(points), name.clone()))
        .collect();
    names.sort_by(|a, b| b.0.total_cmp(&a.0));
    for (_, name) in names.into_iter().skip(ACCOUNTS) {
        series.remove(&name);
    }
}

fn draw<'a>(
    panel: &DrawingArea<SVGBackend<'a>, Shift>,
    service: &str,
    series: &Series,
) -> Drawn<'a> {
    let points = || series.values().flatten();
    let right = points().map(|p| p.0).fold(1.0, f64::max);
    let top = points().map(|p| p.1.max(p.2)).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(panel)
        .caption(
            format!("{service}: received (whole) and owed (broken) each second"),
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
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
        let owed = points.iter().map(|p| (p.0, p.1));
        chart.draw_series(DashedLineSeries::new(owed, 5, 4, color.stroke_width(1)))?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
}
