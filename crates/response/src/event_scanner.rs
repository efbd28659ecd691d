//! Finds the ends of server-sent events in a stream of bytes.

/// Scans the bytes of an event stream for the blank lines that end events. Lines end with `\n`,
/// `\r\n` or `\r`.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    /// Whether a field line has begun or ended since the last blank line.
    has_field: bool,
    /// Whether the line before ended with `\r` alone, so that the stream uses `\r` as line end.
    is_cr_only: bool,
    /// The last byte was `\r`.
    after_cr: bool,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    Comment,
    Field,
}

impl EventScanner {
    /// Scans one more byte.
    fn scan(&mut self, byte: u8) {
        let after_cr = std::mem::take(&mut self.after_cr);
        match byte {
            // The second byte of a line end.
            b'\n' if after_cr => self.is_cr_only = false,
            b'\n' => self.end_line(),
            b'\r' => {
                self.is_cr_only = after_cr;
                self.after_cr = true;
                self.end_line();
            }
            b':' if self.line == Line::Empty => self.line = Line::Comment,
            _ if self.line == Line::Empty => {
                self.line = Line::Field;
                self.has_field = true;
            }
            _ => {}
        }
    }

    fn end_line(&mut self) {
        if self.line == Line::Empty {
            self.has_field = false;
        }
        self.line = Line::Empty;
    }

    /// Whether the bytes so far end between two events. After `\r` a `\n` may be missing, unless
    /// the stream ends its lines with `\r` alone.
    #[must_use]
    pub fn is_between_events(&self) -> bool {
        let may_lack_newline = self.after_cr && !self.is_cr_only;
        self.line == Line::Empty && !self.has_field && !may_lack_newline
    }

    /// Scans bytes; returns the position after the last byte that ends between two events.
    pub fn scan_all(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut end = None;
        for (position, byte) in bytes.iter().enumerate() {
            self.scan(*byte);
            if self.is_between_events() {
                end = Some(position + 1);
            }
        }
        end
    }
}
