//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every error that a linnethitch process returns is an [`ErrorKind`]. The table
//! in [`ErrorKind::answer`] is the only place that determines the HTTP status,
//! the stable code, whether the request may have been executed, and whether a
//! retry can help.

mod answer;
mod kind;
mod reference;

pub use answer::{Answer, Executed, Failure};
pub use kind::ErrorKind;
pub use reference::reference_table;
