//! Control members in this process, on loopback sockets and files with real syncs.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use linnethitch_config::settings::{
    ControlPeer, ControlSettings, DEFAULT_SNAPSHOT_LOG_BYTES, LogSettings,
};
use linnethitch_control::process::{
    ControlAddresses, ControlHandle, ControlProcess, ControlSockets,
};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    attach::{ControlAnswer, ControlCall},
    query::{FleetStatus, Query, QueryAnswer},
};
use linnethitch_transport::{ClusterIdentity, ClusterKey};
use slog::{Discard, Logger, o};

use super::caller::Caller;

const CLUSTER: &str = "measured";
const CLUSTER_KEY: &str = "a key of the measured cluster";
/// Interval at which the group is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of waiting until all members are up-to-date voters.
const COMPLETE_TIMEOUT: Duration = Duration::from_secs(600);

struct Machine {
    addresses: ControlAddresses,
    handle: Option<ControlHandle>,
}

/// A running group.
pub(super) struct Cluster {
    folder: PathBuf,
    machines: BTreeMap<u32, Machine>,
    pub(super) identity: ClusterIdentity,
}

impl Cluster {
    /// Starts members on blank disks and waits until all of them are voters.
    pub(super) async fn start(size: u32, folder: &Path) -> Result<Self, Report<ErrorKind>> {
        fs::create_dir_all(folder).change_context(ErrorKind::Io)?;
        fs::write(folder.join("cluster.key"), CLUSTER_KEY).change_context(ErrorKind::Io)?;
        let mut cluster = Cluster {
            folder: folder.to_owned(),
            machines: BTreeMap::new(),
            identity: ClusterIdentity {
                name: CLUSTER.to_owned(),
                key: ClusterKey::new(CLUSTER_KEY)?,
            },
        };
        let mut bound = BTreeMap::new();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        for number in 1..=size {
            let sockets = ControlSockets::bind(any_port, any_port, any_port).await?;
            let machine = Machine {
                addresses: sockets.addresses()?,
                handle: None,
            };
            cluster.machines.insert(number, machine);
            bound.insert(number, sockets);
        }
        for (number, sockets) in bound {
            cluster.start_on(number, sockets).await?;
        }
        cluster.wait_until_complete(1).await?;
        Ok(cluster)
    }

    /// Restarts a stopped member.
    pub(super) async fn restart(&mut self, number: u32) -> Result<(), Report<ErrorKind>> {
        let at = self.machines[&number].addresses;
        let sockets = ControlSockets::bind(at.peer, at.attach, at.operator).await?;
        self.start_on(number, sockets).await
    }

    /// Ends a member abruptly, as a crash does.
    pub(super) async fn crash(&mut self, number: u32) {
        if let Some(handle) = self.take_handle(number) {
            handle.abort().await;
        }
    }

    /// Planned stop of a member.
    pub(super) async fn stop(&mut self, number: u32) {
        if let Some(handle) = self.take_handle(number) {
            handle.stop().await;
        }
    }

    /// Deletes the data of a stopped member.
    pub(super) fn wipe(&self, number: u32) -> Result<(), Report<ErrorKind>> {
        fs::remove_dir_all(self.data_dir(number)).change_context(ErrorKind::Io)
    }

    /// Waits for a leader and returns its number.
    pub(super) async fn leader(&self) -> u32 {
        loop {
            let leads = |machine: &Machine| {
                let handle = machine.handle.as_ref();
                handle.is_some_and(ControlHandle::leads)
            };
            let leader = self.machines.iter().find(|(_, machine)| leads(machine));
            if let Some((number, _)) = leader {
                return *number;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Attaches a caller to a member.
    pub(super) async fn attach(
        &self,
        number: u32,
        name: &str,
    ) -> Result<Caller, Report<ErrorKind>> {
        let address = self.machines[&number].addresses.attach;
        Caller::attach(address, &self.identity, name).await
    }

    /// Waits until the disks of all machines are voters and the given machine has replicated as
    /// much as any other.
    ///
    /// # Errors
    /// `Internal` when this takes longer than ten minutes.
    pub(super) async fn wait_until_complete(&self, number: u32) -> Result<(), Report<ErrorKind>> {
        let started = Instant::now();
        while started.elapsed() < COMPLETE_TIMEOUT {
            let leader = self.leader().await;
            // A member that has just lost leadership refuses the query; the next iteration asks the
            // new leader.
            if let Ok(caller) = self.attach(leader, "observer").await
                && let Ok(ControlAnswer::Answer(QueryAnswer::Status(status))) =
                    caller.call(ControlCall::Query(Query::Status)).await
                && self.is_complete(&status, number)
            {
                return Ok(());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Err(Report::new(ErrorKind::Internal).attach(format!(
            "machine {number} did not become an up-to-date voter in time"
        )))
    }

    fn is_complete(&self, status: &FleetStatus, number: u32) -> bool {
        let members = &status.members;
        let newest = members.iter().map(|member| member.matched).max();
        let own = members
            .iter()
            .find(|member| member.member.machine.0 == number);
        members.len() == self.machines.len()
            && members.iter().all(|member| member.voter)
            && own.map(|member| member.matched) == newest
    }

    /// Ends all members.
    pub(super) async fn end(mut self) {
        let numbers: Vec<u32> = self.machines.keys().copied().collect();
        for number in numbers {
            self.crash(number).await;
        }
    }

    /// Bytes of a member's files.
    pub(super) fn disk_bytes(&self, number: u32) -> u64 {
        bytes_below(&self.data_dir(number))
    }

    fn take_handle(&mut self, number: u32) -> Option<ControlHandle> {
        self.machines.get_mut(&number)?.handle.take()
    }

    async fn start_on(
        &mut self,
        number: u32,
        sockets: ControlSockets,
    ) -> Result<(), Report<ErrorKind>> {
        let settings = self.settings(number);
        let logger = Logger::root(Discard, o!());
        let handle = ControlProcess::start_on(settings, sockets, logger).await?;
        if let Some(machine) = self.machines.get_mut(&number) {
            machine.handle = Some(handle);
        }
        Ok(())
    }

    fn data_dir(&self, number: u32) -> PathBuf {
        self.folder.join(format!("member-{number}"))
    }

    fn settings(&self, number: u32) -> ControlSettings {
        let own = self.machines[&number].addresses;
        let peers = self.machines.iter().map(|(machine, at)| ControlPeer {
            machine: *machine,
            address: at.addresses.peer,
        });
        ControlSettings {
            machine: number,
            zone: "zone-1".to_owned(),
            region: "one".to_owned(),
            peer_address: own.peer,
            attach_address: own.attach,
            operator_address: own.operator,
            peers: peers.collect(),
            bootstrap: true,
            cluster: CLUSTER.to_owned(),
            cluster_key_file: self.folder.join("cluster.key"),
            operator_key_sha256: "0".repeat(64),
            // Nothing listens on this address: the measurement has no back ends.
            platform_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            data_dir: self.data_dir(number),
            snapshot_log_bytes: DEFAULT_SNAPSHOT_LOG_BYTES,
            log: LogSettings::default(),
        }
    }
}

/// Bytes of all files below a folder; files that are deleted meanwhile are not counted.
fn bytes_below(folder: &Path) -> u64 {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    let bytes = entries.map(|entry| match entry.metadata() {
        Ok(metadata) if metadata.is_dir() => bytes_below(&entry.path()),
        Ok(metadata) => metadata.len(),
        Err(_) => 0,
    });
    bytes.sum()
}
