//! Nodes of one process over loopback sockets.

mod builds;
mod evacuations;
mod gateways;
mod known_gateways;
mod links;
mod regions;
mod results;
mod silence;
mod starts;
mod support;
