//! Streams and response bodies that record the progress of their connection.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use gotham::helpers::http::Body;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::{Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use super::progress::SharedProgress;
use super::read_ahead::ReadState;

/// A stream that records when bytes pass.
pub(super) struct TrackedStream<S> {
    stream: S,
    progress: SharedProgress,
}

impl<S> TrackedStream<S> {
    pub(super) fn new(stream: S, progress: SharedProgress) -> Self {
        Self { stream, progress }
    }

    pub(super) fn into_inner(self) -> S {
        self.stream
    }
}

impl<S: ReadState> ReadState for TrackedStream<S> {
    fn is_read_closed(&self) -> bool {
        self.stream.is_read_closed()
    }

    fn has_unread(&self) -> bool {
        self.stream.has_unread()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buffer))?;
        if buffer.filled().len() > before {
            self.progress.lock().bytes_received(Instant::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write(cx, bytes))?;
        self.progress.lock().bytes_sent(Instant::now());
        Poll::Ready(Ok(sent))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = ready!(Pin::new(&mut self.stream).poll_write_vectored(cx, slices))?;
        self.progress.lock().bytes_sent(Instant::now());
        Poll::Ready(Ok(sent))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// Keeps `guard` until the body of the response has been passed to the connection.
pub(crate) fn hold_until_sent(
    response: Response<Body>,
    guard: impl Send + Unpin + 'static,
) -> Response<Body> {
    response.map(|body| GuardedBody { body, _guard: guard }.boxed_unsync())
}

/// A body that holds a value until it is dropped.
struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G: Unpin> hyper::body::Body for GuardedBody<G> {
    type Data = Bytes;
    type Error = <Body as hyper::body::Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
