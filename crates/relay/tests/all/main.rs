//! Tests of the relay.

mod cold;
mod ending_requests;
mod events;
mod keys;
mod requests;
mod silent_connections;
mod slots;
mod streams;
mod support;
