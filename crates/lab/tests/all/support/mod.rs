//! What the tests share: child processes and an HTTP client.

mod caller;
mod process;

pub(crate) use self::{
    caller::{Answer, Caller},
    process::ChildProcess,
};
