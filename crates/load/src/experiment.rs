//! Runs the variants of an experiment, interleaved, at several load points and with several seeds.

use std::path::Path;

use base::Name;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::report::Report;
use crate::run;
use crate::settings;
use crate::settings::Run;

/// The settings of an experiment.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The title of the report.
    pub title: Name,
    /// The settings common to all runs.
    pub run: Map<String, Value>,
    /// The variants to compare, such as running sites or settings.
    pub variants: Vec<Override>,
    /// The load points at which variants are compared.
    pub points: Vec<Override>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

/// The settings that a variant or a point overrides.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Override {
    /// The name of the variant or the point.
    pub name: Name,
    /// The overridden settings: top-level fields of [`Run`].
    #[serde(default)]
    pub set: Map<String, Value>,
}

/// The result of one run of an experiment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    /// The point.
    pub point: Name,
    /// The variant.
    pub variant: Name,
    /// The seed.
    pub seed: u64,
    /// The measurements.
    pub report: Report,
}

impl Experiment {
    /// Returns the settings of one run; the error names the variant and the point.
    pub fn settings(&self, variant: &Override, point: &Override, seed: u64) -> Result<Run, String> {
        let mut merged = self.run.clone();
        merged.extend(variant.set.clone());
        merged.extend(point.set.clone());
        merged.insert("seed".to_owned(), Value::from(seed));
        let context = |error| format!("variant '{}' at '{}': {error}", variant.name, point.name);
        let run: Run = serde_json::from_value(Value::Object(merged))
            .map_err(|error| context(error.to_string()))?;
        run.check().map_err(context)?;
        Ok(run)
    }
}

/// Reads the settings of an experiment and validates those of each run.
pub fn read(path: &Path) -> Result<Experiment, String> {
    let experiment: Experiment = settings::parse(path)?;
    let context = |error| format!("{}: {error}", path.display());
    if experiment.variants.is_empty() || experiment.points.is_empty() || experiment.seeds.is_empty()
    {
        return Err(context("variants, points and seeds must not be empty".to_owned()));
    }
    for variant in &experiment.variants {
        for point in &experiment.points {
            experiment.settings(variant, point, experiment.seeds[0]).map_err(context)?;
        }
    }
    Ok(experiment)
}

/// Runs all variants one after another for each seed and point; calls `progress` before each run.
///
/// The order of the variants rotates by one from seed to seed, so that none is always first.
pub async fn run(experiment: &Experiment, progress: impl Fn(&str)) -> Result<Vec<Cell>, String> {
    let mut cells = Vec::new();
    for (round, seed) in experiment.seeds.iter().enumerate() {
        for point in &experiment.points {
            let mut variants: Vec<&Override> = experiment.variants.iter().collect();
            let first = round % variants.len();
            variants.rotate_left(first);
            for variant in variants {
                progress(&format!("seed {seed}, {}, {}", point.name, variant.name));
                let settings = experiment.settings(variant, point, *seed)?;
                let report = run::run(&settings).await;
                let (point, variant) = (point.name.clone(), variant.name.clone());
                cells.push(Cell { point, variant, seed: *seed, report });
            }
        }
    }
    Ok(cells)
}
