//! Invalid input is rejected with a numbered error and without side effects.

use std::process::Command;

use hawthornmill::config::accept::{Values, manifest};
use hawthornmill_test_support::procs::{Response, send, small_fleet, small_site};
use reqwest::{Client, RequestBuilder};

use crate::{ROUTER, block_on};

fn call(client: &Client, http: &str, path: &str, token: &str) -> RequestBuilder {
    client
        .post(format!("http://{http}/v1/call/{path}"))
        .bearer_auth(token)
        .body("{\"tag\":\"big/1\",\"tokens\":3}")
}

fn summarize(response: Option<&Response>) -> String {
    let Some(response) = response else {
        return "no response".into();
    };
    let body = response.json();
    format!(
        "{} code {} outcome {}: {}",
        response.status, body["code"], body["outcome"], body["title"]
    )
}

#[test]
fn each_invalid_call_gets_its_own_code() {
    block_on(async {
        let site = small_site(ROUTER, 1).await;
        let http = site.routers[0].listed.http.clone();
        let client = Client::new();
        let valid_call = || call(&client, &http, "drafting/generate", "token-big");
        let calls = [
            valid_call().header("hawthornmill-timeout-ms", "-5"),
            valid_call().header("hawthornmill-timeout-ms", "soon"),
            valid_call().header("hawthornmill-cost-hint", "NaN"),
            valid_call().header("x-long", "x".repeat(20_000)),
            valid_call().body("x".repeat(5_000_000)),
            call(&client, &http, "drafting/generate", "wrong"),
            call(&client, &http, "nothing/generate", "token-big"),
            call(&client, &http, "drafting/generate", "token-stranger"),
            call(&client, &http, "booking/run", "token-big"),
            call(&client, &http, "booking/run", "token-big").header("idempotency-key", "mine"),
            client.get(format!("http://{http}/v1/nothing")),
        ];
        let mut lines = Vec::new();

        for call in calls {
            lines.push(summarize(send(call).await.as_ref()));
        }

        insta::assert_snapshot!(lines.join("\n"), @r#"
        400 code 3006 outcome "not_run": "bad header value"
        400 code 3006 outcome "not_run": "bad header value"
        400 code 3006 outcome "not_run": "bad header value"
        431 code 3005 outcome "not_run": "headers over the bound"
        413 code 3004 outcome "not_run": "body over the bound"
        401 code 3001 outcome "not_run": "unknown or missing bearer token"
        404 code 3002 outcome "not_run": "unknown service"
        403 code 3003 outcome "not_run": "no grant for this service"
        428 code 3010 outcome "not_run": "idempotency key required"
        400 code 3011 outcome "not_run": "malformed or foreign idempotency key"
        404 code 3021 outcome "not_run": "no such call"
        "#);
        let after = send(valid_call())
            .await
            .expect("valid calls are still served");
        assert_eq!(after.status, 200);
        site.stop().await;
    });
}

#[test]
fn port_in_use_is_reported() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("it is bound");
    let path = std::env::temp_dir().join(format!("hawthornmill-port-{}.ini", std::process::id()));
    let text = format!(
        "[instance]\nname = r1\ndomain = a\nregion = north\nhttp = {address}\n\
         peer = 127.0.0.1:0\n[platform]\naddress = 127.0.0.1:2\n[peers]\nkey = {}\n",
        "0".repeat(64)
    );
    std::fs::write(&path, text).expect("the directory is writable");

    let output = Command::new(ROUTER).arg("--config").arg(&path).output();

    let output = output.expect("the program starts");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr.contains("error 1008"), "{stderr}");
    std::fs::remove_file(&path).expect("the file is there");
}

/// An operator publishes an invalid revision. The last valid one must stay in force, and the next
/// valid one must be applied.
#[test]
fn rejected_revision_leaves_last_one_in_force() {
    block_on(async {
        let site = small_site(ROUTER, 2).await;
        let invalid = Values::from([("fleet".into(), "[account x]\n".into())]);
        site.platform.publish(invalid);
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
        let during: Vec<_> = site
            .statuses()
            .await
            .iter()
            .map(|s| s["revision"].clone())
            .collect();

        let mut valid = small_fleet().values();
        valid.insert("fleet".into(), site.text.clone());
        site.platform.publish_raw(manifest(7, &valid), valid);
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;

        let after: Vec<_> = site
            .statuses()
            .await
            .iter()
            .map(|s| s["revision"].clone())
            .collect();
        assert_eq!(during, [1, 1]);
        assert_eq!(after, [7, 7]);
        site.stop().await;
    });
}
