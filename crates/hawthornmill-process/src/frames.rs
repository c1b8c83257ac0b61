//! Length-prefixed frames on a stream: a 32-bit big-endian length, then the frame.

use hawthornmill::wire::FrameError;
use hawthornmill::wire::frame::MAX_FRAME_BYTES;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Reads one frame; `None` if the stream ends or fails before the frame is complete.
///
/// # Errors
/// [`FrameError::TooLarge`] if the length exceeds [`MAX_FRAME_BYTES`].
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Vec<u8>>, FrameError> {
    let Ok(length) = stream.read_u32().await else {
        return Ok(None);
    };
    if length as usize > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    // The buffer grows with the received bytes, so a forged length alone allocates no memory.
    let mut frame = Vec::new();
    let mut limited = stream.take(u64::from(length));
    match limited.read_to_end(&mut frame).await {
        Ok(read) if read == length as usize => Ok(Some(frame)),
        _ => Ok(None),
    }
}

/// Appends a frame with its length prefix to `bytes`.
pub fn append(bytes: &mut Vec<u8>, frame: &[u8]) {
    bytes.extend((frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
}
