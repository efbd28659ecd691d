//! Filters the headers that are forwarded between callers and application replicas.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use linnethitch_protocol::ids::RequestId;

use crate::http::answer::REQUEST_ID_HEADER;

/// Hop-by-hop headers, which concern one connection only.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::HOST,
    header::CONTENT_LENGTH,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Prefix of the response headers that replicas send to the gateway.
const GATEWAY_HEADER_PREFIX: &str = "x-application-";

fn is_hop_by_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    let listed_in_connection = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()));
    listed_in_connection || HOP_BY_HOP_HEADERS.contains(name) || name == "keep-alive"
}

/// The headers of a request to a replica. The caller's API key is not forwarded.
pub(super) fn request_headers(headers: &HeaderMap, id: &RequestId) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        if !is_hop_by_hop(name, headers) && name != header::AUTHORIZATION {
            forwarded.append(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        forwarded.insert(REQUEST_ID_HEADER, value);
    }
    forwarded
}

/// The headers of a replica's response that are returned to the caller.
pub(super) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let for_gateway = name.as_str().starts_with(GATEWAY_HEADER_PREFIX);
        if !is_hop_by_hop(name, headers) && !for_gateway {
            forwarded.append(name, value.clone());
        }
    }
    forwarded
}
