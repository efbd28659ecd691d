//! Encoding of [`RouteDetails`] as a [`trailer`] of a message, which is empty if they are empty.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::RouteDetails;
use linnethitch_protocol::{frame, trailer};

/// Appends details to an encoded message.
///
/// # Errors
/// `Internal` when they cannot be encoded.
pub(crate) fn append(
    payload: &mut Vec<u8>,
    details: &RouteDetails,
) -> Result<(), Report<ErrorKind>> {
    if details.is_empty() {
        trailer::append(payload, &[]);
        return Ok(());
    }
    trailer::append(payload, &frame::encode(details)?);
    Ok(())
}

/// Splits an encoded message from the details that [`append`] added.
///
/// # Errors
/// `Corrupted` when the bytes have no such details at their end.
pub(crate) fn split(payload: &[u8]) -> Result<(&[u8], RouteDetails), Report<ErrorKind>> {
    let (message, details) = trailer::split(payload, "details of routes")?;
    if details.is_empty() {
        return Ok((message, RouteDetails::default()));
    }
    let details = frame::decode(details);
    let details = details.map_err(|report| report.change_context(ErrorKind::Corrupted))?;
    Ok((message, details))
}
