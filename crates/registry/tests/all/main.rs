//! Tests of the registry crate.

mod directory;
mod end_evidence;
mod evacuations;
mod formats;
mod fourth_layout;
mod gateways;
mod homes;
mod incarnations;
mod item_pause;
mod many_replicas;
mod narrow_link;
mod part_verdict;
mod registry;
mod routes;
mod store_members;
mod support;
mod suspicions;
mod table_updates;
mod tenants;
mod view;
