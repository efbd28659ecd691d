//! Messages exchanged between linnethitch processes, and their framing.
//!
//! All messages derive rkyv's traits and are validated before use. They are
//! plain data; the behaviour of the roles is implemented in other crates.

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
pub mod software;
pub mod stored;
pub mod streams;
pub mod suspicion;
pub mod text_edit;
pub mod trailer;
