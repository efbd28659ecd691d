//! Tests of the command line: the program is run as a process.

mod apply;
mod explain;
mod files;
mod help;
mod program;
mod real_fleet;
mod scripted_server;
mod status;
