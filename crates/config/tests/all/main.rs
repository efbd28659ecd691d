//! Tests of the fleet file and the settings files.

mod difference;
mod examples;
mod fleet;
mod large;
mod settings;
mod text_edit;
