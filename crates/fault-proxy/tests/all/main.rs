//! Tests of the proxies.

mod datagrams;
mod streams;
