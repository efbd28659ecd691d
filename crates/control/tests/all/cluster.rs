//! Harness of members over virtual disks and a virtual network, in one thread.

use std::{collections::BTreeMap, sync::Arc};

use linnethitch_control::member::{Member, MemberNotice, MemberOutput, MemberSettings, MemberTime};
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, PeerMessage},
    command::{ApplyOutcome, CommandBody, Outcome},
    frame,
    ids::{CallId, ChangeId, DiskId, MachineId, MemberId, Revision, Timestamp},
    query::{Query, QueryAnswer},
};
use linnethitch_storage::VirtualDisk;

/// Milliseconds of one step of the virtual clock.
const STEP_MS: u64 = 10;
/// Rounds of message delivery within one step.
const ROUNDS_PER_STEP: usize = 8;
/// Wall-clock time at the start of a test, in milliseconds.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// A valid fleet file that contains the note.
pub(crate) fn fleet_file(note: &str) -> String {
    format!("# {note}\nname = \"test\"\n\n[[zone]]\nname = \"a\"\nregion = \"r\"\n")
}

struct Message {
    from: MachineId,
    to: MachineId,
    message: PeerMessage,
}

pub(crate) struct Machine {
    pub(crate) disk: VirtualDisk,
    pub(crate) member: Option<Member>,
    /// Whether the machine neither sends nor receives.
    pub(crate) isolated: bool,
}

pub(crate) struct Cluster {
    pub(crate) machines: BTreeMap<MachineId, Machine>,
    pub(crate) now_ms: u64,
    pub(crate) answers: BTreeMap<(MachineId, CallId), ControlAnswer>,
    pub(crate) notices: Vec<(MachineId, MemberNotice)>,
    pub(crate) snapshot_log_bytes: u64,
    /// The most bytes sent by one flush of a member.
    pub(crate) max_burst_bytes: usize,
    messages: Vec<Message>,
    next_call: u64,
    next_disk: u64,
}

impl Cluster {
    /// Started machines with blank disks, before the cluster starts.
    pub(crate) fn blank(size: u32) -> Self {
        Cluster::blank_with_snapshots(size, 64 * 1024 * 1024)
    }

    /// Started machines with blank disks that take a snapshot at the given size of the log.
    pub(crate) fn blank_with_snapshots(size: u32, snapshot_log_bytes: u64) -> Self {
        let machine = |number| {
            let machine = Machine {
                disk: VirtualDisk::new(u64::from(number)),
                member: None,
                isolated: false,
            };
            (MachineId(number), machine)
        };
        let mut cluster = Cluster {
            machines: (1..=size).map(machine).collect(),
            now_ms: 0,
            answers: BTreeMap::new(),
            notices: Vec::new(),
            snapshot_log_bytes,
            max_burst_bytes: 0,
            messages: Vec::new(),
            next_call: 0,
            next_disk: 100,
        };
        for number in 1..=size {
            cluster.start(number);
        }
        cluster
    }

    /// A running cluster with all machines as voters.
    pub(crate) fn formed(size: u32) -> Self {
        let mut cluster = Cluster::blank(size);
        cluster.run_until_all_vote();
        cluster
    }

    pub(crate) fn run_until_all_vote(&mut self) {
        self.run_until("all machines vote", |cluster| {
            cluster.voters().len() == cluster.machines.len()
        });
    }

    pub(crate) fn settings(&self, number: u32) -> MemberSettings {
        let machines = self.machines.keys().copied().collect();
        MemberSettings {
            bootstrap: true,
            seed: u64::from(number) * 7919,
            attach_address: format!("10.0.0.{number}:7000"),
            snapshot_log_bytes: self.snapshot_log_bytes,
            ..MemberSettings::new("test", MachineId(number), machines)
        }
    }

    pub(crate) fn time(&self) -> MemberTime {
        MemberTime {
            monotonic_ms: self.now_ms,
            wall: Timestamp(START_WALL_MS + self.now_ms),
        }
    }

    pub(crate) fn start(&mut self, number: u32) {
        self.next_disk += 1;
        let new_disk = DiskId(self.next_disk);
        let settings = self.settings(number);
        let time = self.time();
        let machine = self.machine(number);
        let files = Arc::new(machine.disk.clone());
        let member = Member::open(settings, files, new_disk, time).expect("the folder opens");
        machine.member = Some(member);
    }

    /// The process crashes; unsynced writes are lost.
    pub(crate) fn crash(&mut self, number: u32) {
        let machine = self.machine(number);
        machine.member = None;
        machine.disk.crash();
    }

    /// The machine restarts with a blank disk.
    pub(crate) fn lose_disk(&mut self, number: u32) {
        let machine = self.machine(number);
        machine.member = None;
        machine.disk.wipe();
        self.start(number);
    }

    pub(crate) fn machine(&mut self, number: u32) -> &mut Machine {
        self.machines
            .get_mut(&MachineId(number))
            .expect("a known machine")
    }

    pub(crate) fn member(&self, number: u32) -> &Member {
        let machine = &self.machines[&MachineId(number)];
        machine.member.as_ref().expect("the member runs")
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Member> {
        self.machines
            .values()
            .filter(|machine| !machine.isolated)
            .filter_map(|machine| machine.member.as_ref())
    }

    /// The leader of the highest term.
    pub(crate) fn leader(&self) -> Option<u32> {
        self.running()
            .filter(|member| member.is_leader())
            .max_by_key(|member| member.status().term)
            .map(|member| member.id().machine.0)
    }

    pub(crate) fn voters(&self) -> Vec<MemberId> {
        let leader = self.leader().map(|number| self.member(number).status());
        leader.map_or_else(Vec::new, |status| status.membership.voters)
    }

    /// Advances the virtual clock by one step.
    pub(crate) fn step(&mut self) {
        self.now_ms += STEP_MS;
        let time = self.time();
        for machine in self.machines.values_mut() {
            if let Some(member) = &mut machine.member {
                member.tick(time);
            }
        }
        for _ in 0..ROUNDS_PER_STEP {
            self.flush_all();
            for Message { from, to, message } in std::mem::take(&mut self.messages) {
                let from_isolated = self.machines[&from].isolated;
                let machine = self.machines.get_mut(&to).expect("a known machine");
                if let Some(member) = &mut machine.member
                    && !machine.isolated
                    && !from_isolated
                {
                    member.receive(from, message);
                }
            }
        }
    }

    fn flush_all(&mut self) {
        for (number, machine) in &mut self.machines {
            let Some(member) = &mut machine.member else {
                continue;
            };
            if let Err(report) = member.flush() {
                panic!("member {number} stopped: {report:?}");
            }
            let mut burst = 0;
            for output in member.take_outputs() {
                match output {
                    MemberOutput::Send { to, message } => {
                        burst += frame::encode(&message).expect("a frame").len();
                        self.messages.push(Message {
                            from: *number,
                            to,
                            message,
                        });
                    }
                    MemberOutput::Answer { call, body } => {
                        let earlier = self.answers.insert((*number, call), body);
                        assert_eq!(earlier, None, "a call was answered twice");
                    }
                    MemberOutput::Notice(notice) => self.notices.push((*number, notice)),
                }
            }
            self.max_burst_bytes = self.max_burst_bytes.max(burst);
        }
    }

    pub(crate) fn run_ms(&mut self, milliseconds: u64) {
        for _ in 0..milliseconds / STEP_MS {
            self.step();
        }
    }

    /// Runs until a condition holds; panics after a virtual minute.
    pub(crate) fn run_until(&mut self, what: &str, condition: impl Fn(&Cluster) -> bool) {
        for _ in 0..6_000 {
            if condition(self) {
                return;
            }
            self.step();
        }
        panic!("not reached within a virtual minute: {what}");
    }

    pub(crate) fn start_call(&mut self, number: u32, body: ControlCall) -> CallId {
        self.next_call += 1;
        let call = CallId(self.next_call);
        let member = self.machine(number).member.as_mut();
        member.expect("the member runs").call(call, body);
        call
    }

    pub(crate) fn answer(&mut self, number: u32, call: CallId) -> ControlAnswer {
        let key = (MachineId(number), call);
        self.run_until("an answer", |cluster| cluster.answers.contains_key(&key));
        self.answers[&key].clone()
    }

    pub(crate) fn call(&mut self, number: u32, body: ControlCall) -> ControlAnswer {
        let call = self.start_call(number, body);
        self.answer(number, call)
    }

    pub(crate) fn apply(
        &mut self,
        number: u32,
        change: &str,
        expected: u64,
        note: &str,
    ) -> ControlAnswer {
        let body = apply_command(change, expected, note);
        self.call(number, ControlCall::Propose(body))
    }

    /// Applies changes one after the other, from revision `from` to revision `to`.
    pub(crate) fn apply_many(&mut self, number: u32, from: u64, to: u64) {
        for revision in from..to {
            let change = format!("change-{revision}");
            let answer = self.apply(number, &change, revision, &change);
            assert_eq!(answer, accepted(revision + 1));
        }
    }

    /// The revision and text of the configuration, read through a member.
    pub(crate) fn configuration(&mut self, number: u32) -> (Revision, String) {
        let answer = self.call(number, ControlCall::Query(Query::Configuration));
        match answer {
            ControlAnswer::Answer(QueryAnswer::Configuration { revision, content }) => {
                (revision, content)
            }
            other => panic!("no configuration: {other:?}"),
        }
    }
}

pub(crate) fn apply_command(change: &str, expected: u64, note: &str) -> CommandBody {
    CommandBody::ApplyConfiguration {
        change: ChangeId::from(change),
        expected: Revision(expected),
        content: fleet_file(note),
    }
}

pub(crate) fn accepted(revision: u64) -> ControlAnswer {
    let outcome = ApplyOutcome::Accepted(Revision(revision));
    ControlAnswer::Outcome(Outcome::Configuration(outcome))
}

pub(crate) fn conflict(revision: u64) -> ControlAnswer {
    let outcome = ApplyOutcome::Conflict(Revision(revision));
    ControlAnswer::Outcome(Outcome::Configuration(outcome))
}
