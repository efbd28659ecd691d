//! Encoding of [`RouteDetails`] at the end of a message: the encoded details (nothing if they are
//! empty), and their length in bytes as a little-endian `u32`.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_job_store::RouteDetails;
use linnethitch_protocol::frame;

/// Size of the length after the details, in bytes.
const LENGTH_BYTES: usize = 4;

/// Appends details to an encoded message.
///
/// # Errors
/// `Internal` when they cannot be encoded.
pub(crate) fn append(
    payload: &mut Vec<u8>,
    details: &RouteDetails,
) -> Result<(), Report<ErrorKind>> {
    let before = payload.len();
    if !details.is_empty() {
        payload.extend_from_slice(&frame::encode(details)?);
    }
    let length = (payload.len() - before) as u32;
    payload.extend_from_slice(&length.to_le_bytes());
    Ok(())
}

/// Splits an encoded message from the details that [`append`] added.
///
/// # Errors
/// `Corrupted` when the bytes have no such details at their end.
pub(crate) fn split(payload: &[u8]) -> Result<(&[u8], RouteDetails), Report<ErrorKind>> {
    let damaged = || Report::new(ErrorKind::Corrupted).attach("damaged details of routes");
    let (rest, length) = payload
        .split_last_chunk::<LENGTH_BYTES>()
        .ok_or_else(damaged)?;
    let length = u32::from_le_bytes(*length) as usize;
    let message_bytes = rest.len().checked_sub(length).ok_or_else(damaged)?;
    let (message, details) = rest.split_at(message_bytes);
    if details.is_empty() {
        return Ok((message, RouteDetails::default()));
    }
    let details = frame::decode(details);
    let details = details.map_err(|report| report.change_context(ErrorKind::Corrupted))?;
    Ok((message, details))
}
