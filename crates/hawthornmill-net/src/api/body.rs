//! Reads request bodies up to a size limit.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hawthornmill::codes::Code;
use poem::Body;

/// Bytes over the limit that are read and discarded before the request is rejected.
///
/// If the connection were closed while the caller is still sending, the caller's TCP stack would
/// discard the response with it: the caller would see a connection error instead of the rejection.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// [`Code::BodyTooLarge`], or [`Code::BadHeader`] for a truncated body or one with invalid framing.
pub async fn read(body: Body, limit: usize) -> Result<Bytes, Code> {
    let mut chunks = Box::pin(body.into_bytes_stream());
    let mut buffer = BytesMut::new();
    let mut excess = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_error| Code::BadHeader)?;
        if excess == 0 && buffer.len() + chunk.len() <= limit {
            buffer.extend_from_slice(&chunk);
            continue;
        }
        excess += chunk.len();
        buffer.clear();
        if excess > MAX_DISCARD_BYTES {
            break;
        }
    }
    if excess > 0 {
        return Err(Code::BodyTooLarge);
    }
    Ok(buffer.freeze())
}
