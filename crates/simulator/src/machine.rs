//! A control machine: disk, clock, member process and the driver of the member.

mod attached;

use std::{
    collections::{BTreeMap, VecDeque},
    sync::Arc,
};

use error_stack::Report;
use linnethitch_control::member::{Member, MemberNotice, MemberOutput, MemberSettings, MemberTime};
use linnethitch_errors::ErrorKind;
use linnethitch_placement::LostStarts;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    command::{CommandBody, ItemStart, Outcome},
    format::Format,
    ids::{CallId, DiskId, MachineId, MemberId, Timestamp},
};
use linnethitch_storage::VirtualDisk;
use rand_pcg::Pcg64Mcg;

use self::attached::AttachedGateway;
use crate::{
    actors::ActorId,
    engines::Engines,
    network::{Address, Envelope, Packet},
    rules::{SafetyRule, consensus_overrides, ledger_overrides},
};

/// Time of day at the start of a run, in milliseconds since the Unix epoch.
pub(crate) const START_WALL_MS: u64 = 1_700_000_000_000;
/// Log size at which a member takes a snapshot, in bytes.
const SNAPSHOT_LOG_BYTES: u64 = 96 * 1024;
/// Free disk space below which a member refuses new work, in bytes.
const RESERVED_BYTES: u64 = 16 * 1024;
/// Interval at which the leader checks for expired state, in milliseconds.
const EXPIRY_INTERVAL_MS: u64 = 1_000;
/// Placeholder id of a disk that is not formatted yet.
const BLANK_DISK: DiskId = DiskId(0);
/// Rate of a clock without skew, in parts per million.
pub(crate) const NOMINAL_RATE_PPM: u64 = 1_000_000;

/// Settings shared by all machines of a run.
#[derive(Clone, Debug)]
pub(crate) struct MachineSettings {
    pub(crate) machines: Vec<MachineId>,
    pub(crate) rules_off: Vec<SafetyRule>,
    pub(crate) seed: u64,
}

/// A clock whose rate and time of day can be skewed.
#[derive(Clone, Copy, Debug)]
struct SkewedClock {
    wall_offset_ms: i64,
    rate_ppm: u64,
    read_at_ms: u64,
    monotonic_us: u64,
}

impl SkewedClock {
    fn read(&mut self, now_ms: u64) -> MemberTime {
        let passed_ms = now_ms - self.read_at_ms;
        self.read_at_ms = now_ms;
        self.monotonic_us += passed_ms * self.rate_ppm / 1_000;
        MemberTime {
            monotonic_ms: self.monotonic_us / 1_000,
            wall: Timestamp((START_WALL_MS + now_ms).saturating_add_signed(self.wall_offset_ms)),
        }
    }
}

/// The actor that made a call and its number for the call.
#[derive(Clone, Copy, Debug)]
struct CallOwner {
    actor: ActorId,
    number: u64,
}

/// The result of one processing step of a member.
#[derive(Default)]
pub(crate) struct WorkResult {
    /// Messages to send after the syncs complete.
    pub(crate) sent: Vec<Envelope>,
    /// Notices from the member.
    pub(crate) notices: Vec<MemberNotice>,
    /// Number of syncs in the step.
    pub(crate) syncs: u64,
    /// The failure that requires the process to stop, if any.
    pub(crate) failure: Option<Report<ErrorKind>>,
}

/// A control machine.
pub(crate) struct ControlMachine {
    pub(crate) id: MachineId,
    pub(crate) disk: VirtualDisk,
    pub(crate) member: Option<Member>,
    /// End of the current sync or process pause, in milliseconds; no work is done before.
    pub(crate) busy_until_ms: u64,
    /// Whether an [`Event::Work`](crate::events::Event::Work) is scheduled.
    pub(crate) work_scheduled: bool,
    /// Duration of a sync, in milliseconds.
    pub(crate) sync_ms: u64,
    /// Id of the disk of the last process; `None` before the first start.
    disk_id: Option<DiskId>,
    inbox: VecDeque<Envelope>,
    clock: SkewedClock,
    calls: BTreeMap<CallId, CallOwner>,
    next_call: u64,
    attached: BTreeMap<ActorId, AttachedGateway>,
    expiry_call: Option<CallId>,
    lost_starts: LostStarts,
    /// Settlements under way, with the time at which each was proposed.
    settlements: BTreeMap<CallId, (Timestamp, ItemStart)>,
    expiry_checked_ms: u64,
    freshness_sent_ms: u64,
}

impl ControlMachine {
    /// Creates a machine with a blank disk whose process is not running.
    pub(crate) fn new(id: MachineId, disk_seed: u64) -> Self {
        ControlMachine {
            id,
            disk: VirtualDisk::new(disk_seed),
            member: None,
            busy_until_ms: 0,
            work_scheduled: false,
            sync_ms: 1,
            disk_id: None,
            inbox: VecDeque::new(),
            clock: SkewedClock {
                wall_offset_ms: 0,
                rate_ppm: NOMINAL_RATE_PPM,
                read_at_ms: 0,
                monotonic_us: 0,
            },
            calls: BTreeMap::new(),
            next_call: 0,
            attached: BTreeMap::new(),
            expiry_call: None,
            lost_starts: LostStarts::default(),
            settlements: BTreeMap::new(),
            expiry_checked_ms: 0,
            freshness_sent_ms: 0,
        }
    }

    /// Starts the process; `new_disk` becomes the disk id if the disk is blank or damaged.
    pub(crate) fn start(
        &mut self,
        machine_settings: &MachineSettings,
        new_disk: DiskId,
        now_ms: u64,
    ) -> Result<(), Report<ErrorKind>> {
        let settings = MemberSettings {
            bootstrap: true,
            seed: machine_settings.seed ^ (u64::from(self.id.0) << 32) ^ new_disk.0,
            snapshot_log_bytes: SNAPSHOT_LOG_BYTES,
            reserved_bytes: RESERVED_BYTES,
            safety: consensus_overrides(&machine_settings.rules_off),
            ledger_safety: ledger_overrides(&machine_settings.rules_off),
            ..MemberSettings::new("simulated", self.id, machine_settings.machines.clone())
        };
        let time = self.clock.read(now_ms);
        let files = Arc::new(self.disk.clone());
        let mut member = Member::open(settings, files, new_disk, time)?;
        let machines = machine_settings.machines.iter();
        let formats = machines.map(|machine| (*machine, Format::NEWEST));
        member.set_peer_formats(formats.collect());
        self.disk_id = Some(member.id().disk);
        self.member = Some(member);
        Ok(())
    }

    /// Id of the disk in the machine; `None` before the first start.
    pub(crate) fn disk_id(&self) -> Option<DiskId> {
        self.disk_id
    }

    /// Id of the running member.
    pub(crate) fn member_id(&self) -> Option<MemberId> {
        self.member.as_ref().map(Member::id)
    }

    /// Stops the process; the machine keeps running.
    pub(crate) fn stop_process(&mut self) {
        self.clear_process_state();
        self.disk.stop_process();
    }

    /// Stops the machine; unsynced writes are lost or torn.
    pub(crate) fn crash(&mut self) {
        self.clear_process_state();
        self.disk.crash();
    }

    /// Stops the machine and replaces its disk by a blank one.
    pub(crate) fn lose_disk(&mut self) {
        self.clear_process_state();
        self.disk.wipe();
        self.disk.clear_faults();
        self.disk_id = Some(BLANK_DISK);
    }

    fn clear_process_state(&mut self) {
        self.member = None;
        self.inbox.clear();
        self.calls.clear();
        self.attached.clear();
        self.expiry_call = None;
        self.lost_starts = LostStarts::default();
        self.settlements.clear();
        self.busy_until_ms = 0;
    }

    /// Sets the skew of the machine's clock.
    pub(crate) fn skew_clock(&mut self, now_ms: u64, wall_offset_ms: i64, rate_ppm: u64) {
        self.clock.read(now_ms);
        self.clock.wall_offset_ms = wall_offset_ms;
        self.clock.rate_ppm = rate_ppm;
    }

    /// Queues a message for the next processing step; drops it if the process is not running.
    pub(crate) fn receive(&mut self, envelope: Envelope) {
        if self.member.is_some() {
            self.inbox.push_back(envelope);
        }
    }

    /// Runs one processing step of the member.
    pub(crate) fn work(
        &mut self,
        now_ms: u64,
        tick: bool,
        engines: &mut Engines,
        random: &mut Pcg64Mcg,
    ) -> WorkResult {
        let time = self.clock.read(now_ms);
        let mut result = WorkResult::default();
        let syncs_before = self.disk.syncs();
        let Some(mut member) = self.member.take() else {
            return result;
        };
        while let Some(envelope) = self.inbox.pop_front() {
            self.handle_envelope(&mut member, envelope, &mut result);
        }
        if tick {
            member.tick(time);
            self.expire(&mut member, time);
            self.settle_lost_starts(&mut member, time, engines, random);
            self.send_freshness(&member, time, &mut result);
        }
        let flushed = member.flush();
        // Outputs from before a failure may have been sent, so they are delivered.
        for output in member.take_outputs() {
            self.carry_out(&member, output, &mut result);
        }
        match flushed {
            Ok(()) => self.member = Some(member),
            Err(report) => result.failure = Some(report),
        }
        result.syncs = self.disk.syncs() - syncs_before;
        result
    }

    fn handle_envelope(
        &mut self,
        member: &mut Member,
        envelope: Envelope,
        result: &mut WorkResult,
    ) {
        match (envelope.from, envelope.packet) {
            (Address::Control(machine), Packet::Peer(message)) => member.receive(machine, message),
            (Address::Actor(actor), Packet::Call { number, body }) => {
                let call = self.next_call_id();
                self.calls.insert(call, CallOwner { actor, number });
                member.call(call, body);
            }
            (
                Address::Actor(actor),
                Packet::Attach {
                    connection,
                    revision,
                },
            ) => {
                self.attach(member, actor, connection, revision, result);
            }
            _ => {}
        }
    }

    fn next_call_id(&mut self) -> CallId {
        self.next_call += 1;
        CallId(self.next_call)
    }

    /// On the leader, proposes to remove expired state if any is due.
    fn expire(&mut self, member: &mut Member, time: MemberTime) {
        let due = time.monotonic_ms >= self.expiry_checked_ms + EXPIRY_INTERVAL_MS;
        if !due || self.expiry_call.is_some() || !member.is_leader() {
            return;
        }
        self.expiry_checked_ms = time.monotonic_ms;
        if member.ledger().is_expiry_due(time.wall) {
            let call = self.next_call_id();
            self.expiry_call = Some(call);
            member.call(call, ControlCall::Propose(CommandBody::Expire));
        }
    }

    /// On the leader, asks engines about started items whose gateways were lost.
    fn settle_lost_starts(
        &mut self,
        member: &mut Member,
        time: MemberTime,
        engines: &mut Engines,
        random: &mut Pcg64Mcg,
    ) {
        if !member.is_leader() {
            self.lost_starts = LostStarts::default();
            return;
        }
        let now = Timestamp(time.monotonic_ms);
        let lost = member.ledger().lost_starts().collect();
        for start in self.lost_starts.due(now, lost) {
            let answer = start.request.as_ref();
            let answer = answer.map(|request| engines.withdraw(request, random));
            let Some(verdict) = self.lost_starts.answered(now, &start, answer) else {
                continue;
            };
            let call = self.next_call_id();
            let command = CommandBody::SettleStart {
                key: start.key.clone(),
                attempt: start.attempt,
                may_have_run: verdict.may_have_run(),
            };
            member.call(call, ControlCall::Propose(command));
            self.settlements.insert(call, (now, start));
        }
    }

    fn carry_out(&mut self, member: &Member, output: MemberOutput, result: &mut WorkResult) {
        match output {
            MemberOutput::Send { to, message } => {
                self.send(Address::Control(to), Packet::Peer(message), result);
            }
            MemberOutput::Answer { call, body } => self.answer(call, body, result),
            MemberOutput::Notice(notice) => {
                self.notify_gateways(member, &notice, result);
                result.notices.push(notice);
            }
        }
    }

    fn answer(&mut self, call: CallId, body: ControlAnswer, result: &mut WorkResult) {
        if self.expiry_call == Some(call) {
            self.expiry_call = None;
        }
        if let Some((now, start)) = self.settlements.remove(&call)
            && body != ControlAnswer::Outcome(Outcome::Done)
        {
            self.lost_starts.not_settled(now, &start);
        }
        if let Some(owner) = self.calls.remove(&call) {
            let number = owner.number;
            let packet = Packet::Answer { number, body };
            self.send(Address::Actor(owner.actor), packet, result);
        }
    }

    fn send(&self, to: Address, packet: Packet, result: &mut WorkResult) {
        result.sent.push(Envelope {
            from: Address::Control(self.id),
            to,
            packet,
        });
    }
}
