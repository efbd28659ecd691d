//! Contract tests of the gateway against fake engines over loopback.

mod batches;
mod completions;
mod configuration;
mod files;
mod support;
