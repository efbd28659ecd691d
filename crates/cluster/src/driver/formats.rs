//! The driver's part in choosing the format in which its group stores: passes the formats of its
//! links to the rules and carries out their decisions.

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
    /// `DataFolderRefused` if the group stores in a newer format than this program may use.
    pub(super) fn check_format(&self) -> Result<(), Report<ErrorKind>> {
        let stored = self.member.state().format();
        if self.stored_format.is_supported(stored) {
            return Ok(());
        }
        let newest = self.links.newest_format();
        Err(Report::new(ErrorKind::DataFolderRefused).attach(format!(
            "the group stores in format {stored}, but this program supports formats up to {newest}"
        )))
    }

    pub(super) fn raise_format_if_due(&mut self) {
        let before = self.format();
        if before >= self.links.newest_format() {
            return;
        }
        let stored = self.member.state().format();
        let link_formats = self.link_formats_of_others();
        let Some(raised) = self.stored_format.raise(stored, link_formats.into_iter()) else {
            return;
        };
        let Some(command) = self.service.raise_format(raised) else {
            self.stored_format.clear_proposed();
            return;
        };
        info!(self.logger, "stored format raised"; "format" => raised.number(),
            "before" => before.number());
        self.propose_own(command);
    }

    /// The format in which this member writes if it is the leader.
    pub(super) fn format(&self) -> Format {
        self.stored_format
            .write_format(self.member.state().format())
    }

    /// Whether commands that the format cannot express should not wait for a newer format.
    pub(super) fn is_format_settled(&self, now_ms: u64) -> bool {
        if self.format() >= self.links.newest_format() {
            return true;
        }
        let stored = self.member.state().format();
        let link_formats = self.link_formats_of_others();
        self.stored_format.is_settled(
            stored,
            self.member.is_current(),
            link_formats.into_iter(),
            now_ms,
        )
    }

    /// The formats of the links to all other members.
    fn link_formats_of_others(&self) -> Vec<Option<Format>> {
        let own = self.member.id().machine;
        let membership = self.member.status().membership;
        let members = membership.voters.iter().chain(&membership.learners);
        let others = members
            .map(|member| member.machine)
            .filter(|machine| *machine != own);
        others
            .map(|machine| self.links.format_with(machine))
            .collect()
    }

    /// Whether a machine can read what the group stores. If its format was not reported, a link is
    /// opened to ask it, and the answer counts at the next contact.
    pub(super) fn may_join(&self, machine: MachineId, reported: Option<Format>) -> bool {
        let supported = reported.or_else(|| self.links.format_with(machine));
        let may_join = self
            .stored_format
            .may_join(self.member.state().format(), supported);
        if !may_join && supported.is_none() && self.member.is_leader() {
            self.links.open_for_calls(machine);
        }
        may_join
    }

    /// Whether a member can read a message: entries and snapshots that it cannot read would stop it
    /// and would stay on its disk.
    pub(super) fn can_read(&mut self, message: &ConsensusMessage) -> bool {
        let stores = matches!(
            message.body,
            ConsensusBody::Append(_) | ConsensusBody::SnapshotChunk(_)
        );
        let to = message.to.machine;
        let link_format = self.links.format_with(to);
        let stored = self.member.state().format();
        if !stores || self.stored_format.can_be_sent(stored, link_format) {
            self.outdated_members.remove(&to);
            return true;
        }
        if self.outdated_members.insert(to) {
            warn!(self.logger, "member cannot read the stored format";
                "member" => address_of(to).to_string(),
                "reads" => link_format.map(Format::number), "stored" => self.format().number());
        }
        false
    }
}
