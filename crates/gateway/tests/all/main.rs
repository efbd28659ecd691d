//! Contract tests of the gateway against fake engines over loopback.

mod completions;
mod support;
