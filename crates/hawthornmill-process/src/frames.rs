//! Frames on a stream: four bytes of length, the most significant first, then the frame.

use hawthornmill::wire::FrameError;
use hawthornmill::wire::frame::MAX_FRAME_BYTES;
use tokio::io::{AsyncRead, AsyncReadExt};

/// Reads one frame; none when the stream ends or breaks before its end.
///
/// # Errors
/// [`FrameError::TooLarge`] for a length over [`MAX_FRAME_BYTES`].
pub async fn read(stream: &mut (impl AsyncRead + Unpin)) -> Result<Option<Vec<u8>>, FrameError> {
    let Ok(length) = stream.read_u32().await else {
        return Ok(None);
    };
    if length as usize > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge);
    }
    // The buffer grows with what arrives, so a forged length alone takes no memory.
    let mut frame = Vec::new();
    let mut limited = stream.take(u64::from(length));
    match limited.read_to_end(&mut frame).await {
        Ok(read) if read == length as usize => Ok(Some(frame)),
        _ => Ok(None),
    }
}

/// Adds a frame with its length to `bytes`.
pub fn append(bytes: &mut Vec<u8>, frame: &[u8]) {
    bytes.extend((frame.len() as u32).to_be_bytes());
    bytes.extend_from_slice(frame);
}
