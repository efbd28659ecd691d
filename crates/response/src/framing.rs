//! How the end of a response body is marked on the wire.

use http::{HeaderMap, header};

/// How the end of a response body is marked on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a length, by the last chunk, or because the response has no body. The HTTP client
    /// reports a body that ends earlier as an error.
    Marked,
    /// By the close of the connection, which also occurs when the sender's process ends.
    UntilClose,
}

impl Framing {
    /// The framing of a response. `is_empty` says that the HTTP client expects no body, as after
    /// `HEAD` and with the statuses 204 and 304.
    #[must_use]
    pub fn of(headers: &HeaderMap, is_empty: bool) -> Self {
        if is_empty || is_chunked(headers) || headers.contains_key(header::CONTENT_LENGTH) {
            Framing::Marked
        } else {
            Framing::UntilClose
        }
    }
}

/// Whether the last transfer coding is `chunked`; any other coding ends with the connection.
fn is_chunked(headers: &HeaderMap) -> bool {
    let codings = headers.get_all(header::TRANSFER_ENCODING);
    let last = codings.iter().next_back();
    let last = last.and_then(|value| value.to_str().ok()?.rsplit(',').next());
    last.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}
