//! Relays callers' requests to replicas, byte for byte, and runs batch items for the job store.
//!
//! [`linnethitch_routing::dispatch`] makes the routing decisions; this crate decides what is sent
//! where and what a response means for the next step. Header names come from a [`Dialect`], so
//! this crate does not depend on any platform.

mod attempt;
mod batch;
mod body;
mod buffered_bytes;
mod callers;
mod cold_replicas;
mod connections;
mod counted_stream;
mod counters;
mod deferred_items;
mod delays;
mod dialect;
mod exchange;
mod fleet_changes;
mod following;
mod homes;
mod item_request;
mod item_route;
mod item_run;
mod known_ends;
mod last_ends;
mod planned_stop;
mod pump;
mod quotas;
mod relay;
mod replica_ends;
mod response;
mod running_guard;
mod running_items;
mod search;
mod server;
mod shared;
mod slots;
mod source;
mod stream_records;
mod suspected_requests;
mod suspicion_lookup;
mod suspicions;
mod taken_up;

pub use batch::{BatchSettings, run_items};
pub use body::{BodyUse, read_request_body};
pub use buffered_bytes::{BufferedBytes, BufferedGuard, UnreadBuffer};
pub use callers::{Caller, KeyPolicy};
pub use dialect::{Dialect, HeaderNames, Prompt};
pub use item_request::ItemFault;
pub use item_route::{ItemRoute, RouteVerdict};
pub use relay::{Relay, RelaySettings};
pub use response::{ResponseBody, error_response, gateway_response};
pub use server::{CALLERS_DRAIN, CallerRequest, CallerServer, ServerLimits, serve_callers};
