//! The pool of connections to backend servers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use hawthornmill::ident::ServerId;
use hawthornmill_gateway::pool::{Pool, Upstream};
use tokio::net::{TcpListener, TcpStream};

use crate::block_on;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener has an address");
    (listener, address)
}

/// Failure: requests that must not be executed twice only reuse recently used connections, so each burst
/// opens new ones. A server resets connections above its limit, and could reset one in use.
#[test]
fn idle_limit_keeps_newest_connections() {
    block_on(async {
        let (_listener, address) = listen().await;
        let (pool, server, now) = (Pool::default(), ServerId::of("s"), Instant::now());
        let mut kept = Vec::new();

        for _ in 0..5 {
            let stream = TcpStream::connect(address)
                .await
                .expect("the listener accepts connections");
            kept.push(stream.local_addr().expect("the connection has an address"));
            pool.put_back(server, Upstream::new(stream), None, 2, now);
        }
        let idle = pool.idle_count(server);
        let later = now + Duration::from_millis(10);
        let taken = pool
            .acquire(server, address, true, later)
            .await
            .expect("a connection is idle");

        assert_eq!(idle, 2);
        assert!(taken.reused);
        assert_eq!(taken.stream.local_addr().ok(), kept.last().copied());
    });
}

#[test]
fn connection_of_gone_server_or_with_extra_bytes_is_not_pooled() {
    block_on(async {
        let (_listener, address) = listen().await;
        let (pool, server, now) = (Pool::default(), ServerId::of("s"), Instant::now());
        let connect = || async {
            let stream = TcpStream::connect(address)
                .await
                .expect("the listener accepts connections");
            Upstream::new(stream)
        };
        let mut with_extra_bytes = connect().await;
        with_extra_bytes
            .buffer
            .extend_from_slice(b"HTTP/1.1 200 OK\r\n");

        pool.put_back(server, connect().await, None, 0, now);
        pool.put_back(server, with_extra_bytes, None, 2, now);

        assert_eq!(pool.idle_count(server), 0);
    });
}
