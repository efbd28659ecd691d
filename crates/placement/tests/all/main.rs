//! Tests of the placement crate.

mod engines_http;
mod ledger;
mod reconciler;
mod world;
