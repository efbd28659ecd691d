//! Periodic work of a member: sending hellos, checking free space, repairing the membership
//! and starting a new cluster.

use error_stack::Report;
use linnethitch_consensus::{
    Role,
    repair::{self, RepairPolicy},
};
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{attach::PeerMessage, consensus::Membership, frame, ids::LogIndex};
use linnethitch_storage::{folder::DataFolder, revision::RevisionFile};

use super::{core::Member, opening::start_node, output::MemberNotice, presence::HELLO_INTERVAL_MS};

/// File with the first membership of a new cluster, on the disk that started the cluster.
const FIRST_MEMBERSHIP_FILE: &str = "first-membership";
/// Ticks without contact after which a disk counts as lost if its machine now has another disk.
const REPLACED_DISK_TICKS: u32 = 50;

impl Member {
    /// Whether this disk takes part in a cluster or may have done so.
    pub(super) fn is_formatted(&self) -> bool {
        let status = self.node.status();
        !status.membership.voters.is_empty() || status.last_index > LogIndex(0)
    }

    pub(super) fn send_hello_if_due(&mut self) {
        let now_ms = self.time.monotonic_ms;
        if self
            .hello_ms
            .is_some_and(|sent_ms| now_ms < sent_ms + HELLO_INTERVAL_MS)
        {
            return;
        }
        self.hello_ms = Some(now_ms);
        let hello = PeerMessage::Hello {
            member: self.id(),
            formatted: self.is_formatted(),
            attach_address: self.settings.attach_address.clone(),
        };
        let own = self.settings.machine;
        for machine in self.settings.machines.clone() {
            if machine != own {
                self.send(machine, hello.clone());
            }
        }
    }

    pub(super) fn run_maintenance(&mut self) {
        self.check_free_space();
        self.start_cluster_if_due();
        if self.node.status().role == Role::Leader {
            self.repair_membership();
        }
        self.retry_waiting();
    }

    fn check_free_space(&mut self) {
        // If the file system cannot report its free space, writes are allowed: a write that
        // does not fit still fails in the sync.
        let Ok(free) = self.folder.file_system().free_bytes() else {
            return;
        };
        if free < self.settings.reserved_bytes {
            self.note_disk_full();
        } else if self.unsynced.is_empty() {
            self.disk_full = false;
        }
    }

    /// Proposes the next step towards a full membership of present disks. A machine has one
    /// disk at a time, so a voter is replaced only if its own machine is present with another
    /// disk; a short time without contact to the old disk is then enough.
    fn repair_membership(&mut self) {
        let policy = RepairPolicy {
            voters: self.settings.machines.len(),
            lost_ticks: REPLACED_DISK_TICKS,
            ..RepairPolicy::default()
        };
        let status = self.node.status();
        let now_ms = self.time.monotonic_ms;
        let present = self.presence.members(&self.settings.machines, now_ms);
        let Some(step) = repair::next_change(&policy, &status, &present) else {
            return;
        };
        let text = format!("{:?}: {:?}", step.reason, step.change);
        // An error means that the change is not possible yet; the next run retries.
        if self.node.propose_membership(step.change).is_ok() {
            self.notice(MemberNotice::MembershipProposed(text));
        }
    }

    /// Starts a new cluster with this disk as its only voter, if no earlier cluster on these
    /// machines can have acknowledged anything.
    fn start_cluster_if_due(&mut self) {
        let own = self.settings.machine;
        let is_lowest = self.settings.machines.iter().all(|other| *other >= own);
        if !self.may_start_cluster || !is_lowest || self.is_formatted() {
            return;
        }
        let others = self.settings.machines.iter().filter(|other| **other != own);
        if !self.presence.all_blank(others, self.time.monotonic_ms) {
            return;
        }
        let membership = Membership {
            voters: vec![self.id()],
            learners: Vec::new(),
        };
        if store_first_membership(&self.folder, &membership).is_err() {
            return;
        }
        if let Ok(node) = start_node(&self.settings, &self.folder, &self.store) {
            self.node = node;
            self.applied_membership = membership;
            self.unsynced.clear();
            self.notice(MemberNotice::ClusterStarted);
        }
    }
}

/// The file name contains the disk id, so that the file is not used after a reformat.
fn first_membership_file(folder: &DataFolder) -> RevisionFile {
    let path = format!("{FIRST_MEMBERSHIP_FILE}-{:016x}", folder.disk().0);
    RevisionFile::new(folder.file_system(), path)
}

pub(super) fn load_first_membership(folder: &DataFolder) -> Result<Membership, Report<ErrorKind>> {
    match first_membership_file(folder).load()? {
        Some(bytes) => frame::decode(&bytes),
        None => Ok(Membership::default()),
    }
}

fn store_first_membership(
    folder: &DataFolder,
    membership: &Membership,
) -> Result<(), Report<ErrorKind>> {
    first_membership_file(folder).store(&frame::encode(membership)?)
}
