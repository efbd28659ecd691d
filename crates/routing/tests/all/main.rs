//! Tests of the decisions, one module each.

mod admission;
mod fixture;
mod limits;
mod retry;
mod router;
