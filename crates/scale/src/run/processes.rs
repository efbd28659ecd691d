//! Control members and real gateways in their own processes.

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

/// Operator key of the run.
pub(super) const OPERATOR_KEY: &str = "scale-operator-key";
const CLUSTER_KEY: &str = "the cluster key of a scale run";
const CLUSTER_KEY_FILE: &str = "cluster-key";
/// Worker threads of each process; few, so that many processes fit on one machine.
const WORKER_THREADS: usize = 2;

/// Role of a process that the run starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberRole {
    /// A control member.
    Control,
    /// A gateway.
    Gateway,
}

impl MemberRole {
    /// Name of the role on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            MemberRole::Control => "control",
            MemberRole::Gateway => "gateway",
        }
    }
}

/// Runs a control member or a gateway from a settings file until the process is terminated.
///
/// # Errors
/// When the settings are invalid or the member or gateway cannot start.
pub fn run_member(role: MemberRole, settings: &Path) -> Result<(), Report<ErrorKind>> {
    let runtime = Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
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

/// A control member or gateway process; killed when dropped.
pub(super) struct MemberProcess {
    pub(super) name: String,
    role: MemberRole,
    settings: PathBuf,
    program: PathBuf,
    child: Option<Child>,
}

impl MemberProcess {
    fn new(program: &Path, role: MemberRole, name: &str, settings: PathBuf) -> Self {
        MemberProcess {
            name: name.to_owned(),
            role,
            settings,
            program: program.to_owned(),
            child: None,
        }
    }

    /// Starts or restarts the process with the same data folder.
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

    /// Kills the process without a shutdown, as a crash would.
    pub(super) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Resources that the process has used so far.
    pub(super) fn usage(&self) -> Result<ProcessUsage, Report<ErrorKind>> {
        let child = self.child.as_ref();
        let process = child.ok_or_else(|| Report::new(ErrorKind::Internal))?.id();
        ProcessUsage::of(process)
            .change_context(ErrorKind::Io)
            .attach_with(|| format!("process of {} has ended; see its log file", self.name))
    }
}

impl Drop for MemberProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Control members with their addresses, ordered by machine number.
pub(super) struct ControlMembers {
    pub(super) members: Vec<MemberProcess>,
    pub(super) operator_addresses: Vec<SocketAddr>,
    pub(super) attach_addresses: Vec<SocketAddr>,
}

impl ControlMembers {
    /// Starts members with empty data folders.
    pub(super) fn start(
        folder: &Path,
        program: &Path,
        count: u32,
        plan: &FleetPlan,
        platform_address: SocketAddr,
    ) -> Result<Self, Report<ErrorKind>> {
        let key_file = write_cluster_key(folder)?;
        let addresses = free_addresses(3 * count as usize)?;
        let (peer_addresses, remaining) = addresses.split_at(count as usize);
        let (attach_addresses, operator_addresses) = remaining.split_at(count as usize);
        let peers: Vec<ControlPeer> = (1..)
            .zip(peer_addresses)
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
                peer_address: peer_addresses[index],
                attach_address: attach_addresses[index],
                operator_address: operator_addresses[index],
                peers: peers.clone(),
                bootstrap: true,
                cluster: CLUSTER.to_owned(),
                cluster_key_file: key_file.clone(),
                operator_key_sha256: key_sha256(OPERATOR_KEY),
                platform_address,
                data_dir: folder.join(&name),
                snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
                log: log_settings(),
            };
            let file = write_settings(folder, &name, &settings)?;
            let mut member = MemberProcess::new(program, MemberRole::Control, &name, file);
            member.start()?;
            members.push(member);
        }
        Ok(ControlMembers {
            members,
            operator_addresses: operator_addresses.to_vec(),
            attach_addresses: attach_addresses.to_vec(),
        })
    }
}

/// Starts real gateways.
pub(super) fn start_real_gateways(
    folder: &Path,
    program: &Path,
    count: usize,
    plan: &FleetPlan,
    attach_addresses: &[SocketAddr],
) -> Result<Vec<MemberProcess>, Report<ErrorKind>> {
    let mut gateways = Vec::new();
    for number in 0..count {
        let name = format!("real-{number}");
        let listen_address = SocketAddr::from(([127, 0, 0, 1], 0));
        let settings = gateway_settings(
            folder,
            &name,
            number,
            plan,
            attach_addresses,
            listen_address,
        );
        let file = write_settings(folder, &name, &settings)?;
        let mut gateway = MemberProcess::new(program, MemberRole::Gateway, &name, file);
        gateway.start()?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

/// Settings of a real or control-only gateway of the run.
pub(super) fn gateway_settings(
    folder: &Path,
    name: &str,
    number: usize,
    plan: &FleetPlan,
    attach_addresses: &[SocketAddr],
    listen_address: SocketAddr,
) -> GatewaySettings {
    let zone = number as u64;
    GatewaySettings {
        gateway_id: name.to_owned(),
        zone: plan.zone(zone),
        region: plan.region(zone),
        listen_address,
        control_addresses: attach_addresses.to_vec(),
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

/// Local addresses with ports that were free during this call. Another process may take a port
/// before it is used.
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
