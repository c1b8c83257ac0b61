//! Reads request bodies within a bound.

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use hawthornmill::codes::Code;
use poem::Body;

/// Bytes over the bound that are still taken in before the refusal, and thrown away.
///
/// A server that answers and closes while the caller still sends makes the caller's machine drop the
/// answer with the connection: the caller would see a broken connection and not the refusal.
const MAX_DISCARD_BYTES: usize = 16 << 20;

/// Reads a body of at most `limit` bytes.
///
/// # Errors
/// [`Code::BodyTooLarge`], or [`Code::BadHeader`] for a body that breaks off or is framed wrongly.
pub async fn read(body: Body, limit: usize) -> Result<Bytes, Code> {
    let mut chunks = Box::pin(body.into_bytes_stream());
    let mut whole = BytesMut::new();
    let mut over = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.map_err(|_broken| Code::BadHeader)?;
        if over == 0 && whole.len() + chunk.len() <= limit {
            whole.extend_from_slice(&chunk);
            continue;
        }
        over += chunk.len();
        whole.clear();
        if over > MAX_DISCARD_BYTES {
            break;
        }
    }
    if over > 0 {
        return Err(Code::BodyTooLarge);
    }
    Ok(whole.freeze())
}
