//! Length-prefixed frames on a stream: a 32-bit big-endian length, then the frame.

use std::time::Duration;

use hawthornmill::wire::FrameError;
use hawthornmill::wire::frame::MAX_FRAME_BYTES;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Maximum time from the length of a frame to its end; its bytes are in memory meanwhile.
const MAX_FRAME_TIME: Duration = Duration::from_secs(30);

/// Reads one frame; `None` if the stream ends, fails or takes too long before the frame is complete.
///
/// # Errors
/// [`FrameError::TooLarge`] if the length exceeds [`MAX_FRAME_BYTES`].
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Vec<u8>>, FrameError> {
    read_up_to(stream, MAX_FRAME_BYTES).await
}

/// Reads one frame of at most `max_bytes`; `None` if the stream ends, fails or takes too long before it is complete.
///
/// # Errors
/// [`FrameError::TooLarge`] if the length exceeds `max_bytes`.
pub async fn read_up_to(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
) -> Result<Option<Vec<u8>>, FrameError> {
    let Ok(length) = stream.read_u32().await else {
        return Ok(None);
    };
    if length as usize > max_bytes {
        return Err(FrameError::TooLarge);
    }
    // The buffer grows with the received bytes, so a forged length alone allocates no memory.
    let mut frame = Vec::new();
    let mut limited = stream.take(u64::from(length));
    match tokio::time::timeout(MAX_FRAME_TIME, limited.read_to_end(&mut frame)).await {
        Ok(Ok(read)) if read == length as usize => Ok(Some(frame)),
        _ => Ok(None),
    }
}

/// Appends a frame with its length prefix to `bytes`.
pub fn append(bytes: &mut Vec<u8>, frame: &[u8]) {
    bytes.extend((frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
}
