//! Carries out a command.

mod apply;
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

use crate::Action;
use crate::Client;
use crate::Error;
use crate::HELP;
use crate::Options;

const POLL: Duration = Duration::from_millis(100);

/// Carries out a command and returns what to print.
pub async fn run(options: &Options) -> Result<String, Error> {
    match &options.action {
        Action::Help => return Ok(HELP.to_owned()),
        Action::Version => return Ok(format!("radishctl {}\n", env!("CARGO_PKG_VERSION"))),
        Action::Check(file) => {
            conf::read(file)?;
            return Ok(format!("{}: the settings are valid\n", file.display()));
        }
        _ => {}
    }
    let client = client(options)?;
    match &options.action {
        Action::Change(change) => change_configuration(&client, options, change).await,
        Action::Apply(file) => apply::apply(&client, options, file).await,
        Action::Show(part) => {
            let view: View = client.get("/v1/view").await?;
            if options.json { show::part_json(&view, *part) } else { Ok(show::part(&view, *part)) }
        }
        Action::Status => {
            let status: admin::Status = client.get("/v1/status").await?;
            if options.json { json(&status) } else { Ok(show::status(&status)) }
        }
        Action::Members => {
            let status: admin::Status = client.get("/v1/status").await?;
            if options.json { json(&status.keepers) } else { Ok(show::members(&status.keepers)) }
        }
        Action::InForce(revision) => {
            let answer: admin::InForce = client.get(&format!("/v1/in-force/{revision}")).await?;
            if options.json { json(&answer) } else { Ok(format!("{}\n", answer.in_force)) }
        }
        Action::Explain(request) => {
            let found: admin::Explanation = client.get(&format!("/v1/explain/{request}")).await?;
            if options.json { json(&found) } else { Ok(show::explanation(&found)) }
        }
        Action::Help | Action::Version | Action::Check(_) => Ok(String::new()),
    }
}

async fn change_configuration(
    client: &Client,
    options: &Options,
    change: &Change,
) -> Result<String, Error> {
    let id = options.id.clone().unwrap_or_else(|| Name::from(uuid::Uuid::new_v4().to_string()));
    let order = order(options, id, change.clone());
    let mut receipt: admin::Receipt = client.post("/v1/commands", &order).await?;
    if let Some(seconds) = options.wait {
        receipt.in_force = wait(client, receipt.revision, seconds).await?;
    }
    if options.json {
        return json(&receipt);
    }
    let force = if receipt.in_force { "in force everywhere" } else { "not yet in force" };
    Ok(format!("{}: revision {}, {force}\n", receipt.status, receipt.revision))
}

fn order(options: &Options, id: Name, change: Change) -> admin::Command {
    let author = options.author.clone().unwrap_or_else(user);
    admin::Command { id, expect: options.expect, author, change }
}

async fn wait(client: &Client, revision: u64, seconds: u64) -> Result<bool, Error> {
    let end = Instant::now() + Duration::from_secs(seconds);
    loop {
        let answer: admin::InForce = client.get(&format!("/v1/in-force/{revision}")).await?;
        if answer.in_force {
            return Ok(true);
        }
        if Instant::now() >= end {
            return Err(Error::NotInForce { revision, seconds });
        }
        tokio::time::sleep(POLL).await;
    }
}

fn client(options: &Options) -> Result<Client, Error> {
    let mut addresses = options.addresses.clone();
    let mut token = env::var("RADISH_TOKEN").ok().map(Name::from);
    if let Some(file) = &options.config {
        let config = conf::read(file)?;
        addresses.extend(config.entries.iter().map(|entry| entry.gate_admin.clone()));
        token = token.or(config.tokens.operator);
    }
    if let Some(path) = &options.token_file {
        let read = fs::read_to_string(path);
        let text =
            read.map_err(|source| Error::File { path: path.display().to_string(), source })?;
        token = Some(Name::from(text.trim()));
    }
    if addresses.is_empty() {
        return Err(Error::Usage("--address or --config is missing".to_owned()));
    }
    Ok(Client::new(addresses, token))
}

fn user() -> Name {
    Name::from(env::var("USER").unwrap_or_else(|_| "operator".to_owned()))
}

fn json(value: &impl Serialize) -> Result<String, Error> {
    let text = serde_json::to_string_pretty(value);
    text.map(|text| text + "\n").map_err(|error| Error::Usage(error.to_string()))
}
