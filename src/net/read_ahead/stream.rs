//! A stream that reads a connection ahead of its server.

use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;
use tokio_rustls::server::TlsStream;

use crate::clock;

use super::session::Session;

/// Most bytes of one read; the server's buffer stays small, too.
const READ_BYTES: usize = 8 << 10;
/// Interval of the checks of a connection at a bound: whether its client has left, and whether the bound
/// still holds.
const BOUND_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A stream that knows more of its socket than what has been read.
pub(crate) trait ReadState {
    /// True if the other side has closed or reset the connection.
    fn is_read_closed(&self) -> bool;

    /// True if the kernel holds bytes of the other side. It is asked directly, since the runtime may learn
    /// of them later.
    fn has_unread(&self) -> bool;
}

impl ReadState for TcpStream {
    fn is_read_closed(&self) -> bool {
        let ready = self.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|r| r.is_read_closed()))
    }

    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_ok_and(|count| count > 0)
    }
}

impl ReadState for TlsStream<TcpStream> {
    fn is_read_closed(&self) -> bool {
        self.get_ref().0.is_read_closed()
    }

    fn has_unread(&self) -> bool {
        self.get_ref().0.has_unread()
    }
}

/// Reads ahead for a session; without one, passes everything through.
pub(crate) struct ReadAheadStream<S> {
    stream: S,
    session: Option<Session>,
    /// How the reading ended; the server gets an error once, then the end.
    end: Option<io::Result<()>>,
    /// The next check of a connection at a bound.
    check: Option<Pin<Box<Sleep>>>,
}

impl<S> ReadAheadStream<S> {
    pub(crate) fn new(stream: S, session: Option<Session>) -> Self {
        Self { stream, session, end: None, check: None }
    }

    pub(crate) fn into_inner(self) -> S {
        self.stream
    }

    /// True if it holds bytes that the server has not read.
    pub(crate) fn has_read_ahead(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.lock().buffer.has_untaken())
    }
}

impl<S: AsyncRead + ReadState + Unpin> ReadAheadStream<S> {
    /// Reads while the session has room.
    fn fill(&mut self, cx: &mut Context<'_>, session: &Session) {
        let mut bytes = [0; READ_BYTES];
        while self.end.is_none() {
            let room = session.lock().buffer.room(READ_BYTES);
            if room == 0 {
                return;
            }
            let mut chunk = ReadBuf::new(&mut bytes[..room]);
            match Pin::new(&mut self.stream).poll_read(cx, &mut chunk) {
                Poll::Pending => return,
                Poll::Ready(Err(e)) => self.end = Some(Err(e)),
                Poll::Ready(Ok(())) if chunk.filled().is_empty() => self.end = Some(Ok(())),
                Poll::Ready(Ok(())) => session.lock().buffer.add(chunk.filled()),
            }
        }
    }

    fn poll_session(
        &mut self,
        cx: &mut Context<'_>,
        session: &Session,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            self.fill(cx, session);
            let mut state = session.lock();
            match self.end {
                None => state.advance(clock::now()),
                Some(_) => state.client_left(),
            }
            let available = state.available();
            if !available.is_empty() {
                let count = available.len().min(buffer.remaining()).min(READ_BYTES);
                buffer.put_slice(&available[..count]);
                state.buffer.take(count);
                return Poll::Ready(Ok(()));
            }
            let is_bounded = state.is_bounded();
            drop(state);
            if let Some(end) = &mut self.end {
                return Poll::Ready(std::mem::replace(end, Ok(())));
            }
            ready!(self.poll_check(cx, is_bounded));
        }
    }

    /// Ready when a connection at a bound has been checked and should be polled again.
    fn poll_check(&mut self, cx: &mut Context<'_>, is_bounded: bool) -> Poll<()> {
        if !is_bounded {
            self.check = None;
            return Poll::Pending;
        }
        let sleep = || Box::pin(tokio::time::sleep(BOUND_CHECK_INTERVAL));
        ready!(self.check.get_or_insert_with(sleep).as_mut().poll(cx));
        self.check = None;
        if self.stream.is_read_closed() {
            self.end = Some(Ok(()));
        }
        Poll::Ready(())
    }
}

impl<S: AsyncRead + ReadState + Unpin> AsyncRead for ReadAheadStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.session.clone() {
            Some(session) => self.poll_session(cx, &session, buffer),
            None => Pin::new(&mut self.stream).poll_read(cx, buffer),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ReadAheadStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
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
