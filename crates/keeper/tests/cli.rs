//! The command line of `radish-keeper`.

use std::path::PathBuf;

use base::Name;
use keeper::cli;
use keeper::cli::Command;
use keeper::cli::Run;

fn parse(line: &str) -> Result<Command, String> {
    cli::parse(line.split_whitespace()).map_err(|error| error.to_string())
}

#[test]
fn all_options_are_parsed() {
    let run = Run {
        config: PathBuf::from("site.json"),
        host: Name::from("h0"),
        bootstrap: true,
        check: true,
    };
    let line = "--config site.json --host=h0 --bootstrap --check";
    assert_eq!(parse(line), Ok(Command::Run(run)));
    assert_eq!(parse("--help"), Ok(Command::Help));
    assert_eq!(parse("--version"), Ok(Command::Version));
}

#[test]
fn errors_name_the_option() {
    assert_eq!(parse("--host h0"), Err("missing option '--config'".to_owned()));
    assert_eq!(parse("--config f"), Err("missing option '--host'".to_owned()));
    assert!(parse("--config f --host h0 --nope").unwrap_err().contains("--nope"));
    assert!(parse("--config").unwrap_err().contains("--config"));
}

#[test]
fn help_lists_every_option() {
    for option in ["--config", "--host", "--bootstrap", "--check", "--version", "--help"] {
        assert!(cli::HELP.contains(option), "{option}");
    }
}
