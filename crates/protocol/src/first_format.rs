//! Datagrams between gateways, and answers of control members, in the first format. The types
//! are frozen because builds in production write them.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    attach::{ControlAnswer, ControlCall},
    command::CommandBody,
    format::Format,
    ids::Revision,
    query::{FleetStatus, GatewayStatus, MemberStatus, QueryAnswer, ReplicaStatus},
    quota::QuotaMessage,
    slots::{AskMode, GatewayDatagram, HeldLease, RunOutcome, SlotLoad, Verdict},
    suspicion::{ConsecutiveEnds, EndedRun, ReportedSuspicion, RequestFingerprint},
};

/// The error for a message that the first format cannot represent.
pub fn not_in_first_format(message: &str) -> Report<ErrorKind> {
    not_in_format(Format::First, message)
}

/// The error for a message that a format cannot represent.
fn not_in_format(format: Format, message: &str) -> Report<ErrorKind> {
    Report::new(ErrorKind::InvalidState)
        .attach(format!("format {format} cannot represent {message}"))
}

/// A run that was interrupted when its replica ended. Of the earlier ends, only the number is
/// included.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FirstEndedRun {
    fingerprint: RequestFingerprint,
    known_ends: u32,
    ran_ms: u32,
}

/// A message about tenant limits; this format has no messages of witnesses.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum FirstQuotaMessage {
    /// As [`QuotaMessage::Ask`].
    Ask {
        tenant: String,
        requested: u32,
        resent: u32,
        sent_without_lease: u32,
        sent_late: u32,
        unused: u32,
    },
    /// As [`QuotaMessage::Grant`].
    Grant {
        tenant: String,
        granted: u32,
        retry_after_ms: u32,
    },
    /// As [`QuotaMessage::ControlUnreachable`].
    ControlUnreachable,
    /// As [`QuotaMessage::NotCoordinator`].
    NotCoordinator { tenant: String },
}

/// The fleet as known to control; this format has no evacuated zones.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct FirstFleetStatus {
    revision: Revision,
    lowest_in_force: Revision,
    highest_in_force: Revision,
    members: Vec<MemberStatus>,
    gateways: Vec<GatewayStatus>,
    replicas: Vec<ReplicaStatus>,
    open_jobs: u64,
    pending_items: u64,
    leased_items: u64,
}

impl CommandBody {
    /// The first format that has the command. Every command is named here, so that one that is
    /// added gets a format: a format that a released build writes gets no further commands.
    #[must_use]
    pub fn first_format(&self) -> Format {
        match self {
            CommandBody::ApplyConfiguration { .. }
            | CommandBody::CreateFile { .. }
            | CommandBody::AppendFile { .. }
            | CommandBody::IndexFile { .. }
            | CommandBody::FinishFile { .. }
            | CommandBody::DeleteFile { .. }
            | CommandBody::CreateJob(_)
            | CommandBody::CancelJob { .. }
            | CommandBody::OpenSession { .. }
            | CommandBody::RenewSession { .. }
            | CommandBody::LeaseItems { .. }
            | CommandBody::StartItems { .. }
            | CommandBody::CompleteItems { .. }
            | CommandBody::ReleaseItems { .. }
            | CommandBody::ClaimRequest(_)
            | CommandBody::FinishClaim { .. }
            | CommandBody::IssueOrder { .. }
            | CommandBody::SettleOrder { .. }
            | CommandBody::Expire => Format::First,
            CommandBody::StartItemsAt { .. } | CommandBody::SettleStart { .. } => Format::Third,
        }
    }

    /// Converts the command to one that readers of a format know. Before the third format, starts
    /// are recorded without their requests, so that no engine is asked about them.
    ///
    /// # Errors
    /// `InvalidState` when the format has no such command.
    pub fn in_format(self, format: Format) -> Result<Self, Report<ErrorKind>> {
        if self.first_format() <= format {
            return Ok(self);
        }
        match self {
            CommandBody::StartItemsAt {
                gateway,
                session,
                starts,
            } => Ok(CommandBody::StartItems {
                gateway,
                session,
                items: starts.into_iter().map(|start| start.key).collect(),
            }),
            _ => Err(not_in_format(format, "the command")),
        }
    }
}

impl ControlCall {
    /// Converts the call to one that readers of a format know.
    ///
    /// # Errors
    /// `InvalidState` when the format has no such call.
    pub fn in_format(self, format: Format) -> Result<Self, Report<ErrorKind>> {
        match self {
            ControlCall::Propose(command) => command.in_format(format).map(ControlCall::Propose),
            query @ ControlCall::Query(_) => Ok(query),
        }
    }
}

impl ControlAnswer {
    /// Converts the answer to its representation in a format.
    #[must_use]
    pub fn in_format(self, format: Format) -> Self {
        match (format, self) {
            (Format::First, ControlAnswer::Answer(QueryAnswer::Status(status))) => {
                ControlAnswer::Answer(QueryAnswer::FirstStatus(status.into()))
            }
            (_, other) => other,
        }
    }

    /// Converts an answer read in any format to the current representation.
    #[must_use]
    pub fn into_current_format(self) -> Self {
        match self {
            ControlAnswer::Answer(QueryAnswer::FirstStatus(first)) => {
                ControlAnswer::Answer(QueryAnswer::Status(first.into()))
            }
            other => other,
        }
    }
}

impl From<FleetStatus> for FirstFleetStatus {
    fn from(status: FleetStatus) -> Self {
        FirstFleetStatus {
            revision: status.revision,
            lowest_in_force: status.lowest_in_force,
            highest_in_force: status.highest_in_force,
            members: status.members,
            gateways: status.gateways,
            replicas: status.replicas,
            open_jobs: status.open_jobs,
            pending_items: status.pending_items,
            leased_items: status.leased_items,
        }
    }
}

impl From<FirstFleetStatus> for FleetStatus {
    fn from(first: FirstFleetStatus) -> Self {
        FleetStatus {
            revision: first.revision,
            lowest_in_force: first.lowest_in_force,
            highest_in_force: first.highest_in_force,
            members: first.members,
            gateways: first.gateways,
            replicas: first.replicas,
            evacuated_zones: Vec::new(),
            open_jobs: first.open_jobs,
            pending_items: first.pending_items,
            leased_items: first.leased_items,
        }
    }
}

/// A datagram between gateways.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum FirstDatagram {
    /// As [`GatewayDatagram::Ask`].
    Ask {
        number: u64,
        replica: String,
        due_in_ms: u32,
        rank: u8,
        mode: AskMode,
    },
    /// As [`GatewayDatagram::Answer`].
    Answer {
        number: u64,
        verdict: Verdict,
        loads: Vec<SlotLoad>,
    },
    /// As [`GatewayDatagram::End`].
    End { number: u64, outcome: RunOutcome },
    /// As [`GatewayDatagram::Held`].
    Held { leases: Vec<HeldLease> },
    /// A replica ended during these runs of the sender.
    ReplicaEnded {
        replica: String,
        runs: Vec<FirstEndedRun>,
    },
    /// A message about tenant limits.
    Quota(FirstQuotaMessage),
}

impl GatewayDatagram {
    /// Whether a format cannot represent the complete message.
    #[must_use]
    pub fn loses_content_in(&self, format: Format) -> bool {
        let loses_in_first = match self {
            GatewayDatagram::Suspicions(_) => true,
            GatewayDatagram::Quota(message) => {
                FirstQuotaMessage::try_from(message.clone()).is_err()
            }
            _ => false,
        };
        (format == Format::First && loses_in_first)
            || (format < Format::Third && self.is_about_streams())
    }

    /// The messages of a format with the same content. A message of the first format reports one
    /// replica and no cleared requests.
    #[must_use]
    pub fn messages_in(&self, format: Format) -> Vec<GatewayDatagram> {
        match (format, self) {
            (Format::First | Format::Second, message) if message.is_about_streams() => Vec::new(),
            (Format::First, GatewayDatagram::Suspicions(reported)) => {
                let open = reported
                    .iter()
                    .filter(|suspicion| !suspicion.consecutive_ends.is_empty());
                open.map(|suspicion| GatewayDatagram::Suspicions(vec![suspicion.clone()]))
                    .collect()
            }
            _ => vec![self.clone()],
        }
    }
}

impl From<FirstEndedRun> for EndedRun {
    /// Assumes that the earlier runs lasted as long as this one.
    fn from(first: FirstEndedRun) -> Self {
        EndedRun {
            fingerprint: first.fingerprint,
            known: ConsecutiveEnds::with_equal_lengths(first.ran_ms, first.known_ends),
            ran_ms: first.ran_ms,
        }
    }
}

impl From<EndedRun> for FirstEndedRun {
    fn from(run: EndedRun) -> Self {
        FirstEndedRun {
            fingerprint: run.fingerprint,
            known_ends: run.known.lengths_ms.len() as u32,
            ran_ms: run.ran_ms,
        }
    }
}

fn ended_run(suspicion: &ReportedSuspicion) -> Option<FirstEndedRun> {
    let (ran_ms, known) = suspicion.consecutive_ends.lengths_ms.split_last()?;
    Some(FirstEndedRun {
        fingerprint: suspicion.fingerprint,
        known_ends: known.len() as u32,
        ran_ms: *ran_ms,
    })
}

fn reported_suspicion(replica: &str, run: &FirstEndedRun) -> ReportedSuspicion {
    ReportedSuspicion {
        fingerprint: run.fingerprint,
        replica: replica.to_owned(),
        consecutive_ends: ConsecutiveEnds::with_equal_lengths(
            run.ran_ms,
            run.known_ends.saturating_add(1),
        ),
    }
}

impl TryFrom<GatewayDatagram> for FirstDatagram {
    type Error = Report<ErrorKind>;

    fn try_from(datagram: GatewayDatagram) -> Result<Self, Self::Error> {
        Ok(match datagram {
            GatewayDatagram::Ask {
                number,
                replica,
                due_in_ms,
                rank,
                mode,
            } => FirstDatagram::Ask {
                number,
                replica,
                due_in_ms,
                rank,
                mode,
            },
            GatewayDatagram::Answer {
                number,
                verdict,
                loads,
            } => FirstDatagram::Answer {
                number,
                verdict,
                loads,
            },
            GatewayDatagram::End { number, outcome } => FirstDatagram::End { number, outcome },
            GatewayDatagram::Held { leases } => FirstDatagram::Held { leases },
            GatewayDatagram::Suspicions(reported) => {
                let one_replica = reported.first().map(|first| first.replica.clone());
                let one_replica = one_replica.filter(|replica| {
                    reported
                        .iter()
                        .all(|suspicion| suspicion.replica == *replica)
                });
                let replica =
                    one_replica.ok_or_else(|| not_in_first_format("ends of several replicas"))?;
                let runs: Vec<FirstEndedRun> = reported.iter().filter_map(ended_run).collect();
                FirstDatagram::ReplicaEnded { replica, runs }
            }
            GatewayDatagram::Quota(message) => FirstDatagram::Quota(message.try_into()?),
            GatewayDatagram::StreamBegan(_)
            | GatewayDatagram::FindStream { .. }
            | GatewayDatagram::StreamFound { .. } => {
                return Err(not_in_first_format("records of streams"));
            }
        })
    }
}

impl From<FirstDatagram> for GatewayDatagram {
    fn from(first: FirstDatagram) -> Self {
        match first {
            FirstDatagram::Ask {
                number,
                replica,
                due_in_ms,
                rank,
                mode,
            } => GatewayDatagram::Ask {
                number,
                replica,
                due_in_ms,
                rank,
                mode,
            },
            FirstDatagram::Answer {
                number,
                verdict,
                loads,
            } => GatewayDatagram::Answer {
                number,
                verdict,
                loads,
            },
            FirstDatagram::End { number, outcome } => GatewayDatagram::End { number, outcome },
            FirstDatagram::Held { leases } => GatewayDatagram::Held { leases },
            FirstDatagram::ReplicaEnded { replica, runs } => GatewayDatagram::Suspicions(
                runs.iter()
                    .map(|run| reported_suspicion(&replica, run))
                    .collect(),
            ),
            FirstDatagram::Quota(message) => GatewayDatagram::Quota(message.into()),
        }
    }
}

impl TryFrom<QuotaMessage> for FirstQuotaMessage {
    type Error = Report<ErrorKind>;

    fn try_from(message: QuotaMessage) -> Result<Self, Self::Error> {
        Ok(match message {
            QuotaMessage::Ask {
                tenant,
                requested,
                resent,
                sent_without_lease,
                sent_late,
                unused,
            } => FirstQuotaMessage::Ask {
                tenant,
                requested,
                resent,
                sent_without_lease,
                sent_late,
                unused,
            },
            QuotaMessage::Grant {
                tenant,
                granted,
                retry_after_ms,
            } => FirstQuotaMessage::Grant {
                tenant,
                granted,
                retry_after_ms,
            },
            QuotaMessage::ControlUnreachable => FirstQuotaMessage::ControlUnreachable,
            QuotaMessage::NotCoordinator { tenant } => FirstQuotaMessage::NotCoordinator { tenant },
            QuotaMessage::WitnessRequest { .. }
            | QuotaMessage::WitnessResponse { .. }
            | QuotaMessage::ContactQuery { .. }
            | QuotaMessage::NoContact { .. } => {
                return Err(not_in_first_format("messages of witnesses of limits"));
            }
        })
    }
}

impl From<FirstQuotaMessage> for QuotaMessage {
    fn from(first: FirstQuotaMessage) -> Self {
        match first {
            FirstQuotaMessage::Ask {
                tenant,
                requested,
                resent,
                sent_without_lease,
                sent_late,
                unused,
            } => QuotaMessage::Ask {
                tenant,
                requested,
                resent,
                sent_without_lease,
                sent_late,
                unused,
            },
            FirstQuotaMessage::Grant {
                tenant,
                granted,
                retry_after_ms,
            } => QuotaMessage::Grant {
                tenant,
                granted,
                retry_after_ms,
            },
            FirstQuotaMessage::ControlUnreachable => QuotaMessage::ControlUnreachable,
            FirstQuotaMessage::NotCoordinator { tenant } => QuotaMessage::NotCoordinator { tenant },
        }
    }
}
