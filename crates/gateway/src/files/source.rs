//! Where the bytes of an upload come from: a multipart form or the body itself.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use gotham::helpers::http::Body;
use http::{HeaderMap, header};
use http_body_util::{BodyExt, BodyStream};
use linnethitch_errors::{ErrorKind, Failure};
use multer::{Constraints, Field, Multipart, SizeLimit};

use crate::http::{IncomingRequest, body::body_timeout};

/// Longest plain field of a form, in bytes.
const MAX_TEXT_FIELD_BYTES: u64 = 4 * 1024;
/// Bytes of a form that are not the file.
const FORM_OVERHEAD_BYTES: u64 = 64 * 1024;
/// Name of a file whose caller names none.
const DEFAULT_FILENAME: &str = "upload.jsonl";
/// Longest name that is kept, in bytes.
const MAX_FILENAME_BYTES: usize = 255;

/// The bytes of an upload.
pub(super) enum Source {
    /// A field of a form.
    Form {
        /// The rest of the form.
        form: Box<Multipart<'static>>,
        /// The file's field.
        field: Box<Field<'static>>,
    },
    /// The body as it is.
    Raw(Body),
}

/// An upload whose file is about to be read.
pub(super) struct Upload {
    pub(super) source: Source,
    pub(super) filename: String,
    /// As far as it came before the file.
    pub(super) purpose: Option<String>,
    /// Longest wait for the next bytes.
    stall_limit: Duration,
}

fn truncated(reason: &str) -> Failure {
    Failure::new(
        ErrorKind::TruncatedUpload,
        format!("the upload ended before its end: {reason}"),
    )
}

/// Turns an error of the form parser into the caller's.
fn form_failure(error: &multer::Error) -> Failure {
    match error {
        multer::Error::StreamSizeExceeded { .. } | multer::Error::FieldSizeExceeded { .. } => {
            Failure::new(ErrorKind::BodyTooLarge, error.to_string())
        }
        multer::Error::IncompleteStream
        | multer::Error::IncompleteFieldData { .. }
        | multer::Error::IncompleteHeaders
        | multer::Error::StreamReadFailed(_) => truncated(&error.to_string()),
        _ => Failure::new(ErrorKind::MalformedRequest, error.to_string()),
    }
}

fn boundary(headers: &HeaderMap) -> Option<String> {
    let content_type = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    multer::parse_boundary(content_type).ok()
}

impl Upload {
    /// Reads up to where the file begins.
    pub(super) async fn open(
        incoming: IncomingRequest,
        max_bytes: u64,
        stall_limit: Duration,
    ) -> Result<Self, Failure> {
        let Some(boundary) = boundary(&incoming.head.headers) else {
            return Ok(Upload {
                filename: clean_name(incoming.head.query("filename")),
                purpose: incoming.head.query("purpose").map(str::to_owned),
                source: Source::Raw(incoming.body),
                stall_limit,
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
        Self::open_form(form, stall_limit).await
    }

    async fn open_form(
        mut form: Multipart<'static>,
        stall_limit: Duration,
    ) -> Result<Self, Failure> {
        let mut purpose = None;
        while let Some(field) = next_field(&mut form, stall_limit).await? {
            match field.name() {
                Some("file") => {
                    return Ok(Upload {
                        filename: clean_name(field.file_name()),
                        purpose,
                        source: Source::Form {
                            form: Box::new(form),
                            field: Box::new(field),
                        },
                        stall_limit,
                    });
                }
                Some("purpose") => purpose = Some(text_of(field, stall_limit).await?),
                _ => drop(text_of(field, stall_limit).await?),
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
                    field.chunk().await.map_err(|error| form_failure(&error))
                }
                Source::Raw(body) => next_of_body(body).await,
            }
        };
        tokio::time::timeout(limit, next)
            .await
            .map_err(|_| body_timeout(limit))?
    }

    /// Reads what follows the file and gives the purpose.
    pub(super) async fn finish(self) -> Result<Option<String>, Failure> {
        let mut purpose = self.purpose;
        if let Source::Form { mut form, field } = self.source {
            drop(field);
            while let Some(field) = next_field(&mut form, self.stall_limit).await? {
                let is_purpose = field.name() == Some("purpose");
                let text = text_of(field, self.stall_limit).await?;
                if is_purpose {
                    purpose = Some(text);
                }
            }
        }
        Ok(purpose)
    }
}

async fn next_of_body(body: &mut Body) -> Result<Option<Bytes>, Failure> {
    loop {
        match body.frame().await {
            None => return Ok(None),
            Some(Err(error)) => return Err(truncated(&error.to_string())),
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
        .map_err(|error| form_failure(&error))
}

async fn text_of(field: Field<'static>, limit: Duration) -> Result<String, Failure> {
    tokio::time::timeout(limit, field.text())
        .await
        .map_err(|_| body_timeout(limit))?
        .map_err(|error| form_failure(&error))
}

/// The caller's name without folders, cut to a bounded length.
fn clean_name(name: Option<&str>) -> String {
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
