//! The command `apply`.

use std::fs;
use std::path::Path;

use base::Name;
use state::Change;
use wire::admin;

use crate::Client;
use crate::Error;
use crate::Options;

/// Applies the changes of a file in order and stops at the first error.
///
/// The ids of the commands are derived from the content of the file, so that applying the same file again has no
/// further effect.
pub(super) async fn apply(
    client: &Client,
    options: &Options,
    file: &Path,
) -> Result<String, Error> {
    let path = file.display().to_string();
    let text = fs::read_to_string(file);
    let text = text.map_err(|source| Error::File { path: path.clone(), source })?;
    let digest = base::digest(text.as_bytes());
    let prefix = options.id.clone().unwrap_or_else(|| Name::from(format!("{digest:016x}")));
    let mut revision = 0;
    let mut count = 0;
    for (index, line) in text.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let id = Name::from(format!("{prefix}-{index}"));
        let result = send(client, options, id, line).await;
        let located = |source| Error::Line { path: path.clone(), line: index + 1, source };
        revision = result.map_err(|source| located(Box::new(source)))?.revision;
        count += 1;
    }
    if let (Some(seconds), true) = (options.wait, count > 0) {
        super::wait_in_force(client, revision, seconds).await?;
    }
    Ok(format!("{count} changes accepted, revision {revision}\n"))
}

async fn send(
    client: &Client,
    options: &Options,
    id: Name,
    line: &str,
) -> Result<admin::Receipt, Error> {
    let change: Change =
        serde_json::from_str(line).map_err(|error| Error::Usage(error.to_string()))?;
    client.post("/v1/commands", &super::command(options, id, change)).await
}
