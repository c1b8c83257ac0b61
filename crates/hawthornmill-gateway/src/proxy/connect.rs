//! Connections to servers that outlast the request for which they are opened.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use hawthornmill::ident::ServerId;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

use super::{RequestContext, retry};
use crate::pool::{self, Upstream};

/// Returns an idle connection, or opens one in a task of its own, which outlasts a copy that is cancelled.
///
/// Otherwise a server that drops connects would never be known as unreachable: the other copy answers first.
///
/// # Errors
/// If no connection can be opened in time; nothing was sent then.
pub async fn acquire_detached(
    context: RequestContext<'_>,
    server: ServerId,
    address: SocketAddr,
) -> io::Result<Upstream> {
    let gateway = Rc::clone(context.gateway);
    if let Some(idle) = gateway.pool.take(server, false, gateway.now()) {
        return Ok(idle);
    }
    let attempt_id = context.request.attempt_id.clone();
    let (sender, connected) = oneshot::channel();
    spawn_local(async move {
        let result = pool::connect(address).await.map(Upstream::new);
        match sender.send(result) {
            Ok(()) => {}
            Err(Ok(upstream)) => {
                let (max_idle, now) = (gateway.max_idle(server), gateway.now());
                gateway.pool.put_back(server, upstream, None, max_idle, now);
            }
            Err(Err(error)) => {
                retry::record_unreachable(&gateway, &attempt_id, server, &error.to_string());
            }
        }
    });
    // The sender is only dropped together with the runtime.
    connected
        .await
        .unwrap_or_else(|_ended| Err(io::ErrorKind::Interrupted.into()))
}
