//! Decides whether the response of a back end arrived whole.
//!
//! Every reader of responses uses this crate: relayed streams, buffered responses, batch items and
//! responses of services, engines and control's back ends. [`check_head`] decides whether the head
//! says where the body ends, and [`ResponseEnd`] by the bytes whether it has; where they cannot
//! tell, [`probe`] asks whether the sender's process still runs.

mod chunk_scanner;
mod event_scanner;
mod event_splitter;
mod framing;
mod head;
mod probe;
mod response_end;

pub use chunk_scanner::ChunkScanner;
pub use event_scanner::EventScanner;
pub use event_splitter::{EventSplitter, data_of};
pub use framing::Framing;
pub use head::{HeadFault, check_head};
pub use probe::{PROBE_TIMEOUT, PROCESS_END_DURATION, ProcessState, probe, refuses_connections};
pub use response_end::{BrokenAt, Ending, ResponseEnd};
