//! Memory of requests whose bodies are used while they arrive.

use crate::{
    ingress::{ClientConnection, UnfinishedBodyGuard},
    policy::BodyRefusal,
};

/// Memory of a request that uses its body while it arrives. Like an unfinished body, it gives way
/// to others when memory is short.
pub struct MemoryReservation {
    guard: UnfinishedBodyGuard,
    bytes: u64,
}

impl MemoryReservation {
    /// Reserves memory for the request on a connection.
    ///
    /// # Errors
    /// Why there is none.
    pub fn new(connection: &ClientConnection, bytes: u64) -> Result<Self, BodyRefusal> {
        let mut reservation = MemoryReservation {
            guard: connection.begin_body(),
            bytes: 0,
        };
        reservation.ensure(bytes)?;
        Ok(reservation)
    }

    /// Reserves more memory if this much is not reserved yet.
    ///
    /// # Errors
    /// Why there is none; nothing is reserved any longer.
    pub fn ensure(&mut self, bytes: u64) -> Result<(), BodyRefusal> {
        let Some(added) = bytes.checked_sub(self.bytes) else {
            return Ok(());
        };
        self.guard.grow(added)?;
        self.bytes = bytes;
        Ok(())
    }

    /// The request has made progress.
    pub fn progressed(&self) {
        self.guard.progressed();
    }

    /// Completes when the memory is needed for others; the request must end then.
    pub async fn revoked(&self) {
        self.guard.refused().await;
    }
}
