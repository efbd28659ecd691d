//! Batch work in what online work leaves over.

pub mod yielding;
