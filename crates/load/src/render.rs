//! Renders the results of an experiment as a text table and as an HTML page with plots and raw data.

use std::fmt::Write;

use plotters::prelude::*;

use crate::experiment::Cell;
use crate::experiment::Experiment;
use crate::report::Engines;
use crate::report::Report;

/// Width and height of a plot.
const PLOT_SIZE_PX: (u32, u32) = (640, 360);

/// A metric that is compared between variants.
struct Metric {
    name: &'static str,
    value: fn(&Report) -> f64,
}

const METRICS: &[Metric] = &[
    Metric { name: "load stall p50, ms", value: |report| report.stall_ms.p50 },
    Metric { name: "load stall p95, ms", value: |report| report.stall_ms.p95 },
    Metric { name: "load stall p99, ms", value: |report| report.stall_ms.p99 },
    Metric { name: "stalled, %", value: |report| report.stalled_share * 100.0 },
    Metric { name: "batch fill, %", value: |report| engines(report).fill * 100.0 },
    Metric { name: "goodput, 1/s", value: |report| report.goodput },
    Metric { name: "refused, %", value: |report| percent(report.refusals(), report.sent) },
    Metric { name: "loads, 1/s", value: |report| engines(report).loads_per_second },
    Metric { name: "regretted evictions", value: |report| engines(report).regretted as f64 },
    Metric { name: "engine-s per answer", value: |report| engines(report).seconds_per_answer },
    Metric { name: "first token p95, ms", value: |report| report.first_ms.p95 },
    Metric { name: "completion p95, ms", value: |report| report.total_ms.p95 },
    Metric {
        name: "broken or unreachable",
        value: |report| (report.broken + report.unreachable) as f64,
    },
    Metric { name: "violations", value: |report| report.violations as f64 },
    Metric { name: "wrong answers", value: |report| report.wrong as f64 },
];

fn engines(report: &Report) -> Engines {
    report.engines.clone().unwrap_or_default()
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / (whole as f64).max(1.0)
}

/// The mean and the range of a metric over the seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// The mean.
    pub mean: f64,
    /// The smallest.
    pub min: f64,
    /// The largest.
    pub max: f64,
}

impl Spread {
    /// Returns the spread of `values`; all zeros if there are none.
    pub fn of(values: &[f64]) -> Spread {
        let count = values.len().max(1) as f64;
        let min = values.iter().copied().reduce(f64::min).unwrap_or_default();
        let max = values.iter().copied().reduce(f64::max).unwrap_or_default();
        Spread { mean: values.iter().sum::<f64>() / count, min, max }
    }
}

fn spread(cells: &[Cell], point: &str, variant: &str, metric: &Metric) -> Spread {
    let matches = |cell: &&Cell| cell.point.as_str() == point && cell.variant.as_str() == variant;
    let values = cells.iter().filter(matches).map(|cell| (metric.value)(&cell.report));
    Spread::of(&values.collect::<Vec<f64>>())
}

/// Returns the results as a text table: mean over the seeds, minimum and maximum in brackets.
pub fn table(experiment: &Experiment, cells: &[Cell]) -> String {
    let mut text = format!("{}\n", experiment.title);
    for point in &experiment.points {
        writeln!(text, "\n{}", point.name).ok();
        write!(text, "{:<24}", "").ok();
        for variant in &experiment.variants {
            write!(text, "{:>32}", variant.name).ok();
        }
        text.push('\n');
        for metric in METRICS {
            write!(text, "{:<24}", metric.name).ok();
            for variant in &experiment.variants {
                let Spread { mean, min, max } = spread(cells, &point.name, &variant.name, metric);
                let value = format!("{mean:.2} [{min:.2}, {max:.2}]");
                write!(text, "{value:>32}").ok();
            }
            text.push('\n');
        }
    }
    text
}

/// Returns the results as an HTML page; the error is a message for the user.
pub fn html(experiment: &Experiment, cells: &[Cell]) -> Result<String, String> {
    let title = escape(&experiment.title);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <h1>{title}</h1>\n<p>Lines: mean over the seeds. Bars: min and max.</p>\n"
    );
    for metric in METRICS {
        let plot = plot(experiment, cells, metric).map_err(|error| error.to_string())?;
        writeln!(page, "<h2>{}</h2>\n{plot}", escape(metric.name)).ok();
    }
    let raw = serde_json::to_string_pretty(cells).map_err(|error| error.to_string())?;
    writeln!(page, "<h2>Table</h2>\n<pre>{}</pre>", escape(&table(experiment, cells))).ok();
    writeln!(page, "<h2>Raw data</h2>\n<pre>{}</pre>\n</html>", escape(&raw)).ok();
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws a metric over the points as SVG, with a line for each variant.
fn plot(
    experiment: &Experiment,
    cells: &[Cell],
    metric: &Metric,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let points = experiment.points.len();
    let max = cells.iter().map(|cell| (metric.value)(&cell.report)).fold(0.0, f64::max);
    let top = if max > 0.0 { max * 1.1 } else { 1.0 };
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let right = points as f64 - 0.5;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .x_label_area_size(30)
            .y_label_area_size(60)
            .build_cartesian_2d(-0.5..right, 0.0..top)?;
        let label = |x: &f64| point_label(experiment, *x);
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(points * 2 + 1)
            .x_label_formatter(&label)
            .draw()?;
        for (index, variant) in experiment.variants.iter().enumerate() {
            let color = Palette99::pick(index).to_rgba();
            let spreads: Vec<Spread> = experiment
                .points
                .iter()
                .map(|point| spread(cells, &point.name, &variant.name, metric))
                .collect();
            let line = spreads.iter().enumerate().map(|(x, spread)| (x as f64, spread.mean));
            chart
                .draw_series(LineSeries::new(line, color.stroke_width(2)))?
                .label(variant.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
            let bars = spreads.iter().enumerate().map(|(x, spread)| {
                PathElement::new([(x as f64, spread.min), (x as f64, spread.max)], color)
            });
            chart.draw_series(bars)?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK)
            .draw()?;
        area.present()?;
    }
    Ok(svg)
}

/// Returns the name of the point at an integer `x`; empty for other values.
fn point_label(experiment: &Experiment, x: f64) -> String {
    let nearest = x.round();
    if (x - nearest).abs() > 0.01 || nearest < 0.0 {
        return String::new();
    }
    experiment.points.get(nearest as usize).map(|point| point.name.to_string()).unwrap_or_default()
}
