//! Lingering close: a socket that is closed with unread bytes resets its connection, and the reset may
//! overtake the last response. So the write side is shut down first, and what the client still sends is
//! read and discarded.

use std::time::Duration;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Longest time of a lingering close.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without bytes after which the client is taken to send no more.
const LINGER_IDLE_TIMEOUT: Duration = Duration::from_millis(500);
/// Most bytes that are discarded.
const LINGER_BYTES_MAX: usize = 4 << 20;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 16 << 10;

/// Closes a connection whose last response has been written.
pub(super) async fn close(stream: impl AsyncRead + AsyncWrite + Unpin) {
    // A client that goes on sending is cut off.
    let _ = timeout(LINGER_TIMEOUT, shut_down_and_discard(stream)).await;
}

async fn shut_down_and_discard(mut stream: impl AsyncRead + AsyncWrite + Unpin) {
    // Fails if the client has reset the connection; then nothing can be read either.
    if stream.shutdown().await.is_ok() {
        discard(&mut stream).await;
    }
}

/// Reads until the client has closed its side, pauses or has sent too much.
async fn discard(stream: &mut (impl AsyncRead + Unpin)) {
    let mut buffer = vec![0; DISCARD_BUFFER_BYTES];
    let mut left = LINGER_BYTES_MAX;
    while left > 0 {
        match timeout(LINGER_IDLE_TIMEOUT, stream.read(&mut buffer)).await {
            Ok(Ok(count)) if count > 0 => left = left.saturating_sub(count),
            _ => return,
        }
    }
}
