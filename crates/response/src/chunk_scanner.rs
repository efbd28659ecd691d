//! Recognizes a body in chunks whose head does not say that it is.

/// Maximum digits of a chunk's size.
const MAX_SIZE_DIGITS: u8 = 8;

/// Follows the bytes of a body as long as they are chunks.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkScanner {
    state: State,
    /// Digits of the current chunk's size so far.
    digits: u8,
    size: u64,
    has_chunk: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    #[default]
    Size,
    SizeEnd,
    Data(u64),
    DataEnd(&'static [u8]),
    LastEnd(&'static [u8]),
    /// The last chunk has ended.
    Complete,
    /// The bytes are no chunks.
    Other,
}

impl ChunkScanner {
    /// Scans more bytes of the body.
    pub fn scan(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            if let State::Data(left) = self.state {
                let taken = left.min(bytes.len() as u64);
                self.state = match left - taken {
                    0 => State::DataEnd(b"\r\n"),
                    left => State::Data(left),
                };
                bytes = &bytes[taken as usize..];
                continue;
            }
            self.state = self.after(byte);
            if self.state == State::Other {
                return;
            }
            bytes = rest;
        }
    }

    /// Whether all bytes so far are a complete body in chunks, which is not empty.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete && self.has_chunk
    }

    /// Whether the first line was the size of a chunk, and all bytes since are chunks.
    #[must_use]
    pub fn has_size_line(&self) -> bool {
        let is_first_size = matches!(self.state, State::Size | State::SizeEnd) && !self.has_chunk;
        !is_first_size && self.state != State::Other
    }

    fn after(&mut self, byte: u8) -> State {
        match self.state {
            State::Size => self.after_size(byte),
            State::SizeEnd if byte == b'\n' => self.begin_chunk(),
            State::DataEnd(expected) => match expected {
                [next] if byte == *next => self.end_chunk(),
                [next, rest @ ..] if byte == *next => State::DataEnd(rest),
                _ => State::Other,
            },
            State::LastEnd(expected) => match expected {
                [next] if byte == *next => State::Complete,
                [next, rest @ ..] if byte == *next => State::LastEnd(rest),
                _ => State::Other,
            },
            _ => State::Other,
        }
    }

    fn after_size(&mut self, byte: u8) -> State {
        if byte == b'\r' && self.digits > 0 {
            return State::SizeEnd;
        }
        let Some(digit) = char::from(byte).to_digit(16) else {
            return State::Other;
        };
        if self.digits == MAX_SIZE_DIGITS {
            return State::Other;
        }
        self.digits += 1;
        self.size = self.size * 16 + u64::from(digit);
        State::Size
    }

    fn begin_chunk(&mut self) -> State {
        if self.size == 0 {
            return State::LastEnd(b"\r\n");
        }
        self.has_chunk = true;
        State::Data(self.size)
    }

    fn end_chunk(&mut self) -> State {
        self.digits = 0;
        self.size = 0;
        State::Size
    }
}
