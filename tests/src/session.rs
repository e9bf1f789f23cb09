//! Runs scripted sessions against a site and returns a transcript for comparison with a golden file.
//!
//! A script consists of steps separated by `---`. A step is a `radishctl` command after `$`, or an HTTP
//! request: method and path, headers, an empty line, the body. `{big N}` in a body is replaced by N times the
//! letter x.

use serde_json::Value;

use crate::site::Site;

/// The response headers that appear in a transcript.
const SHOWN_HEADERS: [&str; 5] =
    ["x-adapter", "x-version", "x-replayed", "x-deprecated", "retry-after"];
/// The JSON fields whose values differ between runs; a transcript shows the field's name instead.
const MASKED_FIELDS: [&str; 6] = ["id", "request", "text", "content", "created", "revision"];

/// Runs the steps of a session and returns the transcript.
///
/// Values that differ between runs are masked.
pub async fn run(site: &Site, steps: &str) -> String {
    let mut transcript = String::new();
    for step in steps.split("\n---\n") {
        let step = step.trim();
        let shown = match step.strip_prefix("$ ") {
            Some(command) => command_line(site, command).await,
            None => request(site, step).await,
        };
        transcript.push_str(&format!("{}\n{shown}\n", step.lines().next().unwrap_or("")));
    }
    transcript
}

async fn command_line(site: &Site, command: &str) -> String {
    let args: Vec<String> = split_arguments(command);
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let output = site.ctl(&args).await;
    let code = output.status.code().unwrap_or(-1);
    let text = if code == 0 { output.stdout } else { output.stderr };
    let text = String::from_utf8_lossy(&text).into_owned();
    format!("exit {code}\n{}", mask_revision(&text))
}

/// Splits a command at spaces, except within single quotes.
fn split_arguments(command: &str) -> Vec<String> {
    let parts = command.split('\'').enumerate();
    let mut words = Vec::new();
    for (index, part) in parts {
        if index % 2 == 1 {
            words.push(part.to_owned());
        } else {
            words.extend(part.split_whitespace().map(str::to_owned));
        }
    }
    words
}

/// Masks revision numbers, which depend on the number of the site's own changes, and whether a revision is in
/// force, which depends on timing.
fn mask_revision(text: &str) -> String {
    let lines = text
        .lines()
        .map(|line| if line.contains("revision") { mask_numbers(line) } else { line.to_owned() });
    let text: String = lines.map(|line| line + "\n").collect();
    text.replace(", not yet in force", ", FORCE").replace(", in force everywhere", ", FORCE")
}

fn mask_numbers(line: &str) -> String {
    let words = line.split(' ').map(|word| {
        let digits = word.trim_end_matches([',', ')']);
        let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
        if is_number { word.replace(digits, "N") } else { word.to_owned() }
    });
    words.collect::<Vec<String>>().join(" ")
}

async fn request(site: &Site, step: &str) -> String {
    let (head, body) = step.split_once("\n\n").unwrap_or((step, ""));
    let mut lines = head.lines();
    let (method, path) = lines
        .next()
        .and_then(|line| line.split_once(' '))
        .expect("the step begins with a method and a path");
    let headers: Vec<(&str, &str)> = lines.filter_map(|line| line.split_once(": ")).collect();
    let url = match path.strip_prefix("admin:") {
        Some(path) => format!("http://{}{path}", site.config.entries[0].gate_admin),
        None => site.url(1, path),
    };
    let answer = match site.client.send(method, &url, &headers, expand(body)).await {
        Ok(answer) => answer,
        Err(error) => return format!("no response: {error}\n"),
    };
    let mut shown = format!("{}\n", answer.status.as_u16());
    for name in SHOWN_HEADERS {
        if !answer.header(name).is_empty() {
            shown.push_str(&format!("{name}: {}\n", answer.header(name)));
        }
    }
    match serde_json::from_slice::<Value>(&answer.body) {
        Ok(mut value) => {
            mask(&mut value);
            shown.push_str(&format!("{value:#}\n"));
        }
        Err(_) => shown.push_str(&mask_events(&answer.text())),
    }
    shown
}

fn expand(body: &str) -> String {
    let Some((before, rest)) = body.split_once("{big ") else { return body.to_owned() };
    let (count, after) = rest.split_once('}').expect("the placeholder is closed");
    let count: usize = count.parse().expect("the count is a number");
    format!("{before}{}{after}", "x".repeat(count))
}

/// Masks the JSON data of server-sent events; other lines are unchanged.
fn mask_events(text: &str) -> String {
    let mut shown = String::new();
    for line in text.lines() {
        let event = line.strip_prefix("data: ").map(serde_json::from_str::<Value>);
        if let Some(Ok(mut value)) = event {
            mask(&mut value);
            shown.push_str(&format!("data: {value}\n"));
        } else {
            shown.push_str(&format!("{line}\n"));
        }
    }
    shown
}

fn mask(value: &mut Value) {
    match value {
        Value::Object(fields) => {
            for (name, field) in fields {
                let model = name == "id" && field.as_str().is_some_and(|text| text.contains('@'));
                if MASKED_FIELDS.contains(&name.as_str()) && !field.is_object() && !model {
                    *field = Value::from(name.to_uppercase());
                } else {
                    mask(field);
                }
            }
        }
        Value::Array(items) => items.iter_mut().for_each(mask),
        Value::String(text) if text.starts_with("127.") => *text = "ADDRESS".to_owned(),
        _ => {}
    }
}
