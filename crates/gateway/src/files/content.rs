//! `GET /v1/files/{id}/content`: streams the content of a file from control in pages.

use std::{io, sync::Arc};

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use gotham::helpers::http::Body;
use http::{HeaderValue, Response, header};
use http_body_util::StreamBody;
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_protocol::{
    ids::{FileId, TenantId},
    query::{Query, QueryAnswer},
};

use crate::{
    control::client::unexpected,
    files::object::{FILE_SEGMENT, no_such_file},
    http::RequestHead,
    state::Gateway,
};

/// Bytes requested per page.
const PAGE_BYTES: u32 = 256 * 1024;

/// Reads a file page by page.
struct PageReader {
    gateway: Arc<Gateway>,
    tenant: TenantId,
    file: FileId,
    next: Option<u64>,
}

impl PageReader {
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        let Some(cursor) = self.next else {
            return Ok(None);
        };
        let query = Query::FileContent {
            tenant: self.tenant.clone(),
            file: self.file.clone(),
            cursor,
            limit: PAGE_BYTES,
        };
        match self.gateway.control.query(query).await? {
            QueryAnswer::FileContent { data, next } => {
                self.next = next;
                Ok(Some(Bytes::from(data)))
            }
            _ => Err(unexpected()),
        }
    }
}

/// Streams a file. A failure in the middle breaks the connection, so that the caller does not take
/// a truncated file for a complete one.
pub(crate) async fn content(
    gateway: &Arc<Gateway>,
    head: &RequestHead,
) -> Result<Response<Body>, Failure> {
    let (_, tenant) = gateway.authenticate(head)?;
    let mut reader = PageReader {
        gateway: Arc::clone(gateway),
        tenant: TenantId(tenant.name.clone()),
        file: FileId::from(head.segment(FILE_SEGMENT)),
        next: Some(0),
    };
    let first = reader.read().await.map_err(|failure| match failure.kind {
        ErrorKind::NotFound => no_such_file(&reader.file),
        _ => failure,
    })?;
    let remaining = stream::try_unfold(reader, |mut reader| async move {
        let page = reader.read().await.map_err(io::Error::other)?;
        Ok::<_, io::Error>(page.map(|page| (page, reader)))
    });
    let pages = stream::iter(first.map(Ok)).chain(remaining);
    let mut response = Response::new(Body::new(StreamBody::new(
        pages.map_ok(http_body::Frame::data),
    )));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/octet-stream"),
    );
    Ok(response)
}
