//! Nodes of one process over loopback sockets.

mod gateways;
mod silence;
mod starts;
mod support;
