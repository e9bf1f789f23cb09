//! Golden tests: each case has a settings file and the expected result of parsing it.

use std::fs;
use std::path::Path;

datatest_stable::harness! {
    { test = case, root = "tests/cases", pattern = r"settings\.jsonc$" },
}

fn case(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let found = match conf::parse(&text, Path::new("settings.jsonc")) {
        Ok(_) => "accepted\n".to_owned(),
        Err(error) => format!("{error}\n"),
    };
    let expected = fs::read_to_string(path.with_file_name("expected.txt"))?;
    if found == expected {
        return Ok(());
    }
    Err(format!("found:\n{found}expected:\n{expected}").into())
}
