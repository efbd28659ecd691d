//! Tests of the decision whether a response is whole.

mod event_splitter;
mod response_end;
