//! The results of an experiment: a table of text, and an HTML page with plots and raw figures.

use std::fmt::Write;

use plotters::prelude::*;

use crate::experiment::Cell;
use crate::experiment::Experiment;
use crate::report::Engines;
use crate::report::Report;

/// The size of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (640, 360);

/// A figure that is compared.
struct Measure {
    name: &'static str,
    value: fn(&Report) -> f64,
}

const MEASURES: &[Measure] = &[
    Measure { name: "load stall p50, ms", value: |report| report.stall_ms.p50 },
    Measure { name: "load stall p95, ms", value: |report| report.stall_ms.p95 },
    Measure { name: "load stall p99, ms", value: |report| report.stall_ms.p99 },
    Measure { name: "stalled, %", value: |report| report.stalled_share * 100.0 },
    Measure { name: "batch fill, %", value: |report| engines(report).fill * 100.0 },
    Measure { name: "goodput, 1/s", value: |report| report.goodput },
    Measure { name: "refused, %", value: |report| percent(report.refusals(), report.sent) },
    Measure { name: "loads, 1/s", value: |report| engines(report).loads_per_second },
    Measure { name: "regretted evictions", value: |report| engines(report).regretted as f64 },
    Measure { name: "engine-s per answer", value: |report| engines(report).seconds_per_answer },
    Measure { name: "first token p95, ms", value: |report| report.first_ms.p95 },
    Measure { name: "completion p95, ms", value: |report| report.total_ms.p95 },
    Measure {
        name: "broken or unreachable",
        value: |report| (report.broken + report.unreachable) as f64,
    },
    Measure { name: "violations", value: |report| report.violations as f64 },
    Measure { name: "wrong answers", value: |report| report.wrong as f64 },
];

fn engines(report: &Report) -> Engines {
    report.engines.clone().unwrap_or_default()
}

fn percent(part: u64, whole: u64) -> f64 {
    100.0 * part as f64 / (whole as f64).max(1.0)
}

/// The values of a measure over the seeds.
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
    /// Returns the spread of some values; zeros if there are none.
    pub fn of(values: &[f64]) -> Spread {
        let count = values.len().max(1) as f64;
        let min = values.iter().copied().reduce(f64::min).unwrap_or_default();
        let max = values.iter().copied().reduce(f64::max).unwrap_or_default();
        Spread { mean: values.iter().sum::<f64>() / count, min, max }
    }
}

fn spread(cells: &[Cell], point: &str, variant: &str, measure: &Measure) -> Spread {
    let fits = |cell: &&Cell| cell.point.as_str() == point && cell.variant.as_str() == variant;
    let values = cells.iter().filter(fits).map(|cell| (measure.value)(&cell.report));
    Spread::of(&values.collect::<Vec<f64>>())
}

/// Returns the results as a table of text: mean over the seeds, min and max in brackets.
pub fn table(experiment: &Experiment, cells: &[Cell]) -> String {
    let mut text = format!("{}\n", experiment.title);
    for point in &experiment.points {
        writeln!(text, "\n{}", point.name).ok();
        write!(text, "{:<24}", "").ok();
        for variant in &experiment.variants {
            write!(text, "{:>32}", variant.name).ok();
        }
        text.push('\n');
        for measure in MEASURES {
            write!(text, "{:<24}", measure.name).ok();
            for variant in &experiment.variants {
                let Spread { mean, min, max } = spread(cells, &point.name, &variant.name, measure);
                let value = format!("{mean:.2} [{min:.2}, {max:.2}]");
                write!(text, "{value:>32}").ok();
            }
            text.push('\n');
        }
    }
    text
}

/// Returns the results as a page; the error is for people.
pub fn html(experiment: &Experiment, cells: &[Cell]) -> Result<String, String> {
    let title = escape(&experiment.title);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <h1>{title}</h1>\n<p>Lines: mean over the seeds. Bars: min and max.</p>\n"
    );
    for measure in MEASURES {
        let plot = plot(experiment, cells, measure).map_err(|error| error.to_string())?;
        writeln!(page, "<h2>{}</h2>\n{plot}", escape(measure.name)).ok();
    }
    let raw = serde_json::to_string_pretty(cells).map_err(|error| error.to_string())?;
    writeln!(page, "<h2>Table</h2>\n<pre>{}</pre>", escape(&table(experiment, cells))).ok();
    writeln!(page, "<h2>Raw figures</h2>\n<pre>{}</pre>\n</html>", escape(&raw)).ok();
    Ok(page)
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Draws a measure over the points, a line for each variant.
fn plot(
    experiment: &Experiment,
    cells: &[Cell],
    measure: &Measure,
) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    let points = experiment.points.len();
    let max = cells.iter().map(|cell| (measure.value)(&cell.report)).fold(0.0, f64::max);
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
                .map(|point| spread(cells, &point.name, &variant.name, measure))
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

/// Returns the name of the point at a whole number; nothing in between.
fn point_label(experiment: &Experiment, x: f64) -> String {
    let near = x.round();
    if (x - near).abs() > 0.01 || near < 0.0 {
        return String::new();
    }
    experiment.points.get(near as usize).map(|point| point.name.to_string()).unwrap_or_default()
}
