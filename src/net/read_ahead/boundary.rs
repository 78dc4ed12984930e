//! Finds where each request of a connection ends. Where `hyper` might read the bytes differently, the
//! tracker stops for the rest of the connection.

use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Uri};
use memchr::memchr_iter;

use crate::net::connection_options;

/// Most headers of a request; the same as `hyper`'s limit.
const HEADERS_MAX: usize = 100;
/// Longest accepted line of a chunk size, in bytes: 16 digits and the line end.
const CHUNK_LINE_MAX: usize = 18;
/// End of a chunk and of its size.
const LINE_END: &[u8] = b"\r\n";

/// The parsed head of a request.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// The method.
    pub method: Method,
    /// The request target.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
}

impl RequestHead {
    /// True if `request` has the same method, target and headers.
    pub fn matches<B>(&self, request: &Request<B>) -> bool {
        // The comparison of `Uri` ignores the case of some parts.
        self.method == *request.method()
            && self.uri.to_string() == request.uri().to_string()
            && self.headers == *request.headers()
    }
}

/// What the tracker has found.
#[derive(Debug)]
pub enum TrackerEvent {
    /// The head of a request. Without a body, the request ends here.
    Head {
        /// The parsed head.
        head: Box<RequestHead>,
        /// True if a body follows.
        has_body: bool,
        /// True if the connection ends with this request or changes its protocol.
        last: bool,
    },
    /// The end of the body of the request whose head was found last.
    End,
    /// The tracker can't tell where the next request ends; it finds nothing more.
    Stopped,
}

/// The result of one step of the tracker.
#[derive(Debug)]
pub struct Step {
    /// Bytes that need not be passed to the tracker again.
    pub consumed: usize,
    /// What was found; none if more bytes are needed.
    pub event: Option<TrackerEvent>,
}

impl Step {
    fn more(consumed: usize) -> Self {
        Self { consumed, event: None }
    }

    fn found(consumed: usize, event: TrackerEvent) -> Self {
        Self { consumed, event: Some(event) }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    Head,
    /// In a body or chunk of which so many bytes are left.
    Body(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    LastChunkEnd,
    Stopped,
}

/// How the end of a request is determined.
enum Framing {
    Empty,
    Sized(u64),
    Chunked,
}

/// Follows the requests in the bytes of a connection.
#[derive(Debug)]
pub struct Tracker {
    position: Position,
    /// Largest head, in bytes.
    head_max: usize,
    /// Bytes of an incomplete head in which its end has been searched for.
    searched: usize,
    /// True once the head of the connection's last request has been found.
    last: bool,
}

impl Tracker {
    /// A tracker at the start of a connection whose heads may have `head_max` bytes.
    pub fn new(head_max: usize) -> Self {
        Self { position: Position::Head, head_max, searched: 0, last: false }
    }

    /// Ends the tracking.
    pub fn stop(&mut self) {
        self.position = Position::Stopped;
    }

    /// True if the tracker finds nothing more.
    pub fn is_stopped(&self) -> bool {
        self.position == Position::Stopped
    }

    /// Goes on to the next event. `bytes` are all that have been received and not yet consumed.
    pub fn advance(&mut self, bytes: &[u8]) -> Step {
        match self.position {
            Position::Stopped => Step::more(bytes.len()),
            _ if bytes.is_empty() => Step::more(0),
            Position::Head => self.read_head(bytes),
            Position::Body(left) => self.skip_body(bytes, left),
            Position::ChunkSize => self.read_chunk_size(bytes),
            Position::ChunkData(left) => self.skip_chunk(bytes, left),
            Position::ChunkEnd => self.read_line_end(bytes),
            Position::LastChunkEnd => self.read_line_end(bytes),
        }
    }

    fn stopped(&mut self) -> Step {
        self.stop();
        Step::found(0, TrackerEvent::Stopped)
    }

    fn read_head(&mut self, bytes: &[u8]) -> Step {
        if LINE_END.contains(&bytes[0]) {
            return self.stopped();
        }
        if !has_blank_line(bytes, self.searched) {
            if bytes.len() >= self.head_max {
                return self.stopped();
            }
            self.searched = bytes.len();
            return Step::more(0);
        }
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        match request.parse(bytes) {
            Ok(httparse::Status::Complete(length)) if length <= self.head_max => {
                self.searched = 0;
                self.accept_head(&request, length).unwrap_or_else(|| self.stopped())
            }
            _ => self.stopped(),
        }
    }

    /// Returns none if the end of the request is not certain.
    fn accept_head(&mut self, request: &httparse::Request<'_, '_>, length: usize) -> Option<Step> {
        let head = Box::new(parse_head(request)?);
        let is_http_11 = request.version == Some(1);
        let framing = framing(&head.headers)?;
        if head.headers.contains_key(EXPECT) {
            return None;
        }
        if !is_http_11 && matches!(framing, Framing::Chunked) {
            return None;
        }
        let last = !is_http_11 || ends_connection(&head)?;
        self.last = last;
        self.position = match framing {
            Framing::Empty => self.after_request(),
            Framing::Sized(length) => Position::Body(length),
            Framing::Chunked => Position::ChunkSize,
        };
        let has_body = !matches!(framing, Framing::Empty);
        Some(Step::found(length, TrackerEvent::Head { head, has_body, last }))
    }

    fn after_request(&self) -> Position {
        if self.last { Position::Stopped } else { Position::Head }
    }

    fn end_request(&mut self, consumed: usize) -> Step {
        self.position = self.after_request();
        Step::found(consumed, TrackerEvent::End)
    }

    fn skip_body(&mut self, bytes: &[u8], left: u64) -> Step {
        let available = bytes.len() as u64;
        if available < left {
            self.position = Position::Body(left - available);
            return Step::more(bytes.len());
        }
        self.end_request(left as usize)
    }

    fn read_chunk_size(&mut self, bytes: &[u8]) -> Step {
        let start = &bytes[..bytes.len().min(CHUNK_LINE_MAX)];
        let Some(end) = memchr::memchr(b'\n', start) else {
            return match start.len() < CHUNK_LINE_MAX {
                true => Step::more(0),
                false => self.stopped(),
            };
        };
        match chunk_size(&start[..=end]) {
            None => self.stopped(),
            Some(size) => {
                self.position =
                    if size == 0 { Position::LastChunkEnd } else { Position::ChunkData(size) };
                Step::more(end + 1)
            }
        }
    }

    fn skip_chunk(&mut self, bytes: &[u8], left: u64) -> Step {
        let skipped = left.min(bytes.len() as u64);
        self.position = match left - skipped {
            0 => Position::ChunkEnd,
            left => Position::ChunkData(left),
        };
        Step::more(skipped as usize)
    }

    /// Reads the line end after a chunk. Anything else there, also a trailer, stops the tracker.
    fn read_line_end(&mut self, bytes: &[u8]) -> Step {
        if bytes.starts_with(LINE_END) {
            if self.position == Position::LastChunkEnd {
                return self.end_request(LINE_END.len());
            }
            self.position = Position::ChunkSize;
            return Step::more(LINE_END.len());
        }
        if LINE_END.starts_with(bytes) {
            return Step::more(0);
        }
        self.stopped()
    }
}

/// True if an empty line ends after the first `searched` bytes, so that a head may be complete.
fn has_blank_line(bytes: &[u8], searched: usize) -> bool {
    let from = searched.saturating_sub(LINE_END.len());
    memchr_iter(b'\n', &bytes[from..]).any(|i| {
        let rest = &bytes[from + i + 1..];
        rest.starts_with(b"\n") || rest.starts_with(LINE_END)
    })
}

fn parse_head(request: &httparse::Request<'_, '_>) -> Option<RequestHead> {
    let mut headers = HeaderMap::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        headers.append(name, HeaderValue::from_bytes(header.value).ok()?);
    }
    let method = Method::from_bytes(request.method?.as_bytes()).ok()?;
    let uri = Uri::try_from(request.path?).ok()?;
    Some(RequestHead { method, uri, headers })
}

/// Returns none if the headers give more than one length, or one that is not certain.
fn framing(headers: &HeaderMap) -> Option<Framing> {
    let lengths: Vec<_> = headers.get_all(CONTENT_LENGTH).iter().collect();
    let encodings: Vec<_> = headers.get_all(TRANSFER_ENCODING).iter().collect();
    match (lengths.as_slice(), encodings.as_slice()) {
        ([], []) => Some(Framing::Empty),
        ([length], []) => content_length(length.as_bytes()),
        ([], [encoding]) => {
            encoding.as_bytes().eq_ignore_ascii_case(b"chunked").then_some(Framing::Chunked)
        }
        _ => None,
    }
}

fn content_length(value: &[u8]) -> Option<Framing> {
    if value.is_empty() || !value.iter().all(u8::is_ascii_digit) {
        return None;
    }
    match std::str::from_utf8(value).ok()?.parse::<u64>().ok()? {
        0 => Some(Framing::Empty),
        length => Some(Framing::Sized(length)),
    }
}

/// Returns none if the `Connection` header is not readable.
fn ends_connection(head: &RequestHead) -> Option<bool> {
    let readable = head.headers.get_all(CONNECTION).iter().all(|v| v.to_str().is_ok());
    if !readable {
        return None;
    }
    let closes = connection_options(&head.headers).iter().any(|o| o == "close");
    Some(closes || head.method == Method::CONNECT || head.headers.contains_key(UPGRADE))
}

/// The size in a line of hexadecimal digits; none for any other line, also with a chunk extension.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.strip_suffix(LINE_END)?;
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    match httparse::parse_chunk_size(line) {
        Ok(httparse::Status::Complete((_, size))) => Some(size),
        _ => None,
    }
}
