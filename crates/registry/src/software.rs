//! Software versions of replicas, stored and sent beside the values that contain their reports.
//!
//! The encodings of reports are those of the second format. The third format appends the
//! versions as a [`trailer`]: the encoded list in the order of the reports, empty if none is known.

use error_stack::{Report, ensure};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{frame, trailer};

use crate::{replica::ReplicaChange, update::FleetUpdate};

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
    if reports.iter().all(|report| report.software.is_none()) {
        trailer::append(encoded, &[]);
        return Ok(());
    }
    let versions = reports.iter().map(|report| report.software.clone());
    let versions: Versions = versions.collect();
    trailer::append(encoded, &frame::encode(&versions)?);
    Ok(())
}

/// Splits the encoded value from the software versions that [`append`] added.
///
/// # Errors
/// `Corrupted` when the bytes have no such versions at their end.
pub fn split(bytes: &[u8]) -> Result<(&[u8], Versions), Report<ErrorKind>> {
    let (value, versions) = trailer::split(bytes, "software versions")?;
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
