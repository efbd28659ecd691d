//! Typed messages between linnethitch's own processes and their framing.
//!
//! All messages derive rkyv's traits and are validated before use. The
//! messages are plain data: no behaviour of a role lives here.

#![allow(
    missing_docs,
    reason = "rkyv's derive generates undocumented fields for enum variants"
)]

pub mod attach;
pub mod command;
pub mod consensus;
pub mod first_format;
pub mod fleet;
pub mod format;
pub mod frame;
pub mod hash;
pub mod ids;
pub mod load_digest;
pub mod query;
pub mod quota;
pub mod slots;
pub mod stored;
pub mod suspicion;
pub mod text_edit;
