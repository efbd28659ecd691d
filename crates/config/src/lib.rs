//! The operator's fleet file and the settings of each process: types,
//! parsing, validation and differences.
//!
//! A [`fleet::Fleet`] returned by [`fleet::Fleet::parse`] is completely
//! validated. Errors name file, line and field.

pub mod digest;
pub mod fleet;
pub mod locate;
pub mod settings;
