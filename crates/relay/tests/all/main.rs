//! Tests of the relay.

mod ending_requests;
mod events;
mod requests;
mod slots;
mod streams;
mod support;
