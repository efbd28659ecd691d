//! The gateway process that runs beside each caller.
//!
//! The gateway serves OpenAI-compatible HTTP requests: it chooses a replica for each request,
//! streams answers from model engines and forwards requests to application services. It stores
//! files and batch jobs through control and executes batch items under leases.

pub mod batch;
mod batches;
mod claims;
mod clock;
pub mod configuration;
pub mod control;
pub mod control_only;
mod decisions;
mod engine;
mod files;
mod http;
mod identifiers;
mod models;
mod observe;
mod online;
pub mod options;
pub mod process;
mod services;
mod state;
mod tenants;

pub use observe::metric_descriptions;
