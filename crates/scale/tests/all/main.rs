//! Tests of the capacity model and its page.

mod budget;
mod fit;
mod measured_file;
mod page;
mod support;
