//! The example settings are valid.

use std::path::PathBuf;

use load::experiment;
use load::settings;

fn file(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name)
}

#[test]
fn the_settings_of_both_sites_are_valid() {
    let hsinchu = settings::read(&file("hsinchu/load.jsonc")).unwrap();
    assert_eq!((hsinchu.gates.len(), hsinchu.engines.len()), (5, 18));
    let selat = settings::read(&file("selat/load.jsonc")).unwrap();
    assert_eq!((selat.gates.len(), selat.engines.len()), (5, 9));
}

#[test]
fn the_settings_of_the_experiment_are_valid() {
    let experiment = experiment::read(&file("experiment.jsonc")).unwrap();
    assert_eq!((experiment.variants.len(), experiment.points.len()), (2, 5));
}
