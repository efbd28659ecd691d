//! Log levels in general and by module.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// How much is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Only what needs an operator at once.
    Critical,
    /// Failures too.
    Error,
    /// What may become a failure too.
    Warning,
    /// Changes of state too.
    #[default]
    Info,
    /// Single decisions too.
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

/// The level in general and the levels of single modules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Of every module that is not named below.
    pub level: LogLevel,
    /// By module path prefix, such as `linnethitch_consensus`; the longest match counts.
    pub modules: BTreeMap<String, LogLevel>,
}
