//! Tests of the built `linnethitch-lab` as processes.

mod capacity;
mod dev;
mod load;
mod measure;
mod misbehaving_clients;
mod one_host;
mod scale;
mod support;
