//! `explain`: decisions about one request, job, item, replica, tenant or revision, from
//! the decision journals of running processes or from log files.

use std::path::Path;

use linnethitch_observability::{journal::JournalRecord, time::rfc3339};
use serde::Deserialize;

use crate::{
    clock_offsets::{self, ClockOffset},
    exit::{CommandError, ExitStatus},
    http_client::{ApiClient, ApiError, ApiRequest, read_key},
    log_files::{self, LogFile, LogLine},
    options::ExplainOptions,
};

/// Records of one journal.
#[derive(Debug, Deserialize)]
struct Explanation {
    records: Vec<JournalRecord>,
}

/// A record and the address of the process whose journal contains it.
struct JournalEntry {
    source: String,
    record: JournalRecord,
}

/// Prints the records about an id in order of time: from log files if a folder is given,
/// otherwise from the journals of all given processes.
pub(crate) async fn run(options: &ExplainOptions) -> Result<ExitStatus, CommandError> {
    match &options.logs {
        Some(folder) => explain_from_logs(options, folder),
        None => explain_from_journals(options).await,
    }
}

/// Prints the lines about an id, with their times converted to the clock of one machine.
fn explain_from_logs(options: &ExplainOptions, folder: &Path) -> Result<ExitStatus, CommandError> {
    let files = log_files::read_folder(folder)?;
    let offsets = clock_offsets::estimate(&files);
    let mut found = Vec::new();
    for (file, offset) in files.iter().zip(&offsets) {
        let matching = file.lines.iter().filter(|line| line.is_about(&options.id));
        let timed = matching.map(|line| (line.time_ms - offset.ahead_ms, file, line));
        let before = found.len();
        found.extend(timed);
        if found.len() > before {
            eprintln!("{}", clock_note(file, *offset));
        }
    }
    // The sort is stable: lines of one process with the same time stay in order.
    found.sort_by_key(|(time_ms, ..)| *time_ms);
    for (time_ms, file, line) in &found {
        println!("{}", render_line(options.json, file, line, *time_ms));
    }
    if found.is_empty() {
        return Err(CommandError::new(
            ExitStatus::NotFound,
            format!("no line in {} refers to `{}`", folder.display(), options.id),
        ));
    }
    Ok(ExitStatus::Done)
}

fn clock_note(file: &LogFile, offset: ClockOffset) -> String {
    let name = &file.name;
    let unparsed_note = match file.unparsed_lines {
        0 => String::new(),
        count => format!("; {count} lines are not log lines of a node"),
    };
    match offset.versions {
        0 => format!("linnethitch: {name}: its clock could not be compared{unparsed_note}"),
        versions => format!(
            "linnethitch: {name}: clock ahead by {} ms, by {versions} versions{unparsed_note}",
            offset.ahead_ms
        ),
    }
}

fn render_line(json: bool, file: &LogFile, line: &LogLine, time_ms: i64) -> String {
    if !json {
        return line.render(&file.name, time_ms);
    }
    let mut fields = line.fields.clone();
    fields.insert("machine".to_owned(), file.name.clone().into());
    fields.insert("shared_time_ms".to_owned(), time_ms.into());
    serde_json::Value::Object(fields).to_string()
}

async fn explain_from_journals(options: &ExplainOptions) -> Result<ExitStatus, CommandError> {
    let Some(key_file) = &options.key_file else {
        return Err(CommandError::new(
            ExitStatus::Usage,
            "--key-file is needed to ask running processes; --logs reads files instead",
        ));
    };
    let key = read_key(key_file)?;
    let addresses: Vec<_> = options.operator.iter().chain(&options.gateway).collect();
    if addresses.is_empty() {
        return Err(CommandError::new(
            ExitStatus::Usage,
            "at least one --operator or --gateway is needed",
        ));
    }
    let mut found = Vec::new();
    let mut unreachable = Vec::new();
    for address in &addresses {
        let client = ApiClient::new(**address, key.clone());
        match fetch_records(&client, &options.id).await {
            Ok(records) => found.extend(records),
            Err(error) => unreachable.push(error),
        }
    }
    for error in &unreachable {
        eprintln!("linnethitch: {}", error.message);
    }
    found.sort_by_key(|found| found.record.time_ms);
    for entry in &found {
        println!("{}", entry.render(options.json)?);
    }
    match unreachable.into_iter().next() {
        Some(error) if found.is_empty() => Err(error.into()),
        _ if found.is_empty() => Err(CommandError::new(
            ExitStatus::NotFound,
            format!("no queried journal has a record of `{}`", options.id),
        )),
        _ => Ok(ExitStatus::Done),
    }
}

async fn fetch_records(client: &ApiClient, id: &str) -> Result<Vec<JournalEntry>, ApiError> {
    let path = format!("/v1/explain/{}", encode_path(id));
    let explanation: Explanation = client.fetch(ApiRequest::get(path)).await?;
    let found = explanation.records.into_iter().map(|record| JournalEntry {
        source: client.address().to_string(),
        record,
    });
    Ok(found.collect())
}

/// Percent-encodes all characters except unreserved ones and the `/` in an item id.
fn encode_path(id: &str) -> String {
    id.bytes()
        .map(|byte| match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                char::from(byte).to_string()
            }
            _ => format!("%{byte:02X}"),
        })
        .collect()
}

impl JournalEntry {
    fn render(&self, json: bool) -> Result<String, CommandError> {
        if json {
            return serde_json::to_string(&self.record)
                .map_err(|error| CommandError::failed(error.to_string()));
        }
        Ok(self.text())
    }

    fn text(&self) -> String {
        let record = &self.record;
        let subject = &record.subject;
        let item = subject.item.map(|item| item.to_string());
        let revision = subject.revision.map(|revision| revision.to_string());
        let names = [
            ("request", &subject.request),
            ("job", &subject.job),
            ("item", &item),
            ("replica", &subject.replica),
            ("tenant", &subject.tenant),
            ("revision", &revision),
        ];
        let names: String = names
            .iter()
            .filter_map(|(name, value)| Some(format!(" {name}={}", value.as_ref()?)))
            .collect();
        let mut text = format!(
            "{} {} {:?}: {}{names}",
            rfc3339(record.time_ms),
            self.source,
            record.kind,
            record.reason
        );
        if !record.outcome.is_empty() {
            text.push_str(&format!(" -> {}", record.outcome));
        }
        for other in &record.considered {
            let verdict = match other.score {
                Some(score) => format!("score {score:.2}"),
                None => format!("left out: {}", other.excluded),
            };
            text.push_str(&format!("\n    {}  {verdict}", other.replica));
        }
        text
    }
}
