//! The committed measurements file.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::measurement::Measurement;

/// Contents of the measurements file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredFile {
    /// Measurements, sorted by id.
    pub measurements: Vec<Measurement>,
}

/// Error of reading or writing a measurements file.
#[derive(Debug)]
pub enum MeasuredFileError {
    /// The file cannot be read or written.
    Io(PathBuf, io::Error),
    /// The content is not a valid measurements file.
    Malformed(PathBuf, serde_json::Error),
    /// Two measurements have the same id.
    RepeatedId(String),
    /// A measurement has no points.
    NoPoints(String),
}

impl fmt::Display for MeasuredFileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::Malformed(path, error) => write!(formatter, "{}: {error}", path.display()),
            Self::RepeatedId(id) => write!(formatter, "measurement `{id}` stands twice"),
            Self::NoPoints(id) => write!(formatter, "measurement `{id}` has no points"),
        }
    }
}

impl std::error::Error for MeasuredFileError {}

impl MeasuredFile {
    /// Reads a file; a missing file counts as empty.
    ///
    /// # Errors
    /// When the file cannot be read or is invalid.
    pub fn read(path: &Path) -> Result<Self, MeasuredFileError> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(MeasuredFileError::Io(path.to_owned(), error)),
        };
        let file: MeasuredFile = serde_json::from_str(&text)
            .map_err(|error| MeasuredFileError::Malformed(path.to_owned(), error))?;
        file.validate()?;
        Ok(file)
    }

    /// Writes the file, ending with a line feed.
    ///
    /// # Errors
    /// When the file cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), MeasuredFileError> {
        let mut text = serde_json::to_string_pretty(self)
            .map_err(|error| MeasuredFileError::Malformed(path.to_owned(), error))?;
        text.push('\n');
        fs::write(path, text).map_err(|error| MeasuredFileError::Io(path.to_owned(), error))
    }

    /// Adds measurements, replacing existing ones with the same ids.
    pub fn merge(&mut self, newer: Vec<Measurement>) {
        let replaced = |existing: &Measurement| newer.iter().any(|new| new.id == existing.id);
        self.measurements.retain(|existing| !replaced(existing));
        self.measurements.extend(newer);
        self.measurements
            .sort_by(|left, right| left.id.cmp(&right.id));
    }

    fn validate(&self) -> Result<(), MeasuredFileError> {
        for (index, measurement) in self.measurements.iter().enumerate() {
            if measurement.points.is_empty() {
                return Err(MeasuredFileError::NoPoints(measurement.id.clone()));
            }
            let following = &self.measurements[index + 1..];
            if following.iter().any(|other| other.id == measurement.id) {
                return Err(MeasuredFileError::RepeatedId(measurement.id.clone()));
            }
        }
        Ok(())
    }
}
