//! Settings and time of a member.

use linnethitch_consensus::SafetyOverrides;
use linnethitch_protocol::ids::{MachineId, Timestamp};

/// Default size of the log at which a snapshot is taken, in bytes.
const DEFAULT_SNAPSHOT_LOG_BYTES: u64 = 64 * 1024 * 1024;
/// Default free space below which new work is refused, in bytes.
const DEFAULT_RESERVED_BYTES: u64 = 64 * 1024 * 1024;
/// Default time limit of a call, in milliseconds.
const DEFAULT_CALL_TIMEOUT_MS: u64 = 5_000;

/// Settings of a member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    /// Name of the cluster.
    pub cluster: String,
    /// This machine.
    pub machine: MachineId,
    /// All machines that run control members, including this one.
    pub machines: Vec<MachineId>,
    /// Whether a new cluster may be started if the disks of all machines are blank.
    pub bootstrap: bool,
    /// Address for gateways, which this member announces to the others.
    pub attach_address: String,
    /// Size of the log at which a snapshot is taken, in bytes.
    pub snapshot_log_bytes: u64,
    /// Free space below which new work is refused, in bytes.
    pub reserved_bytes: u64,
    /// Time limit of a call, in milliseconds; a call without an answer by then is refused.
    pub call_timeout_ms: u64,
    /// Seed of the election jitter.
    pub seed: u64,
    /// Consensus safety rules that are switched off for tests; none in a running system.
    #[doc(hidden)]
    pub safety: SafetyOverrides,
    /// Safety rules of the ledger that are switched off for tests; none in a running system.
    #[doc(hidden)]
    pub ledger_safety: linnethitch_ledger::SafetyOverrides,
}

impl MemberSettings {
    /// Settings with production defaults; `machines` includes `machine`.
    #[must_use]
    pub fn new(cluster: &str, machine: MachineId, machines: Vec<MachineId>) -> Self {
        MemberSettings {
            cluster: cluster.to_owned(),
            machine,
            machines,
            bootstrap: false,
            attach_address: String::new(),
            snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
            reserved_bytes: DEFAULT_RESERVED_BYTES,
            call_timeout_ms: DEFAULT_CALL_TIMEOUT_MS,
            seed: 0,
            safety: SafetyOverrides::default(),
            ledger_safety: linnethitch_ledger::SafetyOverrides::default(),
        }
    }

    /// Size of a quorum when the disks of all machines are voters.
    pub(crate) fn full_quorum(&self) -> usize {
        self.machines.len() / 2 + 1
    }
}

/// The driver's clocks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberTime {
    /// Monotonic clock, in milliseconds from an arbitrary start.
    pub monotonic_ms: u64,
    /// The machine's wall clock, which may be wrong.
    pub wall: Timestamp,
}
