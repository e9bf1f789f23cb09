//! Golden tests of the command line: each case has the arguments in `args.txt`, one per line, and the parsed
//! command or the error in `expected.txt`.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

fn case(path: &Path) -> datatest_stable::Result<()> {
    let args = fs::read_to_string(path)?;
    let expected = fs::read_to_string(path.with_file_name("expected.txt"))?;
    let found = match ctl::parse(args.lines().map(OsString::from)) {
        Ok(options) => format!("{:#?}\n", options.command),
        Err(error) => format!("exit {}: {error}\n", error.exit_code()),
    };
    if found == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nfound:\n{found}").into())
}

datatest_stable::harness! {
    { test = case, root = "tests/cases", pattern = r"args\.txt$" },
}
