//! Answers without end at the router product's HTTP client.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hawthornmill_net::upstream::{BodyError, OutboundRequest, SendError, Upstream, read_body};
use reqwest::header::HeaderMap;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use crate::block_on;

/// Starts a server that sends `head` after each request and then `unit` until its peer closes the connection.
pub async fn pour(head: &'static str, unit: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((mut stream, _from)) = listener.accept().await {
            tokio::spawn(async move {
                let mut bytes = [0; 4096];
                let _request = stream.read(&mut bytes).await;
                let mut sent = stream.write_all(head.as_bytes()).await;
                let piece = unit.repeat(1_000);
                while sent.is_ok() {
                    sent = stream.write_all(piece.as_bytes()).await;
                }
            });
        }
    });
    address
}

fn outbound() -> OutboundRequest {
    OutboundRequest {
        method: "POST".parse().expect("it is a method"),
        path: "/a".into(),
        headers: HeaderMap::default(),
        body: Bytes::default(),
        id: "a".into(),
    }
}

/// Failure: a load report without end is kept as long as it comes.
#[test]
fn endless_load_report_is_not_kept() {
    block_on(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let address = pour(head, "5\r\nhello\r\n").await;
        let begun = Instant::now();

        let load = Upstream::new().fetch_load(&address.to_string()).await;

        assert_eq!(load, None);
        assert!(begun.elapsed() < Duration::from_millis(400));
    });
}

/// Failure: a head without end is kept until the deadline of the call.
#[test]
fn endless_head_is_given_up() {
    block_on(async {
        let address = pour("HTTP/1.1 200 OK\r\nA: ", "xxxxxxxx").await;
        let upstream = Upstream::new();

        let address = address.to_string();
        let (outbound, limit) = (outbound(), Duration::from_secs(5));
        let sent = tokio::time::timeout(limit, upstream.send(&address, &outbound, true)).await;

        let error = sent.expect("it ends by itself").err();
        assert!(matches!(error, Some(SendError::Failed(_))), "{error:?}");
    });
}

/// Failure: an answer of another instance is kept without bound.
#[test]
fn endless_body_is_given_up() {
    block_on(async {
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let address = pour(head, "5\r\nhello\r\n").await;
        let sent = Upstream::new()
            .send(&address.to_string(), &outbound(), true)
            .await;
        let mut response = sent.expect("the head is sound");

        let body = read_body(&mut response, 10_000).await;

        assert!(matches!(body, Err(BodyError::TooLarge)));
    });
}
