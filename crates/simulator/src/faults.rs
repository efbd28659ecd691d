//! The kinds of faults that a simulation injects.

use std::fmt;

/// Declares the kinds with their names on the command line.
macro_rules! fault_kinds {
    ($( $(#[doc = $doc:literal])+ $name:ident => $text:literal; )+) => {
        /// A kind of fault.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum FaultKind {
            $( $(#[doc = $doc])+ $name, )+
        }

        impl FaultKind {
            /// All kinds.
            pub const ALL: &'static [FaultKind] = &[ $( FaultKind::$name, )+ ];

            /// The name on the command line and in reports.
            #[must_use]
            pub const fn name(self) -> &'static str {
                match self {
                    $( FaultKind::$name => $text, )+
                }
            }
        }
    };
}

fault_kinds! {
    /// A share of all messages is lost for some time.
    Loss => "loss";
    /// Messages are delayed and reordered for some time.
    Delay => "delay";
    /// A share of the messages between members is duplicated for some time.
    Duplication => "duplication";
    /// Messages in one direction are dropped: from a machine to another one, from it to all, or
    /// from all to it.
    OneWayCut => "one-way-cut";
    /// All messages from and to a machine are dropped, for at most ten minutes.
    Isolation => "isolation";
    /// The control machines are partitioned into two groups.
    Split => "split";
    /// A region is partitioned from the others.
    RegionCut => "region-cut";
    /// A control machine stops and loses unsynced data.
    Crash => "crash";
    /// All control machines stop at once and lose unsynced data.
    PowerLoss => "power-loss";
    /// A control machine stops during a sync, which can leave torn writes.
    TornWrite => "torn-write";
    /// A sync fails; the process is restarted on the same machine.
    SyncFailure => "sync-failure";
    /// Syncs are slow for some time.
    SlowSync => "slow-sync";
    /// A disk is full for some time.
    DiskFull => "disk-full";
    /// A disk is lost; the machine restarts with a blank one.
    DiskLoss => "disk-loss";
    /// A stored bit flips while the machine is down.
    Corruption => "corruption";
    /// The time of day of a machine jumps and its clock runs at another rate.
    ClockSkew => "clock-skew";
    /// A process pauses for some time and then continues.
    Pause => "pause";
    /// A gateway process with work in flight dies or pauses.
    GatewayDeath => "gateway-death";
}

impl FaultKind {
    /// Finds a kind by its name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<FaultKind> {
        Self::ALL.iter().copied().find(|kind| kind.name() == name)
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// A set of kinds of faults that a run may inject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultSet {
    kinds: Vec<FaultKind>,
}

impl FaultSet {
    /// All kinds.
    #[must_use]
    pub fn all() -> Self {
        FaultSet {
            kinds: FaultKind::ALL.to_vec(),
        }
    }

    /// Only the given kinds.
    #[must_use]
    pub fn only(kinds: &[FaultKind]) -> Self {
        FaultSet {
            kinds: kinds.to_vec(),
        }
    }

    /// A copy of the set without one kind.
    #[must_use]
    pub fn without(&self, kind: FaultKind) -> Self {
        let kinds = self.kinds.iter().copied();
        FaultSet {
            kinds: kinds.filter(|other| *other != kind).collect(),
        }
    }

    /// The kinds in the set.
    #[must_use]
    pub fn kinds(&self) -> &[FaultKind] {
        &self.kinds
    }
}
