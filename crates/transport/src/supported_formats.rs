//! The formats that one side of a connection supports, as encoded in its nonce.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::format::Format;

/// Start of the part of a nonce that contains formats. One random nonce in 2^32 has these bytes
/// by chance. In nine of ten such cases the sides then find no common format, and the initiator
/// reconnects with a new nonce.
const MARKER: [u8; 4] = *b"lhfm";
/// Bytes of that part: the marker, then the newest and the oldest format as little-endian numbers.
const ENCODED_BYTES: usize = 8;

/// The formats that a side supports, as numbers, since a newer build may support a format that
/// this build does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SupportedFormats {
    newest: u16,
    oldest: u16,
}

impl SupportedFormats {
    /// The formats of this build up to the given one.
    pub(crate) fn up_to(newest: Format) -> Self {
        SupportedFormats {
            newest: newest.number(),
            oldest: Format::OLDEST.number(),
        }
    }

    /// Writes the formats to the end of a nonce. A side that supports only the first format writes
    /// nothing, like builds before the second format.
    pub(crate) fn write_to(self, nonce: &mut [u8]) {
        if self.newest == Format::First.number() {
            return;
        }
        let end = nonce.len().saturating_sub(ENCODED_BYTES);
        let newest = self.newest.to_le_bytes();
        let oldest = self.oldest.to_le_bytes();
        let encoded = MARKER.into_iter().chain(newest).chain(oldest);
        for (byte, encoded) in nonce[end..].iter_mut().zip(encoded) {
            *byte = encoded;
        }
    }

    /// Reads the formats from the nonce of the peer: only the first format if it contains none.
    fn read_from(nonce: &[u8]) -> Self {
        let encoded = nonce.last_chunk::<ENCODED_BYTES>();
        match encoded {
            Some([a, b, c, d, newest @ .., _, _]) if [*a, *b, *c, *d] == MARKER => {
                let oldest = nonce.last_chunk().copied().unwrap_or_default();
                SupportedFormats {
                    newest: u16::from_le_bytes(*newest),
                    oldest: u16::from_le_bytes(oldest),
                }
            }
            _ => SupportedFormats::up_to(Format::First),
        }
    }

    /// The newest format that both sides support.
    ///
    /// # Errors
    /// `PeerRefused` when there is no common format; the report contains the formats of both sides.
    pub(crate) fn common_with(self, nonce: &[u8]) -> Result<Format, Report<ErrorKind>> {
        let peer = SupportedFormats::read_from(nonce);
        let newest = self.newest.min(peer.newest);
        let oldest = self.oldest.max(peer.oldest);
        let common = Format::from_number(newest).filter(|_| oldest <= newest);
        common.ok_or_else(|| {
            Report::new(ErrorKind::PeerRefused).attach(format!(
                "this process supports formats {} to {}, the peer {} to {}",
                self.oldest, self.newest, peer.oldest, peer.newest
            ))
        })
    }
}
