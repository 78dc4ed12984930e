//! How far a connection has come, and when a server that stops may close it.

use std::sync::{Arc, Mutex, MutexGuard};

use tokio::time::{Duration, Instant};

/// Time that a stopping server gives to a connection without a request, to send one.
pub(super) const REQUEST_WAIT: Duration = Duration::from_millis(300);
/// Time without bytes after which a stopping server closes a connection on which a request has begun.
const HEAD_WAIT: Duration = Duration::from_secs(2);

/// What has passed over a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Progress {
    /// Requests that have been read and not yet answered in full.
    requests: usize,
    /// See [`Self::is_receiving`].
    receiving: bool,
    /// When bytes were last received or sent.
    last: Instant,
}

impl Progress {
    fn new(now: Instant) -> Self {
        Self { requests: 0, receiving: false, last: now }
    }

    pub(super) fn bytes_received(&mut self, now: Instant) {
        self.receiving = true;
        self.last = now;
    }

    pub(super) fn bytes_sent(&mut self, now: Instant) {
        self.last = now;
    }

    fn request_started(&mut self) {
        self.requests += 1;
    }

    fn request_answered(&mut self, now: Instant) {
        self.requests -= 1;
        self.receiving = false;
        self.last = now;
    }

    /// When a stopping server whose listener closed at `closed` may close the connection; none while a
    /// request is being answered.
    pub(super) fn close_at(&self, closed: Instant) -> Option<Instant> {
        let wait = if self.receiving { HEAD_WAIT } else { REQUEST_WAIT };
        (self.requests == 0).then(|| self.last.max(closed) + wait)
    }

    /// True if bytes have come since the last request was answered.
    pub(super) fn is_receiving(&self) -> bool {
        self.receiving
    }

    /// True if nothing has been sent lately that a reset could destroy.
    pub(super) fn is_quiet(&self, now: Instant) -> bool {
        self.last + REQUEST_WAIT <= now
    }
}

/// The progress of a connection, shared by its I/O, its requests and the stop.
#[derive(Clone, Debug)]
pub(super) struct SharedProgress(Arc<Mutex<Progress>>);

impl SharedProgress {
    /// The progress of a connection that opened at `now`.
    pub(super) fn new(now: Instant) -> Self {
        Self(Arc::new(Mutex::new(Progress::new(now))))
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.0.lock().expect("progress lock")
    }

    /// Counts a request until its guard is dropped.
    pub(super) fn start_request(&self) -> RequestGuard {
        self.lock().request_started();
        RequestGuard(self.clone())
    }
}

/// A request that has been read and not yet answered in full.
#[derive(Debug)]
pub(super) struct RequestGuard(SharedProgress);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.lock().request_answered(Instant::now());
    }
}
