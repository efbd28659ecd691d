//! Control members on threads of this process, with real folders and real
//! syncs, and channels in place of the network.

use std::{
    collections::BTreeMap,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{Receiver, RecvTimeoutError, Sender, channel},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use error_stack::{Report, ResultExt};
use linnethitch_consensus::TICK_MILLISECONDS;
use linnethitch_control::member::{Member, MemberOutput, MemberSettings, MemberTime, MemberView};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall, PeerMessage},
    ids::{CallId, DiskId, MachineId, Timestamp},
};
use linnethitch_storage::RealFileSystem;

/// Name of the cluster that is measured.
const CLUSTER: &str = "measured";
/// Maximum number of inputs that share one sync, as in a control process.
const MAX_INPUTS_PER_SYNC: usize = 512;

enum Input {
    Peer {
        from: MachineId,
        message: PeerMessage,
    },
    Call {
        call: CallId,
        body: ControlCall,
    },
}

/// An answer and the time at which it was given.
pub(super) struct Answered {
    pub(super) call: CallId,
    pub(super) body: ControlAnswer,
    pub(super) at: Instant,
}

/// Input channels of the running members; messages to a stopped member are not delivered.
type Network = BTreeMap<MachineId, Sender<Input>>;

struct RunningMember {
    inputs: Sender<Input>,
    killed: Arc<AtomicBool>,
    view: Arc<parking_lot::Mutex<MemberView>>,
    thread: JoinHandle<Result<(), Report<ErrorKind>>>,
}

/// A group of members.
pub(super) struct Group {
    folder: PathBuf,
    machines: Vec<MachineId>,
    network: Arc<parking_lot::Mutex<Network>>,
    running: BTreeMap<MachineId, RunningMember>,
    answers: Receiver<Answered>,
    answered: Sender<Answered>,
    started: Instant,
    last_call: u64,
}

impl Group {
    /// Starts a new group on blank folders.
    ///
    /// # Errors
    /// `Io` when a folder cannot be made or opened.
    pub(super) fn start(folder: &Path, size: u32) -> Result<Self, Report<ErrorKind>> {
        let (answered, answers) = channel();
        let mut group = Group {
            folder: folder.to_owned(),
            machines: (1..=size).map(MachineId).collect(),
            network: Arc::default(),
            running: BTreeMap::new(),
            answers,
            answered,
            started: Instant::now(),
            last_call: 0,
        };
        for machine in group.machines.clone() {
            group.start_member(machine)?;
        }
        Ok(group)
    }

    /// Starts a member on its folder.
    ///
    /// # Errors
    /// `Io` when the folder cannot be made or opened.
    pub(super) fn start_member(&mut self, machine: MachineId) -> Result<(), Report<ErrorKind>> {
        let path = self.folder.join(format!("member-{machine}"));
        std::fs::create_dir_all(&path).change_context(ErrorKind::Io)?;
        let (inputs, received) = channel();
        self.network.lock().insert(machine, inputs.clone());
        let killed = Arc::new(AtomicBool::new(false));
        let view = Arc::new(parking_lot::Mutex::new(MemberView::default()));
        let settings = MemberSettings {
            bootstrap: true,
            seed: u64::from(machine.0),
            ..MemberSettings::new(CLUSTER, machine, self.machines.clone())
        };
        let clock = Clock {
            started: self.started,
        };
        let files = Arc::new(RealFileSystem::new(&path)?);
        let disk = DiskId(u64::from(machine.0));
        let member = Member::open(settings, files, disk, clock.now())?;
        let thread = MemberThread {
            member,
            machine,
            inputs: received,
            network: Arc::clone(&self.network),
            answered: self.answered.clone(),
            killed: Arc::clone(&killed),
            view: Arc::clone(&view),
            clock,
        };
        let thread = thread::spawn(move || thread.run());
        let running = RunningMember {
            inputs,
            killed,
            view,
            thread,
        };
        self.running.insert(machine, running);
        Ok(())
    }

    /// Ends a member's thread without notifying the other members.
    ///
    /// # Errors
    /// The error with which the member's thread had already ended.
    pub(super) fn kill(&mut self, machine: MachineId) -> Result<(), Report<ErrorKind>> {
        self.network.lock().remove(&machine);
        let Some(member) = self.running.remove(&machine) else {
            return Ok(());
        };
        member.killed.store(true, Ordering::Relaxed);
        drop(member.inputs);
        member
            .thread
            .join()
            .unwrap_or_else(|_| Err(Report::new(ErrorKind::Internal)))
    }

    /// Ends all members.
    ///
    /// # Errors
    /// The error with which a member's thread had already ended.
    pub(super) fn stop(mut self) -> Result<(), Report<ErrorKind>> {
        for machine in self.machines.clone() {
            self.kill(machine)?;
        }
        Ok(())
    }

    /// Waits until there is a leader, all disks are voters and all members have applied the same
    /// entries; returns the leader.
    ///
    /// # Errors
    /// `Internal` when this takes longer than a minute.
    pub(super) fn wait_until_complete(&self) -> Result<MachineId, Report<ErrorKind>> {
        let deadline = Instant::now() + Duration::from_secs(60);
        while Instant::now() < deadline {
            if let Some(leader) = self.leader_of_complete_group() {
                return Ok(leader);
            }
            thread::sleep(Duration::from_millis(10));
        }
        Err(Report::new(ErrorKind::Internal)
            .attach("no leader with all members up to date within a minute"))
    }

    fn leader_of_complete_group(&self) -> Option<MachineId> {
        let views = self.running.iter();
        let views: Vec<_> = views
            .map(|(machine, member)| (*machine, member.view.lock().clone()))
            .collect();
        let highest = views.iter().map(|(_, view)| view.applied).max()?;
        let all_running = views.len() == self.machines.len();
        let caught_up = views.iter().all(|(_, view)| view.applied == highest);
        let (leader, view) = views.iter().find(|(_, view)| view.leads)?;
        let complete = all_running && caught_up && view.voters == self.machines.len();
        complete.then_some(*leader)
    }

    /// Some running member other than the given one.
    pub(super) fn other_than(&self, machine: MachineId) -> MachineId {
        let others = self.running.keys().copied();
        others
            .filter(|other| *other != machine)
            .min()
            .unwrap_or(machine)
    }

    /// Sends a call to a member.
    pub(super) fn call(&mut self, machine: MachineId, body: ControlCall) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        if let Some(member) = self.running.get(&machine) {
            // A member whose thread has ended does not answer.
            let _ = member.inputs.send(Input::Call { call, body });
        }
        call
    }

    /// The next answer of any member.
    ///
    /// # Errors
    /// `Internal` when none arrives within ten seconds.
    pub(super) fn next_answer(&self) -> Result<Answered, Report<ErrorKind>> {
        self.answers
            .recv_timeout(Duration::from_secs(10))
            .change_context(ErrorKind::Internal)
            .attach("no answer within ten seconds")
    }
}

#[derive(Clone, Copy)]
struct Clock {
    started: Instant,
}

impl Clock {
    fn now(self) -> MemberTime {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        MemberTime {
            monotonic_ms: self.started.elapsed().as_millis() as u64,
            wall: Timestamp(since_epoch.unwrap_or_default().as_millis() as u64),
        }
    }
}

struct MemberThread {
    member: Member,
    machine: MachineId,
    inputs: Receiver<Input>,
    network: Arc<parking_lot::Mutex<Network>>,
    answered: Sender<Answered>,
    killed: Arc<AtomicBool>,
    view: Arc<parking_lot::Mutex<MemberView>>,
    clock: Clock,
}

impl MemberThread {
    fn run(mut self) -> Result<(), Report<ErrorKind>> {
        let tick = Duration::from_millis(TICK_MILLISECONDS);
        let mut next_tick = Instant::now();
        while !self.killed.load(Ordering::Relaxed) {
            self.receive_inputs(next_tick);
            if Instant::now() >= next_tick {
                next_tick = Instant::now() + tick;
                self.member.tick(self.clock.now());
                *self.view.lock() = self.member.view();
            }
            self.member.flush()?;
            self.handle_outputs();
        }
        Ok(())
    }

    fn receive_inputs(&mut self, until: Instant) {
        let wait = until.saturating_duration_since(Instant::now());
        match self.inputs.recv_timeout(wait) {
            Ok(input) => self.handle_input(input),
            Err(RecvTimeoutError::Timeout | RecvTimeoutError::Disconnected) => return,
        }
        for _ in 1..MAX_INPUTS_PER_SYNC {
            match self.inputs.try_recv() {
                Ok(input) => self.handle_input(input),
                Err(_) => return,
            }
        }
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Peer { from, message } => self.member.receive(from, message),
            Input::Call { call, body } => self.member.call(call, body),
        }
    }

    fn handle_outputs(&mut self) {
        for output in self.member.take_outputs() {
            match output {
                MemberOutput::Send { to, message } => self.send(to, message),
                MemberOutput::Answer { call, body } => {
                    let at = Instant::now();
                    // Nothing receives answers once the measurement is over.
                    let _ = self.answered.send(Answered { call, body, at });
                }
                MemberOutput::Notice(_) => {}
            }
        }
    }

    fn send(&mut self, to: MachineId, message: PeerMessage) {
        let receiver = self.network.lock().get(&to).cloned();
        let Some(receiver) = receiver else {
            return self.member.undelivered(&message);
        };
        let from = self.machine;
        if let Err(lost) = receiver.send(Input::Peer { from, message })
            && let Input::Peer { message, .. } = lost.0
        {
            self.member.undelivered(&message);
        }
    }
}
