//! Nodes of one process over loopback sockets.

mod gateways;
mod known_gateways;
mod silence;
mod starts;
mod support;
