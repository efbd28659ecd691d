//! Commands of the registry and their answers.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId, MemberId},
    stored,
    suspicion::{EndedRun, RequestFingerprint},
};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    configuration::Declared, evacuations::EvacuationOrder, first_format::FirstFormatCommand,
    first_layout::FirstCommand, fourth_layout::FourthCommand, replica::ReplicaChange,
    routes::RouteTable, second_layout::SecondCommand, third_layout::ThirdCommand,
};

/// Layout of commands to forget replicas.
const SEVENTH_LAYOUT: u8 = 7;
/// Layout of ends under runs that tell which ends were known.
const SIXTH_LAYOUT: u8 = 6;
/// Layout of replicas that tell which start of theirs speaks, of configurations with homes
/// and cold replicas, of evacuations, and of the gateways that share counts.
const FIFTH_LAYOUT: u8 = 5;
/// Layout of configurations that may list tenants: the last of the first format.
pub(crate) const TENANTS_LAYOUT: u8 = 4;
/// Layout of route tables whose routes have a bound of queued tokens; read, not written.
const ROUTES_LAYOUT: u8 = 2;
/// Layout of commands about requests that are no longer suspected, and about replicas
/// that are not where they registered; of ends under runs too, which it no longer writes.
pub(crate) const THIRD_LAYOUT: u8 = 3;
/// Layout of all other commands, and of the first route tables.
pub(crate) const FIRST_LAYOUT: u8 = 1;

/// A change of the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegistryCommand {
    /// Puts a configuration in force if its version is above the one held.
    PutConfiguration {
        /// The checked table.
        table: RouteTable,
        /// What it declares besides. Apart, so that commands keep the size that their
        /// first layouts gave them.
        declared: Box<Declared>,
    },
    /// A replica said something new. Apart, like what a configuration declares.
    Replica(Box<ReplicaChange>),
    /// The start of a replica ended, by its key.
    RemoveReplica(String),
    /// The first members of the job store; the first such command counts.
    FormStore(Vec<MemberId>),
    /// A store machine is to be emptied.
    RetireStore(MachineId),
    /// A replica ended under these runs of one gateway.
    ReplicaEnded {
        /// The key of its start.
        replica: String,
        /// What broke off there.
        runs: Vec<EndedRun>,
    },
    /// Copies of these requests came to whole answers.
    ClearSuspicions(Vec<RequestFingerprint>),
    /// Nothing was heard of these requests for long.
    DecaySuspicions(Vec<RequestFingerprint>),
    /// Another incarnation answers at the address of this start, by its key.
    NotAtAddress(String),
    /// Nothing more is to be sent to the replicas of a zone.
    EvacuateZone(EvacuationOrder),
    /// The replicas of a zone may be given work again.
    RestoreZone(EvacuationOrder),
    /// Other gateways share the counts of tenants' limits.
    GatewaysChanged {
        /// Those that do now.
        joined: Vec<MachineId>,
        /// Those that no longer do: they stopped, or were silent for long.
        left: Vec<MachineId>,
    },
    /// Replicas that are gone since this entry or an earlier one are forgotten: every node in
    /// touch knows of them, and no late word of them is expected any more.
    ForgetEnded {
        /// The entry.
        up_to_index: LogIndex,
    },
}

impl RegistryCommand {
    /// The command as the log holds it where all members of the group read a format.
    ///
    /// # Errors
    /// `InvalidState` when the format has no such command, `Internal` when it cannot be
    /// encoded.
    pub fn to_stored_in(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match format {
            Format::First => FirstFormatCommand::try_from(self.clone())?.to_stored(),
            Format::Second => self.to_stored(),
        }
    }

    /// Whether what is left out of the command stays lost for as long as that is in force. A
    /// replica says all of itself again within a second or two.
    #[must_use]
    pub fn requires_lossless_format(&self) -> bool {
        matches!(self, RegistryCommand::PutConfiguration { .. })
    }

    /// Whether a format keeps all that the command says.
    #[must_use]
    pub fn is_lossless_in(&self, format: Format) -> bool {
        match self {
            _ if format == Format::NEWEST => true,
            RegistryCommand::PutConfiguration { table, declared } => {
                let tenants = declared.tenants.iter().flatten();
                let homes = table.routes.iter().map(|route| &route.homes);
                let mut homes = homes.chain(tenants.map(|tenant| &tenant.homes));
                let is_cold = table.services.iter().any(|service| service.cold.is_some());
                !is_cold && homes.all(|homes| homes.is_empty())
            }
            _ => self.to_stored_in(format).is_ok(),
        }
    }

    /// The first command in the newest format: an entry of it says that all members read it,
    /// and this one does nothing else.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn raise_format() -> Result<Vec<u8>, Report<ErrorKind>> {
        let up_to_index = LogIndex(0);
        RegistryCommand::ForgetEnded { up_to_index }.to_stored()
    }

    /// The format that a stored command belongs to.
    pub(crate) fn format_of(stored: &[u8]) -> Format {
        match stored::layout_of(stored) {
            Some(layout) if layout > TENANTS_LAYOUT => Format::Second,
            _ => Format::First,
        }
    }

    /// The command as the log holds it in the newest format.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn to_stored(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        let layout = match self {
            RegistryCommand::PutConfiguration { .. }
            | RegistryCommand::Replica(_)
            | RegistryCommand::EvacuateZone(_)
            | RegistryCommand::RestoreZone(_)
            | RegistryCommand::GatewaysChanged { .. } => FIFTH_LAYOUT,
            RegistryCommand::ReplicaEnded { .. } => SIXTH_LAYOUT,
            RegistryCommand::ForgetEnded { .. } => SEVENTH_LAYOUT,
            RegistryCommand::ClearSuspicions(_)
            | RegistryCommand::DecaySuspicions(_)
            | RegistryCommand::NotAtAddress(_) => THIRD_LAYOUT,
            _ => FIRST_LAYOUT,
        };
        stored::encode(layout, self)
    }

    /// Reads a command of the log.
    ///
    /// # Errors
    /// `DataFolderRefused` when it is of another layout, `Corrupted`.
    pub fn from_stored(bytes: &[u8]) -> Result<Self, Report<ErrorKind>> {
        match stored::layout_of(bytes) {
            Some(FIRST_LAYOUT) => {
                let first: FirstCommand = stored::decode(&[FIRST_LAYOUT], bytes)?;
                Ok(first.into())
            }
            Some(ROUTES_LAYOUT) => {
                let second: SecondCommand = stored::decode(&[ROUTES_LAYOUT], bytes)?;
                Ok(second.into())
            }
            Some(TENANTS_LAYOUT) => {
                let fourth: FourthCommand = stored::decode(&[TENANTS_LAYOUT], bytes)?;
                Ok(fourth.into())
            }
            Some(THIRD_LAYOUT) => {
                let third: ThirdCommand = stored::decode(&[THIRD_LAYOUT], bytes)?;
                Ok(third.into())
            }
            _ => stored::decode(&[FIFTH_LAYOUT, SIXTH_LAYOUT, SEVENTH_LAYOUT], bytes),
        }
    }
}

/// What applying a command answers.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegistryAnswer {
    /// A table of this version is held; it may be higher than the one sent.
    ConfigurationVersion(u64),
    /// What operators last asked of the zone of an order.
    ZoneState {
        /// Whether it is evacuated.
        evacuated: bool,
        /// The entry that changed it last; 0 where none did.
        changed_at: LogIndex,
    },
    /// The command is in force, or said nothing new.
    Done,
    /// It concerns another start of the replica than the one held; nothing was done.
    OtherIncarnation,
}
