//! Default log level and log levels by module.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only events that need an operator immediately.
    Critical,
    /// Also failures.
    Error,
    /// Also events that may lead to failures.
    Warning,
    /// Also changes of state.
    #[default]
    Info,
    /// Also single decisions.
    Debug,
}

impl std::str::FromStr for LogLevel {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "critical" => Ok(LogLevel::Critical),
            "error" => Ok(LogLevel::Error),
            "warning" => Ok(LogLevel::Warning),
            "info" => Ok(LogLevel::Info),
            "debug" => Ok(LogLevel::Debug),
            _ => Err(format!(
                "unknown log level `{text}`, expected critical, error, warning, info or debug"
            )),
        }
    }
}

/// The default level and the levels of single modules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Level of every module without an entry in `modules`.
    pub level: LogLevel,
    /// By module path prefix, such as `linnethitch_consensus`; the longest match applies.
    pub modules: BTreeMap<String, LogLevel>,
}
