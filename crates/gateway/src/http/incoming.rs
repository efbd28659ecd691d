//! A request as the handlers see it.

use gotham::{
    helpers::http::Body,
    state::{FromState, State, request_id},
};
use http::{HeaderMap, Method, Uri};
use linnethitch_protocol::ids::RequestId;

/// A request taken out of gotham's state.
pub(crate) struct Incoming {
    /// Everything but the body.
    pub(crate) head: RequestHead,
    /// Its body, not yet read.
    pub(crate) body: Body,
}

/// A request without its body.
pub(crate) struct RequestHead {
    /// The id given to it on arrival.
    pub(crate) id: RequestId,
    /// Its method.
    pub(crate) method: Method,
    /// Its path and query.
    pub(crate) uri: Uri,
    /// Its headers.
    pub(crate) headers: HeaderMap,
}

impl Incoming {
    /// Takes the request's parts; the state keeps none of them.
    pub(crate) fn take_from(state: &mut State) -> Self {
        let head = RequestHead {
            id: RequestId(request_id(state).to_owned()),
            method: Method::borrow_from(state).clone(),
            uri: Uri::take_from(state),
            headers: HeaderMap::take_from(state),
        };
        Incoming {
            head,
            body: Body::take_from(state),
        }
    }
}

impl RequestHead {
    /// The path's segment at a position, from 0.
    pub(crate) fn segment(&self, position: usize) -> &str {
        self.uri
            .path()
            .split('/')
            .filter(|part| !part.is_empty())
            .nth(position)
            .unwrap_or("")
    }

    /// A header's value as text.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A parameter of the query string, as it stands there.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}
