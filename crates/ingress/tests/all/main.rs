//! Tests of the limits on what clients may occupy.

mod connections;
mod crowds;
mod support;
mod unfinished_bodies;
