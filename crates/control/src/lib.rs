//! The control process: replicated state, configuration delivery, placement
//! and the operators' interface.
//!
//! [`member`] holds the decisions of one member without clock, threads or
//! network.

pub mod member;
