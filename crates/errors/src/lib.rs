//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every refusal that leaves a linnethitch process is an [`ErrorKind`]. The
//! table in [`ErrorKind::answer`] is the only place that decides the HTTP
//! status, the stable code, whether the request may have run, and whether a
//! caller gains anything by sending it again.

mod answer;
mod kind;
mod reference;

pub use answer::{Answer, Executed, Failure};
pub use kind::ErrorKind;
pub use reference::reference_table;
