//! Batch work on capacity that online work leaves free.

pub mod yielding;
