//! Asks the address of a back end whether its process still runs.

use std::{
    io::{Error as IoError, ErrorKind as IoErrorKind},
    time::Duration,
};

use linnethitch_clock::{Instant, sleep, timeout};
use tokio::net::TcpStream;

/// A process that ends closes all its sockets within this time.
pub const PROCESS_END_DURATION: Duration = Duration::from_millis(3);
/// Maximum wait for an answer of the back end's machine. A closed port answers within a round
/// trip; a machine that is down never does.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Connections that are tried: one may be accepted by a process that ends at that moment.
const MAX_CONNECTS: u32 = 2;

/// A probe whose waits take this much longer than they should may meet a process that has been
/// started since.
const MAX_LATENESS: Duration = Duration::from_millis(100);

/// What the address of a back end says of its process.
#[derive(Debug)]
pub enum ProcessState {
    /// A process listens.
    Listens {
        /// The connection that it accepted, unless it closed that.
        connection: Option<TcpStream>,
        /// Whether this process was held up during the probe, so that the other one may have been
        /// started since the response ended.
        is_late: bool,
    },
    /// No process listens at the address.
    Ended,
    /// The machine did not answer.
    Silent,
}

/// Asks the address whether a process listens, after the time in which one that has begun to end
/// would be gone.
pub async fn probe(address: &str) -> ProcessState {
    let mut is_late = !sleep_in_time().await;
    for _ in 0..MAX_CONNECTS {
        let connected = match connect(address).await {
            Ok(connected) => connected,
            Err(state) => return state,
        };
        // An ending process may have accepted the connection, which it then closes.
        is_late |= !sleep_in_time().await;
        if is_open(&connected) {
            return ProcessState::Listens {
                connection: Some(connected),
                is_late,
            };
        }
    }
    ProcessState::Listens {
        connection: None,
        is_late,
    }
}

/// Waits for the time in which an ending process is gone; false if it took much longer.
async fn sleep_in_time() -> bool {
    let began = Instant::now();
    sleep(PROCESS_END_DURATION).await;
    began.elapsed() < PROCESS_END_DURATION + MAX_LATENESS
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
