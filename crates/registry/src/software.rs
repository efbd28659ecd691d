//! Software versions of replicas, stored and sent beside the values that contain their reports.
//!
//! The encodings of reports are those of the second format. The third format appends the
//! versions: the encoded value, the encoded list of versions in the order of the reports (empty
//! if none is known), and the length of the list in bytes as a little-endian `u32`.

use error_stack::{Report, ensure};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::frame;

use crate::{replica::ReplicaChange, update::FleetUpdate};

/// Size of the length after the list, in bytes.
const LENGTH_BYTES: usize = 4;

/// The software version of each report; `None` if it is unknown.
pub type Versions = Vec<Option<String>>;

/// A value that contains reports of replicas.
pub trait ReplicaReports {
    /// The reports, in a fixed order.
    fn reports(&self) -> Vec<&ReplicaChange>;

    /// The same reports in the same order.
    fn reports_mut(&mut self) -> Vec<&mut ReplicaChange>;
}

impl ReplicaReports for FleetUpdate {
    fn reports(&self) -> Vec<&ReplicaChange> {
        let replicas = self.replicas.iter();
        replicas.map(|record| &record.reported).collect()
    }

    fn reports_mut(&mut self) -> Vec<&mut ReplicaChange> {
        let replicas = self.replicas.iter_mut();
        replicas.map(|record| &mut record.reported).collect()
    }
}

/// Appends the software versions of reports to the encoded value that contains them.
///
/// # Errors
/// `Internal` when they cannot be encoded.
pub fn append(encoded: &mut Vec<u8>, reports: &[&ReplicaChange]) -> Result<(), Report<ErrorKind>> {
    let before = encoded.len();
    if reports.iter().any(|report| report.software.is_some()) {
        let versions = reports.iter().map(|report| report.software.clone());
        let versions: Versions = versions.collect();
        encoded.extend_from_slice(&frame::encode(&versions)?);
    }
    let length = (encoded.len() - before) as u32;
    encoded.extend_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Splits the encoded value from the software versions that [`append`] added.
///
/// # Errors
/// `Corrupted` when the bytes have no such versions at their end.
pub fn split(bytes: &[u8]) -> Result<(&[u8], Versions), Report<ErrorKind>> {
    let damaged = || Report::new(ErrorKind::Corrupted).attach("damaged software versions");
    let (rest, length) = bytes
        .split_last_chunk::<LENGTH_BYTES>()
        .ok_or_else(damaged)?;
    let length = u32::from_le_bytes(*length) as usize;
    let value_bytes = rest.len().checked_sub(length).ok_or_else(damaged)?;
    let (value, versions) = rest.split_at(value_bytes);
    if versions.is_empty() {
        return Ok((value, Vec::new()));
    }
    let versions = frame::decode(versions);
    let versions = versions.map_err(|report| report.change_context(ErrorKind::Corrupted))?;
    Ok((value, versions))
}

/// Sets the software versions of reports; no version is known if the list is empty.
///
/// # Errors
/// `Corrupted` when the list is not empty and has another length than the reports.
pub fn set(reports: Vec<&mut ReplicaChange>, versions: Versions) -> Result<(), Report<ErrorKind>> {
    let is_matching = versions.is_empty() || versions.len() == reports.len();
    ensure!(
        is_matching,
        Report::new(ErrorKind::Corrupted).attach("software versions do not match the reports")
    );
    for (report, version) in reports.into_iter().zip(versions) {
        report.software = version;
    }
    Ok(())
}
