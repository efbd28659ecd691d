//! Tests of the fleet file and the settings files.

mod difference;
mod document;
mod examples;
mod fleet;
mod large;
mod reference;
mod settings;
