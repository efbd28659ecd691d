//! A replicated log (Raft) without input or output of its own.
//!
//! A [`Node`] is driven by calls: [`Node::tick`] for time, [`Node::step`] for
//! messages, [`Node::propose`] for new entries. [`Node::ready`] returns what must
//! be stored and sent. The caller, called the driver here, owns the clock, the
//! disk and the network:
//!
//! 1. Call `tick`, `step`, `propose`, … in any order and number.
//! 2. Call [`Node::ready`] and, before the next call into the node, append
//!    [`Ready::entries`] (after [`Ready::truncate_after`]), write
//!    [`Ready::hard_state`] and [`Ready::snapshot_chunks`]; send
//!    [`Ready::messages_before_sync`] at any time.
//! 3. If [`Ready::must_sync`] is set, sync. One sync may cover several `Ready`s.
//! 4. Send [`Ready::messages_after_sync`] and call [`Node::advance`] with
//!    [`Ready::number`], in ascending order of the numbers.
//! 5. Apply the log's entries up to [`Ready::committed`]; answer
//!    [`Ready::confirmed_reads`] once the state machine has reached their index.
//!
//! The crate reads no clock, and its only random source is the generator seeded
//! with [`Settings::seed`], so a run can be reproduced exactly.

mod error;
mod inflight;
mod log_view;
mod membership;
mod node;
mod pending_log;
mod plausible;
mod progress;
mod reads;
mod ready;
pub mod repair;
mod replication;
mod settings;
mod status;

pub use error::{MembershipError, ProposeError, ReadError, TransferError};
pub use log_view::{LogView, SnapshotPiece};
pub use node::{Node, PartialSnapshot, RestoredState};
pub use ready::{ConfirmedRead, Ready, ReceivedChunk};
pub use settings::{MAX_ENTRY_BYTES, SafetyOverrides, Settings, TICK_MILLISECONDS};
pub use status::{PeerState, PeerStatus, Role, Status};
