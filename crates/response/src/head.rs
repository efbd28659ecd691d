//! Decides whether the head of a response can be trusted to say where the body ends.

use std::fmt;

use http::{HeaderMap, StatusCode, header};

/// Why a head is not that of a final response, or does not say where its body ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HeadFault {
    /// A status that no final response has.
    Status(u16),
    /// Transfer codings other than one `chunked`, which is all that was asked for.
    TransferCoding(String),
    /// A length besides chunks.
    LengthAndChunks,
    /// A body with a status that has none.
    BodyWithoutContent,
}

impl fmt::Display for HeadFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            HeadFault::Status(status) => {
                write!(formatter, "{status} is not the status of a final response")
            }
            HeadFault::TransferCoding(coding) => {
                write!(
                    formatter,
                    "the transfer coding {coding:?} was not asked for"
                )
            }
            HeadFault::LengthAndChunks => {
                formatter.write_str("the body has both a length and chunks")
            }
            HeadFault::BodyWithoutContent => {
                formatter.write_str("a body is announced with status 204")
            }
        }
    }
}

/// Checks a head that the HTTP client has accepted. The client refuses what is no field, invalid
/// lengths and other versions; it takes the body after an unknown transfer coding as it comes.
///
/// # Errors
/// Why no body may be passed on under this head.
pub fn check_head(status: StatusCode, headers: &HeaderMap) -> Result<(), HeadFault> {
    if !(200..600).contains(&status.as_u16()) {
        return Err(HeadFault::Status(status.as_u16()));
    }
    let is_chunked = has_chunks(headers)?;
    let length = headers.get(header::CONTENT_LENGTH);
    if is_chunked && length.is_some() {
        return Err(HeadFault::LengthAndChunks);
    }
    let has_body = is_chunked || length.is_some_and(|length| length != "0");
    if status == StatusCode::NO_CONTENT && has_body {
        return Err(HeadFault::BodyWithoutContent);
    }
    Ok(())
}

fn has_chunks(headers: &HeaderMap) -> Result<bool, HeadFault> {
    let codings: Vec<&[u8]> = headers
        .get_all(header::TRANSFER_ENCODING)
        .iter()
        .map(|value| value.as_bytes().trim_ascii())
        .collect();
    match codings.as_slice() {
        [] => Ok(false),
        [coding] if coding.eq_ignore_ascii_case(b"chunked") => Ok(true),
        codings => {
            let text = String::from_utf8_lossy(&codings.join(&b", "[..])).into_owned();
            Err(HeadFault::TransferCoding(text))
        }
    }
}
