//! Logging as JSON lines, with levels by module and a bounded queue.
//!
//! A separate thread writes the records. When its queue is full, records are dropped and their
//! number is logged, so that logging never blocks a request.

use std::io;

use error_stack::{Report, fmt::ColorMode};
use linnethitch_config::settings::{LogLevel, LogSettings};
use slog::{Drain, FnValue, Level, Logger, OwnedKVList, PushFnValue, Record, o};

/// Maximum number of records that wait for the writer.
const QUEUE_RECORDS: usize = 4_096;

/// Field names that logs and the journal share.
pub mod field {
    /// A caller's request id.
    pub const REQUEST: &str = "request";
    /// A batch job's id.
    pub const JOB: &str = "job";
    /// The number of an item in its job.
    pub const ITEM: &str = "item";
    /// A configuration revision.
    pub const REVISION: &str = "revision";
    /// A reason code of the closed list, or an error code.
    pub const REASON: &str = "reason";
}

/// A running logger. Dropping it writes the queued records.
pub struct Logging {
    logger: Logger,
    _guard: slog_async::AsyncGuard,
}

impl Logging {
    /// Starts logging to a writer.
    pub fn start<W>(settings: &LogSettings, writer: W) -> Self
    where
        W: io::Write + Send + 'static,
    {
        // Error reports are logged as fields, which must not contain terminal colour codes.
        Report::set_color_mode(ColorMode::None);
        let json = slog_json::Json::new(writer)
            .set_flush(true)
            .add_key_value(o!(
                "message" => PushFnValue(|record: &Record<'_>, serializer| {
                    serializer.emit(record.msg())
                }),
                "module" => FnValue(|record: &Record<'_>| record.module()),
                "level" => FnValue(|record: &Record<'_>| level_name(record.level())),
                "time" => FnValue(|_: &Record<'_>| crate::time::now_rfc3339()),
            ))
            .build()
            .ignore_res();
        let (queue, guard) = slog_async::Async::new(json)
            .chan_size(QUEUE_RECORDS)
            .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
            .thread_name("log-writer".to_owned())
            .build_with_guard();
        let levels = ModuleLevels::new(settings, queue.fuse());
        Logging {
            logger: Logger::root(levels, o!()),
            _guard: guard,
        }
    }

    /// Starts logging to the standard error stream.
    #[must_use]
    pub fn to_stderr(settings: &LogSettings) -> Self {
        Self::start(settings, io::stderr())
    }

    /// The logger; clones are cheap and stay valid.
    pub fn logger(&self) -> Logger {
        self.logger.clone()
    }
}

/// A logger that writes nothing, for tests.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Filters records by the level of their module.
struct ModuleLevels<D> {
    default: Level,
    /// Longest prefixes first.
    modules: Vec<(String, Level)>,
    most_verbose: Level,
    inner: D,
}

impl<D> ModuleLevels<D> {
    fn new(settings: &LogSettings, inner: D) -> Self {
        let default = to_slog(settings.level);
        let mut modules: Vec<(String, Level)> = settings
            .modules
            .iter()
            .map(|(prefix, level)| (prefix.clone(), to_slog(*level)))
            .collect();
        modules.sort_by_key(|(prefix, _)| std::cmp::Reverse(prefix.len()));
        let most_verbose = modules
            .iter()
            .map(|(_, level)| *level)
            .fold(default, Level::max);
        ModuleLevels {
            default,
            modules,
            most_verbose,
            inner,
        }
    }

    fn level_of(&self, module: &str) -> Level {
        self.modules
            .iter()
            .find(|(prefix, _)| is_module_prefix(prefix, module))
            .map_or(self.default, |(_, level)| *level)
    }
}

impl<D: Drain<Ok = ()>> Drain for ModuleLevels<D> {
    type Ok = ();
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), D::Err> {
        if record.level().is_at_least(self.level_of(record.module())) {
            self.inner.log(record, values)?;
        }
        Ok(())
    }

    fn is_enabled(&self, level: Level) -> bool {
        level.is_at_least(self.most_verbose)
    }
}

fn is_module_prefix(prefix: &str, module: &str) -> bool {
    module
        .strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with("::"))
}

fn to_slog(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Critical => "critical",
        Level::Error => "error",
        Level::Warning => "warning",
        Level::Info => "info",
        Level::Debug | Level::Trace => "debug",
    }
}
