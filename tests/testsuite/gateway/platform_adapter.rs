//! Parsing and encoding in the platform's adapter.

use std::time::Duration;

use hawthornmill::ident::{RegionId, ServiceId};
use hawthornmill::routing::catalog::RetryPolicy;
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::regions::AllowedRegions;
use hawthornmill::routing::server_speed::SpeedFigure;
use hawthornmill_gateway::http::head;
use hawthornmill_platform::{catalog, directory, registration, request, store};
use proptest::prelude::*;

const CONFIG: &str = r#"{"version":7,"future":1,
 "routes":[
  {"name":"r1","host":"H.example","pathPrefix":"/a/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":1000,
   "priority":1,"trafficSplit":[{"service":"s1","weight":90},{"service":"s2","weight":0.5}],"maxAttempts":2,
   "public":false,"sticky":true,"resumable":true,"gapTargetMs":400},
  {"name":"r2","host":"h.example","pathPrefix":"/b/","kind":"non_idempotent","timeoutMs":800,"service":"s2","allowedRegions":["north"]}],
 "services":[{"name":"s1","coldStartS":2.5,"coldPerS":14.0,
  "engine":{"slots":64,"kvCapacity":432367,"kvTokenBytes":125000,"linkMbps":1000000}},{"name":"s2","maxConnections":110}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000,"tokensPerS":510000},
 "tenants":[{"name":"t","apiKeys":["k1","k2"],"priority":2,"allowedRegions":["north","south"]}]}"#;

#[test]
fn configuration_parses_to_catalog() {
    let catalog = catalog::parse(CONFIG.as_bytes()).expect("the configuration is valid");

    let [first, second] = &*catalog.routes else {
        panic!("expected two routes")
    };
    assert_eq!(
        (
            catalog.version,
            &*first.host,
            first.retry_policy,
            first.streaming
        ),
        (7, "h.example", RetryPolicy::Resumable, true)
    );
    assert_eq!(first.targets[1].service, ServiceId::of("s2"));
    assert_eq!(
        (first.targets[0].weight, first.targets[1].weight),
        (90_000, 500)
    );
    assert_eq!(
        (second.retry_policy, second.max_attempts, second.timeout),
        (RetryPolicy::AtMostOnce, 1, Duration::from_millis(800))
    );
    assert_eq!(
        catalog.services[0].engine.map(|e| (e.slots, e.kv_capacity)),
        Some((64, 432_367))
    );
    let [engines, plain] = &*catalog.services else {
        panic!("expected two services")
    };
    let copy_time = engines.engine.map(|e| e.copy_time);
    assert_eq!(copy_time, Some(Duration::from_micros(1)));
    let cold_start = engines.cold_start.map(|c| (c.time, c.rate));
    assert_eq!(cold_start, Some((Duration::from_millis(2_500), 14.0)));
    assert_eq!((plain.engine, plain.cold_start), (None, None));
    assert_eq!(catalog.accounts[0].tokens.len(), 2);
    assert_eq!(catalog.limits.idle_timeout, Duration::from_secs(15));
}

/// Failure: the bounds of a route or an account to regions are dropped, or a missing list is taken for no region at all.
#[test]
fn regions_of_routes_and_accounts_are_parsed() {
    let catalog = catalog::parse(CONFIG.as_bytes()).expect("the configuration is valid");
    let only = |names: &[&str]| {
        AllowedRegions::Only(names.iter().map(|name| RegionId::of(name)).collect())
    };

    assert_eq!(catalog.routes[0].allowed_regions, AllowedRegions::Any);
    assert_eq!(catalog.routes[1].allowed_regions, only(&["north"]));
    assert_eq!(
        catalog.accounts[0].allowed_regions,
        only(&["north", "south"])
    );
}

#[test]
fn non_resumable_stream_is_not_repeated() {
    let text = CONFIG.replace("\"resumable\":true", "\"resumable\":false");

    let catalog = catalog::parse(text.as_bytes()).expect("the configuration is valid");

    assert_eq!(catalog.routes[0].retry_policy, RetryPolicy::AtMostOnce);
}

/// Failure: an invalid entry in the store is taken for a server, or makes the adapter panic.
#[test]
fn invalid_registration_is_rejected() {
    let valid = r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready","born":5,"new":[],"coldRemainingMs":1500}"#;
    let invalid = [
        "",
        "null",
        "[]",
        "{}",
        "\u{fffd}",
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6}"#,
        r#"{"service":"s","address":"nowhere","zone":"z","version":"v1","slots":6,"state":"ready"}"#,
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":"6","state":"ready"}"#,
        r#"{"service":7,"address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready"}"#,
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"sleeping"}"#,
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":6,"state":"ready","born":"x"}"#,
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","slots":6,"state":"ready"}"#,
        r#"{"service":"s","address":"10.0.0.1:80","zone":"z","version":1,"slots":6,"state":"ready"}"#,
    ];

    let entry = registration::parse("i-1", valid.as_bytes()).expect("the entry is valid");

    assert_eq!(
        (&*entry.name, entry.slots, entry.draining, entry.start_ms),
        ("i-1", 6, false, 5)
    );
    assert_eq!(&*entry.version_name, "v1");
    assert_eq!(entry.cold_time, Duration::from_millis(1_500));
    for text in invalid {
        assert!(
            registration::parse("i-1", text.as_bytes()).is_err(),
            "{text}"
        );
    }
}

const LIST: &[u8] = br#"{"entries":[{"key":"servers/a","value":"e30=","revision":4,"created":2,"lease":0}],"hasMore":true,"asOf":9}"#;
const WATCH: &[u8] = br#"{"events":[{"key":"servers/a","revision":5,"deleted":true}],"asOf":5}"#;

/// Failure: the store's response ends with its connection, and a part of a list is taken for all servers that there are.
#[test]
fn store_response_cut_at_any_byte_is_rejected() {
    for page in [LIST, WATCH] {
        for end in 0..page.len() {
            assert!(store::parse_page(&page[..end]).is_err(), "cut at {end}");
        }
    }
}

#[test]
fn store_response_parses_to_page() {
    let list = store::parse_page(LIST).expect("the list is valid");
    let watch = store::parse_page(WATCH).expect("the response is valid");

    assert!(list.has_more);
    assert_eq!(
        (list.revision, list.entries[0].value.as_deref()),
        (9, Some(&b"{}"[..]))
    );
    assert_eq!(watch.entries[0].value, None);
    assert_eq!(
        store::parse_page(br#"{"entries":[{"key":"a","rev"#).ok(),
        None
    );
    assert_eq!(store::parse_page(b"<html>").ok(), None);
}

fn shape_of(fields: &str) -> Option<hawthornmill::routing::shape::Shape> {
    let text = format!("POST /a HTTP/1.1\r\n{fields}\r\n");
    let (head, _) = head::parse_request(text.as_bytes()).ok()??;
    request::parse_shape(&head.headers).ok()
}

#[test]
fn request_size_and_parts_are_parsed() {
    let shape = shape_of(
        "Model: m\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\nLength-Hint: 33\r\n",
    );
    let other_model = shape_of(
        "Model: n\r\nToken-Usage: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,91bd3f06:410,e4402b7d:250\r\n",
    );

    let (shape, other_model) = (
        shape.expect("the size is valid"),
        other_model.expect("the size is valid"),
    );
    assert_eq!(
        (
            shape.prompt_tokens,
            shape.shared_tokens(),
            shape.expected_output()
        ),
        (1_460, 1_210, 33)
    );
    assert_eq!(other_model.expected_output(), 80);
    assert_ne!(
        shape.shared_prefix(),
        other_model.shared_prefix(),
        "prompts of different models share no prefix"
    );
    assert!(shape_of("Token-Usage: x\r\n").is_none());
    assert!(shape_of("Token-Usage: 1,2\r\nPrompt-Prefix: zz\r\n").is_none());
    assert_eq!(shape_of("A: b\r\n").map(|s| s.prompt_tokens), Some(0));
}

/// Returns the head of a response with `status` and `fields`.
fn response_head(status: u16, fields: &str) -> head::ResponseHead {
    let text = format!("HTTP/1.1 {status} X\r\n{fields}Content-Length: 0\r\n\r\n");
    let parsed = head::parse_response(text.as_bytes()).expect("the head is well-formed");
    parsed.expect("the head is complete").0
}

/// Failure: a rest in fractions is not read, an absurd one overflows, or a time of another status is taken for one.
#[test]
fn rest_is_parsed_from_rejections_only() {
    let rest = |status, value: &str| {
        request::parse_rest(&response_head(status, &format!("Retry-After: {value}\r\n")))
    };

    assert_eq!(rest(503, "3"), Some(Duration::from_secs(3)));
    assert_eq!(rest(503, " 0.25 "), Some(Duration::from_millis(250)));
    assert_eq!(rest(503, "1e300"), Some(Duration::MAX));
    for value in [
        "0",
        "-1",
        "NaN",
        "soon",
        "Thu, 03 Dec 2026 22:00:00 GMT",
        "",
    ] {
        assert_eq!(rest(503, value), None, "{value}");
    }
    assert_eq!((rest(200, "3"), rest(429, "3")), (None, None));
    assert_eq!(request::parse_rest(&response_head(503, "")), None);
}

/// Failure: a server that says it stays is taken for one that leaves.
#[test]
fn leaving_is_parsed_from_any_response() {
    let leaving =
        |status, fields: &str| request::says_leaving(&response_head(status, fields).headers);

    assert!(leaving(200, "Server-Leaving: 1\r\n") && leaving(503, "server-leaving:1\r\n"));
    assert!(!leaving(200, "Server-Leaving: 0\r\n") && !leaving(200, ""));
}

#[test]
fn directory_query_parses_and_addresses_encode() {
    let question = directory::parse_query("/v1/resolve?name=h&region=r&zone=z%2D1")
        .expect("it is a directory request");
    let response = directory::encode_addresses(
        &["10.1.0.33:8783".parse().expect("the address is valid")],
        1.5,
    );

    assert_eq!((&*question.domain, &*question.region), ("z-1", "r"));
    assert!(directory::parse_query("/v1/other").is_none());
    assert_eq!(response, br#"{"addresses":["10.1.0.33:8783"],"ttlS":1.5}"#);
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(catalog::parse(&bytes).is_err());
        prop_assert!(registration::parse("i", &bytes).is_err());
        prop_assert!(store::parse_page(&bytes).is_err());
    }

    #[test]
    fn truncated_configuration_is_rejected(end in 0_usize..CONFIG.len()) {
        prop_assert!(catalog::parse(&CONFIG.as_bytes()[..end]).is_err());
    }
}

fn load(value: &[u8]) -> ServerReport {
    let mut text = b"HTTP/1.1 200 OK\r\nServer-Load: ".to_vec();
    text.extend_from_slice(value);
    text.extend_from_slice(b"\r\n\r\n");
    let parsed = head::parse_response(&text).expect("the head is valid");
    let (head, _length) = parsed.expect("the head is complete");
    request::parse_load(&head.headers).expect("the header is there")
}

/// Value, running, waiting, slots, percent, unreadable figures.
type LoadCase = (&'static [u8], u32, u32, Option<u32>, Option<u16>, u8);

/// Failure: the figure of a server's speed is lost, or taken for another one.
#[test]
fn all_four_figures_of_load_are_parsed() {
    let report = load(b"3, 1,12,250");

    let counts = (report.running, report.waiting, report.slots);
    assert_eq!(counts, (3, 1, Some(12)));
    assert_eq!(report.speed.map(SpeedFigure::percent), Some(250));
    assert_eq!(report.unreadable, 0);
}

/// Failure: one bad figure makes the others unusable, or a wild one moves decisions beyond its bound.
#[test]
fn bad_figures_of_load_are_left_out_and_bounded() {
    let cases: [LoadCase; 12] = [
        (b"3,0,12", 3, 0, Some(12), None, 0),
        (b"3,0", 3, 0, None, None, 0),
        (b"x,2,12,100", 0, 2, Some(12), Some(100), 1),
        (b"3,-1,12,100", 3, 0, Some(12), Some(100), 1),
        (
            b"4294967295,4294967295,1,100",
            10_000,
            10_000,
            Some(1),
            Some(100),
            0,
        ),
        (b"99999999999,1,1,100", 0, 1, Some(1), Some(100), 1),
        (b"3,0,12,0", 3, 0, Some(12), None, 1),
        (b"3,0,12,-250", 3, 0, Some(12), None, 1),
        (b"3,0,12,nan", 3, 0, Some(12), None, 1),
        (b"3,0,12,inf", 3, 0, Some(12), None, 1),
        (b"3,0,12,1e300", 3, 0, Some(12), Some(800), 0),
        (b"3,0,12,0.5,7,8,9", 3, 0, Some(12), Some(25), 0),
    ];
    for (value, running, waiting, slots, percent, unreadable) in cases {
        let report = load(value);

        let text = String::from_utf8_lossy(value);
        let counts = (report.running, report.waiting, report.slots);
        assert_eq!(counts, (running, waiting, slots), "{text}");
        assert_eq!(report.speed.map(SpeedFigure::percent), percent, "{text}");
        assert_eq!(report.unreadable, unreadable, "{text}");
    }
}

proptest! {
    /// Failure: some bytes in the header make the parser panic, or pass a figure beyond its bounds.
    #[test]
    fn any_load_is_bounded(value in proptest::collection::vec(0x20_u8..=0xff, 0..200)) {
        prop_assume!(!value.contains(&0x7f));

        let report = load(&value);

        prop_assert!(report.running <= 10_000 && report.waiting <= 10_000);
        prop_assert!(report.speed.is_none_or(|s| (25..=800).contains(&s.percent())));
    }

    /// Failure: numbers of any size in any number make the parser panic, or pass beyond their bounds.
    #[test]
    fn any_numbers_in_load_are_bounded(
        figures in proptest::collection::vec("-?[0-9]{0,40}(\\.[0-9]{0,3})?(e-?[0-9]{1,4})?", 0..41),
    ) {
        let report = load(figures.join(",").as_bytes());

        prop_assert!(report.running <= 10_000 && report.waiting <= 10_000);
        prop_assert!(report.speed.is_none_or(|s| (25..=800).contains(&s.percent())));
    }
}
