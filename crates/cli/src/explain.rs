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

/// A record and the process whose journal holds it.
struct Found {
    source: String,
    record: JournalRecord,
}

/// Shows what is known, in the order of time: by log files where a folder is named, else
/// by every named process.
pub(crate) async fn run(options: &ExplainOptions) -> Result<ExitStatus, CommandError> {
    match &options.logs {
        Some(folder) => explain_by_logs(options, folder),
        None => explain_by_journals(options).await,
    }
}

/// Shows the lines about an id, each at its time by the clock of one machine.
fn explain_by_logs(options: &ExplainOptions, folder: &Path) -> Result<ExitStatus, CommandError> {
    let files = log_files::read_folder(folder)?;
    let offsets = clock_offsets::estimate(&files);
    let mut found = Vec::new();
    for (file, offset) in files.iter().zip(&offsets) {
        let about = file.lines.iter().filter(|line| line.is_about(&options.id));
        let placed = about.map(|line| (line.time_ms - offset.ahead_ms, file, line));
        let before = found.len();
        found.extend(placed);
        if found.len() > before {
            eprintln!("{}", clock_remark(file, *offset));
        }
    }
    // The lines of one process keep their order.
    found.sort_by_key(|(time_ms, ..)| *time_ms);
    for (time_ms, file, line) in &found {
        println!("{}", render_line(options.json, file, line, *time_ms));
    }
    if found.is_empty() {
        return Err(CommandError::new(
            ExitStatus::NotFound,
            format!("no line in {} is about `{}`", folder.display(), options.id),
        ));
    }
    Ok(ExitStatus::Done)
}

fn clock_remark(file: &LogFile, offset: ClockOffset) -> String {
    let name = &file.name;
    let foreign = match file.foreign {
        0 => String::new(),
        count => format!("; {count} lines are none of a node"),
    };
    match offset.versions {
        0 => format!("linnethitch: {name}: its clock could not be compared{foreign}"),
        versions => format!(
            "linnethitch: {name}: clock ahead by {} ms, by {versions} versions{foreign}",
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

async fn explain_by_journals(options: &ExplainOptions) -> Result<ExitStatus, CommandError> {
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
        match ask(&client, &options.id).await {
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
            format!("no journal that was asked knows `{}`", options.id),
        )),
        _ => Ok(ExitStatus::Done),
    }
}

async fn ask(client: &ApiClient, id: &str) -> Result<Vec<Found>, ApiError> {
    let path = format!("/v1/explain/{}", encode_path(id));
    let explanation: Explanation = client.fetch(ApiRequest::get(path)).await?;
    let found = explanation.records.into_iter().map(|record| Found {
        source: client.address().to_string(),
        record,
    });
    Ok(found.collect())
}

/// Percent-encodes everything but unreserved characters; an item's `/` is kept.
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

impl Found {
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
            let weighed = match other.score {
                Some(score) => format!("score {score:.2}"),
                None => format!("left out: {}", other.excluded),
            };
            text.push_str(&format!("\n    {}  {weighed}", other.replica));
        }
        text
    }
}
