//! A request as the handlers see it.

use gotham::{
    helpers::http::Body,
    state::{FromState, State, request_id},
};
use http::{HeaderMap, Method, Uri};
use linnethitch_protocol::ids::RequestId;

/// What a handler takes out of gotham's state.
pub trait TakenFromState {
    /// Takes the parts; the state keeps none of them.
    fn take_from(state: &mut State) -> Self;
}

/// A request taken out of gotham's state.
pub struct IncomingRequest {
    /// Everything but the body.
    pub head: RequestHead,
    /// Its body, not yet read.
    pub body: Body,
}

/// A request without its body.
pub struct RequestHead {
    /// The id that the listener gave to it.
    pub id: RequestId,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
}

impl TakenFromState for IncomingRequest {
    fn take_from(state: &mut State) -> Self {
        let head = RequestHead {
            id: RequestId(request_id(state).to_owned()),
            method: Method::borrow_from(state).clone(),
            uri: Uri::take_from(state),
            headers: HeaderMap::take_from(state),
        };
        IncomingRequest {
            head,
            body: Body::take_from(state),
        }
    }
}

impl RequestHead {
    /// The path's segment at a position, from 0, as it stands there.
    #[must_use]
    pub fn segment(&self, position: usize) -> &str {
        self.uri
            .path()
            .split('/')
            .filter(|part| !part.is_empty())
            .nth(position)
            .unwrap_or("")
    }

    /// A header's value as text.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// A parameter of the query string, as it stands there.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}
