//! Tests of the stand-ins.

mod engine_core;
