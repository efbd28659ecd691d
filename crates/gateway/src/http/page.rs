//! Paginated lists of the OpenAI interface.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_errors::{ErrorKind, Failure};
use serde::Serialize;

use crate::http::{RequestHead, answer::json_response};

/// Entries per page when the caller gives no limit.
const DEFAULT_LIMIT: u32 = 20;
/// Maximum entries per page.
const MAX_LIMIT: u32 = 100;

/// The requested page of a list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Page {
    /// Start after the entry with this id.
    pub(crate) after: Option<String>,
    /// Maximum number of entries.
    pub(crate) limit: u32,
}

impl Page {
    /// Reads `after` and `limit` from the query string.
    pub(crate) fn of(head: &RequestHead) -> Result<Self, Failure> {
        let limit = match head.query("limit") {
            None => DEFAULT_LIMIT,
            Some(text) => text
                .parse::<u32>()
                .ok()
                .filter(|limit| *limit > 0)
                .ok_or_else(|| {
                    Failure::new(ErrorKind::InvalidValue, "`limit` must be a positive number")
                        .with_param("limit")
                })?
                .min(MAX_LIMIT),
        };
        let after = head.query("after").filter(|id| !id.is_empty());
        Ok(Page {
            after: after.map(str::to_owned),
            limit,
        })
    }
}

#[derive(Serialize)]
struct List<'a, T> {
    object: &'static str,
    data: &'a [T],
    first_id: Option<&'a str>,
    last_id: Option<&'a str>,
    has_more: bool,
}

/// The response with one page of a list.
pub(crate) fn list_response<T: Serialize>(
    entries: Vec<T>,
    has_more: bool,
    id: impl Fn(&T) -> &String,
) -> Response<Body> {
    let list = List {
        object: "list",
        first_id: entries.first().map(|entry| id(entry).as_str()),
        last_id: entries.last().map(|entry| id(entry).as_str()),
        data: &entries,
        has_more,
    };
    json_response(StatusCode::OK, &list)
}
