//! Whether a frame is arriving in a session, so that one that takes long is not mistaken for silence.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes in front of each frame, which state its length.
const FRAME_HEAD_BYTES: u64 = 4;

/// Counts the bytes of a session.
#[derive(Debug, Default)]
pub(super) struct ArrivalMeter {
    /// Bytes that have been received.
    received: AtomicU64,
    /// Bytes of the frames that have been received whole.
    decoded: AtomicU64,
}

impl ArrivalMeter {
    /// Forgets what came in the handshake.
    pub(super) fn begin_session(&self) {
        self.received.store(0, Ordering::Relaxed);
        self.decoded.store(0, Ordering::Relaxed);
    }

    /// Records a whole frame of `length` bytes.
    pub(super) fn record_frame(&self, length: usize) {
        self.decoded.fetch_add(length as u64 + FRAME_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Bytes that have been received in the session.
    pub(super) fn received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    /// True if a part of a frame has come since `received` bytes had been.
    pub(super) fn is_arriving(&self, received: u64) -> bool {
        let now = self.received();
        now > received && now > self.decoded.load(Ordering::Relaxed)
    }
}

/// A connection whose received bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream {
    pub(super) stream: TcpStream,
    pub(super) meter: Arc<ArrivalMeter>,
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        self.meter.received.fetch_add(count as u64, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
