//! Reading settings and keys from files.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::de::DeserializeOwned;

use crate::locate::FieldError;

/// Minimum length of a cluster key, in bytes.
pub const MIN_CLUSTER_KEY_BYTES: usize = 16;

/// An error in the settings, reported before anything is started.
#[derive(Debug)]
pub enum SettingsError {
    /// A file cannot be read.
    Unreadable {
        /// The file.
        file: PathBuf,
        /// The cause.
        cause: io::Error,
    },
    /// The values from the file and the flags are invalid.
    Invalid {
        /// The file; `None` when all values came from flags.
        file: Option<PathBuf>,
        /// Line, field and description.
        error: FieldError,
    },
    /// The cluster key is too short to be secure.
    ShortKey {
        /// The key file.
        file: PathBuf,
        /// Length of the key, in bytes.
        bytes: usize,
    },
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable { file, cause } => {
                write!(formatter, "{}: {cause}", file.display())
            }
            SettingsError::Invalid {
                file: Some(file),
                error,
            } => write!(formatter, "{}: {error}", file.display()),
            SettingsError::Invalid { file: None, error } => write!(formatter, "flags: {error}"),
            SettingsError::ShortKey { file, bytes } => write!(
                formatter,
                "{}: the cluster key has {bytes} bytes, at least {MIN_CLUSTER_KEY_BYTES} are needed",
                file.display()
            ),
        }
    }
}

impl std::error::Error for SettingsError {}

/// Reads the cluster key, without leading and trailing white space.
///
/// # Errors
/// When the file cannot be read or the key is too short.
pub fn read_cluster_key(file: &Path) -> Result<Vec<u8>, SettingsError> {
    let bytes = fs::read(file).map_err(|cause| SettingsError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    let key = bytes.trim_ascii();
    if key.len() < MIN_CLUSTER_KEY_BYTES {
        return Err(SettingsError::ShortKey {
            file: file.to_owned(),
            bytes: key.len(),
        });
    }
    Ok(key.to_vec())
}

/// The text of a settings file and its values.
pub(crate) struct LoadedFile<V> {
    pub(crate) text: String,
    pub(crate) values: V,
}

pub(crate) fn read_values<V>(file: Option<&Path>) -> Result<LoadedFile<V>, SettingsError>
where
    V: DeserializeOwned + Default,
{
    let Some(file) = file else {
        return Ok(LoadedFile {
            text: String::new(),
            values: V::default(),
        });
    };
    let text = fs::read_to_string(file).map_err(|cause| SettingsError::Unreadable {
        file: file.to_owned(),
        cause,
    })?;
    let values = toml::from_str(&text).map_err(|error| SettingsError::Invalid {
        file: Some(file.to_owned()),
        error: FieldError::from_toml(&text, &error),
    })?;
    Ok(LoadedFile { text, values })
}
