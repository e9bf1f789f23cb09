//! The arguments.

use std::ffi::OsString;
use std::path::PathBuf;

use base::Name;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use state::Change;
use state::view;

use crate::Error;

/// The text of `--help`.
pub const HELP: &str = "\
radishctl: changes and shows the configuration of a radishbank site

USAGE: radishctl [OPTIONS] COMMAND

COMMANDS
  adapter create NAME --base BASE     create an adapter
  adapter remove NAME                 remove an adapter with its versions
  adapter list                        list the adapters
  version create ADAPTER VERSION      create a version; the first is the default
  version remove ADAPTER VERSION      remove a version
  version deprecate ADAPTER VERSION   warn callers of a version (--undo ends it)
  version default ADAPTER VERSION     use a version where a request names none
  default set NAME VALUE              deadline-ms, caller-limit, queue-limit, stall-weight
  default list                        list the defaults of the fleet
  exception set ADAPTER RULE --reason TEXT
                                      RULE: pinned, never, queue-limit=N
  exception remove ADAPTER            remove an exception
  exceptions                          list the exceptions with their reasons
  service set KIND [--non-idempotent 'METHOD /PATH']...
                                      set a plain service and its calls that may not be repeated
  service remove KIND                 remove a plain service
  service list                        list the plain services
  drain HOST                          give a host no new work (--undo ends it)
  pardon FINGERPRINT                  end the quarantine of a request
  quarantine                          list the quarantined requests
  endpoints                           list the endpoints with their owners
  members                             list the keepers
  status                              show how the site is
  in-force REVISION                   tell whether a revision is in force at every gate
  explain REQUEST                     show what was decided on a request
  apply FILE                          carry out a file of changes, one JSON object a line
  check FILE                          check a file of settings

OPTIONS
  --address IP:PORT    operators' face of a gate; may be given several times
  --config FILE        take the addresses and the token from a file of settings
  --token-file FILE    take the token from a file; RADISH_TOKEN is used otherwise
  --author NAME        the operator; the user's name is used otherwise
  --id ID              id of the command; send the same again after a lost answer
  --expect REVISION    refuse the change unless this revision is in force
  --wait SECONDS       wait until the change is in force everywhere
  --base BASE, --reason TEXT, --non-idempotent CALL, --undo
  --json               print JSON
  -h, --help           print this text
  -V, --version        print the version
";

/// What the arguments ask for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Change the configuration.
    Change(Change),
    /// Show a part of the view.
    Show(Part),
    /// Show how the site is.
    Status,
    /// List the keepers.
    Members,
    /// Tell whether a revision is in force.
    InForce(u64),
    /// Show what was decided on a request.
    Explain(Name),
    /// Carry out a file of changes.
    Apply(PathBuf),
    /// Check a file of settings.
    Check(PathBuf),
}

/// A part of the view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// The adapters.
    Adapters,
    /// The defaults.
    Defaults,
    /// The exceptions.
    Exceptions,
    /// The plain services.
    Services,
    /// The endpoints.
    Endpoints,
    /// The quarantined requests.
    Quarantine,
}

/// The arguments.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// What to do.
    pub action: Action,
    /// The gates' operators' faces.
    pub addresses: Vec<Name>,
    /// The file of settings.
    pub config: Option<PathBuf>,
    /// The file with the token.
    pub token_file: Option<PathBuf>,
    /// The operator.
    pub author: Option<Name>,
    /// The id of the command.
    pub id: Option<Name>,
    /// The expected revision.
    pub expect: Option<u64>,
    /// How long to wait until the change is in force, in seconds.
    pub wait: Option<u64>,
    /// Whether to print JSON.
    pub json: bool,
}

#[derive(Default)]
struct Extra {
    base: Option<Name>,
    reason: Option<Name>,
    calls: Vec<Name>,
    undo: bool,
}

/// Parses the arguments without the program's name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Options, Error> {
    let mut parser = Parser::from_args(args);
    let mut options = Options {
        action: Action::Help,
        addresses: Vec::new(),
        config: None,
        token_file: None,
        author: None,
        id: None,
        expect: None,
        wait: None,
        json: false,
    };
    let mut extra = Extra::default();
    let mut words = Vec::new();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(options),
            Arg::Short('V') | Arg::Long("version") => {
                options.action = Action::Version;
                return Ok(options);
            }
            Arg::Long("address") => options.addresses.push(name(&mut parser)?),
            Arg::Long("config") => options.config = Some(parser.value()?.into()),
            Arg::Long("token-file") => options.token_file = Some(parser.value()?.into()),
            Arg::Long("author") => options.author = Some(name(&mut parser)?),
            Arg::Long("id") => options.id = Some(name(&mut parser)?),
            Arg::Long("expect") => options.expect = Some(parser.value()?.parse()?),
            Arg::Long("wait") => options.wait = Some(parser.value()?.parse()?),
            Arg::Long("json") => options.json = true,
            Arg::Long("base") => extra.base = Some(name(&mut parser)?),
            Arg::Long("reason") => extra.reason = Some(name(&mut parser)?),
            Arg::Long("non-idempotent") => extra.calls.push(name(&mut parser)?),
            Arg::Long("undo") => extra.undo = true,
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    options.action = action(&words, extra)?;
    Ok(options)
}

fn name(parser: &mut Parser) -> Result<Name, Error> {
    Ok(Name::from(parser.value()?.string()?))
}

fn action(words: &[String], extra: Extra) -> Result<Action, Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let action = match *words.as_slice() {
        [] => return Err(Error::Usage("a command is missing".to_owned())),
        ["adapter", "list"] => Action::Show(Part::Adapters),
        ["default", "list"] => Action::Show(Part::Defaults),
        ["exceptions"] | ["exception", "list"] => Action::Show(Part::Exceptions),
        ["service", "list"] => Action::Show(Part::Services),
        ["endpoints"] => Action::Show(Part::Endpoints),
        ["quarantine"] => Action::Show(Part::Quarantine),
        ["members"] => Action::Members,
        ["status"] => Action::Status,
        ["in-force", revision] => Action::InForce(number(revision)?),
        ["explain", request] => Action::Explain(Name::from(request)),
        ["apply", file] => Action::Apply(PathBuf::from(file)),
        ["check", file] => Action::Check(PathBuf::from(file)),
        _ => Action::Change(change(&words, extra)?),
    };
    Ok(action)
}

fn change(words: &[&str], extra: Extra) -> Result<Change, Error> {
    let change = match *words {
        ["adapter", "create", adapter] => {
            let base = extra.base.ok_or_else(|| Error::Usage("--base is missing".to_owned()))?;
            Change::CreateAdapter { adapter: Name::from(adapter), base }
        }
        ["adapter", "remove", adapter] => Change::RemoveAdapter { adapter: Name::from(adapter) },
        ["version", verb, adapter, version] => {
            version_change(verb, Name::from(adapter), Name::from(version), extra.undo)?
        }
        ["default", "set", setting, value] => {
            Change::SetDefault { setting: self::setting(setting, value)? }
        }
        ["exception", "set", adapter, rule] => {
            let reason = extra.reason.unwrap_or_default();
            Change::SetException { adapter: Name::from(adapter), rule: self::rule(rule)?, reason }
        }
        ["exception", "remove", adapter] => {
            Change::RemoveException { adapter: Name::from(adapter) }
        }
        ["service", "set", kind] => {
            let kind = Name::from(kind);
            Change::SetService { service: view::Service { kind, non_idempotent: extra.calls } }
        }
        ["service", "remove", kind] => Change::RemoveService { kind: Name::from(kind) },
        ["drain", host] => Change::Drain { host: Name::from(host), draining: !extra.undo },
        ["pardon", fingerprint] => Change::Pardon { fingerprint: hexadecimal(fingerprint)? },
        _ => return Err(Error::Usage(format!("unknown command '{}'", words.join(" ")))),
    };
    Ok(change)
}

fn version_change(verb: &str, adapter: Name, version: Name, undo: bool) -> Result<Change, Error> {
    let change = match verb {
        "create" => Change::CreateVersion { adapter, version },
        "remove" => Change::RemoveVersion { adapter, version },
        "deprecate" => Change::Deprecate { adapter, version, deprecated: !undo },
        "default" => Change::SetDefaultVersion { adapter, version },
        _ => return Err(Error::Usage(format!("unknown command 'version {verb}'"))),
    };
    Ok(change)
}

fn setting(name: &str, value: &str) -> Result<view::Setting, Error> {
    let setting = match name {
        "deadline-ms" => view::Setting::DeadlineMs(number(value)?),
        "caller-limit" => view::Setting::CallerLimit(number(value)?),
        "queue-limit" => view::Setting::QueueLimit(number(value)?),
        "stall-weight" => view::Setting::StallWeight(number(value)?),
        _ => return Err(Error::Usage(format!("unknown default '{name}'"))),
    };
    Ok(setting)
}

fn rule(text: &str) -> Result<view::Rule, Error> {
    match text.split_once('=') {
        None if text == "pinned" => Ok(view::Rule::Pinned),
        None if text == "never" => Ok(view::Rule::Never),
        Some(("queue-limit", limit)) => Ok(view::Rule::QueueLimit(number(limit)?)),
        _ => Err(Error::Usage(format!("unknown rule '{text}'"))),
    }
}

fn number<T: std::str::FromStr>(text: &str) -> Result<T, Error> {
    text.parse().map_err(|_| Error::Usage(format!("'{text}' is no number in range")))
}

fn hexadecimal(text: &str) -> Result<u64, Error> {
    u64::from_str_radix(text, 16).map_err(|_| Error::Usage(format!("'{text}' is no fingerprint")))
}
