//! Checks that the tables in `docs/` match the code; `RADISH_BLESS=1` regenerates them.

use std::env;
use std::fs;
use std::path::Path;

use base::Code;
use base::Event;
use base::Ran;

fn compare(file: &str, expected: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs").join(file);
    if env::var_os("RADISH_BLESS").is_some() {
        fs::write(&path, expected).expect("the table is written");
    }
    let found = fs::read_to_string(&path).unwrap_or_default();
    assert!(found == expected, "docs/{file} does not match the code; run with RADISH_BLESS=1");
}

#[test]
fn the_page_of_codes_matches() {
    let mut text = String::from(
        "# Result codes\n\n\
         Each refusal carries one of these numbers in `error.code`. `ran` states whether the request \
         may have run on an endpoint: `no` means that it did not; `unknown` means that it may have.\n\n\
         | code | name | HTTP status | ran | meaning |\n|---|---|---|---|---|\n",
    );
    for code in Code::ALL {
        let ran = match code.ran() {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        };
        let line = format!(
            "| {} | {} | {} | {ran} | {} |\n",
            code.number(),
            code.name(),
            code.status(),
            code.text()
        );
        text.push_str(&line);
    }
    compare("CODES.md", &text);
}

#[test]
fn the_page_of_events_matches() {
    let mut text = String::from(
        "# Log events\n\n\
         Each log line about a decision or a state change carries its number in the field `event`.\n\n\
         A line of the class `state` is about a change of what the process believes, one of the class \
         `request` about a single request, adapter or order. Each class has its own bounds in the log.\n\n\
         | event | name | class | meaning |\n|---|---|---|---|\n",
    );
    for event in Event::ALL {
        let (number, name, class) = (event.number(), event.name(), event.class().name());
        let line = format!("| {number} | {name} | {class} | {} |\n", event.text());
        text.push_str(&line);
    }
    compare("EVENTS.md", &text);
}

#[test]
fn numbers_ascend_and_convert() {
    for pair in Code::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number());
    }
    for pair in Event::ALL.windows(2) {
        assert!(pair[0].number() < pair[1].number());
    }
    for code in Code::ALL {
        assert_eq!(Code::try_from(code.number()), Ok(*code));
    }
    assert!(Code::try_from(1).is_err());
}
