//! Safety rules that a run can disable, to check that the simulator detects the violation.

use linnethitch_consensus::SafetyOverrides as ConsensusOverrides;
use linnethitch_ledger::SafetyOverrides as LedgerOverrides;

/// A safety rule that can be disabled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SafetyRule {
    /// A machine with a blank disk does not vote under the identity of its former disk.
    BlankDisk,
    /// A vote is synced before it counts.
    VoteSync,
    /// Entries are synced before they are acknowledged.
    AppendSync,
    /// Reads are confirmed by a round of heartbeats.
    ReadConfirmation,
    /// Results under an ended lease are refused, and at-most-once items are not run again.
    LeaseFencing,
    /// The key of an at-most-once request is not released when its gateway dies.
    ClaimFencing,
}

impl SafetyRule {
    /// All rules.
    pub const ALL: &'static [SafetyRule] = &[
        SafetyRule::BlankDisk,
        SafetyRule::VoteSync,
        SafetyRule::AppendSync,
        SafetyRule::ReadConfirmation,
        SafetyRule::LeaseFencing,
        SafetyRule::ClaimFencing,
    ];

    /// The name on the command line.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            SafetyRule::BlankDisk => "blank-disk",
            SafetyRule::VoteSync => "vote-sync",
            SafetyRule::AppendSync => "append-sync",
            SafetyRule::ReadConfirmation => "read-confirmation",
            SafetyRule::LeaseFencing => "lease-fencing",
            SafetyRule::ClaimFencing => "claim-fencing",
        }
    }

    /// Finds a rule by its name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<SafetyRule> {
        Self::ALL.iter().copied().find(|rule| rule.name() == name)
    }
}

/// The safety overrides of consensus for the disabled rules.
pub(crate) fn consensus_overrides(disabled: &[SafetyRule]) -> ConsensusOverrides {
    ConsensusOverrides {
        blank_disk_may_vote: disabled.contains(&SafetyRule::BlankDisk),
        skip_vote_sync: disabled.contains(&SafetyRule::VoteSync),
        skip_append_sync: disabled.contains(&SafetyRule::AppendSync),
        skip_read_confirmation: disabled.contains(&SafetyRule::ReadConfirmation),
        ..ConsensusOverrides::default()
    }
}

/// The safety overrides of the ledger for the disabled rules.
pub(crate) fn ledger_overrides(disabled: &[SafetyRule]) -> LedgerOverrides {
    LedgerOverrides {
        skip_lease_fencing: disabled.contains(&SafetyRule::LeaseFencing),
        skip_claim_fencing: disabled.contains(&SafetyRule::ClaimFencing),
    }
}
