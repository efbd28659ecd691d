//! Calls of the job store and their replies in the first format. Frozen, because a build in
//! production uses them. The first format has no run ids and no excluded work.

#![allow(
    missing_docs,
    reason = "variants and fields are documented on the current types"
)]

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::first_format::not_in_first_format;
use rkyv::{Archive, Deserialize, Serialize};

use crate::{
    call::{ItemWork, QueueBound, ResultsPage, StoreCall, StoreReply},
    command::{ItemOutcome, ItemRef},
    excluded_work::ExcludedWork,
    job::{ItemSpec, JobSpec},
    progress::{GeneratedEvents, ItemProgress, RunId, RunProgress, StoredProgress},
};

/// A call of a gateway.
#[derive(Archive, Serialize, Deserialize)]
pub enum FirstFormatCall {
    Submit {
        job: JobSpec,
        tenant: Option<String>,
        bound: Option<QueueBound>,
    },
    Report {
        item: ItemRef,
        outcome: ItemOutcome,
    },
    Finish(ItemProgress),
    End {
        job: String,
        tenant: Option<String>,
    },
    Results {
        job: String,
        tenant: Option<String>,
        since: u32,
        most_bytes: u32,
    },
    Body {
        job: String,
        tenant: Option<String>,
        item: String,
    },
    Progress(Vec<ItemProgress>),
    Work {
        gateway: String,
        running: Vec<ItemRef>,
        max_items: u32,
        item_ms: u64,
    },
}

/// An item to be run under a lease.
#[derive(Archive, Serialize, Deserialize)]
pub struct FirstFormatWork {
    item: ItemRef,
    host: String,
    tenant: Option<String>,
    spec: ItemSpec,
    failures: u32,
    due_in_ms: u64,
    generated: GeneratedEvents,
}

/// The leader's answer.
#[derive(Archive, Serialize, Deserialize)]
pub enum FirstFormatReply {
    Done,
    NotFound,
    OtherTenant,
    Results(ResultsPage),
    Body(Vec<u8>),
    Work {
        begin: Vec<FirstFormatWork>,
        stop: Vec<ItemRef>,
    },
    ReportAgain(Vec<ItemRef>),
    NotLeader(Option<u32>),
    QueueFull,
    Refused,
    Unknown,
}

impl TryFrom<StoreCall> for FirstFormatCall {
    type Error = Report<ErrorKind>;

    fn try_from(call: StoreCall) -> Result<Self, Self::Error> {
        Ok(match call {
            StoreCall::Submit { job, tenant, bound } => {
                FirstFormatCall::Submit { job, tenant, bound }
            }
            StoreCall::Report { item, outcome } => FirstFormatCall::Report { item, outcome },
            StoreCall::Finish(last) => FirstFormatCall::Finish(last.progress),
            StoreCall::End { job, tenant } => FirstFormatCall::End { job, tenant },
            StoreCall::Results {
                job,
                tenant,
                since,
                most_bytes,
            } => FirstFormatCall::Results {
                job,
                tenant,
                since,
                most_bytes,
            },
            StoreCall::Listed { .. } => return Err(not_in_first_format("count of results")),
            StoreCall::ResultsHeld { .. } => {
                return Err(not_in_first_format("reads of results from a follower"));
            }
            StoreCall::Body { job, tenant, item } => FirstFormatCall::Body { job, tenant, item },
            StoreCall::Progress(reports) => FirstFormatCall::Progress(
                reports.into_iter().map(|report| report.progress).collect(),
            ),
            StoreCall::Work {
                gateway,
                running,
                max_items,
                item_ms,
                excluded,
            } => FirstFormatCall::Work {
                // A leader without knowledge of homes could lease items that this gateway must not
                // run.
                max_items: if excluded.is_bound_by_homes {
                    0
                } else {
                    max_items
                },
                gateway,
                running,
                item_ms,
            },
        })
    }
}

impl From<FirstFormatCall> for StoreCall {
    fn from(first: FirstFormatCall) -> Self {
        match first {
            FirstFormatCall::Submit { job, tenant, bound } => {
                StoreCall::Submit { job, tenant, bound }
            }
            FirstFormatCall::Report { item, outcome } => StoreCall::Report { item, outcome },
            FirstFormatCall::Finish(last) => StoreCall::Finish(RunProgress::without_run_id(last)),
            FirstFormatCall::End { job, tenant } => StoreCall::End { job, tenant },
            FirstFormatCall::Results {
                job,
                tenant,
                since,
                most_bytes,
            } => StoreCall::Results {
                job,
                tenant,
                since,
                most_bytes,
            },
            FirstFormatCall::Body { job, tenant, item } => StoreCall::Body { job, tenant, item },
            FirstFormatCall::Progress(reports) => StoreCall::Progress(
                reports
                    .into_iter()
                    .map(RunProgress::without_run_id)
                    .collect(),
            ),
            FirstFormatCall::Work {
                gateway,
                running,
                max_items,
                item_ms,
            } => StoreCall::Work {
                gateway,
                running,
                max_items,
                item_ms,
                excluded: ExcludedWork::default(),
            },
        }
    }
}

impl From<ItemWork> for FirstFormatWork {
    fn from(work: ItemWork) -> Self {
        FirstFormatWork {
            item: work.item,
            host: work.host,
            tenant: work.tenant,
            spec: work.spec,
            failures: work.failures,
            due_in_ms: work.due_in_ms,
            generated: work.generated.generated,
        }
    }
}

impl From<FirstFormatWork> for ItemWork {
    fn from(first: FirstFormatWork) -> Self {
        ItemWork {
            item: first.item,
            host: first.host,
            route: None,
            tenant: first.tenant,
            spec: first.spec,
            failures: first.failures,
            due_in_ms: first.due_in_ms,
            generated: StoredProgress {
                generated: first.generated,
                reported_by: RunId::UNKNOWN,
            },
        }
    }
}

impl TryFrom<StoreReply> for FirstFormatReply {
    type Error = Report<ErrorKind>;

    fn try_from(reply: StoreReply) -> Result<Self, Self::Error> {
        Ok(match reply {
            StoreReply::Done => FirstFormatReply::Done,
            StoreReply::NotFound => FirstFormatReply::NotFound,
            StoreReply::OtherTenant => FirstFormatReply::OtherTenant,
            StoreReply::Results(page) => FirstFormatReply::Results(page),
            StoreReply::Listed { .. } => return Err(not_in_first_format("count of results")),
            StoreReply::Body(body) => FirstFormatReply::Body(body),
            StoreReply::Work { begin, stop } => FirstFormatReply::Work {
                begin: begin.into_iter().map(FirstFormatWork::from).collect(),
                stop,
            },
            StoreReply::ReportAgain(items) => FirstFormatReply::ReportAgain(items),
            StoreReply::NotLeader(leader) => FirstFormatReply::NotLeader(leader),
            StoreReply::QueueFull => FirstFormatReply::QueueFull,
            StoreReply::Refused => FirstFormatReply::Refused,
            StoreReply::Unknown => FirstFormatReply::Unknown,
        })
    }
}

impl From<FirstFormatReply> for StoreReply {
    fn from(first: FirstFormatReply) -> Self {
        match first {
            FirstFormatReply::Done => StoreReply::Done,
            FirstFormatReply::NotFound => StoreReply::NotFound,
            FirstFormatReply::OtherTenant => StoreReply::OtherTenant,
            FirstFormatReply::Results(page) => StoreReply::Results(page),
            FirstFormatReply::Body(body) => StoreReply::Body(body),
            FirstFormatReply::Work { begin, stop } => StoreReply::Work {
                begin: begin.into_iter().map(ItemWork::from).collect(),
                stop,
            },
            FirstFormatReply::ReportAgain(items) => StoreReply::ReportAgain(items),
            FirstFormatReply::NotLeader(leader) => StoreReply::NotLeader(leader),
            FirstFormatReply::QueueFull => StoreReply::QueueFull,
            FirstFormatReply::Refused => StoreReply::Refused,
            FirstFormatReply::Unknown => StoreReply::Unknown,
        }
    }
}
