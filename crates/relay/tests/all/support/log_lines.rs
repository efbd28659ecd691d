//! Capture of log messages.

use std::sync::Arc;

use slog::{Drain, Never, OwnedKVList, Record};

/// Messages logged by the nodes of a fleet, without fields.
#[derive(Clone, Default)]
pub(crate) struct LogLines(Arc<std::sync::Mutex<Vec<String>>>);

impl LogLines {
    pub(crate) fn contains(&self, message: &str) -> bool {
        let lines = self.0.lock().expect("the lock is not poisoned");
        lines.iter().any(|line| line == message)
    }

    /// How often a message was logged.
    pub(crate) fn count(&self, message: &str) -> usize {
        let lines = self.0.lock().expect("the lock is not poisoned");
        lines.iter().filter(|line| *line == message).count()
    }
}

impl Drain for LogLines {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), Never> {
        let mut lines = self.0.lock().expect("the lock is not poisoned");
        lines.push(record.msg().to_string());
        Ok(())
    }
}
