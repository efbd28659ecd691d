//! Encoding of values stored on disk, such as commands in a log and snapshots.
//!
//! The first byte is the layout of the value; its rkyv bytes follow. A build
//! reads the layouts that it supports and refuses others without changing them,
//! so that a data folder of a newer build is not reported as damaged. A new
//! layout is written only after every process of a fleet can read it.

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

/// Encodes a value with its layout byte.
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

/// Decodes a value that was stored in one of these layouts, which have the same type.
///
/// # Errors
/// `DataFolderRefused` when the bytes have another layout, `Corrupted` when
/// they are not a valid value of the type.
pub fn decode<T>(layouts: &[u8], bytes: &[u8]) -> Result<T, Report<ErrorKind>>
where
    T: Archive,
    T::Archived: for<'a> CheckBytes<HighValidator<'a, rancor::Error>>
        + Deserialize<T, HighDeserializer<rancor::Error>>,
{
    let Some((found, encoded)) = bytes.split_first() else {
        return Err(Report::new(ErrorKind::Corrupted).attach("stored value is empty"));
    };
    if !layouts.contains(found) {
        return Err(Report::new(ErrorKind::DataFolderRefused).attach(format!(
            "stored value has unknown layout {found}; this build reads layouts {layouts:?} here"
        )));
    }
    frame::decode(encoded).map_err(|report| report.change_context(ErrorKind::Corrupted))
}

/// The layout byte of a stored value; `None` if the value is empty.
#[must_use]
pub fn layout_of(bytes: &[u8]) -> Option<u8> {
    bytes.first().copied()
}
