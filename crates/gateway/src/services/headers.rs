//! Which headers pass between callers and application replicas.

use http::{HeaderMap, HeaderName, HeaderValue, header};
use linnethitch_protocol::ids::RequestId;

use crate::http::answer::REQUEST_ID_HEADER;

/// Headers that concern one connection only.
const OF_ONE_CONNECTION: [HeaderName; 9] = [
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

/// Headers of replicas that are meant for linnethitch.
const OF_BACK_ENDS: &str = "x-application-";

fn is_of_one_connection(name: &HeaderName, headers: &HeaderMap) -> bool {
    let named = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|listed| listed.trim().eq_ignore_ascii_case(name.as_str()));
    named || OF_ONE_CONNECTION.contains(name) || name == "keep-alive"
}

/// The headers of a request for a replica. The caller's key stays here.
pub(super) fn forwarded(headers: &HeaderMap, id: &RequestId) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len() + 1);
    for (name, value) in headers {
        if !is_of_one_connection(name, headers) && name != header::AUTHORIZATION {
            passed.append(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        passed.insert(REQUEST_ID_HEADER, value);
    }
    passed
}

/// The headers of a replica's answer for the caller.
pub(super) fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut passed = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let own = name.as_str().starts_with(OF_BACK_ENDS);
        if !is_of_one_connection(name, headers) && !own {
            passed.append(name, value.clone());
        }
    }
    passed
}
