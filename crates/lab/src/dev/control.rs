//! The control members of `dev`.

use std::{future::Future, net::SocketAddr, path::Path};

use error_stack::Report;
use futures_util::future::{join_all, select_all};
use linnethitch_config::{
    fleet::Fleet,
    settings::{ControlPeer, ControlSettings, DEFAULT_SNAPSHOT_LOG_BYTES, LogSettings},
};
use linnethitch_control::process::{
    ControlAddresses, ControlHandle, ControlProcess, ControlSockets,
};
use linnethitch_errors::ErrorKind;
use slog::{Logger, o};

use super::{Arguments, deployment::key_hash};

/// Members of the control cluster: an acknowledged write survives any two of their disks.
const MEMBERS: u32 = 5;
const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

/// All control members; the first has the operator address given on the command line.
pub(super) struct Control {
    members: Vec<ControlHandle>,
}

/// Settings that all members share.
pub(super) struct ControlPlan<'a> {
    pub(super) arguments: &'a Arguments,
    pub(super) fleet: &'a Fleet,
    pub(super) cluster_key: &'a Path,
    pub(super) platform: SocketAddr,
    pub(super) logger: Logger,
}

impl Control {
    /// Starts five members, each with a folder of its own.
    pub(super) async fn start(plan: ControlPlan<'_>) -> Result<Control, Report<ErrorKind>> {
        // All sockets are bound first, because each member's settings have the addresses of all
        // members.
        let mut bound = Vec::new();
        for machine in 1..=MEMBERS {
            let operator = match machine {
                1 => plan.arguments.operator_address,
                _ => ANY_PORT,
            };
            let sockets = ControlSockets::bind(ANY_PORT, ANY_PORT, operator).await?;
            let addresses = sockets.addresses()?;
            bound.push((machine, addresses, sockets));
        }
        let peers: Vec<ControlPeer> = bound
            .iter()
            .map(|(machine, addresses, _)| ControlPeer {
                machine: *machine,
                address: addresses.peer,
            })
            .collect();
        let mut members = Vec::new();
        for (machine, addresses, sockets) in bound {
            let settings = plan.settings(machine, addresses, peers.clone());
            let logger = plan.logger.new(o!("control" => machine));
            members.push(ControlProcess::start_on(settings, sockets, logger).await?);
        }
        Ok(Control { members })
    }

    /// Addresses of each member.
    pub(super) fn addresses(&self) -> Vec<ControlAddresses> {
        self.members.iter().map(ControlHandle::addresses).collect()
    }

    /// Resolves when a member ends without being stopped, for example after a disk failure.
    pub(super) fn failed(&mut self) -> impl Future<Output = Result<(), Report<ErrorKind>>> {
        let ends = self
            .members
            .iter_mut()
            .map(|member| Box::pin(member.failed()));
        let first = select_all(ends);
        async move { first.await.0 }
    }

    /// Stops all members concurrently.
    pub(super) async fn stop(self) {
        join_all(self.members.into_iter().map(ControlHandle::stop)).await;
    }
}

impl ControlPlan<'_> {
    fn settings(
        &self,
        machine: u32,
        addresses: ControlAddresses,
        peers: Vec<ControlPeer>,
    ) -> ControlSettings {
        let zones = &self.fleet.zones;
        let zone = &zones[machine as usize % zones.len()];
        ControlSettings {
            machine,
            zone: zone.name.clone(),
            region: zone.region.clone(),
            peer_address: addresses.peer,
            attach_address: addresses.attach,
            operator_address: addresses.operator,
            peers,
            bootstrap: true,
            cluster: self.fleet.name.clone(),
            cluster_key_file: self.cluster_key.to_owned(),
            operator_key_sha256: key_hash(&self.arguments.operator_key),
            platform_address: self.platform,
            data_dir: self.arguments.data_dir.join(format!("control-{machine}")),
            snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
            log: LogSettings::default(),
        }
    }
}
