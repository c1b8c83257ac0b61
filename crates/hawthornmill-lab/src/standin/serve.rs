//! Starts a stand-in's HTTP server on a socket.

use std::net::SocketAddr;

use hawthornmill_net::connections::Connections;
use hawthornmill_net::sockets::bind_http;
use poem::{Endpoint, EndpointExt, IntoEndpoint, Server};
use tokio::task::JoinHandle;

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct Running {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
}

impl Running {
    /// Waits until the server ends, which it does only on an error.
    pub async fn wait(mut self) {
        // Being cancelled is the ordinary end.
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `endpoint` on `address`; port 0 takes a free one.
///
/// # Errors
/// When the address can't be bound.
pub fn serve<E>(address: &str, endpoint: E) -> std::io::Result<Running>
where
    E: IntoEndpoint + Send + 'static,
    E::Endpoint: Endpoint + 'static,
{
    let listener = bind_http(address)?;
    let address = listener.local_addr()?;
    let connections = Connections::default();
    let acceptor = connections.acceptor(listener);
    let endpoint = endpoint.into_endpoint().data(connections);
    let task = tokio::spawn(async move {
        let server = Server::new_with_acceptor(acceptor);
        if let Err(error) = server.run(endpoint).await {
            eprintln!("stand-in on {address} ended: {error}");
        }
    });
    Ok(Running { address, task })
}
