//! `/v1/files`: uploads, records and content of batch files.

mod content;
mod lines;
mod object;
mod source;
mod upload;

pub(crate) use content::content;
pub(crate) use object::{delete, get, list};
pub(crate) use upload::create;
