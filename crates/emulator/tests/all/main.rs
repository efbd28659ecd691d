//! Tests of the emulators.

mod application_core;
mod client;
mod engine_core;
mod engine_http;
mod other_http;
mod platform_core;
