//! Reading of request bodies within limits of size, time and memory.

use bytes::Bytes;
use http_body::Body;
use http_body_util::BodyExt;
use linnethitch_clock::{Instant, timeout_at};
use linnethitch_errors::ErrorKind;

use crate::{
    ingress::{ClientConnection, UnfinishedBodyGuard},
    policy::BodyRefusal,
};

/// Least memory of a body, in bytes.
const MIN_CAPACITY: usize = 4 * 1024;
/// Most bytes by which a body's memory grows beyond what it needs.
const MAX_SPARE_BYTES: usize = 256 * 1024;

/// Limits of one request body.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size in bytes.
    pub bytes: usize,
    /// Time by which the body must be complete.
    pub deadline: Instant,
    /// Memory that the request takes for each byte of its body until it is answered: one, and
    /// what is made of the body.
    pub memory_factor: u64,
}

/// Reads a complete body. The memory that it takes is counted until the last reference to the
/// bytes is dropped.
///
/// # Errors
/// `BodyTooLarge`; `Overloaded` if there is no memory for it; `TruncatedUpload` if it breaks
/// off; `RequestTimeout`.
pub async fn read_body<B>(
    connection: &ClientConnection,
    mut body: B,
    limits: BodyLimits,
) -> Result<Bytes, ErrorKind>
where
    B: Body<Data = Bytes> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let announced = body.size_hint();
    if announced.lower() > limits.bytes as u64 {
        return Err(ErrorKind::BodyTooLarge);
    }
    let mut memory = BodyMemory {
        guard: connection.begin_body(),
        bytes: Vec::new(),
        most_bytes: announced
            .exact()
            .map_or(limits.bytes, |length| length as usize),
        factor: limits.memory_factor,
    };
    loop {
        let frame = tokio::select! {
            frame = timeout_at(limits.deadline, body.frame()) => frame,
            () = memory.guard.refused() => return Err(ErrorKind::Overloaded),
        };
        let frame = match frame {
            Err(_) => return Err(ErrorKind::RequestTimeout),
            Ok(None) => break,
            Ok(Some(Err(_))) => return Err(ErrorKind::TruncatedUpload),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if memory.bytes.len() + data.len() > limits.bytes {
            return Err(ErrorKind::BodyTooLarge);
        }
        memory.push(&data)?;
    }
    memory.complete()
}

/// The received bytes of a body, and the memory that they take.
struct BodyMemory {
    guard: UnfinishedBodyGuard,
    bytes: Vec<u8>,
    /// The announced length of the body, or its maximum.
    most_bytes: usize,
    factor: u64,
}

impl BodyMemory {
    /// Copies bytes, so that buffers of the connection are free again.
    fn push(&mut self, data: &[u8]) -> Result<(), ErrorKind> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            self.grow(needed)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, needed: usize) -> Result<(), ErrorKind> {
        let spare = needed.min(MAX_SPARE_BYTES);
        let capacity = (needed + spare).max(MIN_CAPACITY);
        let capacity = capacity.min(self.most_bytes.max(needed));
        let added = capacity - self.bytes.capacity();
        self.guard
            .grow(added as u64 * self.factor)
            .map_err(error_kind)?;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn complete(self) -> Result<Bytes, ErrorKind> {
        self.guard.complete(self.bytes).map_err(error_kind)
    }
}

fn error_kind(refusal: BodyRefusal) -> ErrorKind {
    match refusal {
        BodyRefusal::TooLarge => ErrorKind::BodyTooLarge,
        BodyRefusal::NoMemory => ErrorKind::Overloaded,
    }
}
