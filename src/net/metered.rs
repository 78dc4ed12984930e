//! A connection that fails when its peer sends many bytes of which no part of a response comes: a
//! head or a chunk size without end, or interim responses without end. It also scans the heads of
//! responses.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use super::byte_budget::{ByteBudget, HeldBytes, HoldKind, UNCOUNTED_BYTES};
use super::head_scan::HeadScan;

/// Most bytes that may be read without a part of a response; larger than the read buffer, since a
/// part may come from all of it.
const UNPARSED_BYTES_MAX: usize = 512 << 10;

/// Size of a connection's read buffer, and so the longest head of a response, in bytes.
pub(crate) const READ_BUFFER_MAX: usize = 64 << 10;
/// Most bytes of one read while there is no room for more; the buffer then stays small.
const SHORT_READ_BYTES: usize = 4 << 10;
/// Interval of the checks whether there is room.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Counts the bytes that were read since the last part of a response, and holds the connection's buffer.
#[derive(Clone, Debug)]
pub(crate) struct ReadMeter(Arc<Mutex<MeterState>>);

#[derive(Debug)]
struct MeterState {
    /// Bytes read since the last part of a response.
    unparsed: usize,
    /// The largest buffer so far: it stays allocated until the connection is closed.
    largest: usize,
    /// Counts it beyond [`UNCOUNTED_BYTES`].
    held: HeldBytes,
    /// The head of the response that is expected or was read last.
    head: HeadScan,
    /// True once a request has been written after the head of another one's response.
    reused: bool,
    /// True from the first byte of a request until the head of its response has been read.
    unanswered: bool,
    /// True once a head has held the status line of another response. It stays, since a request may go on
    /// being written after its response has begun.
    spliced: bool,
}

/// A meter whose connection's buffer counts towards no budget.
impl Default for ReadMeter {
    fn default() -> Self {
        Self::new(ByteBudget::unlimited().hold(HoldKind::Response))
    }
}

impl ReadMeter {
    /// A meter that counts towards the budget of `held`.
    pub(crate) fn new(held: HeldBytes) -> Self {
        let head = HeadScan::default();
        let state = MeterState {
            unparsed: 0,
            largest: 0,
            held,
            head,
            reused: false,
            unanswered: false,
            spliced: false,
        };
        Self(Arc::new(Mutex::new(state)))
    }

    /// Scans what is read from now on as the head of a response. Call it for a connection in use again, when
    /// the response before has been read in full.
    pub(crate) fn expect_head(&self) {
        let mut state = self.lock();
        state.head = HeadScan::default();
        state.spliced = false;
    }

    /// True if the head of the response holds the status line of another one.
    pub(crate) fn is_spliced(&self) -> bool {
        self.lock().spliced
    }

    /// True if the connection has carried an earlier response, so that late bytes may precede the
    /// next one.
    pub(crate) fn is_reused(&self) -> bool {
        self.lock().reused
    }

    /// Records that a part of a response has come: its head, or a piece of its body.
    pub(crate) fn reset(&self) {
        self.lock().unparsed = 0;
    }

    /// True if the connection's buffer is large, and there is no room for another one.
    pub(crate) fn is_burden(&self) -> bool {
        let state = self.lock();
        let counted = counted(state.largest);
        counted > 0 && !state.held.has_room(2 * counted)
    }

    fn lock(&self) -> MutexGuard<'_, MeterState> {
        self.0.lock().expect("meter lock")
    }
}

impl MeterState {
    /// Holds a buffer with room for `size` bytes behind those that it has. Returns false if the budget has
    /// no room.
    fn try_offer(&mut self, size: usize) -> bool {
        let largest = self.largest.max(self.unparsed + size).min(READ_BUFFER_MAX);
        let fits = self.held.has_room(counted(largest));
        if fits {
            self.largest = largest;
            self.held.set(counted(largest));
        }
        fits
    }

    /// Records that a part of a request is about to be written. After the head of a response, it
    /// belongs to the next request, whose response is then expected.
    fn begin_write(&mut self) {
        if self.head.is_ended() {
            self.head = HeadScan::default();
            self.reused = true;
        }
        self.unanswered = true;
    }

    /// How many bytes may be read while there is no room.
    fn short_room(&self) -> usize {
        SHORT_READ_BYTES.min(UNCOUNTED_BYTES.saturating_sub(self.unparsed))
    }

    /// Records the bytes that were read.
    ///
    /// # Errors
    /// Fails if no part of a response has come for too many bytes.
    fn add(&mut self, bytes: &[u8]) -> Result<()> {
        self.head.scan(bytes);
        self.spliced |= self.head.is_spliced();
        self.unanswered &= !self.head.is_ended();
        self.unparsed += bytes.len();
        match self.unparsed <= UNPARSED_BYTES_MAX {
            true => Ok(()),
            false => {
                let cause = "many bytes without a part of a response";
                Err(Error::new(ErrorKind::InvalidData, cause))
            }
        }
    }
}

/// How many bytes of a read buffer with `size` bytes count towards the budget. It grows by doubling.
fn counted(size: usize) -> usize {
    2 * size.saturating_sub(UNCOUNTED_BYTES)
}

/// A connection whose reads are counted by a [`ReadMeter`]. While there is no room for what it reads, it
/// reads little at a time, or waits. It is reset when it is dropped with an unanswered request, so that
/// what the peer has not received of it never arrives.
#[derive(Debug)]
pub(crate) struct MeteredStream {
    stream: TcpStream,
    meter: ReadMeter,
    /// The next check whether there is room.
    check: Option<Pin<Box<Sleep>>>,
}

impl MeteredStream {
    pub(crate) fn new(stream: TcpStream, meter: ReadMeter) -> Self {
        Self { stream, meter, check: None }
    }

    /// Reads a few bytes.
    fn poll_read_short(
        &mut self,
        cx: &mut Context<'_>,
        room: usize,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let mut bytes = [0; SHORT_READ_BYTES];
        let mut part = ReadBuf::new(&mut bytes[..room.min(buf.remaining())]);
        ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        buf.put_slice(part.filled());
        Poll::Ready(Ok(()))
    }

    /// Ready when there may be room.
    fn poll_check(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let sleep = || Box::pin(tokio::time::sleep(ROOM_CHECK_INTERVAL));
        ready!(self.check.get_or_insert_with(sleep).as_mut().poll(cx));
        self.check = None;
        Poll::Ready(())
    }
}

impl Drop for MeteredStream {
    fn drop(&mut self) {
        if self.meter.lock().unanswered
            && let Err(e) = self.stream.set_zero_linger()
        {
            log::debug!("net: a connection is closed and not reset: {e}.");
        }
    }
}

/// Passes the meter on to the responses of a pooled connection, as an extension.
impl Connection for MeteredStream {
    fn connected(&self) -> Connected {
        self.stream.connected().extra(self.meter.clone())
    }
}

/// A response's body; its frames reset the meter of their connection.
#[derive(Debug)]
pub(crate) struct MeteredBody {
    pub(crate) body: Incoming,
    pub(crate) meter: ReadMeter,
}

impl Body for MeteredBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        self.meter.reset();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let (fits, room) = loop {
            let mut state = self.meter.lock();
            let (fits, room) = (state.try_offer(buf.remaining()), state.short_room());
            drop(state);
            if fits || room > 0 {
                break (fits, room);
            }
            ready!(self.poll_check(cx));
        };
        let result = match fits {
            true => Pin::new(&mut self.stream).poll_read(cx, buf),
            false => self.poll_read_short(cx, room, buf),
        };
        self.meter.lock().add(&buf.filled()[before..])?;
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        self.meter.lock().begin_write();
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.meter.lock().begin_write();
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
