//! The request that an item becomes. Items that are no valid request are refused with their job.

use std::fmt;

use http::{
    HeaderMap, HeaderName, HeaderValue,
    header::{CONTENT_LENGTH, HOST},
    uri::PathAndQuery,
};
use linnethitch_job_store::ItemSpec;

use crate::{dialect::HeaderNames, exchange::strip_connection_headers, shared::Shared};

/// Why an item cannot be sent to any replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ItemFault {
    /// Its id cannot be the value of a header.
    Id,
    /// Its path is not an absolute path.
    Path(String),
    /// This is no name of a header.
    HeaderName(String),
    /// The value of this header is not valid.
    HeaderValue(String),
}

impl fmt::Display for ItemFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ItemFault::Id => write!(formatter, "the id cannot be the value of a header"),
            ItemFault::Path(path) => write!(formatter, "{path:?} is not an absolute path"),
            ItemFault::HeaderName(name) => write!(formatter, "{name:?} is no name of a header"),
            ItemFault::HeaderValue(name) => {
                write!(formatter, "the value of the header {name:?} is not valid")
            }
        }
    }
}

impl std::error::Error for ItemFault {}

/// The head of an item's request.
pub(crate) struct ItemRequest {
    pub(crate) path: PathAndQuery,
    pub(crate) request_id: HeaderValue,
    /// The item's headers that apply to its request, with its id and its host.
    pub(crate) headers: HeaderMap,
}

impl ItemRequest {
    /// The request of an item of a job that was submitted to a host.
    ///
    /// # Errors
    /// [`ItemFault`] if the item is no valid request.
    pub(crate) fn new(
        names: &HeaderNames,
        host: &HeaderValue,
        item: &ItemSpec,
    ) -> Result<Self, ItemFault> {
        let path = parse_path(&item.path)?;
        let request_id = HeaderValue::from_str(&item.id).map_err(|_| ItemFault::Id)?;
        let mut headers = parse_headers(item)?;
        strip_connection_headers(&mut headers);
        // The length of the body is known, whatever the item says.
        headers.remove(CONTENT_LENGTH);
        headers.insert(names.request_id.clone(), request_id.clone());
        headers.insert(HOST, host.clone());
        Ok(ItemRequest {
            path,
            request_id,
            headers,
        })
    }
}

impl Shared {
    /// The request of an item of a job that was submitted to a host.
    ///
    /// # Errors
    /// [`ItemFault`] if the item is no valid request.
    pub(crate) fn item_request(
        &self,
        host: &str,
        item: &ItemSpec,
    ) -> Result<ItemRequest, ItemFault> {
        // The host is that of a request, so it is a valid value.
        let host =
            HeaderValue::from_str(host).map_err(|_| ItemFault::HeaderValue(host.to_owned()))?;
        ItemRequest::new(self.dialect.names(), &host, item)
    }
}

fn parse_path(path: &str) -> Result<PathAndQuery, ItemFault> {
    let fault = || ItemFault::Path(path.to_owned());
    let parsed = path.parse::<PathAndQuery>().map_err(|_| fault())?;
    // The parser drops fragments and accepts `*`.
    let is_unchanged = parsed.as_str() == path && path.starts_with('/');
    is_unchanged.then_some(parsed).ok_or_else(fault)
}

fn parse_headers(item: &ItemSpec) -> Result<HeaderMap, ItemFault> {
    let mut headers = HeaderMap::new();
    for (name, value) in &item.headers {
        let parsed = HeaderName::from_bytes(name.as_bytes());
        let parsed = parsed.map_err(|_| ItemFault::HeaderName(name.clone()))?;
        let value = HeaderValue::from_bytes(value.as_bytes());
        headers.append(
            parsed,
            value.map_err(|_| ItemFault::HeaderValue(name.clone()))?,
        );
    }
    Ok(headers)
}
