//! One member of a replicated group: consensus, log, snapshots and membership repair
//! for any deterministic state machine.
//!
//! A [`GroupMember`] reads no clock and opens no socket. Its driver passes in
//! the time ([`GroupMember::tick`]), messages ([`GroupMember::receive`]) and
//! calls, has it write and sync ([`GroupMember::flush`]) and carries out what
//! [`GroupMember::take_outputs`] returns. Files are accessed through
//! [`linnethitch_storage::FileSystem`], so the same code runs on a virtual disk.

mod apply;
mod log_store;
mod member;
mod opening;
mod output;
mod persist;
mod repair;
mod settings;
mod snapshots;
mod state_machine;
mod stored_format;

pub use member::GroupMember;
pub use opening::{bootstrap_disk, is_reserved_for_first_member};
pub use output::{CallFailure, GroupNotice, GroupOutput};
pub use settings::GroupSettings;
pub use state_machine::{InMemorySnapshot, SnapshotSource, StateMachine, read_full_snapshot};
pub use stored_format::StoredFormat;
