//! File records as objects of the OpenAI interface.

use std::sync::Arc;

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    command::CommandBody,
    ids::{FileId, TenantId},
    query::{FileRecord, Query, QueryAnswer},
};
use serde::Serialize;

use crate::{
    control::client::unexpected,
    http::{RequestHead, answer::json_response, page::Page},
    state::Gateway,
};

/// Index of the path segment with the id in `/v1/files/{id}`.
pub(super) const FILE_SEGMENT: usize = 2;

/// A file object of the OpenAI interface.
#[derive(Debug, Serialize)]
pub(super) struct FileObject {
    id: String,
    object: &'static str,
    bytes: u64,
    created_at: u64,
    filename: String,
    purpose: String,
    status: &'static str,
    status_details: Option<()>,
}

impl From<FileRecord> for FileObject {
    fn from(record: FileRecord) -> Self {
        FileObject {
            id: record.file.0,
            object: "file",
            bytes: record.bytes,
            created_at: record.created_at.0 / 1000,
            filename: record.filename,
            purpose: record.purpose,
            status: "processed",
            status_details: None,
        }
    }
}

#[derive(Serialize)]
struct DeletedFile<'a> {
    id: &'a str,
    object: &'static str,
    deleted: bool,
}

fn file_id(head: &RequestHead) -> FileId {
    FileId::from(head.segment(FILE_SEGMENT))
}

pub(super) fn no_such_file(file: &FileId) -> Failure {
    let shown: String = file.0.chars().take(128).collect();
    Failure::new(ErrorKind::NotFound, format!("no file has the id {shown:?}"))
}

/// `GET /v1/files`
pub(crate) async fn list(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let page = Page::of(head)?;
    let query = Query::Files {
        tenant: TenantId(tenant.name.clone()),
        after: page.after.map(FileId),
        limit: page.limit,
    };
    let QueryAnswer::Files { files, more } = gateway.control.query(query).await? else {
        return Err(unexpected());
    };
    let objects = files.into_iter().map(FileObject::from).collect();
    Ok(crate::http::page::list_response(
        objects,
        more,
        |file: &FileObject| &file.id,
    ))
}

/// `GET /v1/files/{id}`
pub(crate) async fn get(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let file = file_id(head);
    let query = Query::File(TenantId(tenant.name.clone()), file.clone());
    match gateway.control.query(query).await? {
        QueryAnswer::File(Some(record)) => {
            Ok(json_response(StatusCode::OK, &FileObject::from(record)))
        }
        QueryAnswer::File(None) => Err(no_such_file(&file)),
        _ => Err(unexpected()),
    }
}

/// `DELETE /v1/files/{id}`
pub(crate) async fn delete(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let file = file_id(head);
    let command = CommandBody::DeleteFile {
        tenant: TenantId(tenant.name.clone()),
        file: file.clone(),
    };
    gateway.control.propose(command).await?;
    let body = DeletedFile {
        id: &file.0,
        object: "file",
        deleted: true,
    };
    Ok(json_response(StatusCode::OK, &body))
}
