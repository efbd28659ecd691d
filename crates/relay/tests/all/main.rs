//! Tests of the relay.

mod cold;
mod cold_runs;
mod ending_requests;
mod evacuations;
mod events;
mod homes;
mod items;
mod kept_connections;
mod keys;
mod planned_stop;
mod requests;
mod silent_connections;
mod slots;
mod slow_readers;
mod starts;
mod streams;
mod support;
mod unopened_connections;
