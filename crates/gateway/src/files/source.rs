//! Reads the bytes of an upload from a multipart form or from the request body itself.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, BodyStream};
use linnethitch_errors::{ErrorKind, Failure};
use linnethitch_ingress::MemoryReservation;
use multer::{Constraints, Field, Multipart, SizeLimit};

use crate::http::{
    IncomingRequest,
    body::{body_timeout, no_memory},
};

/// Maximum size of a text field in a form.
const MAX_TEXT_FIELD_BYTES: u64 = 4 * 1024;
/// Maximum bytes of a form in addition to the file.
const FORM_OVERHEAD_BYTES: u64 = 64 * 1024;
/// Name of a file when the caller gives none.
const DEFAULT_FILENAME: &str = "upload.jsonl";
/// Maximum length of a stored file name; longer names are truncated.
const MAX_FILENAME_BYTES: usize = 255;

/// Where the bytes of an upload come from.
pub(super) enum Source {
    /// A field of a form.
    Form {
        /// The remaining fields of the form.
        form: Box<Multipart<'static>>,
        /// The field with the file.
        field: Box<Field<'static>>,
    },
    /// The request body is the file.
    Raw(Body),
}

/// An upload whose file is about to be read.
pub(super) struct Upload {
    pub(super) source: Source,
    pub(super) filename: String,
    /// The purpose, if its field precedes the file.
    pub(super) purpose: Option<String>,
    /// Longest time without further bytes.
    stall_limit: Duration,
    memory: MemoryReservation,
}

fn truncated_upload(reason: &str) -> Failure {
    Failure::new(
        ErrorKind::TruncatedUpload,
        format!("the upload was truncated: {reason}"),
    )
}

/// Converts an error of the form parser into a failure for the caller.
fn form_error(error: &multer::Error) -> Failure {
    match error {
        multer::Error::StreamSizeExceeded { .. } | multer::Error::FieldSizeExceeded { .. } => {
            Failure::new(ErrorKind::BodyTooLarge, error.to_string())
        }
        multer::Error::IncompleteStream
        | multer::Error::IncompleteFieldData { .. }
        | multer::Error::IncompleteHeaders
        | multer::Error::StreamReadFailed(_) => truncated_upload(&error.to_string()),
        _ => Failure::new(ErrorKind::MalformedRequest, error.to_string()),
    }
}

fn boundary(headers: &HeaderMap) -> Option<String> {
    let content_type = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    multer::parse_boundary(content_type).ok()
}

impl Upload {
    /// Reads up to the beginning of the file.
    pub(super) async fn open(
        incoming: IncomingRequest,
        memory: MemoryReservation,
        max_bytes: u64,
        stall_limit: Duration,
    ) -> Result<Self, Failure> {
        let Some(boundary) = boundary(&incoming.head.headers) else {
            return Ok(Upload {
                filename: sanitize_filename(incoming.head.query("filename")),
                purpose: incoming.head.query("purpose").map(str::to_owned),
                source: Source::Raw(incoming.body),
                stall_limit,
                memory,
            });
        };
        let limits = SizeLimit::new()
            .whole_stream(max_bytes.saturating_add(FORM_OVERHEAD_BYTES))
            .per_field(MAX_TEXT_FIELD_BYTES)
            .for_field("file", max_bytes);
        let data = BodyStream::new(incoming.body).filter_map(|frame| async move {
            frame.map(|frame| frame.into_data().ok()).transpose()
        });
        let constraints = Constraints::new().size_limit(limits);
        let form = Multipart::with_constraints(data, boundary, constraints);
        Self::open_form(form, memory, stall_limit).await
    }

    async fn open_form(
        mut form: Multipart<'static>,
        memory: MemoryReservation,
        stall_limit: Duration,
    ) -> Result<Self, Failure> {
        let mut purpose = None;
        while let Some(field) = next_field(&mut form, stall_limit).await? {
            match field.name() {
                Some("file") => {
                    return Ok(Upload {
                        filename: sanitize_filename(field.file_name()),
                        purpose,
                        source: Source::Form {
                            form: Box::new(form),
                            field: Box::new(field),
                        },
                        stall_limit,
                        memory,
                    });
                }
                Some("purpose") => purpose = Some(field_text(field, stall_limit).await?),
                _ => drop(field_text(field, stall_limit).await?),
            }
        }
        Err(
            Failure::new(ErrorKind::InvalidValue, "the form has no field `file`")
                .with_param("file"),
        )
    }

    /// The next bytes of the file; `None` at its end.
    pub(super) async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        let limit = self.stall_limit;
        let next = async {
            match &mut self.source {
                Source::Form { field, .. } => {
                    field.chunk().await.map_err(|error| form_error(&error))
                }
                Source::Raw(body) => next_body_chunk(body).await,
            }
        };
        let next = tokio::time::timeout(limit, next);
        let bytes = tokio::select! {
            bytes = next => bytes.map_err(|_| body_timeout(limit))?,
            () = self.memory.revoked() => return Err(no_memory()),
        };
        self.memory.progressed();
        bytes
    }

    /// Holds at least this much memory until the upload has ended, in bytes.
    pub(super) fn hold(&mut self, bytes: u64) -> Result<(), Failure> {
        self.memory.ensure(bytes).map_err(|_| no_memory())
    }

    /// Reads the fields after the file and returns the purpose.
    pub(super) async fn finish(self) -> Result<Option<String>, Failure> {
        let mut purpose = self.purpose;
        if let Source::Form { mut form, field } = self.source {
            drop(field);
            while let Some(field) = next_field(&mut form, self.stall_limit).await? {
                let is_purpose = field.name() == Some("purpose");
                let text = field_text(field, self.stall_limit).await?;
                if is_purpose {
                    purpose = Some(text);
                }
            }
        }
        Ok(purpose)
    }
}

async fn next_body_chunk(body: &mut Body) -> Result<Option<Bytes>, Failure> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(truncated_upload(&error.to_string())),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    return Ok(Some(data));
                }
            }
        }
    }
}

async fn next_field(
    form: &mut Multipart<'static>,
    limit: Duration,
) -> Result<Option<Field<'static>>, Failure> {
    tokio::time::timeout(limit, form.next_field())
        .await
        .map_err(|_| body_timeout(limit))?
        .map_err(|error| form_error(&error))
}

async fn field_text(field: Field<'static>, limit: Duration) -> Result<String, Failure> {
    tokio::time::timeout(limit, field.text())
        .await
        .map_err(|_| body_timeout(limit))?
        .map_err(|error| form_error(&error))
}

/// The caller's file name without directories, truncated to [`MAX_FILENAME_BYTES`].
fn sanitize_filename(name: Option<&str>) -> String {
    let base = name
        .and_then(|name| name.rsplit(['/', '\\']).next())
        .unwrap_or_default();
    let mut end = base.len().min(MAX_FILENAME_BYTES);
    while !base.is_char_boundary(end) {
        end -= 1;
    }
    if end == 0 {
        DEFAULT_FILENAME.to_owned()
    } else {
        base[..end].to_owned()
    }
}
