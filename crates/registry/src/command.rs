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
    routes::RouteTable, second_layout::SecondCommand, software, software::ReplicaReports,
    third_layout::ThirdCommand,
};

/// Layout of an entry that marks the fourth format, whose commands are those of the third.
const NINTH_LAYOUT: u8 = 9;
/// Layout of replica reports with a software version: the first layout of the third format.
const EIGHTH_LAYOUT: u8 = 8;
/// Layout of commands that delete the records of ended replicas.
const SEVENTH_LAYOUT: u8 = 7;
/// Layout of reported replica ends whose runs list the earlier ends that were known.
const SIXTH_LAYOUT: u8 = 6;
/// Layout of replica reports with an incarnation, of configurations with home regions and
/// cold replicas, of evacuations, and of the gateways that share quota counts.
const FIFTH_LAYOUT: u8 = 5;
/// Layout of configurations that may list tenants: the last layout of the first format.
pub(crate) const TENANTS_LAYOUT: u8 = 4;
/// Layout of route tables whose routes have a limit on queued tokens; read, not written.
const ROUTES_LAYOUT: u8 = 2;
/// Layout of commands that clear or decay suspicions, and of replicas that are no longer at
/// their registered address. Reported replica ends of this layout are read, not written.
pub(crate) const THIRD_LAYOUT: u8 = 3;
/// Layout of all other commands, and of the first route tables.
pub(crate) const FIRST_LAYOUT: u8 = 1;

/// A command that changes the registry.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegistryCommand {
    /// Puts a configuration in force if its version is above the current one.
    PutConfiguration {
        /// The route table, already validated.
        table: RouteTable,
        /// The other parts of the configuration. Boxed, so that the stored size of
        /// commands stays the one of the first layouts.
        declared: Box<Declared>,
    },
    /// A replica reported a change. Boxed for the same reason as `declared`.
    Replica(Box<ReplicaChange>),
    /// An incarnation of a replica ended, by its key.
    RemoveReplica(String),
    /// The first members of the job store; later commands of this kind have no effect.
    FormStore(Vec<MemberId>),
    /// A job store machine is to be drained of its data.
    RetireStore(MachineId),
    /// A replica ended while it executed these runs of one gateway.
    ReplicaEnded {
        /// The key of its incarnation.
        replica: String,
        /// The runs that were interrupted.
        runs: Vec<EndedRun>,
    },
    /// Copies of these requests got complete answers.
    ClearSuspicions(Vec<RequestFingerprint>),
    /// There were no reports about these requests for a long time.
    DecaySuspicions(Vec<RequestFingerprint>),
    /// Another incarnation answers at the address of this one, given by its key.
    NotAtAddress(String),
    /// Stops new work for the replicas of a zone.
    EvacuateZone(EvacuationOrder),
    /// Allows new work for the replicas of a zone again.
    RestoreZone(EvacuationOrder),
    /// The set of gateways that share the counts of tenants' limits changed.
    GatewaysChanged {
        /// Gateways that joined the set.
        joined: Vec<MachineId>,
        /// Gateways that left the set: they stopped, or had no contact for a long time.
        left: Vec<MachineId>,
    },
    /// Deletes the records of replicas that ended at this entry or an earlier one: every
    /// connected node knows that they ended, and no delayed heartbeat is expected any more.
    ForgetEnded {
        /// The last log entry that is covered.
        up_to_index: LogIndex,
    },
}

impl RegistryCommand {
    /// The command as stored in the log of a group whose members all read `format`.
    ///
    /// # Errors
    /// `InvalidState` when the format has no such command, `Internal` when it cannot be
    /// encoded.
    pub fn to_stored_in(&self, format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        match format {
            Format::First => FirstFormatCommand::try_from(self.clone())?.to_stored(),
            Format::Second => self.to_stored_as(self.layout()),
            Format::Third | Format::Fourth => self.to_stored(),
        }
    }

    /// Whether fields that a format leaves out would stay lost while the command is in force.
    /// A replica repeats its whole report within a second or two, so its losses are short.
    #[must_use]
    pub fn requires_lossless_format(&self) -> bool {
        matches!(self, RegistryCommand::PutConfiguration { .. })
    }

    /// Whether a format can store every field of the command.
    #[must_use]
    pub fn is_lossless_in(&self, format: Format) -> bool {
        match self {
            RegistryCommand::PutConfiguration { table, declared } if format == Format::First => {
                let tenants = declared.tenants.iter().flatten();
                let homes = table.routes.iter().map(|route| &route.homes);
                let mut homes = homes.chain(tenants.map(|tenant| &tenant.homes));
                let is_cold = table.services.iter().any(|service| service.cold.is_some());
                !is_cold && homes.all(|homes| homes.is_empty())
            }
            _ => self.to_stored_in(format).is_ok(),
        }
    }

    /// A command without other effect whose entry marks the switch to a format: an entry in
    /// that format is only proposed when all members read it.
    ///
    /// # Errors
    /// `InvalidState` for the first format, `Internal` when it cannot be encoded.
    pub fn raise_format(format: Format) -> Result<Vec<u8>, Report<ErrorKind>> {
        let up_to_index = LogIndex(0);
        let command = RegistryCommand::ForgetEnded { up_to_index };
        match format {
            Format::First | Format::Second => command.to_stored_in(format),
            Format::Third => command.to_stored_as(EIGHTH_LAYOUT),
            Format::Fourth => command.to_stored_as(NINTH_LAYOUT),
        }
    }

    /// The format that a stored command belongs to.
    pub(crate) fn format_of(stored: &[u8]) -> Format {
        match stored::layout_of(stored) {
            Some(layout) if layout >= NINTH_LAYOUT => Format::Fourth,
            Some(layout) if layout >= EIGHTH_LAYOUT => Format::Third,
            Some(layout) if layout > TENANTS_LAYOUT => Format::Second,
            _ => Format::First,
        }
    }

    /// The command as stored in the log in the newest format.
    ///
    /// # Errors
    /// `Internal` when it cannot be encoded.
    pub fn to_stored(&self) -> Result<Vec<u8>, Report<ErrorKind>> {
        let has_software = self
            .reports()
            .iter()
            .any(|report| report.software.is_some());
        self.to_stored_as(if has_software {
            EIGHTH_LAYOUT
        } else {
            self.layout()
        })
    }

    /// Software versions are left out of earlier layouts than the eighth.
    fn to_stored_as(&self, layout: u8) -> Result<Vec<u8>, Report<ErrorKind>> {
        let mut stored = stored::encode(layout, self)?;
        if layout >= EIGHTH_LAYOUT {
            software::append(&mut stored, &self.reports())?;
        }
        Ok(stored)
    }

    fn layout(&self) -> u8 {
        match self {
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
        }
    }

    /// Decodes a command from the log.
    ///
    /// # Errors
    /// `DataFolderRefused` for an unknown layout, `Corrupted` for damaged bytes.
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
            Some(EIGHTH_LAYOUT | NINTH_LAYOUT) => {
                let (command, software) = software::split(bytes)?;
                let layouts = [EIGHTH_LAYOUT, NINTH_LAYOUT];
                let mut command: RegistryCommand = stored::decode(&layouts, command)?;
                software::set(command.reports_mut(), software)?;
                Ok(command)
            }
            _ => stored::decode(&[FIFTH_LAYOUT, SIXTH_LAYOUT, SEVENTH_LAYOUT], bytes),
        }
    }
}

impl ReplicaReports for RegistryCommand {
    fn reports(&self) -> Vec<&ReplicaChange> {
        match self {
            RegistryCommand::Replica(change) => vec![change],
            _ => Vec::new(),
        }
    }

    fn reports_mut(&mut self) -> Vec<&mut ReplicaChange> {
        match self {
            RegistryCommand::Replica(change) => vec![change],
            _ => Vec::new(),
        }
    }
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum RegistryAnswer {
    /// The version of the configuration in force; it may be higher than the one sent.
    ConfigurationVersion(u64),
    /// The state of the zone of an evacuation order, by the last order of an operator.
    ZoneState {
        /// Whether it is evacuated.
        evacuated: bool,
        /// The entry that changed it last; 0 if there is none.
        changed_at: LogIndex,
    },
    /// The command was applied, or changed nothing.
    Done,
    /// The command is about another incarnation than the current one; nothing changed.
    OtherIncarnation,
}
