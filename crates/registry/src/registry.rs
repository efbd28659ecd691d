//! The replicated state.

use std::sync::Arc;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::{InMemorySnapshot, StateMachine, read_full_snapshot};
use linnethitch_protocol::{
    format::Format,
    ids::{LogIndex, MachineId, MemberId},
    stored,
};
use linnethitch_storage::SnapshotReader;
use linnethitch_tenants::{TenantDirectory, TenantsUpdate};
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    command::FIRST_LAYOUT,
    command::{RegistryAnswer, RegistryCommand},
    configuration::Declared,
    evacuations::{EvacuationOrder, EvacuationRecord, Evacuations},
    fifth_layout::FifthSnapshot,
    first_layout::FirstSnapshot,
    fourth_layout::FourthSnapshot,
    gateways::{GatewayRecord, KnownGateways},
    incarnation_key::parse_incarnation_key,
    replica::{ReplicaChange, ReplicaRecord},
    replica_changes::{self, Removal},
    replica_index::ReplicaIndex,
    replica_records::{ReplicaDifference, ReplicaRecords},
    routes::RouteTable,
    second_layout::{SecondSnapshot, ThirdSnapshot},
    sixth_layout::SixthSnapshot,
    software::{self, ReplicaReports},
    suspicion::{Suspicion, Suspicions},
    table_history::TableHistory,
    update::FleetUpdate,
};

/// The members of the job store as recorded by control.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoreMembers {
    /// The members that formed the store; empty until it is formed.
    pub first: Vec<MemberId>,
    /// Machines to be drained of their data, in the order of the requests.
    pub retiring: Vec<MachineId>,
}

/// Route table, replicas and members of the job store.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    table: Option<Arc<TableHistory>>,
    document: Arc<Vec<u8>>,
    tenants: Arc<TenantDirectory>,
    replicas: ReplicaIndex,
    /// Records of replicas that ended at this entry or an earlier one are deleted.
    forgotten_up_to: LogIndex,
    store: StoreMembers,
    store_at: LogIndex,
    suspicions: Suspicions,
    evacuations: Evacuations,
    gateways: KnownGateways,
    changed_at: LogIndex,
    /// The newest format among the applied entries, which all members therefore read.
    format: Format,
}

/// Layout of snapshots that this build writes; earlier layouts are still read.
const SNAPSHOT_LAYOUT: u8 = 9;
/// Layout of snapshots in the third format, with the content of the fourth.
const EIGHTH_LAYOUT: u8 = 8;
/// Layout of snapshots without software versions of replicas: the second format.
const SEVENTH_LAYOUT: u8 = 7;
/// Layout of snapshots that do not record which ended replicas were deleted.
const SIXTH_LAYOUT: u8 = 6;
/// Layout of snapshots with a single run length per suspicion.
const FIFTH_LAYOUT: u8 = 5;
/// Layout of snapshots without evacuations, home regions, incarnations and known gateways.
const FOURTH_LAYOUT: u8 = 4;
/// Layout of snapshots without tenants.
const THIRD_LAYOUT: u8 = 3;
/// Layout of snapshots without suspicions.
const SECOND_LAYOUT: u8 = 2;

/// The content of a snapshot.
#[derive(Archive, Serialize, Deserialize)]
pub(crate) struct RegistrySnapshot {
    pub(crate) table: Option<RouteTable>,
    pub(crate) document: Vec<u8>,
    pub(crate) table_at: LogIndex,
    pub(crate) replicas: Vec<ReplicaRecord>,
    pub(crate) store: StoreMembers,
    pub(crate) store_at: LogIndex,
    pub(crate) changed_at: LogIndex,
    pub(crate) suspicions: Vec<Suspicion>,
    pub(crate) tenants: TenantsUpdate,
    pub(crate) evacuations: Vec<EvacuationRecord>,
    pub(crate) gateways: Vec<GatewayRecord>,
    pub(crate) forgotten_up_to: LogIndex,
}

impl ReplicaReports for RegistrySnapshot {
    fn reports(&self) -> Vec<&ReplicaChange> {
        let replicas = self.replicas.iter();
        replicas.map(|record| &record.reported).collect()
    }

    fn reports_mut(&mut self) -> Vec<&mut ReplicaChange> {
        let replicas = self.replicas.iter_mut();
        replicas.map(|record| &mut record.reported).collect()
    }
}

impl Registry {
    /// The route table in force.
    #[must_use]
    pub fn table(&self) -> Option<&Arc<RouteTable>> {
        self.table.as_ref().map(|history| history.table())
    }

    /// The document of the configuration in force, as the operator sent it.
    #[must_use]
    pub fn document(&self) -> &Arc<Vec<u8>> {
        &self.document
    }

    /// The tenants of the configuration in force.
    #[must_use]
    pub fn tenants(&self) -> &TenantDirectory {
        &self.tenants
    }

    /// The newest incarnation of a replica, by its id.
    #[must_use]
    pub fn replica(&self, id: &str) -> Option<&ReplicaRecord> {
        self.replicas.records().get(id)
    }

    /// Whether a key names the newest incarnation of its replica.
    #[must_use]
    pub fn is_current_incarnation(&self, key: &str) -> bool {
        let (id, _) = parse_incarnation_key(key);
        let current = self.replicas.records().get(id);
        current.is_some_and(|record| record.reported.is_of_incarnation(key))
    }

    /// Every replica that takes work or finishes its work.
    pub fn live_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.replicas.records().live()
    }

    /// Every replica by id, including ended ones whose record is not deleted yet.
    #[must_use]
    pub(crate) fn records(&self) -> &ReplicaRecords {
        self.replicas.records()
    }

    /// The replicas that differ between an earlier state and this one.
    pub fn differences<'a>(
        &'a self,
        before: &'a Registry,
    ) -> impl Iterator<Item = ReplicaDifference<'a>> {
        self.records().since(before.records())
    }

    /// The oldest entry that ended a replica whose record still exists; `None` if there is
    /// no such record.
    #[must_use]
    pub fn first_ended_at(&self) -> Option<LogIndex> {
        self.records().first_ended().map(|(at, _)| at)
    }

    /// Ids of the replicas at an address that have not ended.
    #[must_use]
    pub fn at_address(&self, address: &str) -> Vec<String> {
        self.replicas.at_address(address)
    }

    /// Every replica whose address another incarnation has registered.
    pub fn displaced_replicas(&self) -> impl Iterator<Item = &ReplicaRecord> {
        self.replicas.displaced()
    }

    /// The members of the job store.
    #[must_use]
    pub fn store(&self) -> &StoreMembers {
        &self.store
    }

    /// Requests under which replicas ended.
    #[must_use]
    pub fn suspicions(&self) -> &Suspicions {
        &self.suspicions
    }

    /// Evacuated zones, whose replicas get no new work.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Gateways that share the counts of tenants' limits. Updates to nodes don't contain
    /// them: control reports separately which of them are unreachable.
    #[must_use]
    pub fn gateways(&self) -> &KnownGateways {
        &self.gateways
    }

    /// The newest entry that changed any content of updates.
    #[must_use]
    pub fn changed_at(&self) -> LogIndex {
        self.changed_at
    }

    /// The changes after an entry; the complete state for entry 0. A node that missed ends
    /// whose records are deleted gets all existing replicas.
    #[must_use]
    pub fn update_since(&self, since: LogIndex) -> FleetUpdate {
        self.update_in(Format::NEWEST, since)
    }

    /// Like [`Registry::update_since`], but limited to what a format can encode: the first
    /// format has complete route tables only.
    #[must_use]
    pub fn update_in(&self, format: Format, since: LogIndex) -> FleetUpdate {
        let is_complete = since < self.forgotten_up_to;
        let replicas_since = if is_complete { LogIndex(0) } else { since };
        let history = self.table.as_ref();
        let table = history.and_then(|history| match format {
            Format::First => history.complete_since(since),
            Format::Second | Format::Third | Format::Fourth => history.update_since(since),
        });
        let tenants = table.as_ref().map(|_| self.tenants.update_since(since));
        let changed = self.replicas.changed_after(replicas_since);
        let suspected = self.suspicions.records();
        let suspected = suspected.filter(|record| record.changed_at > since);
        let evacuations = self.evacuations.records();
        let evacuations = evacuations.filter(|record| record.changed_at > since);
        FleetUpdate {
            evacuations: evacuations.cloned().collect(),
            since,
            table,
            tenants,
            replicas: changed.cloned().collect(),
            replicas_complete: is_complete,
            forgotten_up_to: self.forgotten_up_to,
            store: (self.store_at > since).then(|| self.store.clone()),
            store_at: self.store_at,
            suspicions: suspected.cloned().collect(),
            up_to_index: self.changed_at,
        }
    }

    /// The newest entry that changed the job store's members.
    #[must_use]
    pub fn store_changed_at(&self) -> LogIndex {
        self.store_at
    }

    /// The changes after an entry that members of the job store need.
    #[must_use]
    pub fn store_update_since(&self, since: LogIndex) -> FleetUpdate {
        FleetUpdate {
            since,
            table: None,
            tenants: None,
            replicas: Vec::new(),
            replicas_complete: false,
            forgotten_up_to: LogIndex(0),
            store: (self.store_at > since).then(|| self.store.clone()),
            store_at: self.store_at,
            suspicions: Vec::new(),
            evacuations: Vec::new(),
            up_to_index: self.changed_at,
        }
    }

    fn put_configuration(
        &mut self,
        index: LogIndex,
        table: RouteTable,
        declared: Declared,
    ) -> RegistryAnswer {
        let current = self.table().map(|table| table.version);
        if current.is_some_and(|current| current >= table.version) {
            return RegistryAnswer::ConfigurationVersion(current.unwrap_or_default());
        }
        let version = table.version;
        match &mut self.table {
            Some(history) => Arc::make_mut(history).replace(table, index),
            None => self.table = Some(Arc::new(TableHistory::new(table, index))),
        }
        self.document = Arc::new(declared.document);
        Arc::make_mut(&mut self.tenants).replace(declared.tenants, index);
        self.changed_at = index;
        RegistryAnswer::ConfigurationVersion(version)
    }

    fn order_evacuation(
        &mut self,
        index: LogIndex,
        order: EvacuationOrder,
        evacuated: bool,
    ) -> RegistryAnswer {
        let zone = order.zone.clone();
        let changed = self.evacuations.set(index, order, evacuated);
        self.note_change(index, changed);
        RegistryAnswer::ZoneState {
            evacuated: self.evacuations.contains(&zone),
            changed_at: self.evacuations.changed_at(&zone),
        }
    }

    fn forget_ended(&mut self, up_to_index: LogIndex) {
        let up_to_index = up_to_index.min(self.changed_at);
        self.forgotten_up_to = self.forgotten_up_to.max(up_to_index);
        self.replicas.forget_ended(up_to_index);
    }

    fn note_change(&mut self, index: LogIndex, changed: bool) {
        if changed {
            self.changed_at = index;
        }
    }

    /// Drops what a snapshot of the group's format cannot store, so that a member that
    /// restarts from a snapshot has the same state as the others.
    fn note_suspicions(&mut self, index: LogIndex, changed: bool) {
        if changed && self.format == Format::First {
            self.suspicions.reduce_to_first_format(index);
        }
        self.note_change(index, changed);
    }

    fn note_store(&mut self, index: LogIndex, changed: bool) {
        if changed {
            self.store_at = index;
            self.changed_at = index;
        }
    }
}

impl StateMachine for Registry {
    type Answer = RegistryAnswer;
    type Snapshot = InMemorySnapshot;

    fn apply(
        &mut self,
        index: LogIndex,
        command: &[u8],
    ) -> Result<Self::Answer, Report<ErrorKind>> {
        let parsed = RegistryCommand::from_stored(command)?;
        self.format = self.format.max(RegistryCommand::format_of(command));
        match parsed {
            RegistryCommand::PutConfiguration { table, declared } => {
                return Ok(self.put_configuration(index, table, *declared));
            }
            RegistryCommand::Replica(change) => {
                let changed = replica_changes::apply_change(&mut self.replicas, index, &change);
                self.note_change(index, changed);
            }
            RegistryCommand::RemoveReplica(key) => {
                let removal = replica_changes::remove(&mut self.replicas, index, &key);
                self.note_change(index, removal == Removal::Removed);
                if removal == Removal::OtherIncarnation {
                    return Ok(RegistryAnswer::OtherIncarnation);
                }
            }
            RegistryCommand::NotAtAddress(key) => {
                let changed = replica_changes::not_at_address(&mut self.replicas, index, &key);
                self.note_change(index, changed);
            }
            RegistryCommand::EvacuateZone(order) => {
                return Ok(self.order_evacuation(index, order, true));
            }
            RegistryCommand::RestoreZone(order) => {
                return Ok(self.order_evacuation(index, order, false));
            }
            RegistryCommand::GatewaysChanged { joined, left } => {
                self.gateways.change(index, joined, &left);
            }
            RegistryCommand::FormStore(members) => {
                let changed = self.store.first.is_empty();
                if changed {
                    self.store.first = members;
                }
                self.note_store(index, changed);
            }
            RegistryCommand::RetireStore(machine) => {
                let changed = !self.store.retiring.contains(&machine);
                if changed {
                    self.store.retiring.push(machine);
                }
                self.note_store(index, changed);
            }
            RegistryCommand::ReplicaEnded { replica, runs } => {
                let changed = self.suspicions.record_end(index, &replica, &runs);
                self.note_suspicions(index, changed);
            }
            RegistryCommand::ClearSuspicions(cleared) => {
                let changed = self.suspicions.clear(index, &cleared);
                self.note_suspicions(index, changed);
            }
            RegistryCommand::ForgetEnded { up_to_index } => self.forget_ended(up_to_index),
            RegistryCommand::DecaySuspicions(decayed) => {
                let changed = self.suspicions.decay(index, &decayed);
                self.note_suspicions(index, changed);
            }
        }
        Ok(RegistryAnswer::Done)
    }

    fn begin_snapshot(&self) -> Result<InMemorySnapshot, Report<ErrorKind>> {
        let snapshot = RegistrySnapshot {
            table: self.table().map(|table| table.as_ref().clone()),
            document: self.document.as_ref().clone(),
            table_at: self
                .table
                .as_ref()
                .map_or(LogIndex(0), |history| history.changed_at()),
            replicas: self.records().all().cloned().collect(),
            forgotten_up_to: self.forgotten_up_to,
            store: self.store.clone(),
            store_at: self.store_at,
            changed_at: self.changed_at,
            tenants: self.tenants.to_update(),
            suspicions: self.suspicions.records().cloned().collect(),
            evacuations: self.evacuations.records().cloned().collect(),
            gateways: self.gateways.records().copied().collect(),
        };
        let stored = match self.format {
            Format::First => stored::encode(FOURTH_LAYOUT, &FourthSnapshot::try_from(snapshot)?),
            Format::Second => stored::encode(SEVENTH_LAYOUT, &snapshot),
            Format::Third => encode_with_software(EIGHTH_LAYOUT, &snapshot),
            Format::Fourth => encode_with_software(SNAPSHOT_LAYOUT, &snapshot),
        };
        stored.map(InMemorySnapshot::new)
    }

    fn from_snapshot(content: SnapshotReader) -> Result<Self, Report<ErrorKind>> {
        let bytes = read_full_snapshot(&content)?;
        let snapshot = decode_snapshot(&bytes)?;
        let format = match stored::layout_of(&bytes) {
            Some(layout) if layout > EIGHTH_LAYOUT => Format::Fourth,
            Some(layout) if layout > SEVENTH_LAYOUT => Format::Third,
            Some(layout) if layout > FOURTH_LAYOUT => Format::Second,
            _ => Format::First,
        };
        Ok(Registry {
            table: snapshot.table.map(|table| {
                // Snapshots don't store when each route changed, so nodes with an older
                // table get the complete one.
                Arc::new(TableHistory::new(table, snapshot.table_at))
            }),
            tenants: Arc::new(TenantDirectory::from_update(snapshot.tenants)),
            document: Arc::new(snapshot.document),
            replicas: snapshot.replicas.into_iter().collect(),
            forgotten_up_to: snapshot.forgotten_up_to,
            store: snapshot.store,
            store_at: snapshot.store_at,
            suspicions: snapshot.suspicions.into_iter().collect(),
            evacuations: snapshot.evacuations.into_iter().collect(),
            gateways: snapshot.gateways.into_iter().collect(),
            changed_at: snapshot.changed_at,
            format,
        })
    }

    fn format(&self) -> Format {
        self.format
    }
}

fn encode_with_software(
    layout: u8,
    snapshot: &RegistrySnapshot,
) -> Result<Vec<u8>, Report<ErrorKind>> {
    let mut stored = stored::encode(layout, snapshot)?;
    software::append(&mut stored, &snapshot.reports())?;
    Ok(stored)
}

fn decode_snapshot(bytes: &[u8]) -> Result<RegistrySnapshot, Report<ErrorKind>> {
    match stored::layout_of(bytes) {
        Some(FIRST_LAYOUT) => {
            let first: FirstSnapshot = stored::decode(&[FIRST_LAYOUT], bytes)?;
            Ok(first.into())
        }
        Some(SECOND_LAYOUT) => {
            let second: SecondSnapshot = stored::decode(&[SECOND_LAYOUT], bytes)?;
            Ok(second.into())
        }
        Some(THIRD_LAYOUT) => {
            let third: ThirdSnapshot = stored::decode(&[THIRD_LAYOUT], bytes)?;
            Ok(third.into())
        }
        Some(FOURTH_LAYOUT) => {
            let fourth: FourthSnapshot = stored::decode(&[FOURTH_LAYOUT], bytes)?;
            Ok(fourth.into())
        }
        Some(FIFTH_LAYOUT) => {
            let fifth: FifthSnapshot = stored::decode(&[FIFTH_LAYOUT], bytes)?;
            Ok(fifth.into())
        }
        Some(SIXTH_LAYOUT) => {
            let sixth: SixthSnapshot = stored::decode(&[SIXTH_LAYOUT], bytes)?;
            Ok(sixth.into())
        }
        Some(EIGHTH_LAYOUT | SNAPSHOT_LAYOUT) => {
            let (snapshot, software) = software::split(bytes)?;
            let layouts = [EIGHTH_LAYOUT, SNAPSHOT_LAYOUT];
            let mut snapshot: RegistrySnapshot = stored::decode(&layouts, snapshot)?;
            software::set(snapshot.reports_mut(), software)?;
            Ok(snapshot)
        }
        _ => stored::decode(&[SEVENTH_LAYOUT], bytes),
    }
}
