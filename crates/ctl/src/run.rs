//! Execution of commands.

mod apply;
mod decision;
mod show;

use std::env;
use std::fs;
use std::time::Duration;

use base::Name;
use serde::Serialize;
use state::Change;
use state::View;
use tokio::time::Instant;
use wire::admin;

use crate::Client;
use crate::Command;
use crate::Error;
use crate::HELP;
use crate::Options;

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Executes a command and returns the text to print.
///
/// # Errors
///
/// The error of the command; its exit code is [`Error::exit_code`].
pub async fn run(options: &Options) -> Result<String, Error> {
    match &options.command {
        Command::Help => return Ok(HELP.to_owned()),
        Command::Version => return Ok(format!("radishctl {}\n", env!("CARGO_PKG_VERSION"))),
        Command::Check(file) => {
            conf::read(file)?;
            return Ok(format!("{}: the settings are valid\n", file.display()));
        }
        Command::ExplainQuestion(question) => return decision::explain(options, question).await,
        _ => {}
    }
    let client = create_client(options)?;
    match &options.command {
        Command::Change(change) => change_configuration(&client, options, change).await,
        Command::Apply(file) => apply::apply(&client, options, file).await,
        Command::List(listing) => {
            let view: View = client.get("/v1/view").await?;
            if options.json {
                show::listing_json(&view, *listing)
            } else {
                Ok(show::listing(&view, *listing))
            }
        }
        Command::Status => {
            let status: admin::Status = client.get("/v1/status").await?;
            if options.json { json(&status) } else { Ok(show::status(&status)) }
        }
        Command::Members => {
            let status: admin::Status = client.get("/v1/status").await?;
            if options.json { json(&status.keepers) } else { Ok(show::members(&status.keepers)) }
        }
        Command::InForce(revision) => {
            let response: admin::InForce = client.get(&format!("/v1/in-force/{revision}")).await?;
            if options.json { json(&response) } else { Ok(format!("{}\n", response.in_force)) }
        }
        Command::Explain(request) => {
            let explanation: admin::Explanation =
                client.get(&format!("/v1/explain/{request}")).await?;
            if options.json { json(&explanation) } else { Ok(show::explanation(&explanation)) }
        }
        Command::Help | Command::Version | Command::Check(_) | Command::ExplainQuestion(_) => {
            Ok(String::new())
        }
    }
}

async fn change_configuration(
    client: &Client,
    options: &Options,
    change: &Change,
) -> Result<String, Error> {
    let id = options.id.clone().unwrap_or_else(|| Name::from(uuid::Uuid::new_v4().to_string()));
    let command = command(options, id, change.clone());
    let mut receipt: admin::Receipt = client.post("/v1/commands", &command).await?;
    if let Some(seconds) = options.wait {
        receipt.in_force = wait_in_force(client, receipt.revision, seconds).await?;
    }
    if options.json {
        return json(&receipt);
    }
    let in_force = if receipt.in_force { "in force everywhere" } else { "not yet in force" };
    Ok(format!("{}: revision {}, {in_force}\n", receipt.status, receipt.revision))
}

fn command(options: &Options, id: Name, change: Change) -> admin::Command {
    let author = options.author.clone().unwrap_or_else(default_author);
    admin::Command { id, expect: options.expect, author, change }
}

/// Polls until a revision is in force at every gate.
///
/// # Errors
///
/// [`Error::NotInForce`] after `seconds`, or the error of a poll.
async fn wait_in_force(client: &Client, revision: u64, seconds: u64) -> Result<bool, Error> {
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        let response: admin::InForce = client.get(&format!("/v1/in-force/{revision}")).await?;
        if response.in_force {
            return Ok(true);
        }
        if Instant::now() >= deadline {
            return Err(Error::NotInForce { revision, seconds });
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn create_client(options: &Options) -> Result<Client, Error> {
    let mut addresses = options.addresses.clone();
    let mut token = env::var("RADISH_TOKEN").ok().map(Name::from);
    if let Some(file) = &options.config {
        let config = conf::read(file)?;
        addresses.extend(config.entries.iter().map(|entry| entry.gate_admin.clone()));
        token = token.or(config.tokens.operator);
    }
    if let Some(path) = &options.token_file {
        let text = fs::read_to_string(path);
        let text =
            text.map_err(|source| Error::File { path: path.display().to_string(), source })?;
        token = Some(Name::from(text.trim()));
    }
    if addresses.is_empty() {
        return Err(Error::Usage("missing option --address or --config".to_owned()));
    }
    Ok(Client::new(addresses, token))
}

fn default_author() -> Name {
    Name::from(env::var("USER").unwrap_or_else(|_| "operator".to_owned()))
}

fn json(value: &impl Serialize) -> Result<String, Error> {
    let text = serde_json::to_string_pretty(value);
    text.map(|text| text + "\n").map_err(|error| Error::Usage(error.to_string()))
}
