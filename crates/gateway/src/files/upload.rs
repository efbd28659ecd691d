//! `POST /v1/files`: validates an upload line by line while sending it to control in chunks.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_ingress::MemoryReservation;
use linnethitch_protocol::{
    command::{CommandBody, Outcome},
    ids::{FileId, ItemNumber, TenantId},
    query::FileRecord,
};

use crate::{
    control::client::{ControlClient, unexpected},
    files::{
        lines::{CheckedLines, LineChecker},
        object::FileObject,
        source::Upload,
    },
    http::{
        IncomingRequest,
        answer::json_response,
        body::{body_too_large, check_announced_length, no_memory},
    },
    identifiers::new_file_id,
    state::Gateway,
};

/// The only supported purpose.
const PURPOSE: &str = "batch";
/// Copies of a chunk that exist at the same time: the validated lines, the call that may be sent
/// again, its encoding for the connection, and the lines that follow.
const COPIES_PER_CHUNK: usize = 4;

/// Handles an upload.
pub(crate) async fn create(
    gateway: &Arc<Gateway>,
    incoming: IncomingRequest,
) -> Result<Response<Body>, Failure> {
    let (active, tenant) = gateway.authenticate(&incoming.head)?;
    let fleet = &active.fleet;
    let max_bytes = fleet.batch.max_file_bytes;
    check_announced_length(&incoming.head.headers, max_bytes)?;
    let buffer_bytes = gateway.settings.limits.upload_buffer_bytes as usize;
    let memory = MemoryReservation::new(&incoming.connection, buffer_bytes as u64);
    let memory = memory.map_err(|_| no_memory())?;
    let stall_limit = active.document_limits().time;
    let mut upload = Upload::open(incoming, memory, max_bytes, stall_limit).await?;
    check_purpose(upload.purpose.as_deref())?;
    let file = new_file_id();
    let command = CommandBody::CreateFile {
        file: file.clone(),
        tenant: TenantId(tenant.name.clone()),
        purpose: PURPOSE.to_owned(),
        filename: upload.filename.clone(),
    };
    let mut unfinished = UnfinishedFile {
        control: gateway.control.clone(),
        tenant: TenantId(tenant.name.clone()),
        file: Some(file.clone()),
    };
    gateway.control.propose(command).await?;
    let chunk_bytes = buffer_bytes / COPIES_PER_CHUNK;
    let mut writer = FileWriter::new(gateway.control.clone(), file, chunk_bytes);
    writer.copy(&mut upload, fleet).await?;
    check_purpose(upload.finish().await?.as_deref())?;
    let record = writer.finish().await?;
    unfinished.file = None;
    Ok(json_response(StatusCode::OK, &FileObject::from(record)))
}

fn check_purpose(purpose: Option<&str>) -> Result<(), Failure> {
    match purpose {
        None | Some(PURPOSE) => Ok(()),
        Some(_) => Err(
            Failure::new(ErrorKind::InvalidValue, "`purpose` must be `batch`")
                .with_param("purpose"),
        ),
    }
}

/// Deletes a file on drop unless its upload was completed, whatever ended the upload.
struct UnfinishedFile {
    control: ControlClient,
    tenant: TenantId,
    file: Option<FileId>,
}

impl Drop for UnfinishedFile {
    fn drop(&mut self) {
        let Some(file) = self.file.take() else {
            return;
        };
        let control = self.control.clone();
        let command = CommandBody::DeleteFile {
            tenant: self.tenant.clone(),
            file,
        };
        tokio::spawn(async move {
            // If the command does not reach control, the ledger removes the file after a time.
            let _ = control.propose(command).await;
        });
    }
}

/// Sends validated lines to control in chunks.
struct FileWriter {
    control: ControlClient,
    file: FileId,
    bytes: u64,
    items: u32,
    chunk_bytes: usize,
}

impl FileWriter {
    fn new(control: ControlClient, file: FileId, chunk_bytes: usize) -> Self {
        FileWriter {
            control,
            file,
            bytes: 0,
            items: 0,
            chunk_bytes,
        }
    }

    async fn copy(&mut self, upload: &mut Upload, fleet: &Fleet) -> Result<(), Failure> {
        let mut checker = LineChecker::new(fleet);
        let mut checked = CheckedLines::default();
        let mut received: u64 = 0;
        while let Some(bytes) = upload.next().await? {
            received += bytes.len() as u64;
            if received > fleet.batch.max_file_bytes {
                return Err(body_too_large(fleet.batch.max_file_bytes));
            }
            checker.push(&bytes);
            let held = COPIES_PER_CHUNK * self.chunk_bytes + checker.memory_bytes();
            upload.hold(held as u64)?;
            while checker.check_next(fleet, &mut checked)? {
                if checked.is_full(self.chunk_bytes) {
                    self.send(&mut checked).await?;
                }
            }
            // Validation is CPU-bound: yields so that streams of other callers make progress.
            tokio::task::yield_now().await;
        }
        checker.finish(fleet, &mut checked)?;
        if checker.items() == 0 {
            return Err(
                Failure::new(ErrorKind::InvalidValue, "the file has no lines").with_param("file"),
            );
        }
        self.send(&mut checked).await
    }

    async fn send(&mut self, checked: &mut CheckedLines) -> Result<(), Failure> {
        let CheckedLines { bytes, heads } = std::mem::take(checked);
        if heads.is_empty() {
            return Ok(());
        }
        let size = bytes.len() as u64;
        let append = CommandBody::AppendFile {
            file: self.file.clone(),
            offset: self.bytes,
            data: bytes,
        };
        self.control.propose(append).await?;
        self.bytes += size;
        let first = ItemNumber(self.items);
        self.items += u32::try_from(heads.len()).unwrap_or(u32::MAX);
        let index = CommandBody::IndexFile {
            file: self.file.clone(),
            first,
            items: heads,
        };
        self.control.propose(index).await.map(drop)
    }

    async fn finish(self) -> Result<FileRecord, Failure> {
        let finish = CommandBody::FinishFile {
            file: self.file,
            bytes: self.bytes,
            items: Vec::new(),
        };
        match self.control.propose(finish).await? {
            Outcome::File(record) => Ok(record),
            _ => Err(unexpected()),
        }
    }
}
