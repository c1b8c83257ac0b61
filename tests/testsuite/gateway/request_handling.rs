//! Which requests are accepted, and what of them reaches the server.

use std::time::Duration;

use super::fleet::{Client, Fleet, config, request, route, send_request, wait_until};
use crate::block_on;
use serde_json::json;

#[test]
fn request_and_response_are_forwarded_unchanged() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let head = request(
            "POST",
            "/get/x%20y/../z?a=1&b=%2F",
            "id-1",
            "X-Own: As Is\r\nTenant: thief\r\nConnection: X-Hop\r\nX-Hop: 1\r\nPin-Ms: 9\r\nTransfer-Encoding: chunked\r\n",
        );

        let response = send_request(
            fleet.gateways[0].front(),
            format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n").as_bytes(),
        )
        .await;

        let response = response.expect("the gateway responds");
        assert_eq!(
            (response.status(), response.text().as_str()),
            (200, "answer to id-1 by i-0")
        );
        assert_eq!(
            (response.field("x-own"), response.field("server-stamp")),
            (Some("kept"), Some("i-0.1"))
        );
        let arrival = &fleet.servers[0].received()[0];
        let field = |name| arrival.head.headers.get_str(name);
        assert_eq!(
            (&*arrival.head.method, &*arrival.head.target),
            ("POST", "/get/x%20y/../z?a=1&b=%2F")
        );
        assert_eq!(arrival.body, b"abcde");
        assert_eq!(
            (field("tenant"), field("expect-instance"), field("x-own")),
            (Some("lab"), Some("i-0"), Some("As Is"))
        );
        assert_eq!(
            (field("authorization"), field("x-hop"), field("pin-ms")),
            (None, None, None)
        );
        let left: u64 = field("deadline-ms")
            .and_then(|t| t.parse().ok())
            .expect("the deadline is a number");
        assert!(left <= 3_000 && left > 1_000, "{left}");
    });
}

#[test]
fn invalid_request_reaches_no_server() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let long = "x".repeat(5_000);
        let cases = [
            (request("GET", "/none/", "a", ""), 404),
            (request("GET", "/get", "b", ""), 404),
            (
                request("GET", "/get/", "c", "").replace("h.example", "other.example"),
                404,
            ),
            (
                request("GET", "/get/", "d", "").replace("key-1", "stolen"),
                401,
            ),
            (
                request("GET", "/get/", "e", "").replace("Authorization: Token key-1\r\n", ""),
                401,
            ),
            (request("GET", "/get/", "f", "").replace("5000", "-5"), 400),
            (request("GET", "/get/", "g", "Host: second\r\n"), 400),
            (request("GET", "/get/", "h", &format!("X: {long}\r\n")), 431),
            (
                request("POST", "/get/", "i", "Content-Length: 200000\r\n"),
                413,
            ),
            (
                request(
                    "POST",
                    "/get/",
                    "j",
                    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                ),
                400,
            ),
            (
                request("GET", "/get/", "k", "").replace("HTTP/1.1", "HTTP/1.0"),
                505,
            ),
            (request("GET", "/get/", "l", "Token-Usage: many\r\n"), 400),
        ];

        for (text, status) in cases {
            let response = send_request(front, text.as_bytes())
                .await
                .expect("the gateway responds");
            assert_eq!(response.status(), status, "{text}");
            assert_eq!(response.field("server-stamp"), None);
        }
        let open = request("GET", "/open/", "m", "").replace("Authorization: Token key-1\r\n", "");
        let open = send_request(front, open.as_bytes())
            .await
            .expect("the gateway responds");

        assert_eq!(open.status(), 200);
        assert_eq!(fleet.runs(), 1);
    });
}

/// Failure: a client hides a second request in a body, and the server executes it because it finds the
/// end of the body in another place than the gateway.
#[test]
fn bytes_after_body_are_next_request_of_same_client() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut client = Client::connect(fleet.gateways[0].front()).await;
        let hidden = request("GET", "/get/hidden", "id-2", "").replace("key-1", "stolen");
        let first = request("POST", "/get/a", "id-1", "Content-Length: 2\r\n");

        client.send(format!("{first}ok{hidden}").as_bytes()).await;
        let first_response = client
            .read()
            .await
            .expect("the gateway responds to the first request");
        let second_response = client
            .read()
            .await
            .expect("the gateway responds to the second request");

        assert_eq!(
            (first_response.status(), second_response.status()),
            (200, 401)
        );
        assert_eq!(fleet.runs(), 1);
    });
}

#[test]
fn slow_head_gets_408_and_idle_connection_closes() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let mut slow = Client::connect(fleet.gateways[0].front()).await;
        let mut idle = Client::connect(fleet.gateways[0].front()).await;

        slow.send(b"GET /get/ HTTP/1.1\r\nHost:").await;
        let response = slow.read().await.expect("the gateway responds");
        let closed = idle.read().await;

        assert_eq!(response.status(), 408);
        assert!(closed.is_none());
    });
}

/// Failure: a process that has not yet read the configuration from the store responds with 404, and the
/// client does not retry.
#[test]
fn missing_configuration_gets_503_and_not_ready() {
    block_on(async {
        let mut fleet = Fleet::prepare(1, 1).await;
        fleet.gateways[0].start();
        let front = fleet.gateways[0].front();
        wait_until("the gateway listens", || async {
            tokio::net::TcpStream::connect(front).await.is_ok()
        })
        .await;

        let response = send_request(front, request("GET", "/get/", "a", "").as_bytes())
            .await
            .expect("the gateway responds");
        let ready = fleet.gateways[0].is_ready().await;
        fleet
            .store
            .put("op/config", config(1).to_string().as_bytes());
        wait_until("the gateway is ready", || fleet.gateways[0].is_ready()).await;

        assert_eq!(response.status(), 503);
        assert!(response.field("retry-after").is_some());
        assert!(!ready);
    });
}

#[test]
fn new_configuration_applies_and_older_is_ignored() {
    block_on(async {
        let fleet = Fleet::start(1, 1).await;
        let front = fleet.gateways[0].front();
        let mut newer = config(5);
        newer["routes"] = json!([route("added", "idempotent", &json!({}))]);
        newer["tenants"] = json!([{"name": "lab", "apiKeys": ["key-1"]}]);
        let status = |path: &'static str| async move {
            send_request(front, request("GET", path, "a", "").as_bytes())
                .await
                .map_or(0, |a| a.status())
        };

        fleet.store.put("op/config", newer.to_string().as_bytes());
        wait_until("the new route is served", || async {
            status("/added/").await == 200
        })
        .await;
        fleet
            .store
            .put("op/config", config(4).to_string().as_bytes());
        fleet
            .store
            .put("op/config", b"{\"version\":9,\"routes\":[{}]}");
        tokio::time::sleep(Duration::from_millis(300)).await;

        assert_eq!((status("/added/").await, status("/get/").await), (200, 404));
    });
}
