//! Asks the address of a back end whether its process still runs.

use std::{
    io::{Error as IoError, ErrorKind as IoErrorKind},
    time::Duration,
};

use linnethitch_clock::{sleep, timeout};
use tokio::net::TcpStream;

/// A process that ends closes all its sockets within this time.
pub const PROCESS_END_DURATION: Duration = Duration::from_millis(3);
/// Longest duration of a probe that is answered by the back end's machine or times out.
pub const PROBE_TIMEOUT: Duration = PROCESS_END_DURATION.saturating_add(CONNECT_TIMEOUT);
/// Maximum wait for an answer of the back end's machine. A closed port answers within a round
/// trip; a machine that is down never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections that are tried: one may be accepted by a process that ends at that moment.
const MAX_CONNECTS: u32 = 2;

/// What the address of a back end says of its process.
#[derive(Debug)]
pub enum ProcessState {
    /// A process listens; holds the connection that it accepted, unless it closed that.
    Listens(Option<TcpStream>),
    /// No process listens at the address.
    Ended,
    /// The machine did not answer.
    Silent,
}

/// Asks the address whether a process listens, after the time in which one that has begun to end
/// would be gone.
pub async fn probe(address: &str) -> ProcessState {
    sleep(PROCESS_END_DURATION).await;
    for _ in 0..MAX_CONNECTS {
        let connected = match connect(address).await {
            Ok(connected) => connected,
            Err(state) => return state,
        };
        // An ending process may have accepted the connection, which it then closes.
        sleep(PROCESS_END_DURATION).await;
        if is_open(&connected) {
            return ProcessState::Listens(Some(connected));
        }
    }
    ProcessState::Listens(None)
}

/// Whether the machine at an address reports that no process listens there.
pub async fn refuses_connections(address: &str) -> bool {
    matches!(connect(address).await, Err(ProcessState::Ended))
}

async fn connect(address: &str) -> Result<TcpStream, ProcessState> {
    match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) if error.kind() == IoErrorKind::ConnectionRefused => {
            Err(ProcessState::Ended)
        }
        Ok(Err(_)) | Err(_) => Err(ProcessState::Silent),
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0]);
    read.is_err_and(|error: IoError| error.kind() == IoErrorKind::WouldBlock)
}
