//! The phases of a run, one after the other.

use std::{
    thread,
    time::{Duration, Instant},
};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::control_only::ControlOnlyGateway;
use slog::Logger;

use super::{
    ScaleSettings,
    back_ends::BackEnds,
    evaluation::{CHANGES, MEBI, Usages, checks, seconds, step_of, tenant_step_of},
    hollow_fleet::HollowFleet,
    operator::{Operator, Status},
    processes::{ControlMembers, Member, start_gateways},
    results::{Events, ScaleResults, Step, TenantStep},
};
use crate::fleet::FleetPlan;

/// Longest wait for the fleet to do what it should.
const LIMIT: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);
/// Time for a fleet to become quiet before a measurement.
const SETTLE: Duration = Duration::from_secs(2);
/// Hollow gateways that start with blank folders at once.
const STARTED_AT_ONCE: usize = 20;
/// Shares of the tenants that are measured, in percent.
const TENANT_PERCENTS: [u64; 3] = [0, 33, 100];

/// A running fleet and what was found so far.
pub(super) struct Phases<'a> {
    settings: &'a ScaleSettings,
    logger: &'a Logger,
    say: &'a dyn Fn(&str),
    hollow: HollowFleet,
    real: Vec<Member>,
    control: ControlMembers,
    operator: Operator,
    plan: FleetPlan,
    revision: u64,
}

impl<'a> Phases<'a> {
    /// Starts control and the real gateways.
    pub(super) fn new(
        settings: &'a ScaleSettings,
        back_ends: &BackEnds,
        logger: &'a Logger,
        say: &'a dyn Fn(&str),
    ) -> Result<Self, Report<ErrorKind>> {
        let folder = &settings.output;
        let (program, plan) = (&settings.program, &settings.fleet);
        let control =
            ControlMembers::start(folder, program, settings.members, plan, back_ends.platform)?;
        let operator = Operator::new(&control.operators)?;
        let mut phases = Phases {
            settings,
            logger,
            say,
            hollow: HollowFleet::new(back_ends.replicas.clone())?,
            real: Vec::new(),
            control,
            operator,
            plan: settings.fleet.with_tenants(0),
            revision: 0,
        };
        phases.wait_for("all control members vote", |status| {
            let voters = status.members.iter().filter(|member| member.voter);
            voters.count() == settings.members as usize
        })?;
        let (real, attach) = (settings.real_gateways, &phases.control.attach);
        phases.real = start_gateways(folder, program, real, plan, attach)?;
        phases.say("control members and real gateways run");
        Ok(phases)
    }

    /// Runs all phases.
    pub(super) fn run(mut self) -> Result<ScaleResults, Report<ErrorKind>> {
        let mut tenant_steps = Vec::new();
        for percent in TENANT_PERCENTS {
            tenant_steps.push(self.tenants(self.settings.fleet.tenants * percent / 100)?);
        }
        self.wait_for("control knows all replicas", {
            let replicas = self.settings.fleet.replicas as usize;
            move |status| status.replicas.len() >= replicas
        })?;
        let mut steps = Vec::new();
        for gateways in &self.settings.steps {
            steps.push(self.step(*gateways)?);
        }
        let events = self.events()?;
        Ok(ScaleResults {
            replicas: self.settings.fleet.replicas,
            members: self.settings.members,
            checks: checks(&tenant_steps, &steps, &events, self.peak_of_real()?),
            tenant_steps,
            steps,
            events,
        })
    }

    /// Costs of a change with so many tenants, to real gateways and members.
    fn tenants(&mut self, tenants: u64) -> Result<TenantStep, Report<ErrorKind>> {
        self.plan = self.settings.fleet.with_tenants(tenants);
        self.change()?;
        self.wait_in_force()?;
        let before = self.usages()?;
        for _ in 0..CHANGES {
            self.change()?;
            self.wait_in_force()?;
        }
        let after = self.usages()?;
        let leader = self.leader()?;
        let file_bytes = self.plan.text(self.revision).len() as u64;
        let step = tenant_step_of(tenants, file_bytes, &before, &after, leader);
        self.say(&format!(
            "{tenants} tenants: a change takes {:.0} ms of a gateway's processor, its memory is {:.0} MiB",
            step.gateway_change_seconds * 1e3,
            step.gateway_memory_bytes / MEBI
        ));
        Ok(step)
    }

    /// Grows to so many gateways and measures.
    fn step(&mut self, gateways: usize) -> Result<Step, Report<ErrorKind>> {
        let hollow = gateways.saturating_sub(self.real.len());
        let folder = &self.settings.output;
        let attach = &self.control.attach;
        while self.hollow.len() < hollow {
            let next = hollow.min(self.hollow.len() + STARTED_AT_ONCE);
            let (plan, logger) = (&self.plan, self.logger);
            self.hollow.grow(next, folder, plan, attach, logger)?;
            let revision = self.revision;
            let started = |gateway: &ControlOnlyGateway| gateway.revision().0 >= revision;
            let waited = self.hollow.wait_until_all(LIMIT, started);
            waited.map_err(|left| gave_up(&format!("{left} gateways start")))?;
        }
        thread::sleep(SETTLE);
        let before = self.usages()?;
        thread::sleep(Duration::from_secs(self.settings.steady_seconds));
        let after = self.usages()?;
        let leader = self.leader()?;
        let mut slowest: f64 = 0.0;
        for _ in 0..CHANGES {
            let accepted = self.change()?;
            slowest = slowest.max(seconds(self.wait_in_force()? - accepted));
        }
        let step = step_of(gateways as u64, &before, &after, leader, slowest);
        self.say(&format!(
            "{gateways} gateways: {:.0} B/s and {:.3} % of a core a node, a change in force everywhere in {:.2} s",
            step.hollow.bytes_per_second,
            step.hollow.cores * 100.0,
            step.change_seconds
        ));
        Ok(step)
    }

    fn events(&mut self) -> Result<Events, Report<ErrorKind>> {
        let mut events = Events::default();
        self.burst(&mut events)?;
        self.say(&format!(
            "burst: {} changes accepted in {:.2} s, the slowest in force everywhere after {:.2} s",
            events.burst_changes, events.burst_accepted_seconds, events.burst_slowest_seconds
        ));
        let leader = self.leader()?;
        let follower = (leader + 1) % self.control.members.len();
        events.follower_killed_seconds = self.kill_and_wait(follower)?;
        self.control.members[follower].start()?;
        self.wait_for("the follower votes again", |status| status.revision > 0)?;
        thread::sleep(SETTLE);
        self.kill_leader(&mut events)?;
        self.restart_control(&mut events)?;
        self.say(&format!(
            "all gateways attached again: {:.2} s after a follower's death, {:.2} s after the leader's, {:.2} s after a restart of all members",
            events.follower_killed_seconds,
            events.leader_killed_seconds,
            events.control_restarted_seconds
        ));
        Ok(events)
    }

    /// Applies many changes, each as soon as the one before it is accepted.
    fn burst(&mut self, events: &mut Events) -> Result<(), Report<ErrorKind>> {
        let started = Instant::now();
        let mut open: Vec<(u64, Instant)> = Vec::new();
        let mut slowest = Duration::ZERO;
        for _ in 0..self.settings.burst {
            let accepted = self.change()?;
            open.push((self.revision, accepted));
            slowest = slowest.max(self.close(&mut open));
        }
        let accepted = Instant::now();
        events.burst_changes = self.settings.burst;
        events.burst_accepted_seconds = seconds(accepted - started);
        while !open.is_empty() && accepted.elapsed() < LIMIT {
            slowest = slowest.max(self.close(&mut open));
            thread::sleep(PAUSE);
        }
        if !open.is_empty() {
            return Err(gave_up("the burst is in force everywhere"));
        }
        self.wait_in_force()?;
        events.burst_in_force_seconds = seconds(accepted.elapsed());
        events.burst_slowest_seconds = seconds(slowest);
        Ok(())
    }

    /// Takes changes out that are in force in every hollow gateway; the longest that one took.
    fn close(&self, open: &mut Vec<(u64, Instant)>) -> Duration {
        let mut slowest = Duration::ZERO;
        open.retain(|(revision, accepted)| {
            let behind = self
                .hollow
                .count(|gateway| gateway.revision().0 < *revision);
            if behind == 0 {
                slowest = slowest.max(accepted.elapsed());
            }
            behind > 0
        });
        slowest
    }

    /// Kills a member; how long until all gateways are attached, to others where it was theirs.
    fn kill_and_wait(&mut self, member: usize) -> Result<f64, Report<ErrorKind>> {
        let killed = Instant::now();
        self.control.members[member].kill();
        // A gateway notices within its next read; give it that time before counting.
        thread::sleep(PAUSE);
        Ok(seconds(self.wait_attached("attach again")? - killed))
    }

    fn kill_leader(&mut self, events: &mut Events) -> Result<(), Report<ErrorKind>> {
        let leader = self.leader()?;
        let killed = Instant::now();
        self.control.members[leader].kill();
        thread::sleep(PAUSE);
        let accepted = self.change()?;
        events.leader_killed_accepted_seconds = seconds(accepted - killed);
        self.wait_attached("attach again")?;
        events.leader_killed_seconds = seconds(killed.elapsed());
        self.control.members[leader].start()?;
        thread::sleep(SETTLE);
        Ok(())
    }

    fn restart_control(&mut self, events: &mut Events) -> Result<(), Report<ErrorKind>> {
        let killed = Instant::now();
        for member in &mut self.control.members {
            member.kill();
        }
        for member in &mut self.control.members {
            member.start()?;
        }
        thread::sleep(PAUSE);
        let back = self.hollow.wait_until_all(LIMIT, |gateway| {
            gateway.is_attached() && gateway.has_session()
        });
        let back = back.map_err(|left| gave_up(&format!("{left} gateways attach again")))?;
        events.control_restarted_seconds = seconds(back - killed);
        Ok(())
    }

    /// Applies a file that differs in one tenant.
    fn change(&mut self) -> Result<Instant, Report<ErrorKind>> {
        let text = self.plan.text(self.revision + 1);
        let (revision, accepted) = self.operator.apply(self.revision, &text)?;
        self.revision = revision;
        Ok(accepted)
    }

    /// Waits until the newest revision is in force in every gateway, real ones too.
    fn wait_in_force(&mut self) -> Result<Instant, Report<ErrorKind>> {
        let revision = self.revision;
        let hollow = self
            .hollow
            .wait_until_all(LIMIT, |gateway| gateway.revision().0 >= revision)
            .map_err(|left| gave_up(&format!("revision {revision} reaches {left} gateways")))?;
        let real: Vec<String> = self.real.iter().map(|member| member.name.clone()).collect();
        let mut confirmed = hollow;
        self.wait_for("the real gateways confirm", |status| {
            confirmed = Instant::now();
            real.iter()
                .all(|name| has_confirmed(status, name, revision))
        })?;
        Ok(confirmed.max(hollow))
    }

    fn wait_attached(&self, what: &str) -> Result<Instant, Report<ErrorKind>> {
        let waited = self
            .hollow
            .wait_until_all(LIMIT, ControlOnlyGateway::is_attached);
        waited.map_err(|left| gave_up(&format!("{left} gateways {what}")))
    }

    fn wait_for(
        &mut self,
        what: &str,
        mut holds: impl FnMut(&Status) -> bool,
    ) -> Result<(), Report<ErrorKind>> {
        let deadline = Instant::now() + LIMIT;
        while !holds(&self.operator.status()?) {
            if Instant::now() >= deadline {
                return Err(gave_up(what));
            }
            thread::sleep(PAUSE);
        }
        Ok(())
    }

    /// The place of the leader among the members.
    fn leader(&mut self) -> Result<usize, Report<ErrorKind>> {
        let status = self.operator.status()?;
        let leader = status.members.iter().find(|member| member.leader);
        let leader = leader.ok_or_else(|| gave_up("a leader is known"))?;
        Ok(leader.machine as usize - 1)
    }

    fn usages(&self) -> Result<Usages, Report<ErrorKind>> {
        let members = &self.control.members;
        Ok(Usages {
            at: Instant::now(),
            hollow: self.hollow.usage()?,
            real: self
                .real
                .iter()
                .map(Member::usage)
                .collect::<Result<_, _>>()?,
            control: members
                .iter()
                .map(Member::usage)
                .collect::<Result<_, _>>()?,
            control_bytes: (0..members.len())
                .map(|member| self.operator.member_bytes(member))
                .collect::<Result<_, _>>()?,
        })
    }

    fn peak_of_real(&self) -> Result<f64, Report<ErrorKind>> {
        let mut peak: f64 = 0.0;
        for member in &self.real {
            peak = peak.max(member.usage()?.peak_bytes as f64);
        }
        Ok(peak)
    }

    fn say(&self, line: &str) {
        (self.say)(line);
    }
}

fn has_confirmed(status: &Status, name: &str, revision: u64) -> bool {
    let gateway = status.gateways.iter().find(|known| known.gateway == name);
    gateway.is_some_and(|known| known.revision >= revision)
}

fn gave_up(what: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::DeadlineExceeded).attach(format!("gave up waiting: {what}"))
}
