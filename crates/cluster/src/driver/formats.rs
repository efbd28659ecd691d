//! Which format a group stores in, and who may be a member of it.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_group::StateMachine;
use linnethitch_protocol::{
    consensus::{ConsensusBody, ConsensusMessage},
    format::Format,
    ids::MachineId,
};
use slog::{info, warn};

use super::{GroupDriver, GroupService};
use crate::node::address_of;

/// A member that was not linked to for so long after the start of this one is away, in
/// milliseconds: links are opened within a second, also beside much other work.
const LINKED_WITHIN_MS: u64 = 10_000;

impl<S: GroupService> GroupDriver<S> {
    /// # Errors
    /// `DataFolderRefused` where the group stores in a newer format than this program may speak.
    pub(super) fn check_format(&self) -> Result<(), Report<ErrorKind>> {
        let (stored, newest) = (self.member.state().format(), self.links.newest_format());
        if stored <= newest {
            return Ok(());
        }
        Err(Report::new(ErrorKind::DataFolderRefused).attach(format!(
            "the group stores in format {stored}, this program is held to {newest}"
        )))
    }

    /// What a group stores may be in a newer format once all of its members read that. An
    /// entry that a member cannot read would stop it, and its machine could not go back to
    /// the build before.
    pub(super) fn raise_format_if_due(&mut self) {
        let newest = self.links.newest_format();
        if self.format() >= newest || !self.all_members_read(newest) {
            return;
        }
        let Some(command) = self.service.raise_format() else {
            return;
        };
        info!(self.logger, "stored format raised"; "format" => newest.number(),
            "before" => self.format().number());
        self.proposed_format = newest;
        self.propose_own(command);
    }

    /// The format of entries that are stored or proposed here.
    pub(super) fn format(&self) -> Format {
        self.member.state().format().max(self.proposed_format)
    }

    /// Whether the format is the newest, or a member keeps it from being raised: one that is
    /// known to read no more, or one that stays away.
    pub(super) fn is_format_settled(&self, now_ms: u64) -> bool {
        let newest = self.links.newest_format();
        self.format() >= newest
            || now_ms.saturating_sub(self.opened_ms) >= LINKED_WITHIN_MS
            || self.other_members().any(|machine| {
                let spoken = self.links.format_with(machine);
                spoken.is_some_and(|spoken| spoken < newest)
            })
    }

    fn all_members_read(&self, format: Format) -> bool {
        self.other_members()
            .all(|machine| self.links.format_with(machine) >= Some(format))
    }

    fn other_members(&self) -> impl Iterator<Item = MachineId> {
        let own = self.member.id().machine;
        let membership = self.member.status().membership;
        let members = membership.voters.into_iter().chain(membership.learners);
        let machines = members.map(|member| member.machine);
        machines.filter(move |machine| *machine != own)
    }

    /// Whether a machine reads what the group stores. Where nobody told what it speaks, it is
    /// asked over a link, and counts when it is heard of next.
    pub(super) fn may_join(&self, machine: MachineId, told: Option<Format>) -> bool {
        let format = self.format();
        if format == Format::OLDEST {
            return true;
        }
        let speaks = told.or_else(|| self.links.format_with(machine));
        if speaks.is_none() && self.member.is_leader() {
            self.links.reach(machine);
        }
        speaks >= Some(format)
    }

    /// Whether a member can take a message: entries and snapshots that it cannot read would
    /// stop it and stay on its disk.
    pub(super) fn can_take(&mut self, message: &ConsensusMessage) -> bool {
        let stores = matches!(
            message.body,
            ConsensusBody::Append(_) | ConsensusBody::SnapshotChunk(_)
        );
        let (to, format) = (message.to.machine, self.format());
        let spoken = self.links.format_with(to).unwrap_or(format);
        if !stores || spoken >= format {
            self.unable.remove(&to);
            return true;
        }
        if self.unable.insert(to) {
            warn!(self.logger, "member cannot read what is stored";
                "member" => address_of(to).to_string(),
                "reads" => spoken.number(), "stored" => format.number());
        }
        false
    }
}
