//! Golden tests of the command line: output and exit code.

use std::fs;
use std::path::Path;
use std::process::Command;

/// If set, the golden files are rewritten with the output of the program.
const UPDATE_VARIABLE: &str = "UPDATE_GOLDEN";

fn check(path: &Path) -> datatest_stable::Result<()> {
    let text = fs::read_to_string(path)?;
    let output = Command::new(env!("CARGO_BIN_EXE_radish-stub"))
        .args(text.lines())
        .current_dir(path.parent().unwrap_or(Path::new(".")))
        .output()?;
    let seen = format!(
        "exit: {}\n--- stdout\n{}--- stderr\n{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    );
    let golden = path.with_extension("golden");
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&golden, &seen)?;
    }
    let expected = fs::read_to_string(&golden)?;
    if seen != expected {
        return Err(format!("expected:\n{expected}\nseen:\n{seen}").into());
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/arguments", pattern = r"\.args$" },
}
