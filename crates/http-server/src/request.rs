//! The request types that handlers receive.

use gotham::{
    helpers::http::Body,
    state::{FromState, State, StateData, request_id},
};
use http::{HeaderMap, Method, Uri};
use linnethitch_ingress::ClientConnection;
use linnethitch_protocol::ids::RequestId;

/// The parts of a request that a handler takes from gotham's state.
pub trait TakenFromState {
    /// Takes the parts out of the state.
    fn take_from(state: &mut State) -> Self;
}

/// A request taken out of gotham's state.
pub struct IncomingRequest {
    /// The request without its body.
    pub head: RequestHead,
    /// The unread body.
    pub body: Body,
    /// The connection of the request.
    pub connection: ClientConnection,
}

/// The connection of a request, in gotham's state.
pub(crate) struct StateConnection(pub(crate) ClientConnection);

impl StateData for StateConnection {}

/// A request without its body.
pub struct RequestHead {
    /// The id that the listener assigned.
    pub id: RequestId,
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
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
            connection: StateConnection::take_from(state).0,
        }
    }
}

impl RequestHead {
    /// The path segment at a position from 0, without decoding.
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

    /// The value of a parameter in the query string, without decoding.
    #[must_use]
    pub fn query(&self, name: &str) -> Option<&str> {
        self.uri
            .query()?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find_map(|(key, value)| (key == name).then_some(value))
    }
}
