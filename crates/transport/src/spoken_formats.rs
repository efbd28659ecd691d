//! The formats that a side of a connection speaks, as its nonce names them.

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::format::Format;

/// What begins the part of a nonce that names formats. One random nonce in 2^32 looks like it
/// by chance; its side then finds no common format with nine in ten of them and connects anew.
const MARK: [u8; 4] = *b"lhfm";
/// Bytes of that part: the mark, the newest and the oldest format as little-endian numbers.
const NAMED_BYTES: usize = 8;

/// The formats that a side speaks, by their numbers: a newer build may name one that this one
/// does not know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SpokenFormats {
    newest: u16,
    oldest: u16,
}

impl SpokenFormats {
    /// Those of this build up to one of them.
    pub(crate) fn up_to(newest: Format) -> Self {
        SpokenFormats {
            newest: newest.number(),
            oldest: Format::OLDEST.number(),
        }
    }

    /// Names them at the end of a nonce. One that speaks the first format only names nothing,
    /// as the build that knew no other.
    pub(crate) fn write_to(self, nonce: &mut [u8]) {
        if self.newest == Format::First.number() {
            return;
        }
        let end = nonce.len().saturating_sub(NAMED_BYTES);
        let newest = self.newest.to_le_bytes();
        let oldest = self.oldest.to_le_bytes();
        let named = MARK.into_iter().chain(newest).chain(oldest);
        for (byte, named) in nonce[end..].iter_mut().zip(named) {
            *byte = named;
        }
    }

    /// What the nonce of another side names: the first format where it names nothing.
    fn read_from(nonce: &[u8]) -> Self {
        let named = nonce.last_chunk::<NAMED_BYTES>();
        match named {
            Some([a, b, c, d, newest @ .., _, _]) if [*a, *b, *c, *d] == MARK => {
                let oldest = nonce.last_chunk().copied().unwrap_or_default();
                SpokenFormats {
                    newest: u16::from_le_bytes(*newest),
                    oldest: u16::from_le_bytes(oldest),
                }
            }
            _ => SpokenFormats::up_to(Format::First),
        }
    }

    /// The newest format that both sides speak.
    ///
    /// # Errors
    /// `PeerRefused` where there is none; the report names the formats of both.
    pub(crate) fn common_with(self, nonce: &[u8]) -> Result<Format, Report<ErrorKind>> {
        let peer = SpokenFormats::read_from(nonce);
        let newest = self.newest.min(peer.newest);
        let oldest = self.oldest.max(peer.oldest);
        let common = Format::from_number(newest).filter(|_| oldest <= newest);
        common.ok_or_else(|| {
            Report::new(ErrorKind::PeerRefused).attach(format!(
                "this program speaks formats {} to {}, the peer {} to {}",
                self.oldest, self.newest, peer.oldest, peer.newest
            ))
        })
    }
}
