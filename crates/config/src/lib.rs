//! The operator's fleet file and the settings of each process: types,
//! parsing, validation, differences.
//!
//! A value of [`fleet::Fleet`] that came out of [`fleet::Fleet::parse`] is
//! valid as a whole. Errors name file, line and field.

pub mod digest;
pub mod fleet;
pub mod locate;
pub mod settings;
