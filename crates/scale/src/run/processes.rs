//! Control members and real gateways as processes of their own.

use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
};

use error_stack::{Report, ResultExt};
use linnethitch_config::{
    digest::key_sha256,
    settings::{
        ControlPeer, ControlSettings, ControlValues, DEFAULT_JOURNAL_MAX_BYTES,
        DEFAULT_SNAPSHOT_LOG_BYTES, GatewayLimits, GatewaySettings, GatewayValues, LogLevel,
        LogSettings,
    },
};
use linnethitch_control::process::ControlProcess;
use linnethitch_errors::ErrorKind;
use linnethitch_gateway::process::GatewayProcess;
use linnethitch_observability::log::Logging;
use serde::Serialize;
use tokio::runtime::Builder;

use super::CLUSTER;
use crate::{fleet::FleetPlan, usage::ProcessUsage};

/// The operators' key of the run.
pub(super) const OPERATOR_KEY: &str = "scale-operator-key";
const CLUSTER_KEY: &str = "the cluster key of a scale run";
const CLUSTER_KEY_FILE: &str = "cluster-key";
/// Threads of a process, so that many fit on one machine.
const THREADS: usize = 2;

/// What a member process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// A control member.
    Control,
    /// A gateway.
    Gateway,
}

impl MemberRole {
    /// The word of the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            MemberRole::Control => "control",
            MemberRole::Gateway => "gateway",
        }
    }
}

/// Runs a control member or a gateway from a settings file until the process is ended.
///
/// # Errors
/// When the settings are wrong or it cannot start.
pub fn run_member(role: MemberRole, settings: &Path) -> Result<(), Report<ErrorKind>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build()
        .change_context(ErrorKind::Io)?;
    let logging = Logging::to_stderr(&log_settings());
    let logger = logging.logger();
    runtime.block_on(async {
        match role {
            MemberRole::Control => {
                let settings = ControlSettings::load(Some(settings), ControlValues::default())
                    .change_context(ErrorKind::InvalidValue)?;
                let mut member = ControlProcess::start(settings, logger).await?;
                member.failed().await
            }
            MemberRole::Gateway => {
                let settings = GatewaySettings::load(Some(settings), GatewayValues::default())
                    .change_context(ErrorKind::InvalidValue)?;
                let _gateway = GatewayProcess::start(settings, logger).await?;
                std::future::pending().await
            }
        }
    })
}

fn log_settings() -> LogSettings {
    LogSettings {
        level: LogLevel::Warning,
        ..LogSettings::default()
    }
}

/// A running process; ended when dropped.
pub(super) struct Member {
    pub(super) name: String,
    role: MemberRole,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl Member {
    fn new(program: &Path, role: MemberRole, name: &str, settings: PathBuf) -> Self {
        Member {
            name: name.to_owned(),
            role,
            settings,
            program: program.to_owned(),
            child: None,
        }
    }

    /// Starts it, or starts it again on the same folder.
    pub(super) fn start(&mut self) -> Result<(), Report<ErrorKind>> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .change_context(ErrorKind::Io)?;
        let child = Command::new(&self.program)
            .args(["scale-member", self.role.name()])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .change_context(ErrorKind::Io)
            .attach_with(|| self.program.display().to_string())?;
        self.child = Some(child);
        Ok(())
    }

    /// Ends it at once, as a crash would.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// What it has used so far.
    pub(super) fn usage(&self) -> Result<ProcessUsage, Report<ErrorKind>> {
        let child = self.child.as_ref();
        let process = child.ok_or_else(|| Report::new(ErrorKind::Internal))?.id();
        ProcessUsage::of(process)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("{} has ended; see its log", self.name))
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Control members with their addresses, in the order of their machines.
pub(super) struct ControlMembers {
    pub(super) members: Vec<Member>,
    pub(super) operators: Vec<SocketAddr>,
    pub(super) attach: Vec<SocketAddr>,
}

impl ControlMembers {
    /// Starts members on blank folders.
    pub(super) fn start(
        folder: &Path,
        program: &Path,
        count: u32,
        plan: &FleetPlan,
        platform: SocketAddr,
    ) -> Result<Self, Report<ErrorKind>> {
        let key_file = write_cluster_key(folder)?;
        let ports = free_addresses(3 * count as usize)?;
        let (peer, rest) = ports.split_at(count as usize);
        let (attach, operators) = rest.split_at(count as usize);
        let peers: Vec<ControlPeer> = (1..)
            .zip(peer)
            .map(|(machine, address)| ControlPeer {
                machine,
                address: *address,
            })
            .collect();
        let mut members = Vec::new();
        for machine in 1..=count {
            let index = machine as usize - 1;
            let zone = u64::from(machine);
            let name = format!("control-{machine}");
            let settings = ControlSettings {
                machine,
                zone: plan.zone(zone),
                region: plan.region(zone),
                peer_address: peer[index],
                attach_address: attach[index],
                operator_address: operators[index],
                peers: peers.clone(),
                bootstrap: true,
                cluster: CLUSTER.to_owned(),
                cluster_key_file: key_file.clone(),
                operator_key_sha256: key_sha256(OPERATOR_KEY),
                platform_address: platform,
                data_dir: folder.join(&name),
                snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
                log: log_settings(),
            };
            let file = write_settings(folder, &name, &settings)?;
            let mut member = Member::new(program, MemberRole::Control, &name, file);
            member.start()?;
            members.push(member);
        }
        Ok(ControlMembers {
            members,
            operators: operators.to_vec(),
            attach: attach.to_vec(),
        })
    }
}

/// Starts real gateways.
pub(super) fn start_gateways(
    folder: &Path,
    program: &Path,
    count: usize,
    plan: &FleetPlan,
    control: &[SocketAddr],
) -> Result<Vec<Member>, Report<ErrorKind>> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let name = format!("real-{number}");
        let listen = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = gateway_settings(folder, &name, number, plan, control, listen);
        let file = write_settings(folder, &name, &settings)?;
        let mut gateway = Member::new(program, MemberRole::Gateway, &name, file);
        gateway.start()?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

/// The settings of a gateway of the run, real or hollow.
pub(super) fn gateway_settings(
    folder: &Path,
    name: &str,
    number: usize,
    plan: &FleetPlan,
    control: &[SocketAddr],
    listen_address: SocketAddr,
) -> GatewaySettings {
    let zone = number as u64;
    GatewaySettings {
        gateway_id: name.to_owned(),
        zone: plan.zone(zone),
        region: plan.region(zone),
        listen_address,
        control_addresses: control.to_vec(),
        cluster: CLUSTER.to_owned(),
        cluster_key_file: folder.join(CLUSTER_KEY_FILE),
        data_dir: folder.join(name),
        log: log_settings(),
        journal_max_bytes: DEFAULT_JOURNAL_MAX_BYTES,
        operator_key_sha256: None,
        limits: GatewayLimits::default(),
    }
}

fn write_cluster_key(folder: &Path) -> Result<PathBuf, Report<ErrorKind>> {
    let file = folder.join(CLUSTER_KEY_FILE);
    fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
    fs::write(&file, CLUSTER_KEY).change_context(ErrorKind::Io)?;
    Ok(file)
}

fn write_settings(
    folder: &Path,
    name: &str,
    settings: &impl Serialize,
) -> Result<PathBuf, Report<ErrorKind>> {
    let file = folder.join(format!("{name}.toml"));
    let text = toml::to_string(settings).change_context(ErrorKind::Internal)?;
    fs::write(&file, text).change_context(ErrorKind::Io)?;
    Ok(file)
}

/// Addresses whose ports were free a moment ago.
fn free_addresses(count: usize) -> Result<Vec<SocketAddr>, Report<ErrorKind>> {
    let sockets: std::io::Result<Vec<TcpListener>> = (0..count)
        .map(|_| TcpListener::bind(("127.0.0.1", 0)))
        .collect();
    let sockets = sockets.change_context(ErrorKind::Io)?;
    sockets
        .iter()
        .map(|socket| socket.local_addr().change_context(ErrorKind::Io))
        .collect()
}
