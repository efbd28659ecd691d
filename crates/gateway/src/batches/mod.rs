//! The `/v1/batches` endpoints and the lines of batch input files.

mod create;
pub(crate) mod line;
mod object;

pub(crate) use create::create;
pub(crate) use object::{cancel, get, list};
