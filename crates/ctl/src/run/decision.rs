//! Explanations of where a request would go now, from the keeper that leads.

use std::collections::VecDeque;

use base::Name;
use fleet::explanation::Estimate;
use fleet::explanation::Explanation;
use fleet::explanation::Question;
use fleet::explanation::Refusal;
use fleet::explanation::Report;
use serde::Serialize;

use crate::Client;
use crate::Error;
use crate::Options;
use crate::Table;

/// Asks the keepers until one that leads answers, and returns the text to print.
pub(super) async fn explain(options: &Options, question: &Question) -> Result<String, Error> {
    if options.keepers.is_empty() {
        return Err(Error::Usage("missing option --keeper".to_owned()));
    }
    let report = ask(&Client::new(Vec::new(), None), &options.keepers, question).await?;
    if options.json { super::json(&report) } else { Ok(text(&report)) }
}

/// Asks the keepers in turn, and the leader that one of them names.
async fn ask(client: &Client, keepers: &[Name], question: &Question) -> Result<Report, Error> {
    let query = serde_urlencoded::to_string(question);
    let query = query.map_err(|error| Error::Usage(error.to_string()))?;
    let path = format!("/explain?{query}");
    let mut addresses: VecDeque<Name> = keepers.iter().cloned().collect();
    let mut asked: Vec<Name> = Vec::new();
    let mut failures: Vec<String> = Vec::new();
    let mut leaderless = false;
    while let Some(address) = addresses.pop_front() {
        if asked.contains(&address) {
            continue;
        }
        asked.push(address.clone());
        let (status, body) = match client.fetch(&address, &path).await {
            Ok(response) => response,
            Err(message) => {
                failures.push(format!("{address}: {message}"));
                continue;
            }
        };
        let invalid = |message: String| Error::Response { address: address.to_string(), message };
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| invalid(error.to_string()));
        }
        match serde_json::from_slice::<Refusal>(&body) {
            Ok(Refusal::NotLeader { leader }) => {
                leaderless = true;
                leader.into_iter().for_each(|leader| addresses.push_front(leader));
            }
            Ok(Refusal::UnknownService) => {
                return Err(Error::Question(format!("unknown service '{}'", question.service)));
            }
            Ok(Refusal::UnknownTenant) => {
                let tenant = question.tenant.clone().unwrap_or_default();
                return Err(Error::Question(format!("unknown tenant '{tenant}'")));
            }
            Ok(Refusal::Invalid { message }) => return Err(Error::Question(message)),
            Err(_) => return Err(invalid(format!("status {status} without a reason"))),
        }
    }
    let failures = failures.join(", ");
    Err(match (leaderless, failures.is_empty()) {
        (true, true) => Error::NoLeader("no keeper leads".to_owned()),
        (true, false) => Error::NoLeader(format!("no keeper that responded leads; {failures}")),
        (false, _) => Error::NoLeader(format!("no keeper responded: {failures}")),
    })
}

/// Returns a report as text.
fn text(report: &Report) -> String {
    let Report { decision, budget } = report;
    let mut text = format!("{}\n", summary(decision));
    text += &format!(
        "goal {:.0} ms, {} waiting, tenant at {:.2} of its share\n",
        decision.goal_ms, decision.waiting, decision.excess
    );
    if let Some(budget) = budget {
        text += &format!(
            "quota of {}: {} of {} units used, {} reservations refused\n",
            budget.tenant, budget.used, budget.limit, budget.refused
        );
    }
    let mut table = Table::new(&[
        "ENDPOINT", "RESULT", "MS", "COST", "ADAPTER", "RUNNING", "SLOTS", "BACKLOG", "SPEED",
        "WORK MS", "PACE", "AGE MS", "STALLED",
    ]);
    for estimate in &decision.endpoints {
        table.add_row(row(estimate, decision.endpoint.as_ref()));
    }
    text + "\n" + &table.to_string()
}

fn summary(decision: &Explanation) -> String {
    let mut text = name(&decision.outcome);
    if let Some(endpoint) = &decision.endpoint {
        text += &format!(": {endpoint}");
    }
    if let Some(code) = decision.code {
        text += &format!(": {} {}", code.number(), code.name());
    }
    text
}

fn row(estimate: &Estimate, chosen: Option<&Name>) -> [String; 13] {
    let result = match &estimate.obstacle {
        Some(obstacle) => name(obstacle),
        None if chosen == Some(&estimate.endpoint) => "chosen".to_owned(),
        None => "possible".to_owned(),
    };
    let number = |value: Option<f64>, digits: usize| {
        value.map_or_else(|| "-".to_owned(), |value| format!("{value:.digits$}"))
    };
    [
        estimate.endpoint.to_string(),
        result,
        number(estimate.expected_ms, 0),
        number(estimate.cost, 0),
        estimate.adapter.as_ref().map_or_else(|| "-".to_owned(), name),
        estimate.running.to_string(),
        number(Some(estimate.slots), 0),
        number(Some(estimate.backlog), 0),
        number(estimate.speed, 1),
        number(estimate.work_ms, 0),
        number(Some(estimate.pace), 0),
        number(estimate.age_ms, 0),
        number(estimate.stalled, 1),
    ]
}

/// Returns the name of a variant as in JSON, with spaces.
fn name(value: &impl Serialize) -> String {
    let value = serde_json::to_value(value).unwrap_or_default();
    value.as_str().unwrap_or_default().replace('_', " ")
}
