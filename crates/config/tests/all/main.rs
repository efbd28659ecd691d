//! Tests of the fleet file and the settings files.

mod examples;
mod settings;
