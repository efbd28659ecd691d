//! Checks shared by the settings of both roles.

use std::net::SocketAddr;

use crate::locate::{FieldError, FieldPath};

/// Maximum length of the name of a process, zone, region or cluster, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Checks settings; each check returns an error that names line and field.
pub(crate) struct Checker<'a> {
    pub(crate) text: &'a str,
}

impl Checker<'_> {
    pub(crate) fn fail<T>(&self, field: &str, message: impl Into<String>) -> Result<T, FieldError> {
        Err(FieldError::at(self.text, FieldPath::root(field), message))
    }

    pub(crate) fn required<T>(&self, field: &str, value: Option<T>) -> Result<T, FieldError> {
        match value {
            Some(value) => Ok(value),
            None => self.fail(
                field,
                format!(
                    "missing; set it in the settings file or with --{}",
                    field.replace('_', "-")
                ),
            ),
        }
    }

    pub(crate) fn name(&self, field: &str, value: &str) -> Result<(), FieldError> {
        if value.is_empty() {
            return self.fail(field, "must not be empty");
        }
        if value.len() > MAX_NAME_BYTES {
            return self.fail(field, format!("longer than {MAX_NAME_BYTES} bytes"));
        }
        if !value
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.'))
        {
            return self.fail(
                field,
                format!("`{value}` holds a character other than letters, digits, `-`, `_` and `.`"),
            );
        }
        Ok(())
    }

    pub(crate) fn connectable(&self, field: &str, address: SocketAddr) -> Result<(), FieldError> {
        if address.port() == 0 || address.ip().is_unspecified() {
            return self.fail(field, format!("{address} is no address to connect to"));
        }
        Ok(())
    }

    pub(crate) fn at_least(&self, field: &str, value: u64, min: u64) -> Result<(), FieldError> {
        if value < min {
            return self.fail(field, format!("{value} is below the least value {min}"));
        }
        Ok(())
    }
}

impl Checker<'_> {
    pub(crate) fn positive_in(
        &self,
        table: &str,
        field: &str,
        value: u64,
    ) -> Result<(), FieldError> {
        if value == 0 {
            let path = FieldPath::root(table).key(field);
            return Err(FieldError::at(self.text, path, "must be above 0"));
        }
        Ok(())
    }
}
