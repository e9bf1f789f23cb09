//! The command line of `radishctl`.

use std::ffi::OsString;
use std::path::PathBuf;

use base::Name;
use fleet::explanation::Question;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;
use state::Change;
use state::view;

use crate::Error;

/// The text of `--help`.
pub const HELP: &str = "\
radishctl: shows and changes the configuration of a radishbank site

USAGE: radishctl [OPTIONS] COMMAND

COMMANDS
  adapter create NAME --base BASE     create an adapter
  adapter remove NAME                 remove an adapter with its versions
  adapter list                        list the adapters
  version create ADAPTER VERSION      create a version; the first one becomes the default
  version remove ADAPTER VERSION      remove a version
  version deprecate ADAPTER VERSION   mark a version as deprecated (--undo unmarks it)
  version default ADAPTER VERSION     use a version for requests without a version
  default set NAME VALUE              NAME: deadline-ms, caller-limit, queue-limit, stall-weight
  default list                        list the default settings
  exception set ADAPTER RULE --reason TEXT
                                      RULE: pinned, never, queue-limit=N
  exception remove ADAPTER            remove an exception
  exceptions                          list the exceptions with their reasons
  service set KIND [--non-idempotent 'METHOD /PATH']...
                                      set a plain service and its non-idempotent calls
  service remove KIND                 remove a plain service
  service list                        list the plain services
  drain HOST                          send a host no new requests (--undo ends it)
  pardon FINGERPRINT                  end the quarantine of a request
  quarantine                          list the quarantined requests
  endpoints                           list the endpoints with their owners
  members                             list the keepers
  status                              show the status of the site
  in-force REVISION                   show whether a revision is in force at every gate
  explain REQUEST                     show the routing decisions on a request
  explain --keeper IP:PORT... --service SERVICE [--model MODEL] [--adapter ADAPTER]
          [--input TOKENS] [--output TOKENS] [--target-ms MS] [--left-ms MS] [--rank RANK]
          [--tenant TENANT] [--domain DOMAIN]
                                      show where a request would go now, and why, without
                                      sending it; IP:PORT is a keeper's metrics address
  apply FILE                          apply a file of changes, one JSON object per line
  check FILE                          check a settings file

OPTIONS
  --address IP:PORT    operator address of a gate; may be given several times
  --config FILE        take the addresses and the token from a settings file
  --token-file FILE    read the token from a file; default: RADISH_TOKEN
  --author NAME        the name of the operator; default: the name of the user
  --id ID              the id of the command; retry with the same id if the response is lost
  --expect REVISION    refuse the change unless this revision is in force
  --wait SECONDS       wait until the change is in force everywhere
  --base BASE, --reason TEXT, --non-idempotent CALL, --undo
                       see COMMANDS
  --json               print JSON
  -h, --help           print this text and exit
  -V, --version        print the version and exit
";

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print the help.
    Help,
    /// Print the version.
    Version,
    /// Change the configuration.
    Change(Change),
    /// List objects of the view.
    List(Listing),
    /// Show the status of the site.
    Status,
    /// List the keepers.
    Members,
    /// Show whether a revision is in force at every gate.
    InForce(u64),
    /// Show the routing decisions on a request.
    Explain(Name),
    /// Show where a request would go now.
    ExplainQuestion(Box<Question>),
    /// Apply a file of changes.
    Apply(PathBuf),
    /// Check a settings file.
    Check(PathBuf),
}

/// The objects of the view that a command lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// The adapters.
    Adapters,
    /// The default settings.
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

/// The parsed command line.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The command.
    pub command: Command,
    /// The operator addresses of the gates, tried in order.
    pub addresses: Vec<Name>,
    /// The metrics addresses of keepers, tried in order.
    pub keepers: Vec<Name>,
    /// The settings file.
    pub config: Option<PathBuf>,
    /// The file that contains the token.
    pub token_file: Option<PathBuf>,
    /// The name of the operator.
    pub author: Option<Name>,
    /// The id of the command, the same for retries.
    pub id: Option<Name>,
    /// The expected revision of the configuration.
    pub expect: Option<u64>,
    /// The maximum time to wait until the change is in force, in seconds.
    pub wait: Option<u64>,
    /// Whether to print JSON.
    pub json: bool,
}

/// The options that apply only to particular commands.
#[derive(Default)]
struct ChangeOptions {
    base: Option<Name>,
    reason: Option<Name>,
    non_idempotent: Vec<Name>,
    undo: bool,
    question: Question,
}

/// Parses the arguments that follow the program name.
///
/// # Errors
///
/// [`Error::Usage`] if the arguments are not valid.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Options, Error> {
    let mut parser = Parser::from_args(args);
    let mut options = Options {
        command: Command::Help,
        addresses: Vec::new(),
        keepers: Vec::new(),
        config: None,
        token_file: None,
        author: None,
        id: None,
        expect: None,
        wait: None,
        json: false,
    };
    let mut change_options = ChangeOptions::default();
    let mut words = Vec::new();
    while let Some(arg) = parser.next()? {
        let question = &mut change_options.question;
        match arg {
            Arg::Short('h') | Arg::Long("help") => return Ok(options),
            Arg::Short('V') | Arg::Long("version") => {
                options.command = Command::Version;
                return Ok(options);
            }
            Arg::Long("address") => options.addresses.push(parse_name(&mut parser)?),
            Arg::Long("config") => options.config = Some(parser.value()?.into()),
            Arg::Long("token-file") => options.token_file = Some(parser.value()?.into()),
            Arg::Long("author") => options.author = Some(parse_name(&mut parser)?),
            Arg::Long("id") => options.id = Some(parse_name(&mut parser)?),
            Arg::Long("expect") => options.expect = Some(parser.value()?.parse()?),
            Arg::Long("wait") => options.wait = Some(parser.value()?.parse()?),
            Arg::Long("json") => options.json = true,
            Arg::Long("base") => change_options.base = Some(parse_name(&mut parser)?),
            Arg::Long("reason") => change_options.reason = Some(parse_name(&mut parser)?),
            Arg::Long("non-idempotent") => {
                change_options.non_idempotent.push(parse_name(&mut parser)?);
            }
            Arg::Long("undo") => change_options.undo = true,
            Arg::Long("keeper") => options.keepers.push(parse_name(&mut parser)?),
            Arg::Long("service") => question.service = parse_name(&mut parser)?,
            Arg::Long("model") => question.model = Some(parse_name(&mut parser)?),
            Arg::Long("adapter") => question.adapter = parse_name(&mut parser)?,
            Arg::Long("input") => question.input = parser.value()?.parse()?,
            Arg::Long("output") => question.output = parser.value()?.parse()?,
            Arg::Long("target-ms") => question.target_ms = Some(parser.value()?.parse()?),
            Arg::Long("left-ms") => question.left_ms = Some(parser.value()?.parse()?),
            Arg::Long("rank") => question.rank = Some(parser.value()?.parse()?),
            Arg::Long("tenant") => question.tenant = Some(parse_name(&mut parser)?),
            Arg::Long("domain") => question.domain = parse_name(&mut parser)?,
            Arg::Value(word) => words.push(word.string()?),
            other => return Err(other.unexpected().into()),
        }
    }
    options.command = parse_command(&words, change_options)?;
    Ok(options)
}

fn parse_name(parser: &mut Parser) -> Result<Name, Error> {
    Ok(Name::from(parser.value()?.string()?))
}

fn parse_command(words: &[String], change_options: ChangeOptions) -> Result<Command, Error> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let command = match *words.as_slice() {
        [] => return Err(Error::Usage("missing command".to_owned())),
        ["adapter", "list"] => Command::List(Listing::Adapters),
        ["default", "list"] => Command::List(Listing::Defaults),
        ["exceptions"] | ["exception", "list"] => Command::List(Listing::Exceptions),
        ["service", "list"] => Command::List(Listing::Services),
        ["endpoints"] => Command::List(Listing::Endpoints),
        ["quarantine"] => Command::List(Listing::Quarantine),
        ["members"] => Command::Members,
        ["status"] => Command::Status,
        ["in-force", revision] => Command::InForce(parse_number(revision)?),
        ["explain"] if change_options.question.service.is_empty() => {
            return Err(Error::Usage("missing request or option --service".to_owned()));
        }
        ["explain"] => Command::ExplainQuestion(Box::new(change_options.question)),
        ["explain", request] => Command::Explain(Name::from(request)),
        ["apply", file] => Command::Apply(PathBuf::from(file)),
        ["check", file] => Command::Check(PathBuf::from(file)),
        _ => Command::Change(parse_change(&words, change_options)?),
    };
    Ok(command)
}

fn parse_change(words: &[&str], change_options: ChangeOptions) -> Result<Change, Error> {
    let change = match *words {
        ["adapter", "create", adapter] => {
            let base = change_options
                .base
                .ok_or_else(|| Error::Usage("missing option --base".to_owned()))?;
            Change::CreateAdapter { adapter: Name::from(adapter), base }
        }
        ["adapter", "remove", adapter] => Change::RemoveAdapter { adapter: Name::from(adapter) },
        ["version", verb, adapter, version] => parse_version_change(
            verb,
            Name::from(adapter),
            Name::from(version),
            change_options.undo,
        )?,
        ["default", "set", setting, value] => {
            Change::SetDefault { setting: parse_setting(setting, value)? }
        }
        ["exception", "set", adapter, rule] => {
            let reason = change_options.reason.unwrap_or_default();
            Change::SetException { adapter: Name::from(adapter), rule: parse_rule(rule)?, reason }
        }
        ["exception", "remove", adapter] => {
            Change::RemoveException { adapter: Name::from(adapter) }
        }
        ["service", "set", kind] => {
            let kind = Name::from(kind);
            Change::SetService {
                service: view::Service { kind, non_idempotent: change_options.non_idempotent },
            }
        }
        ["service", "remove", kind] => Change::RemoveService { kind: Name::from(kind) },
        ["drain", host] => Change::Drain { host: Name::from(host), draining: !change_options.undo },
        ["pardon", fingerprint] => Change::Pardon { fingerprint: parse_fingerprint(fingerprint)? },
        _ => return Err(Error::Usage(format!("unknown command '{}'", words.join(" ")))),
    };
    Ok(change)
}

fn parse_version_change(
    verb: &str,
    adapter: Name,
    version: Name,
    undo: bool,
) -> Result<Change, Error> {
    let change = match verb {
        "create" => Change::CreateVersion { adapter, version },
        "remove" => Change::RemoveVersion { adapter, version },
        "deprecate" => Change::Deprecate { adapter, version, deprecated: !undo },
        "default" => Change::SetDefaultVersion { adapter, version },
        _ => return Err(Error::Usage(format!("unknown command 'version {verb}'"))),
    };
    Ok(change)
}

fn parse_setting(name: &str, value: &str) -> Result<view::Setting, Error> {
    let setting = match name {
        "deadline-ms" => view::Setting::DeadlineMs(parse_number(value)?),
        "caller-limit" => view::Setting::CallerLimit(parse_number(value)?),
        "queue-limit" => view::Setting::QueueLimit(parse_number(value)?),
        "stall-weight" => view::Setting::StallWeight(parse_number(value)?),
        _ => return Err(Error::Usage(format!("unknown default '{name}'"))),
    };
    Ok(setting)
}

fn parse_rule(text: &str) -> Result<view::Rule, Error> {
    match text.split_once('=') {
        None if text == "pinned" => Ok(view::Rule::Pinned),
        None if text == "never" => Ok(view::Rule::Never),
        Some(("queue-limit", limit)) => Ok(view::Rule::QueueLimit(parse_number(limit)?)),
        _ => Err(Error::Usage(format!("unknown rule '{text}'"))),
    }
}

fn parse_number<T: std::str::FromStr>(text: &str) -> Result<T, Error> {
    text.parse().map_err(|_| Error::Usage(format!("'{text}' is not a number in range")))
}

fn parse_fingerprint(text: &str) -> Result<u64, Error> {
    u64::from_str_radix(text, 16)
        .map_err(|_| Error::Usage(format!("'{text}' is not a fingerprint")))
}
