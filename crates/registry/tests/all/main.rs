//! Tests of the registry crate.

mod directory;
mod evacuations;
mod fourth_layout;
mod registry;
mod routes;
mod support;
mod suspicions;
mod tenants;
mod view;
