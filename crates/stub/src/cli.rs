//! The command line of `radish-stub`.

use std::ffi::OsString;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use base::Name;
use lexopt::Arg;
use lexopt::Parser;
use lexopt::ValueExt;

use crate::engine;
use crate::fault::Faults;
use crate::service;
use crate::store;

/// The text of `--help`.
pub const HELP: &str = "\
radish-stub: stubs for model engines, plain services, the weight store and a faulty network

Usage: radish-stub engine  --address IP:PORT [OPTIONS]
       radish-stub service --address IP:PORT --kind KIND [OPTIONS]
       radish-stub store   --address IP:PORT [OPTIONS]
       radish-stub proxy   --settings FILE
       radish-stub proxy   --listen IP:PORT --to IP:PORT [--control IP:PORT] [--udp]

Options of all:
  --address IP:PORT      the address to listen on
  --seed N               the seed for random faults [1]
  --fault NAME=VALUE     an initial fault, such as cut_percent=10; repeatable
  --log FORMAT           the log format, json or text [json]
  --help, --version

Options of engine and service:
  --name NAME            the name of the endpoint
  --announce A[,A...]    the gates to announce to
  --advertise IP:PORT    the address to announce, if behind a proxy
  --host NAME            the host to announce
  --domain NAME          the failure domain of the host
  --batch N              the maximum number of concurrent requests [16]
  --ignore-fence         executes orders with stale fencing tokens
  --linger-ms N          the minimum time between announcing that it leaves and stopping [0]
  --endpoint-token TEXT  the token for authentication at gates

Options of engine:
  --base NAME            the base model [base]
  --slots N              the number of adapter slots [6]
  --queue N              the queue capacity in requests [16]
  --store IP:PORT        the weight store; without one, a load takes --load-ms
  --load-ms N            the duration of a load without a store [250]
  --poison TEXT          crashes on a request whose body contains this text
  --down-ms N            the downtime after a crash [500]
  --first-ms N           the base time to first token [60]
  --first-each-ms N      the increase per request in the batch [4]
  --token-ms N           the base time between tokens [20]
  --token-each-ms N      the increase per request in the batch [1]
  --prefix-percent N     the time to first token with a cached prefix, in percent [50]

Options of service:
  --kind KIND            the kind of the service
  --work-ms N            the duration of a call [5]

Options of store:
  --rate N               the rate limit in loads per second [5]
  --burst N              the burst size of the rate limit [5]
  --in-flight N          the loads in flight up to which each runs at full speed [8]
  --load-ms N            the duration of a load at full speed [250]
  --fail-percent N       the share of loads that fail [0]
  --refuse               refuses all loads

Options of proxy:
  --settings FILE        the links, in JSON with comments
  --listen, --to         one link named 'link'
  --control IP:PORT      the address of the control API: GET /links, PUT /links/NAME
  --udp                  the link forwards UDP instead of TCP
";

/// A parsed command line.
pub enum Command {
    /// Print [`HELP`].
    Help,
    /// Print the version.
    Version,
    /// Run an engine.
    Engine(Common, engine::Settings),
    /// Run a service.
    Service(Common, service::Settings),
    /// Run a store.
    Store(Common, store::Settings),
    /// Run a proxy.
    Proxy(Proxy),
}

/// Options common to engines, services and stores.
#[derive(Clone, Debug)]
pub struct Common {
    /// The address to listen on.
    pub address: SocketAddr,
    /// The log format.
    pub format: base::Format,
}

/// Options of a proxy.
#[derive(Clone, Debug, Default)]
pub struct Proxy {
    /// The settings file.
    pub settings: Option<PathBuf>,
    /// The listening address of a single link.
    pub listen: Option<SocketAddr>,
    /// The target of a single link.
    pub to: Option<SocketAddr>,
    /// The listening address of the control API.
    pub control: Option<SocketAddr>,
    /// Whether a single link forwards UDP instead of TCP.
    pub udp: bool,
    /// The seed for loss and duplication of datagrams.
    pub seed: u64,
    /// The log format.
    pub format: base::Format,
}

/// Parses the arguments after the program name.
pub fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, lexopt::Error> {
    let mut parser = Parser::from_args(args);
    match parser.next()? {
        Some(Arg::Long("help") | Arg::Short('h')) => Ok(Command::Help),
        Some(Arg::Long("version") | Arg::Short('V')) => Ok(Command::Version),
        Some(Arg::Value(name)) => match name.to_string_lossy().as_ref() {
            "engine" => parse_engine(parser),
            "service" => parse_service(parser),
            "store" => parse_store(parser),
            "proxy" => parse_proxy(parser),
            other => Err(format!("unknown command '{other}', see --help").into()),
        },
        Some(other) => Err(other.unexpected()),
        None => Err("a command is missing, see --help".into()),
    }
}

/// Collects the options from which a [`Common`] is built.
#[derive(Default)]
struct Builder {
    address: Option<SocketAddr>,
    format: base::Format,
    seed: u64,
    faults: Vec<String>,
}

impl Builder {
    fn new() -> Builder {
        Builder { seed: 1, ..Builder::default() }
    }

    /// Parses a common option; returns `false` if `option` is not one.
    fn parse_option(&mut self, option: &str, parser: &mut Parser) -> Result<bool, lexopt::Error> {
        match option {
            "address" => self.address = Some(value(parser, option)?),
            "seed" => self.seed = value(parser, option)?,
            "log" => self.format = value(parser, option)?,
            "fault" => self.faults.push(parser.value()?.string()?),
            _ => return Ok(false),
        }
        Ok(true)
    }

    fn build(self) -> Result<(Common, u64, Faults), lexopt::Error> {
        let address = self.address.ok_or("--address is missing")?;
        let faults = Faults::parse(self.faults)?;
        Ok((Common { address, format: self.format }, self.seed, faults))
    }
}

fn parse_engine(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut settings = engine::Settings::default();
    let mut common = Builder::new();
    while let Some(option) = option(&mut parser)? {
        let parser = &mut parser;
        if common.parse_option(&option, parser)? {
            continue;
        }
        match option.as_str() {
            "help" => return Ok(Command::Help),
            "name" => settings.name = name(parser)?,
            "announce" => settings.announce = names(parser)?,
            "advertise" => settings.advertise = Some(name(parser)?),
            "host" => settings.host = name(parser)?,
            "domain" => settings.domain = name(parser)?,
            "base" => settings.base = name(parser)?,
            "slots" => settings.slots = value(parser, &option)?,
            "batch" => settings.batch = value(parser, &option)?,
            "queue" => settings.queue = value(parser, &option)?,
            "store" => settings.store = Some(name(parser)?),
            "load-ms" => settings.load_time = millis(parser, &option)?,
            "poison" => settings.poison = Some(parser.value()?.string()?),
            "down-ms" => settings.downtime = millis(parser, &option)?,
            "first-ms" => settings.latency.first_token_ms = value(parser, &option)?,
            "first-each-ms" => {
                settings.latency.first_token_per_request_ms = value(parser, &option)?;
            }
            "token-ms" => settings.latency.token_ms = value(parser, &option)?,
            "token-each-ms" => settings.latency.token_per_request_ms = value(parser, &option)?,
            "prefix-percent" => settings.latency.cached_prefix_percent = value(parser, &option)?,
            "ignore-fence" => settings.fenced = false,
            "linger-ms" => settings.linger = millis(parser, &option)?,
            "endpoint-token" => settings.token = Some(name(parser)?),
            _ => return Err(unknown(&option)),
        }
    }
    let (common, seed, faults) = common.build()?;
    Ok(Command::Engine(common, engine::Settings { seed, faults, ..settings }))
}

fn parse_service(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut settings = service::Settings::default();
    let mut common = Builder::new();
    let mut kind = None;
    while let Some(option) = option(&mut parser)? {
        let parser = &mut parser;
        if common.parse_option(&option, parser)? {
            continue;
        }
        match option.as_str() {
            "help" => return Ok(Command::Help),
            "name" => settings.name = name(parser)?,
            "kind" => kind = Some(name(parser)?),
            "announce" => settings.announce = names(parser)?,
            "advertise" => settings.advertise = Some(name(parser)?),
            "host" => settings.host = name(parser)?,
            "domain" => settings.domain = name(parser)?,
            "batch" => settings.batch = value(parser, &option)?,
            "work-ms" => settings.call_time = millis(parser, &option)?,
            "ignore-fence" => settings.fenced = false,
            "linger-ms" => settings.linger = millis(parser, &option)?,
            "endpoint-token" => settings.token = Some(name(parser)?),
            _ => return Err(unknown(&option)),
        }
    }
    let kind = kind.ok_or("--kind is missing")?;
    let (common, seed, faults) = common.build()?;
    Ok(Command::Service(common, service::Settings { kind, seed, faults, ..settings }))
}

fn parse_store(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut settings = store::Settings::default();
    let mut common = Builder::new();
    let mut fail_percent = None;
    let mut refuse = false;
    while let Some(option) = option(&mut parser)? {
        let parser = &mut parser;
        if common.parse_option(&option, parser)? {
            continue;
        }
        match option.as_str() {
            "help" => return Ok(Command::Help),
            "rate" => settings.rate = value(parser, &option)?,
            "burst" => settings.burst = value(parser, &option)?,
            "in-flight" => settings.in_flight = value(parser, &option)?,
            "load-ms" => settings.load_time = millis(parser, &option)?,
            "fail-percent" => fail_percent = Some(value(parser, &option)?),
            "refuse" => refuse = true,
            _ => return Err(unknown(&option)),
        }
    }
    let (common, seed, mut faults) = common.build()?;
    faults.load_fail_percent = fail_percent.unwrap_or(faults.load_fail_percent);
    faults.refuse |= refuse;
    Ok(Command::Store(common, store::Settings { seed, faults, ..settings }))
}

fn parse_proxy(mut parser: Parser) -> Result<Command, lexopt::Error> {
    let mut proxy = Proxy { seed: 1, ..Proxy::default() };
    while let Some(option) = option(&mut parser)? {
        let parser = &mut parser;
        match option.as_str() {
            "help" => return Ok(Command::Help),
            "settings" => proxy.settings = Some(PathBuf::from(parser.value()?)),
            "listen" => proxy.listen = Some(value(parser, &option)?),
            "to" => proxy.to = Some(value(parser, &option)?),
            "control" => proxy.control = Some(value(parser, &option)?),
            "udp" => proxy.udp = true,
            "seed" => proxy.seed = value(parser, &option)?,
            "log" => proxy.format = value(parser, &option)?,
            _ => return Err(unknown(&option)),
        }
    }
    match (&proxy.settings, proxy.listen, proxy.to) {
        (Some(_), None, None) | (None, Some(_), Some(_)) => Ok(Command::Proxy(proxy)),
        _ => Err("either --settings or both --listen and --to are needed".into()),
    }
}

/// Returns the name of the next option; fails on a positional argument.
fn option(parser: &mut Parser) -> Result<Option<String>, lexopt::Error> {
    match parser.next()? {
        None => Ok(None),
        Some(Arg::Long(name)) => Ok(Some(name.to_owned())),
        Some(other) => Err(other.unexpected()),
    }
}

fn unknown(option: &str) -> lexopt::Error {
    lexopt::Error::UnexpectedOption(format!("--{option}"))
}

/// Parses the value of an option; the error names the option.
fn value<T>(parser: &mut Parser, option: &str) -> Result<T, lexopt::Error>
where
    T: FromStr,
    T::Err: fmt::Display,
{
    let text = parser.value()?.string()?;
    text.parse().map_err(|error| format!("--{option} '{text}': {error}").into())
}

fn millis(parser: &mut Parser, option: &str) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(value(parser, option)?))
}

fn name(parser: &mut Parser) -> Result<Name, lexopt::Error> {
    Ok(Name::from(parser.value()?.string()?))
}

fn names(parser: &mut Parser) -> Result<Vec<Name>, lexopt::Error> {
    let text = parser.value()?.string()?;
    Ok(text.split(',').filter(|part| !part.is_empty()).map(Name::from).collect())
}
