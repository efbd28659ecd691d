//! Nodes of one process over loopback sockets.

mod gateways;
mod regions;
mod silence;
mod support;
