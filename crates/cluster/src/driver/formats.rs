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
    fn format(&self) -> Format {
        self.member.state().format().max(self.proposed_format)
    }

    fn all_members_read(&self, format: Format) -> bool {
        let own = self.member.id().machine;
        let membership = self.member.status().membership;
        let mut others = membership.voters.iter().chain(&membership.learners);
        others.all(|member| {
            let machine = member.machine;
            machine == own || self.links.format_with(machine) >= Some(format)
        })
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
