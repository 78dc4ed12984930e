//! Finds out whether the head of a response holds the status line of another one. A head that is broken
//! off takes what follows it on the connection for its own rest, so that two responses are parsed as one.

/// Start of a status line; the minor version, a space and the status follow.
const VERSION: &[u8] = b"HTTP/1.";
/// Length of a status, in digits.
const STATUS_LEN: usize = 3;
/// Length of a status line up to the end of its status, in bytes.
const STATUS_END: usize = VERSION.len() + "1 ".len() + STATUS_LEN;
/// The status of a response that ends HTTP on its connection, so no other head follows.
const SWITCHING_PROTOCOLS: [u8; STATUS_LEN] = *b"101";

/// Scans the bytes of a connection from the start of a response to the end of its head, past the heads of
/// interim responses. Invariant: it doesn't depend on how the bytes are divided into reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct HeadScan {
    /// How many bytes of a status line were matched last.
    matched: usize,
    /// The last status that was matched.
    status: [u8; STATUS_LEN],
    /// The first status in the present head.
    first: Option<[u8; STATUS_LEN]>,
    /// True if the present line has bytes.
    in_line: bool,
    /// True once the present head has a line.
    started: bool,
    /// True once the last head has ended.
    ended: bool,
    /// True if a head has held a second status line.
    spliced: bool,
}

impl HeadScan {
    /// Scans the next bytes of the connection.
    pub fn scan(&mut self, bytes: &[u8]) {
        for byte in bytes {
            if self.ended {
                return;
            }
            self.match_status_line(*byte);
            self.follow_lines(*byte);
        }
    }

    /// True if the head has held a second status line so far.
    pub fn is_spliced(&self) -> bool {
        self.spliced
    }

    /// True once the head of a response has ended that is not interim.
    pub(crate) fn is_ended(&self) -> bool {
        self.ended
    }

    fn match_status_line(&mut self, byte: u8) {
        self.matched = match is_status_line_byte(self.matched, byte) {
            true => self.matched + 1,
            // Only the first byte of a version may start another one.
            false => usize::from(byte == VERSION[0]),
        };
        let digits = STATUS_END - STATUS_LEN;
        if self.matched > digits {
            self.status[self.matched - digits - 1] = byte;
        }
        if self.matched == STATUS_END {
            self.matched = 0;
            self.spliced |= self.first.is_some();
            self.first.get_or_insert(self.status);
        }
    }

    fn follow_lines(&mut self, byte: u8) {
        match byte {
            b'\n' if !self.in_line && self.started => self.end_head(),
            b'\n' => self.in_line = false,
            b'\r' => {}
            _ => (self.in_line, self.started) = (true, true),
        }
    }

    /// The end of a head; another one follows an interim response.
    fn end_head(&mut self) {
        let is_interim = self.first.is_some_and(|s| s[0] == b'1' && s != SWITCHING_PROTOCOLS);
        *self = Self { ended: !is_interim, spliced: self.spliced, ..Self::default() };
    }
}

/// True if `byte` may stand at this place of a status line.
fn is_status_line_byte(place: usize, byte: u8) -> bool {
    match place.checked_sub(VERSION.len()) {
        None => VERSION[place] == byte,
        Some(1) => byte == b' ',
        Some(_) => byte.is_ascii_digit(),
    }
}
