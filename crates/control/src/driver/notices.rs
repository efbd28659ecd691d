//! Log lines for a member's notices.

use slog::{Logger, error, info, warn};

use crate::member::MemberNotice;

/// Logs a notice with its reason code.
pub(super) fn log(logger: &Logger, notice: &MemberNotice) {
    let reason = notice.reason();
    match notice {
        MemberNotice::Leader { term, leader } => {
            let leader = leader.map_or_else(|| "none".to_owned(), |member| member.to_string());
            info!(logger, "leader changed"; "reason" => reason, "term" => term.0, "leader" => leader);
        }
        MemberNotice::Configuration(revision) => {
            info!(logger, "configuration committed"; "reason" => reason, "revision" => revision.0);
        }
        MemberNotice::JobCancelled(job) => {
            info!(logger, "job cancelled"; "reason" => reason, "job" => job.as_str());
        }
        MemberNotice::ClusterStarted => {
            info!(logger, "new cluster started on this disk"; "reason" => reason);
        }
        MemberNotice::MembershipProposed(change) => {
            info!(logger, "membership change proposed"; "reason" => reason, "change" => change);
        }
        MemberNotice::SnapshotStored { index, bytes } => {
            info!(logger, "snapshot stored"; "reason" => reason, "index" => index.0, "bytes" => bytes);
        }
        MemberNotice::SnapshotInstalled(index) => {
            info!(logger, "snapshot of the leader installed"; "reason" => reason, "index" => index.0);
        }
        MemberNotice::DamagedLogSetAside(damage) => {
            error!(logger, "damaged log set aside"; "reason" => reason, "damage" => damage);
        }
        MemberNotice::DiskFull => {
            warn!(logger, "the data folder has no space left"; "reason" => reason);
        }
    }
}
