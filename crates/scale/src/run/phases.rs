//! Runs the phases of a scale run in sequence.

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
    control_only_fleet::ControlOnlyFleet,
    evaluation::{
        CHANGES_PER_STEP, MEBI, UsageSample, check_budgets, evaluate_gateway_step,
        evaluate_tenant_step, seconds,
    },
    operator::{Operator, Status},
    processes::{ControlMembers, MemberProcess, start_real_gateways},
    results::{Events, GatewayStep, ScaleResults, TenantStep},
};
use crate::fleet::FleetPlan;

/// Time-out for the fleet to reach an expected state.
const STATE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the fleet to become idle before a measurement.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Control-only gateways with empty data folders that start at the same time.
const CONCURRENT_STARTS: usize = 20;
/// Numbers of tenants to measure, in percent of the full number.
const TENANT_PERCENTS: [u64; 3] = [0, 33, 100];

/// A running fleet and the state of the run.
pub(super) struct ScaleRun<'a> {
    settings: &'a ScaleSettings,
    logger: &'a Logger,
    report_progress: &'a dyn Fn(&str),
    control_only: ControlOnlyFleet,
    real: Vec<MemberProcess>,
    control: ControlMembers,
    operator: Operator,
    plan: FleetPlan,
    revision: u64,
}

impl<'a> ScaleRun<'a> {
    /// Starts the control members and the real gateways.
    pub(super) fn new(
        settings: &'a ScaleSettings,
        back_ends: &BackEnds,
        logger: &'a Logger,
        report_progress: &'a dyn Fn(&str),
    ) -> Result<Self, Report<ErrorKind>> {
        let folder = &settings.output;
        let (program, plan) = (&settings.program, &settings.fleet);
        let control = ControlMembers::start(
            folder,
            program,
            settings.members,
            plan,
            back_ends.platform_address,
        )?;
        let operator = Operator::new(&control.operator_addresses)?;
        let mut run = ScaleRun {
            settings,
            logger,
            report_progress,
            control_only: ControlOnlyFleet::new(back_ends.replicas.clone())?,
            real: Vec::new(),
            control,
            operator,
            plan: settings.fleet.with_tenants(0),
            revision: 0,
        };
        run.wait_for("all control members to become voters", |status| {
            let voters = status.members.iter().filter(|member| member.voter);
            voters.count() == settings.members as usize
        })?;
        let (real, attach) = (settings.real_gateways, &run.control.attach_addresses);
        run.real = start_real_gateways(folder, program, real, plan, attach)?;
        run.report_progress("control members and real gateways started");
        Ok(run)
    }

    /// Runs all phases and returns the results.
    pub(super) fn run(mut self) -> Result<ScaleResults, Report<ErrorKind>> {
        let mut tenant_steps = Vec::new();
        for percent in TENANT_PERCENTS {
            tenant_steps.push(self.measure_tenants(self.settings.fleet.tenants * percent / 100)?);
        }
        self.wait_for("control to list all replicas", {
            let replicas = self.settings.fleet.replicas as usize;
            move |status| status.replicas.len() >= replicas
        })?;
        let mut steps = Vec::new();
        for gateways in &self.settings.steps {
            steps.push(self.measure_gateways(*gateways)?);
        }
        let events = self.measure_events()?;
        Ok(ScaleResults {
            replicas: self.settings.fleet.replicas,
            members: self.settings.members,
            checks: check_budgets(
                &tenant_steps,
                &steps,
                &events,
                self.peak_bytes_of_real_gateways()?,
            ),
            tenant_steps,
            steps,
            events,
        })
    }

    /// Measures the cost of a change on real gateways and members with a number of tenants.
    fn measure_tenants(&mut self, tenants: u64) -> Result<TenantStep, Report<ErrorKind>> {
        self.plan = self.settings.fleet.with_tenants(tenants);
        self.apply_change()?;
        self.wait_until_in_force()?;
        let before = self.sample_usage()?;
        for _ in 0..CHANGES_PER_STEP {
            self.apply_change()?;
            self.wait_until_in_force()?;
        }
        let after = self.sample_usage()?;
        let leader = self.leader_index()?;
        let file_bytes = self.plan.text(self.revision).len() as u64;
        let step = evaluate_tenant_step(tenants, file_bytes, &before, &after, leader);
        self.report_progress(&format!(
            "{tenants} tenants: a change takes {:.0} ms of processor time on a gateway, gateway memory is {:.0} MiB",
            step.gateway_change_seconds * 1e3,
            step.gateway_memory_bytes / MEBI
        ));
        Ok(step)
    }

    /// Starts control-only gateways up to a total of `gateways` and measures.
    fn measure_gateways(&mut self, gateways: usize) -> Result<GatewayStep, Report<ErrorKind>> {
        let control_only = gateways.saturating_sub(self.real.len());
        let folder = &self.settings.output;
        let attach = &self.control.attach_addresses;
        while self.control_only.len() < control_only {
            let next = control_only.min(self.control_only.len() + CONCURRENT_STARTS);
            let (plan, logger) = (&self.plan, self.logger);
            self.control_only
                .start_up_to(next, folder, plan, attach, logger)?;
            let revision = self.revision;
            let started = |gateway: &ControlOnlyGateway| gateway.revision().0 >= revision;
            let waited = self.control_only.wait_until_all(STATE_TIMEOUT, started);
            waited.map_err(|remaining| timed_out(&format!("{remaining} gateways to start")))?;
        }
        thread::sleep(SETTLE_TIME);
        let before = self.sample_usage()?;
        thread::sleep(Duration::from_secs(self.settings.steady_seconds));
        let after = self.sample_usage()?;
        let leader = self.leader_index()?;
        let mut slowest: f64 = 0.0;
        for _ in 0..CHANGES_PER_STEP {
            let accepted = self.apply_change()?;
            slowest = slowest.max(seconds(self.wait_until_in_force()? - accepted));
        }
        let step = evaluate_gateway_step(gateways as u64, &before, &after, leader, slowest);
        self.report_progress(&format!(
            "{gateways} gateways: {:.0} B/s and {:.3} % of a core per node, a change in force everywhere after {:.2} s",
            step.hollow.bytes_per_second,
            step.hollow.cores * 100.0,
            step.change_seconds
        ));
        Ok(step)
    }

    fn measure_events(&mut self) -> Result<Events, Report<ErrorKind>> {
        let mut events = Events::default();
        self.measure_burst(&mut events)?;
        self.report_progress(&format!(
            "burst: {} changes accepted in {:.2} s, the slowest in force everywhere after {:.2} s",
            events.burst_changes, events.burst_accepted_seconds, events.burst_slowest_seconds
        ));
        let leader = self.leader_index()?;
        let follower = (leader + 1) % self.control.members.len();
        events.follower_killed_seconds = self.kill_and_wait(follower)?;
        self.control.members[follower].start()?;
        self.wait_for("the follower to vote again", |status| status.revision > 0)?;
        thread::sleep(SETTLE_TIME);
        self.kill_leader(&mut events)?;
        self.restart_control(&mut events)?;
        self.report_progress(&format!(
            "all gateways attached again: {:.2} s after killing a follower, {:.2} s after killing the leader, {:.2} s after restarting all members",
            events.follower_killed_seconds,
            events.leader_killed_seconds,
            events.control_restarted_seconds
        ));
        Ok(events)
    }

    /// Applies the changes of the burst, each as soon as the previous change is accepted.
    fn measure_burst(&mut self, events: &mut Events) -> Result<(), Report<ErrorKind>> {
        let started = Instant::now();
        let mut pending: Vec<(u64, Instant)> = Vec::new();
        let mut slowest = Duration::ZERO;
        for _ in 0..self.settings.burst {
            let accepted = self.apply_change()?;
            pending.push((self.revision, accepted));
            slowest = slowest.max(self.remove_changes_in_force(&mut pending));
        }
        let accepted = Instant::now();
        events.burst_changes = self.settings.burst;
        events.burst_accepted_seconds = seconds(accepted - started);
        while !pending.is_empty() && accepted.elapsed() < STATE_TIMEOUT {
            slowest = slowest.max(self.remove_changes_in_force(&mut pending));
            thread::sleep(POLL_INTERVAL);
        }
        if !pending.is_empty() {
            return Err(timed_out(
                "the changes of the burst to be in force in all gateways",
            ));
        }
        self.wait_until_in_force()?;
        events.burst_in_force_seconds = seconds(accepted.elapsed());
        events.burst_slowest_seconds = seconds(slowest);
        Ok(())
    }

    /// Removes the changes that are in force in every control-only gateway. Returns the longest
    /// time since acceptance among the removed changes.
    fn remove_changes_in_force(&self, pending: &mut Vec<(u64, Instant)>) -> Duration {
        let mut slowest = Duration::ZERO;
        pending.retain(|(revision, accepted)| {
            let behind = self
                .control_only
                .count(|gateway| gateway.revision().0 < *revision);
            if behind == 0 {
                slowest = slowest.max(accepted.elapsed());
            }
            behind > 0
        });
        slowest
    }

    /// Kills a member. Returns the seconds until all control-only gateways are attached, including
    /// those that have to attach to another member.
    fn kill_and_wait(&mut self, member: usize) -> Result<f64, Report<ErrorKind>> {
        let killed = Instant::now();
        self.control.members[member].kill();
        // A gateway detects the closed connection at its next read. Counting before that would
        // include gateways that still appear attached to the killed member.
        thread::sleep(POLL_INTERVAL);
        Ok(seconds(
            self.wait_until_attached("to attach again")? - killed,
        ))
    }

    fn kill_leader(&mut self, events: &mut Events) -> Result<(), Report<ErrorKind>> {
        let leader = self.leader_index()?;
        let killed = Instant::now();
        self.control.members[leader].kill();
        thread::sleep(POLL_INTERVAL);
        let accepted = self.apply_change()?;
        events.leader_killed_accepted_seconds = seconds(accepted - killed);
        self.wait_until_attached("to attach again")?;
        events.leader_killed_seconds = seconds(killed.elapsed());
        self.control.members[leader].start()?;
        thread::sleep(SETTLE_TIME);
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
        thread::sleep(POLL_INTERVAL);
        let attached = self.control_only.wait_until_all(STATE_TIMEOUT, |gateway| {
            gateway.is_attached() && gateway.has_session()
        });
        let attached = attached
            .map_err(|remaining| timed_out(&format!("{remaining} gateways to attach again")))?;
        events.control_restarted_seconds = seconds(attached - killed);
        Ok(())
    }

    /// Applies the next version of the fleet file of the current plan, which changes tenant weights.
    /// Returns the time of the accepting response.
    fn apply_change(&mut self) -> Result<Instant, Report<ErrorKind>> {
        let text = self.plan.text(self.revision + 1);
        let (revision, accepted) = self.operator.apply(self.revision, &text)?;
        self.revision = revision;
        Ok(accepted)
    }

    /// Waits until the latest revision is in force in every control-only and real gateway.
    fn wait_until_in_force(&mut self) -> Result<Instant, Report<ErrorKind>> {
        let revision = self.revision;
        let in_force = self
            .control_only
            .wait_until_all(STATE_TIMEOUT, |gateway| gateway.revision().0 >= revision)
            .map_err(|remaining| {
                timed_out(&format!(
                    "revision {revision} to be in force in {remaining} gateways"
                ))
            })?;
        let real: Vec<String> = self.real.iter().map(|member| member.name.clone()).collect();
        let mut confirmed = in_force;
        self.wait_for("the real gateways to confirm the revision", |status| {
            confirmed = Instant::now();
            real.iter()
                .all(|name| has_confirmed(status, name, revision))
        })?;
        Ok(confirmed.max(in_force))
    }

    fn wait_until_attached(&self, what: &str) -> Result<Instant, Report<ErrorKind>> {
        let waited = self
            .control_only
            .wait_until_all(STATE_TIMEOUT, ControlOnlyGateway::is_attached);
        waited.map_err(|remaining| timed_out(&format!("{remaining} gateways {what}")))
    }

    fn wait_for(
        &mut self,
        what: &str,
        mut condition: impl FnMut(&Status) -> bool,
    ) -> Result<(), Report<ErrorKind>> {
        let deadline = Instant::now() + STATE_TIMEOUT;
        while !condition(&self.operator.status()?) {
            if Instant::now() >= deadline {
                return Err(timed_out(what));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    /// Index of the leader among the members.
    fn leader_index(&mut self) -> Result<usize, Report<ErrorKind>> {
        let status = self.operator.status()?;
        let leader = status.members.iter().find(|member| member.leader);
        let leader = leader.ok_or_else(|| timed_out("a leader"))?;
        Ok(leader.machine as usize - 1)
    }

    fn sample_usage(&self) -> Result<UsageSample, Report<ErrorKind>> {
        let members = &self.control.members;
        Ok(UsageSample {
            taken_at: Instant::now(),
            control_only: self.control_only.usage()?,
            real: self
                .real
                .iter()
                .map(MemberProcess::usage)
                .collect::<Result<_, _>>()?,
            control: members
                .iter()
                .map(MemberProcess::usage)
                .collect::<Result<_, _>>()?,
            control_bytes: (0..members.len())
                .map(|member| self.operator.member_bytes(member))
                .collect::<Result<_, _>>()?,
        })
    }

    fn peak_bytes_of_real_gateways(&self) -> Result<f64, Report<ErrorKind>> {
        let mut peak: f64 = 0.0;
        for member in &self.real {
            peak = peak.max(member.usage()?.peak_bytes as f64);
        }
        Ok(peak)
    }

    fn report_progress(&self, line: &str) {
        (self.report_progress)(line);
    }
}

fn has_confirmed(status: &Status, name: &str, revision: u64) -> bool {
    let gateway = status
        .gateways
        .iter()
        .find(|gateway| gateway.gateway == name);
    gateway.is_some_and(|gateway| gateway.revision >= revision)
}

fn timed_out(what: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::DeadlineExceeded).attach(format!("timed out waiting for {what}"))
}
