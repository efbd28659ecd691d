//! The committed file of measurements.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
};

use serde::{Deserialize, Serialize};

use super::measurement::Measurement;

/// All measurements, sorted by id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuredFile {
    /// The measurements.
    pub measurements: Vec<Measurement>,
}

/// Why a file of measurements cannot be used.
#[derive(Debug)]
pub enum MeasuredFileError {
    /// It cannot be read or written.
    Io(PathBuf, io::Error),
    /// It is not a file of measurements.
    Malformed(PathBuf, serde_json::Error),
    /// Two measurements have the same id.
    RepeatedId(String),
    /// A measurement without points.
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
    /// Reads a file; one that does not exist holds no measurements.
    ///
    /// # Errors
    /// When it cannot be read or is wrong.
    pub fn read(path: &Path) -> Result<Self, MeasuredFileError> {
        let text = match fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(Self::default()),
            Err(error) => return Err(MeasuredFileError::Io(path.to_owned(), error)),
        };
        let file: MeasuredFile = serde_json::from_str(&text)
            .map_err(|error| MeasuredFileError::Malformed(path.to_owned(), error))?;
        file.check()?;
        Ok(file)
    }

    /// Writes the file, with one line feed at its end.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn write(&self, path: &Path) -> Result<(), MeasuredFileError> {
        let mut text = serde_json::to_string_pretty(self)
            .map_err(|error| MeasuredFileError::Malformed(path.to_owned(), error))?;
        text.push('\n');
        fs::write(path, text).map_err(|error| MeasuredFileError::Io(path.to_owned(), error))
    }

    /// Puts measurements in the place of those with the same ids.
    pub fn merge(&mut self, newer: Vec<Measurement>) {
        let replaced = |held: &Measurement| newer.iter().any(|new| new.id == held.id);
        self.measurements.retain(|held| !replaced(held));
        self.measurements.extend(newer);
        self.measurements
            .sort_by(|left, right| left.id.cmp(&right.id));
    }

    fn check(&self) -> Result<(), MeasuredFileError> {
        for (index, measurement) in self.measurements.iter().enumerate() {
            if measurement.points.is_empty() {
                return Err(MeasuredFileError::NoPoints(measurement.id.clone()));
            }
            let later = &self.measurements[index + 1..];
            if later.iter().any(|other| other.id == measurement.id) {
                return Err(MeasuredFileError::RepeatedId(measurement.id.clone()));
            }
        }
        Ok(())
    }
}
