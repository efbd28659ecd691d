//! Tests of the registry crate.

mod directory;
mod fourth_layout;
mod narrow_link;
mod registry;
mod routes;
mod support;
mod suspicions;
mod tenants;
mod told_tables;
mod view;
