//! A connection that fails when its peer sends many bytes of which no part of a response comes: a
//! head or a chunk size without end, or interim responses without end.

use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper_util::client::legacy::connect::{Connected, Connection};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes that may be read without a part of a response; larger than the read buffer, since a
/// part may come from all of it.
const UNPARSED_BYTES_MAX: usize = 512 << 10;

/// Counts the bytes that were read since the last part of a response.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReadMeter(Arc<AtomicUsize>);

impl ReadMeter {
    /// Records that a part of a response has come: its head, or a piece of its body.
    pub(crate) fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> bool {
        self.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= UNPARSED_BYTES_MAX
    }
}

/// A connection whose reads are counted by a [`ReadMeter`].
#[derive(Debug)]
pub(crate) struct MeteredStream {
    pub(crate) stream: TcpStream,
    pub(crate) meter: ReadMeter,
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
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        if !self.meter.add(buf.filled().len() - before) {
            let cause = "many bytes without a part of a response";
            return Poll::Ready(Err(Error::new(ErrorKind::InvalidData, cause)));
        }
        result
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
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
