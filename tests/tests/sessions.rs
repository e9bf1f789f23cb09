//! Golden tests of sessions: one folder per session with the script `steps.txt` and the transcript
//! `expected.txt`. With `RADISH_BLESS=1`, the transcripts are rewritten.

use std::env;
use std::fs;
use std::path::Path;

use site_tests::Options;
use site_tests::Site;
use site_tests::session;

fn case(path: &Path) -> datatest_stable::Result<()> {
    let steps = fs::read_to_string(path)?;
    let expected_path = path.with_file_name("expected.txt");
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let found = runtime.block_on(async {
        let site = Site::start(Options { entries: 1, engines: 1, ..Options::default() }).await;
        session::run(&site, &steps).await
    });
    if env::var_os("RADISH_BLESS").is_some() {
        fs::write(&expected_path, &found)?;
    }
    let expected = fs::read_to_string(&expected_path)?;
    if found == expected {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nfound:\n{found}").into())
}

datatest_stable::harness! {
    { test = case, root = "tests/sessions", pattern = r"steps\.txt$" },
}
