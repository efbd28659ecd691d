//! The commands that build the measured states, as gateways and operators send them.

use std::fmt::Write;

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::{
    command::{
        ApplyOutcome, CommandBody, ItemHead, JobResults, LeasedItem, NewClaim, NewJob, Outcome,
        RequestedItems,
    },
    ids::{
        ChangeId, FileId, GatewayId, IdempotencyKey, ItemNumber, JobId, ModelId, Revision,
        SessionEpoch, TenantId, Timestamp,
    },
    query::{ItemOutcome, StoredAnswer},
};

use super::member::MeasuredMember;

/// The models of the capacity plan.
pub(super) const MODELS: [&str; 4] = ["model-1", "model-2", "model-3", "model-4"];
const ENDPOINT: &str = "/v1/chat/completions";
/// Bytes of one piece of a file, as in gateways.
const PIECE_BYTES: usize = 256 * 1024;
/// Item heads in one command, as in gateways.
const HEADS_PER_COMMAND: usize = 2_048;
/// Results in one command; the maximum that gateways use.
pub(super) const RESULTS_PER_COMMAND: usize = 256;
const WINDOW_MS: u64 = 24 * 60 * 60 * 1_000;
const LEASE_MS: u64 = 30_000;
const STORED_ANSWER_BYTES: usize = 1_000;

fn unexpected(outcome: &Outcome) -> Report<ErrorKind> {
    Report::new(ErrorKind::Internal).attach(format!("unexpected outcome: {outcome:.60?}"))
}

/// The name of a gateway.
pub(super) fn gateway_name(number: u64) -> GatewayId {
    GatewayId(format!("gateway-{number:04}"))
}

/// The name of a tenant.
pub(super) fn tenant_name(number: u64) -> TenantId {
    TenantId(format!("tenant-{number:05}"))
}

/// A fleet file with the plan's models and this number of tenants; another `mark` changes one line.
pub(super) fn fleet_file(tenants: u64, mark: u64) -> String {
    let mut text =
        String::from("name = \"plan\"\n\n[[zone]]\nname = \"zone-1\"\nregion = \"one\"\n");
    for model in MODELS {
        let _ = write!(
            text,
            "\n[[model]]\nname = \"{model}\"\nversion = \"1\"\nplacement = [{{ zone = \"zone-1\", replicas = 9 }}]\n"
        );
    }
    for number in 0..tenants {
        let weight = if number == 0 { 1 + mark % 8 } else { 1 };
        let name = tenant_name(number);
        let _ = write!(
            text,
            "\n[[tenant]]\nname = \"{name}\"\nkey_sha256 = \"{number:064x}\"\nweight = {weight}\n"
        );
    }
    text.push_str("\n[batch]\nretention_hours = 72\n");
    text
}

/// Puts a fleet file in force on top of the current revision.
pub(super) fn configure(
    member: &mut MeasuredMember,
    content: String,
) -> Result<Revision, Report<ErrorKind>> {
    let expected = member.ledger.revision();
    let outcome = member.run(CommandBody::ApplyConfiguration {
        change: ChangeId(format!("change-{expected}")),
        expected,
        content,
    })?;
    match outcome {
        Outcome::Configuration(ApplyOutcome::Accepted(revision)) => Ok(revision),
        other => Err(unexpected(&other)),
    }
}

/// A job to build.
pub(super) struct JobPlan {
    /// Number from which the ids of the job and its file are derived.
    pub(super) number: u64,
    /// The tenant that owns the job.
    pub(super) tenant: TenantId,
    /// Number of items.
    pub(super) items: u64,
    /// Bytes of each line.
    pub(super) line_bytes: usize,
    /// The model of all items.
    pub(super) model: &'static str,
}

impl JobPlan {
    /// A job of one of the plan's tenants and models.
    pub(super) fn new(number: u64, tenants: u64, items: u64, line_bytes: usize) -> Self {
        JobPlan {
            number,
            tenant: tenant_name(number % tenants.max(1)),
            items,
            line_bytes,
            model: MODELS[number as usize % MODELS.len()],
        }
    }

    /// The id of the job.
    pub(super) fn job(&self) -> JobId {
        JobId(format!("batch_{:026}", self.number))
    }

    fn file(&self) -> FileId {
        FileId(format!("file-{:026}", self.number))
    }

    fn line(&self) -> Vec<u8> {
        let mut line = vec![b'x'; self.line_bytes];
        if let Some(last) = line.last_mut() {
            *last = b'\n';
        }
        line
    }

    fn head(&self, item: u64) -> ItemHead {
        ItemHead {
            bytes: self.line_bytes as u32,
            model: ModelId(self.model.to_owned()),
            endpoint: ENDPOINT.to_owned(),
            at_most_once: false,
            custom_id: format!("row-{item:06}"),
        }
    }
}

/// Uploads a job's input file, piece by piece.
pub(super) fn upload(member: &mut MeasuredMember, plan: &JobPlan) -> Result<(), Report<ErrorKind>> {
    let file = plan.file();
    member.run(CommandBody::CreateFile {
        file: file.clone(),
        tenant: plan.tenant.clone(),
        purpose: "batch".to_owned(),
        filename: "items.jsonl".to_owned(),
    })?;
    let bytes = append_lines(member, plan, &file)?;
    let mut first = 0;
    while first < plan.items {
        let end = plan.items.min(first + HEADS_PER_COMMAND as u64);
        member.run(CommandBody::IndexFile {
            file: file.clone(),
            first: ItemNumber(first as u32),
            items: (first..end).map(|item| plan.head(item)).collect(),
        })?;
        first = end;
    }
    member.run(CommandBody::FinishFile {
        file,
        bytes,
        items: Vec::new(),
    })?;
    Ok(())
}

fn append_lines(
    member: &mut MeasuredMember,
    plan: &JobPlan,
    file: &FileId,
) -> Result<u64, Report<ErrorKind>> {
    let line = plan.line();
    let lines_per_piece = (PIECE_BYTES / line.len().max(1)).max(1) as u64;
    let mut sent = 0;
    let mut offset = 0;
    while sent < plan.items {
        let lines = lines_per_piece.min(plan.items - sent);
        let data = line.repeat(lines as usize);
        let length = data.len() as u64;
        member.run(CommandBody::AppendFile {
            file: file.clone(),
            offset,
            data,
        })?;
        offset += length;
        sent += lines;
    }
    Ok(offset)
}

/// Creates a job from its uploaded file.
pub(super) fn accept(member: &mut MeasuredMember, plan: &JobPlan) -> Result<(), Report<ErrorKind>> {
    member.run(CommandBody::CreateJob(NewJob {
        job: plan.job(),
        tenant: plan.tenant.clone(),
        input: plan.file(),
        endpoint: ENDPOINT.to_owned(),
        window_ms: WINDOW_MS,
        metadata: "{}".to_owned(),
        idempotency: Some(IdempotencyKey(format!("key-{}", plan.number))),
        content_digest: plan.number,
    }))?;
    Ok(())
}

/// Opens the session of a gateway.
pub(super) fn open_session(
    member: &mut MeasuredMember,
    gateway: u64,
) -> Result<SessionEpoch, Report<ErrorKind>> {
    let gateway = gateway_name(gateway);
    match member.run(CommandBody::OpenSession { gateway, nonce: 1 })? {
        Outcome::Session(session) => Ok(session),
        other => Err(unexpected(&other)),
    }
}

/// A gateway that leases and completes items.
pub(super) struct Executor {
    gateway: u64,
    session: SessionEpoch,
    sequence: u64,
}

impl Executor {
    /// Opens the session of the gateway.
    pub(super) fn open(
        member: &mut MeasuredMember,
        gateway: u64,
    ) -> Result<Self, Report<ErrorKind>> {
        Ok(Executor {
            gateway,
            session: open_session(member, gateway)?,
            sequence: 0,
        })
    }

    /// Leases up to `count` items of each of the models.
    pub(super) fn lease(
        &mut self,
        member: &mut MeasuredMember,
        models: &[&str],
        count: u32,
    ) -> Result<Vec<LeasedItem>, Report<ErrorKind>> {
        self.sequence += 1;
        let requested = models.iter().map(|model| RequestedItems {
            model: ModelId((*model).to_owned()),
            count,
        });
        let until = Timestamp(member.now_ms() + LEASE_MS);
        let outcome = member.run(CommandBody::LeaseItems {
            gateway: gateway_name(self.gateway),
            session: self.session,
            sequence: self.sequence,
            requested: requested.collect(),
            until,
        })?;
        match outcome {
            Outcome::Leased(items) => Ok(items),
            other => Err(unexpected(&other)),
        }
    }

    /// Completes items with results of `result_bytes` bytes; returns the number of stored results.
    pub(super) fn complete(
        &self,
        member: &mut MeasuredMember,
        items: &[LeasedItem],
        result_bytes: usize,
    ) -> Result<u64, Report<ErrorKind>> {
        let outcome = member.run(CommandBody::CompleteItems {
            gateway: gateway_name(self.gateway),
            session: self.session,
            results: results_by_job(items, result_bytes),
        })?;
        match outcome {
            Outcome::Completed { stored, .. } => Ok(u64::from(stored)),
            other => Err(unexpected(&other)),
        }
    }

    /// Claims an idempotency key and, if `answered` is set, stores an answer for it.
    pub(super) fn claim(
        &self,
        member: &mut MeasuredMember,
        number: u64,
        answered: bool,
    ) -> Result<(), Report<ErrorKind>> {
        let tenant = tenant_name(number);
        let key = IdempotencyKey(format!("request-{number:012}"));
        member.run(CommandBody::ClaimRequest(NewClaim {
            tenant: tenant.clone(),
            key: key.clone(),
            content_digest: number,
            at_most_once: true,
            gateway: gateway_name(self.gateway),
            session: self.session,
            attempt: number,
        }))?;
        if answered {
            member.run(CommandBody::FinishClaim {
                tenant,
                key,
                gateway: gateway_name(self.gateway),
                session: self.session,
                attempt: number,
                answer: Some(StoredAnswer {
                    status: 200,
                    content_type: "application/json".to_owned(),
                    body: json_text(STORED_ANSWER_BYTES),
                }),
            })?;
        }
        Ok(())
    }
}

fn results_by_job(items: &[LeasedItem], result_bytes: usize) -> Vec<JobResults> {
    let mut results: Vec<JobResults> = Vec::new();
    for item in items {
        let outcome = ItemOutcome {
            item: item.key.item,
            status: 200,
            error_code: String::new(),
            body: json_text(result_bytes),
        };
        let outcome = (item.key.lease, outcome);
        match results.last_mut().filter(|last| last.job == item.key.job) {
            Some(last) => last.outcomes.push(outcome),
            None => results.push(JobResults {
                job: item.key.job.clone(),
                outcomes: vec![outcome],
            }),
        }
    }
    results
}

/// A JSON string of `bytes` bytes, including its quotes.
fn json_text(bytes: usize) -> Vec<u8> {
    let mut text = vec![b'x'; bytes.max(2)];
    let last = text.len() - 1;
    text[0] = b'"';
    text[last] = b'"';
    text
}
