//! Encoded values that are kept on disk: commands in a log, snapshots.
//!
//! One byte names the layout of the value, its rkyv bytes follow. A build reads
//! the layouts it knows and refuses others without touching them, so that a
//! data folder of a newer build is never taken for a damaged one. A new layout
//! is first read by every process of a fleet, and only then written.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use rkyv::{
    Archive, Deserialize, Serialize,
    api::high::{HighDeserializer, HighSerializer, HighValidator},
    bytecheck::CheckBytes,
    rancor,
    ser::allocator::ArenaHandle,
    util::AlignedVec,
};

use crate::frame;

/// Encodes a value in a layout.
///
/// # Errors
/// `Internal` when the value cannot be encoded.
pub fn encode<T>(layout: u8, value: &T) -> Result<Vec<u8>, Report<ErrorKind>>
where
    T: for<'a> Serialize<HighSerializer<AlignedVec, ArenaHandle<'a>, rancor::Error>>,
{
    let encoded = frame::encode(value)?;
    let mut bytes = Vec::with_capacity(1 + encoded.len());
    bytes.push(layout);
    bytes.extend_from_slice(&encoded);
    Ok(bytes)
}

/// Decodes a value that was stored in one of these layouts, which hold the same type.
///
/// # Errors
/// `DataFolderRefused` when the bytes are of another layout, `Corrupted` when
/// they are no valid value of this one.
pub fn decode<T>(layouts: &[u8], bytes: &[u8]) -> Result<T, Report<ErrorKind>>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let Some((found, encoded)) = bytes.split_first() else {
        return Err(Report::new(ErrorKind::Corrupted).attach("a stored value is empty"));
    };
    if !layouts.contains(found) {
        return Err(Report::new(ErrorKind::DataFolderRefused).attach(format!(
            "a stored value is of layout {found}, this program reads {layouts:?}"
        )));
    }
    frame::decode(encoded).map_err(|report| report.change_context(ErrorKind::Corrupted))
}

/// The layout that a stored value names.
#[must_use]
pub fn layout_of(bytes: &[u8]) -> Option<u8> {
    bytes.first().copied()
}
