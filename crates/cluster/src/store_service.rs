//! The service of the job store's group.

use linnethitch_group::{CallFailure, GroupMember};
use linnethitch_job_store::{
    AgeClock, Dispatcher, JobSpec, JobStore, QueueGate, StoreAnswer, StoreCall, StoreCommand,
    StoreReply, TenantJob,
};

use linnethitch_protocol::{format::Format, ids::MachineId};
use tokio::sync::watch;

use crate::{
    driver::{Begin, GroupService, Now},
    message::StoreGroupView,
};

/// The group as seen by one of its members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct LocalGroupView {
    /// Voters and learners in this member's log.
    pub(crate) members: Vec<MachineId>,
    /// What a leader reports to control; `None` on other members.
    pub(crate) leader_report: Option<StoreGroupView>,
}

/// Carries out the job store's calls.
pub(crate) struct StoreService {
    dispatcher: Dispatcher,
    gate: QueueGate,
    /// Maximum memory of the items of all jobs, in bytes.
    max_item_bytes: u64,
    is_leading: bool,
    age_clock: AgeClock,
    /// Jobs are retained for this long after they were accepted, in milliseconds.
    retention_ms: u64,
    group_view: watch::Sender<LocalGroupView>,
}

impl StoreService {
    pub(crate) fn new(
        retention_ms: u64,
        max_item_bytes: u64,
        group_view: watch::Sender<LocalGroupView>,
    ) -> Self {
        StoreService {
            dispatcher: Dispatcher::default(),
            gate: QueueGate::new(max_item_bytes),
            max_item_bytes,
            is_leading: false,
            age_clock: AgeClock::default(),
            retention_ms,
            group_view,
        }
    }

    fn work(&mut self, member: &GroupMember<JobStore>, call: &StoreCall, now: Now) -> StoreReply {
        let StoreCall::Work {
            gateway,
            running,
            max_items,
            item_ms,
            excluded,
        } = call
        else {
            return StoreReply::Refused;
        };
        if !member.is_leader() {
            return not_leader(member);
        }
        self.begin_leading(now);
        let store = member.state();
        let stop = self
            .dispatcher
            .renew(store, gateway, running, now.steady_ms);
        self.dispatcher.set_excluded_work(gateway, excluded);
        let begin = self
            .dispatcher
            .lease(store, gateway, *max_items, *item_ms, now.steady_ms);
        StoreReply::Work { begin, stop }
    }

    /// The command that adds elapsed time to the age of jobs.
    fn age_command(&self, elapsed_ms: u64) -> Option<Vec<u8>> {
        let command = StoreCommand::Pass {
            elapsed_ms,
            kept_ms: self.retention_ms,
        };
        // Time that is not counted makes jobs younger than they are, which is safe.
        command.to_stored().ok()
    }

    /// The command for the time that must be counted before a job is accepted.
    fn age_command_before_job(
        &mut self,
        member: &GroupMember<JobStore>,
        now: Now,
    ) -> Option<Vec<u8>> {
        let is_empty = member.state().is_empty();
        let interval_ms = self
            .age_clock
            .interval_before_job(now.steady_ms, is_empty)?;
        self.age_command(interval_ms)
    }

    /// Resets the leader's state if this member has just become the leader.
    fn begin_leading(&mut self, now: Now) {
        if !self.is_leading {
            self.is_leading = true;
            self.dispatcher = Dispatcher::for_new_leader(now.steady_ms);
            self.gate = QueueGate::new(self.max_item_bytes);
        }
    }
}

fn results(store: &JobStore, job: &str, since: u32, most_bytes: u32) -> StoreReply {
    match store.results(job, since, most_bytes) {
        Ok(page) => page.map_or(StoreReply::NotFound, StoreReply::Results),
        Err(_) => StoreReply::Refused,
    }
}

/// Results that this member has stored, whether it is the leader or not; refused if fewer than the
/// required number are stored.
fn local_results(store: &JobStore, call: &StoreCall, required_count: u32) -> StoreReply {
    let StoreCall::ResultsHeld {
        job,
        tenant,
        since,
        most_bytes,
        ..
    } = call
    else {
        return StoreReply::Refused;
    };
    let stored = store.listed(job).map_or(0, |(_, listed)| listed);
    if stored < required_count || !store.is_visible(job, tenant.as_deref()) {
        return StoreReply::Refused;
    }
    results(store, job, *since, *most_bytes)
}

/// Begins a call with its command in the stored format, after an optional command that precedes it.
fn begin(first: Option<Vec<u8>>, command: &StoreCommand, format: Format) -> Begin<StoreReply> {
    match command.to_stored_in(format) {
        Ok(command) => Begin::Propose { first, command },
        Err(_) => Begin::Reply(StoreReply::Refused),
    }
}

fn submission(job: JobSpec, tenant: Option<String>) -> StoreCommand {
    match tenant {
        None => StoreCommand::Submit(job),
        Some(tenant) => StoreCommand::SubmitFor(Box::new(TenantJob { tenant, job })),
    }
}

fn not_leader(member: &GroupMember<JobStore>) -> StoreReply {
    StoreReply::NotLeader(member.leader().map(|leader| leader.machine.0))
}

impl GroupService for StoreService {
    type State = JobStore;
    type Call = StoreCall;
    type Reply = StoreReply;

    fn begin(
        &mut self,
        member: &GroupMember<JobStore>,
        call: &StoreCall,
        now: Now,
    ) -> Begin<StoreReply> {
        let command = match call {
            StoreCall::Work { .. } => return Begin::Reply(self.work(member, call, now)),
            StoreCall::ResultsHeld { listed, .. } => {
                return Begin::Reply(local_results(member.state(), call, *listed));
            }
            StoreCall::Results { .. } | StoreCall::Listed { .. } | StoreCall::Body { .. } => {
                return Begin::Read;
            }
            StoreCall::Submit { job, tenant, bound } => {
                let is_leader = member.is_leader();
                let bound = bound.as_ref();
                if is_leader && !self.gate.admits(member.state(), job, bound, now.steady_ms) {
                    return Begin::Reply(StoreReply::QueueFull);
                }
                let first = is_leader
                    .then(|| self.age_command_before_job(member, now))
                    .flatten();
                let command = submission(job.clone(), tenant.clone());
                return begin(first, &command, now.format);
            }
            StoreCall::Report { item, outcome } => StoreCommand::Report {
                item: item.clone(),
                outcome: outcome.clone(),
            },
            StoreCall::End { job, tenant } => match tenant {
                None => StoreCommand::End { job: job.clone() },
                Some(tenant) => StoreCommand::EndFor {
                    job: job.clone(),
                    tenant: tenant.clone(),
                },
            },
            StoreCall::Progress(progress) => StoreCommand::KeepProgress(progress.clone()),
            StoreCall::Finish(last) => StoreCommand::FinishRun(Box::new(last.clone())),
        };
        begin(None, &command, now.format)
    }

    fn applied(
        &mut self,
        _: &JobStore,
        call: &StoreCall,
        answer: StoreAnswer,
        now: Now,
    ) -> StoreReply {
        match call {
            StoreCall::Report { item, .. } => self.dispatcher.release(item, now.steady_ms),
            StoreCall::Finish(last) if answer == StoreAnswer::Done => {
                self.dispatcher.release(&last.progress.item, now.steady_ms);
            }
            _ => {}
        }
        match answer {
            StoreAnswer::Done => StoreReply::Done,
            StoreAnswer::UnknownJob => StoreReply::NotFound,
            StoreAnswer::OtherTenant => StoreReply::OtherTenant,
            StoreAnswer::ReportAgain(items) => StoreReply::ReportAgain(items),
        }
    }

    fn read(&mut self, store: &JobStore, call: &StoreCall) -> StoreReply {
        match call {
            StoreCall::Results { job, tenant, .. }
            | StoreCall::Listed { job, tenant }
            | StoreCall::Body { job, tenant, .. }
                if !store.is_visible(job, tenant.as_deref()) =>
            {
                StoreReply::NotFound
            }
            StoreCall::Results {
                job,
                since,
                most_bytes,
                ..
            } => results(store, job, *since, *most_bytes),
            StoreCall::Listed { job, .. } => {
                let listed = store.listed(job);
                listed.map_or(StoreReply::NotFound, |(total, listed)| StoreReply::Listed {
                    total,
                    listed,
                })
            }
            StoreCall::Body { job, item, .. } => store
                .body(job, item)
                .map_or(StoreReply::NotFound, |body| StoreReply::Body(body.to_vec())),
            _ => StoreReply::Refused,
        }
    }

    fn failed(&self, failure: CallFailure) -> StoreReply {
        match failure {
            CallFailure::NotLeader(leader) => {
                StoreReply::NotLeader(leader.map(|leader| leader.machine.0))
            }
            CallFailure::Overloaded | CallFailure::TooLarge | CallFailure::Replaced => {
                StoreReply::Refused
            }
            CallFailure::Unknown => StoreReply::Unknown,
        }
    }

    fn run_maintenance(&mut self, member: &GroupMember<JobStore>, now: Now) -> Vec<Vec<u8>> {
        self.begin_leading(now);
        let is_empty = member.state().is_empty();
        let interval_ms = self.age_clock.interval_due(now.steady_ms, is_empty);
        interval_ms
            .and_then(|interval_ms| self.age_command(interval_ms))
            .into_iter()
            .collect()
    }

    fn raise_format(&self, format: Format) -> Option<Vec<u8>> {
        StoreCommand::raise_format(format).ok()
    }

    fn flushed(&mut self, member: &GroupMember<JobStore>, _: Now) {
        if !member.is_leader() {
            self.is_leading = false;
            self.age_clock.stop();
        }
        let group_view = local_group_view(member);
        self.group_view.send_if_modified(|current| {
            let is_change = *current != group_view;
            *current = group_view;
            is_change
        });
    }
}

fn local_group_view(member: &GroupMember<JobStore>) -> LocalGroupView {
    let membership = member.membership();
    let all = membership.voters.iter().chain(&membership.learners);
    let members: Vec<MachineId> = all.map(|member| member.machine).collect();
    let leader_report = member.is_leader().then(|| {
        let status = member.status();
        let healthy = status.peers.iter().filter(|peer| {
            peer.voter && peer.member != status.id && peer.ticks_since_contact < HEALTHY_TICKS
        });
        StoreGroupView {
            term: status.term,
            machines: members.clone(),
            healthy_voters: healthy.count() as u32 + 1,
        }
    });
    LocalGroupView {
        members,
        leader_report,
    }
}

/// A voter that had contact within this many ticks is healthy.
const HEALTHY_TICKS: u32 = 12;
