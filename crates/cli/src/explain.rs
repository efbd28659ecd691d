//! `explain`: decisions about one request, job, item, replica, tenant or revision.

use linnethitch_observability::{journal::JournalRecord, time::rfc3339};
use serde::Deserialize;

use crate::{
    exit::{CommandError, ExitStatus},
    http_client::{ApiClient, ApiError, ApiRequest, read_key},
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

/// Asks every named process and shows what they know in the order of time.
pub(crate) async fn run(options: &ExplainOptions) -> Result<ExitStatus, CommandError> {
    let key = read_key(&options.key_file)?;
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
