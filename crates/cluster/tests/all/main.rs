//! Nodes of one process over loopback sockets.

mod builds;
mod evacuations;
mod gateways;
mod incarnations;
mod known_gateways;
mod links;
mod regions;
mod results;
mod silence;
mod support;
