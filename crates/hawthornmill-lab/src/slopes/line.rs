//! Lines through measured points.

use std::fmt::Write;

use serde::Serialize;

/// A value that was measured at several sizes, and the line through the points.
#[derive(Debug, Clone, Serialize)]
pub struct Line {
    /// What was measured, with its unit.
    pub what: Box<str>,
    /// The size that was varied.
    pub over: Box<str>,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
    /// Value at size 0.
    pub base: f64,
    /// Value for each unit of size.
    pub slope: f64,
    /// Part of the values' variance that the line explains, 0 to 1.
    pub fit: f64,
}

impl Line {
    /// The line of least squares through `points`.
    pub fn through(what: &str, over: &str, points: Vec<(f64, f64)>) -> Self {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / count;
        let mut products = [0.0; 3];
        for (x, y) in &points {
            let (dx, dy) = (x - mean_x, y - mean_y);
            products[0] += dx * dx;
            products[1] += dx * dy;
            products[2] += dy * dy;
        }
        let slope = products[1] / products[0];
        let fit = if products[2] == 0.0 {
            1.0
        } else {
            products[1] * products[1] / (products[0] * products[2])
        };
        Self {
            what: what.into(),
            over: over.into(),
            points,
            base: mean_y - slope * mean_x,
            slope,
            fit,
        }
    }
}

/// The lines as a Markdown table.
pub fn table(lines: &[Line]) -> String {
    let mut text =
        String::from("| value | over | points | base | slope | fit |\n|---|---|---|---|---|---|\n");
    for line in lines {
        let points: Vec<String> = line
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {}", short(*y)))
            .collect();
        let _infallible = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {:.3} |",
            line.what,
            line.over,
            points.join(", "),
            short(line.base),
            short(line.slope),
            line.fit
        );
    }
    text
}

/// Three significant digits.
fn short(value: f64) -> String {
    let size = value.abs();
    match size {
        s if s >= 100.0 || s == 0.0 => format!("{value:.0}"),
        s if s >= 10.0 => format!("{value:.1}"),
        s if s >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.4}"),
    }
}
