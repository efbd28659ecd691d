//! Log files of nodes: a folder with one file for each process.

use std::{fs, path::Path};

use linnethitch_observability::time::rfc3339;
use serde_json::{Map, Value};

use crate::exit::{CommandError, ExitStatus};

/// Fields that identify the subject of a line.
const ID_FIELDS: [&str; 4] = ["request", "item", "job", "replica"];
/// Fields that are printed at the start of a line or do not relate to an id.
const HIDDEN_FIELDS: [&str; 4] = ["time", "level", "module", "message"];

/// One line of a process.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Milliseconds since the Unix epoch, by the machine's own clock.
    pub(crate) time_ms: i64,
    pub(crate) fields: Map<String, Value>,
}

/// Log lines of one process, in the order in which it wrote them.
#[derive(Clone, Debug)]
pub(crate) struct LogFile {
    /// Name of the file without its extension.
    pub(crate) name: String,
    pub(crate) lines: Vec<LogLine>,
    /// Number of lines that are not log lines of a node.
    pub(crate) unparsed_lines: usize,
}

impl LogLine {
    /// Parses a line; any text before the first brace is ignored.
    fn parse(text: &str) -> Option<LogLine> {
        let text = &text[text.find('{')?..];
        let Value::Object(fields) = serde_json::from_str(text).ok()? else {
            return None;
        };
        let time_ms = parse_time(fields.get("time")?.as_str()?)?;
        fields.get("message")?.as_str()?;
        Some(LogLine { time_ms, fields })
    }

    pub(crate) fn message(&self) -> &str {
        self.text("message").unwrap_or_default()
    }

    pub(crate) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Whether the line is about a request, item, job or replica with this id.
    pub(crate) fn is_about(&self, id: &str) -> bool {
        ID_FIELDS.iter().any(|field| self.text(field) == Some(id))
    }

    /// The line as text, with a time on the clock that all machines' lines are converted to.
    pub(crate) fn render(&self, machine: &str, time_ms: i64) -> String {
        let time = rfc3339(u64::try_from(time_ms).unwrap_or_default());
        let all_fields = self.fields.iter();
        let fields: String = all_fields
            .filter(|(name, _)| !HIDDEN_FIELDS.contains(&name.as_str()))
            .map(|(name, value)| format!(" {name}={value}"))
            .collect();
        format!("{time} {machine} {}{fields}", self.message())
    }
}

/// Reads every file of a folder.
///
/// # Errors
/// `Refused` when the folder or a file cannot be read, or no file contains a log line of a node.
pub(crate) fn read_folder(folder: &Path) -> Result<Vec<LogFile>, CommandError> {
    let unreadable = |path: &Path, error: std::io::Error| {
        CommandError::refused(format!("cannot read {}: {error}", path.display()))
    };
    let mut files = Vec::new();
    let entries = fs::read_dir(folder).map_err(|error| unreadable(folder, error))?;
    for entry in entries {
        let path = entry.map_err(|error| unreadable(folder, error))?.path();
        if !path.is_file() {
            continue;
        }
        let bytes = fs::read(&path).map_err(|error| unreadable(&path, error))?;
        let name = path.file_stem().unwrap_or_default();
        files.push(read_file(&name.to_string_lossy(), &bytes));
    }
    files.sort_by(|left, right| left.name.cmp(&right.name));
    if files.iter().all(|file| file.lines.is_empty()) {
        return Err(CommandError::new(
            ExitStatus::Refused,
            format!(
                "no file in {} contains log lines of a node",
                folder.display()
            ),
        ));
    }
    Ok(files)
}

fn read_file(name: &str, bytes: &[u8]) -> LogFile {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = Vec::new();
    let mut unparsed_lines = 0;
    for line in text.lines().filter(|line| !line.trim().is_empty()) {
        match LogLine::parse(line) {
            Some(line) => lines.push(line),
            None => unparsed_lines += 1,
        }
    }
    LogFile {
        name: name.to_owned(),
        lines,
        unparsed_lines,
    }
}

const MS_PER_SECOND: i64 = 1_000;
const SECONDS_PER_DAY: i64 = 86_400;

/// Converts a time to milliseconds since the Unix epoch. Example of the format: `2026-12-02T06:50:10.123Z`.
fn parse_time(text: &str) -> Option<i64> {
    let (date, time) = text.strip_suffix('Z')?.split_once('T')?;
    let date: Vec<i64> = numbers(date, '-')?;
    let (clock, fraction) = time.split_once('.').unwrap_or((time, "0"));
    let clock = numbers(clock, ':')?;
    let ([year, month, day], [hour, minute, second]) =
        (date.try_into().ok()?, clock.try_into().ok()?);
    let milliseconds: i64 = format!("{fraction:0<3}").get(..3)?.parse().ok()?;
    let seconds =
        days_since_epoch(year, month, day) * SECONDS_PER_DAY + hour * 3_600 + minute * 60 + second;
    Some(seconds * MS_PER_SECOND + milliseconds)
}

fn numbers(text: &str, separator: char) -> Option<Vec<i64>> {
    text.split(separator)
        .map(|part| part.parse().ok())
        .collect()
}

/// Days from 1970-01-01 to a date of the Gregorian calendar. Years are counted from March,
/// so that a leap day is the last day of its year.
fn days_since_epoch(year: i64, month: i64, day: i64) -> i64 {
    let year = if month <= 2 { year - 1 } else { year };
    let months_since_march = (month + 9) % 12;
    let day_of_year = (153 * months_since_march + 2) / 5 + day - 1;
    let leap_days = year.div_euclid(4) - year.div_euclid(100) + year.div_euclid(400);
    const DAYS_TO_EPOCH: i64 = 719_468;
    365 * year + leap_days + day_of_year - DAYS_TO_EPOCH
}
