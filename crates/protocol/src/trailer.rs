//! A part that follows an encoded value: its bytes, then their length as a little-endian `u32`.
//! Later formats add fields in such parts, so that the value keeps the encoding of earlier ones.

use error_stack::Report;
use linnethitch_errors::ErrorKind;

/// Size of the length after the part, in bytes.
const LENGTH_BYTES: usize = 4;

/// Appends a part, possibly empty, to an encoded value.
pub fn append(encoded: &mut Vec<u8>, part: &[u8]) {
    encoded.extend_from_slice(part);
    encoded.extend_from_slice(&(part.len() as u32).to_le_bytes());
}

/// Splits an encoded value from the part that [`append`] added. `content` names the part in the
/// error.
///
/// # Errors
/// `Corrupted` when the bytes have no such part at their end.
pub fn split<'a>(
    bytes: &'a [u8],
    content: &'static str,
) -> Result<(&'a [u8], &'a [u8]), Report<ErrorKind>> {
    let damaged = || Report::new(ErrorKind::Corrupted).attach(format!("damaged {content}"));
    let (rest, length) = bytes
        .split_last_chunk::<LENGTH_BYTES>()
        .ok_or_else(damaged)?;
    let length = u32::from_le_bytes(*length) as usize;
    let value_bytes = rest.len().checked_sub(length).ok_or_else(damaged)?;
    Ok(rest.split_at(value_bytes))
}
