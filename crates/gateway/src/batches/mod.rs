//! `/v1/batches` and the lines of batch files.

mod create;
pub(crate) mod line;
mod object;

pub(crate) use create::create;
pub(crate) use object::{cancel, get, list};
