//! Compares the table of settings with the settings and with the generated page.

use std::fs;
use std::path::Path;

use conf::Config;
use conf::Entry;
use conf::section::Tenant;
use conf::section::Tls;

#[test]
fn table_lists_all_settings_with_their_defaults() {
    let mut config = Config { entries: vec![Entry::default()], ..Config::default() };
    config.tls = Some(Tls::default());
    config.tenants = vec![Tenant::default()];
    let value = serde_json::to_value(&config).unwrap();
    let mut expected = Vec::new();
    flatten("", &value, &mut expected);
    let table = conf::table().into_iter().map(|setting| (setting.path, setting.default));
    let mut table: Vec<_> = table.collect();
    expected.sort();
    table.sort();
    assert_eq!(table, expected);
}

fn flatten(path: &str, value: &serde_json::Value, into: &mut Vec<(String, String)>) {
    match value {
        serde_json::Value::Object(object) => {
            for (name, value) in object {
                let path = if path.is_empty() { name.clone() } else { format!("{path}.{name}") };
                flatten(&path, value, into);
            }
        }
        serde_json::Value::Array(array) if ["entries", "tenants"].contains(&path) => {
            flatten(&format!("{path}[]"), &array[0], into);
        }
        _ => into.push((path.to_owned(), value.to_string())),
    }
}

#[test]
fn each_setting_has_a_description_with_its_unit() {
    for setting in conf::table() {
        assert!(setting.doc.ends_with('.'), "{}: '{}'", setting.path, setting.doc);
        let has_unit = !setting.path.ends_with("_ms") || setting.doc.contains("milliseconds");
        assert!(has_unit, "the description of {} lacks the unit", setting.path);
    }
}

#[test]
fn generated_page_is_up_to_date() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = fs::read_to_string(&path).unwrap();
    assert_eq!(page, conf::markdown(), "cargo run -p conf --example settings > docs/SETTINGS.md");
}

#[test]
fn defaults_are_valid() {
    assert_eq!(conf::check(&Config::default()), []);
}
