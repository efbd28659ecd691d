//! Tests of the relay.

mod events;
mod requests;
mod slots;
mod streams;
mod support;
