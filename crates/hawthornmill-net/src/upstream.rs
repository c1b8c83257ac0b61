//! HTTP client for requests to backend servers.

use std::time::Duration;

use bytes::Bytes;
use hawthornmill::codes::Code;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use poem::http::header::ACCEPT;
use poem::http::{HeaderMap, HeaderName, Method, Request, StatusCode};

use crate::server_connections::ServerConnector;

/// Header that carries the request id on every hop; servers repeat it in their responses.
pub const REQUEST_ID_HEADER: &str = "hawthornmill-request-id";
/// Header in which a server may report the cost of a call.
pub const COST_HEADER: &str = "hawthornmill-cost";
/// Connect timeout for the platform and other instances.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// Idle connections kept to each server.
const MAX_IDLE_PER_SERVER: usize = 64;
/// Maximum size of a response head, and of the bytes of a body that are read ahead of the caller.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Time for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Length of the end of a response that is searched for a reported cost.
const TAIL_BYTES: usize = 512;
/// Maximum size of a load report.
const MAX_LOAD_BYTES: usize = 4 << 10;

/// Headers that are valid for one hop only and are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "expect",
];

/// A request as it is sent to a server.
#[derive(Debug, Clone)]
pub struct OutboundRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query, beginning with `/`.
    pub path: Box<str>,
    /// Headers forwarded from the client, and the trace context.
    pub headers: HeaderMap,
    /// Complete request body.
    pub body: Bytes,
    /// Request id, sent as [`REQUEST_ID_HEADER`].
    pub id: Box<str>,
}

/// Why a request got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No connection was established, so no byte was sent.
    Unreachable,
    /// The connection failed or the response is unusable; the server may have run the request.
    Failed(Code),
}

/// Load that a server reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
pub struct ServerLoad {
    /// Number of requests in execution.
    pub running: u16,
    /// Whether the server is shutting down and accepts no new requests.
    #[serde(default)]
    pub leaving: bool,
}

/// Client for backend servers; it sends a request again only if its connection closed before any byte of it was written.
type ServerClient = Client<ServerConnector, Full<Bytes>>;

/// HTTP clients for backend servers and other instances.
#[derive(Debug, Clone)]
pub struct Upstream {
    pooled: ServerClient,
    single_use: ServerClient,
    unpooled: reqwest::Client,
}

impl Upstream {
    /// Creates clients that never retry a request that may have been sent.
    ///
    /// # Panics
    /// If the HTTP library fails to initialize; the process can't run without it.
    pub fn new() -> Self {
        let unpooled = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .pool_max_idle_per_host(0)
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .no_proxy()
            .build()
            .expect("the HTTP client needs no files and no network to initialize");
        Self {
            pooled: server_client(MAX_IDLE_PER_SERVER),
            // Without reuse, the server can't close an idle connection just before a request, so a
            // request that must not be repeated never fails on a half-closed connection.
            single_use: server_client(0),
            unpooled,
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// With `single_use`, the request gets a new connection of its own.
    ///
    /// # Errors
    /// [`SendError`], which says whether the server may have received the request.
    pub async fn send(
        &self,
        address: &str,
        outbound: &OutboundRequest,
        single_use: bool,
    ) -> Result<reqwest::Response, SendError> {
        let client = if single_use {
            &self.single_use
        } else {
            &self.pooled
        };
        let mut request = Request::builder()
            .method(outbound.method.clone())
            .uri(format!("http://{address}{}", outbound.path))
            .header(ACCEPT, "*/*")
            .header(REQUEST_ID_HEADER, &*outbound.id)
            .body(Full::new(outbound.body.clone()))
            .map_err(|_invalid| SendError::Unreachable)?;
        request.headers_mut().extend(outbound.headers.clone());
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                SendError::Unreachable
            } else {
                SendError::Failed(Code::UpstreamFailed)
            }
        })?;
        let response: reqwest::Response = response.map(reqwest::Body::wrap).into();
        if !is_final_status(response.status()) {
            return Err(SendError::Failed(Code::UpstreamFailed));
        }
        let returned_id = response.headers().get(REQUEST_ID_HEADER);
        if returned_id.is_some_and(|id| id.as_bytes() != outbound.id.as_bytes()) {
            return Err(SendError::Failed(Code::ResponseMismatch));
        }
        Ok(response)
    }

    /// Fetches the load that a server reports; `None` if the request fails.
    pub async fn fetch_load(&self, address: &str) -> Option<ServerLoad> {
        let uri = format!("http://{address}/load").parse().ok()?;
        let fetch = async {
            let response = self.pooled.get(uri).await.ok()?;
            let mut response: reqwest::Response = response.map(reqwest::Body::wrap).into();
            read_body(&mut response, MAX_LOAD_BYTES).await.ok()
        };
        let bytes = tokio::time::timeout(LOAD_TIMEOUT, fetch).await.ok()??;
        serde_json::from_slice(&bytes).ok()
    }

    /// Returns the client without connection reuse, for the platform and other instances.
    pub fn unpooled_client(&self) -> &reqwest::Client {
        &self.unpooled
    }
}

/// Returns a client that keeps this many idle connections to each server.
fn server_client(max_idle: usize) -> ServerClient {
    Client::builder(TokioExecutor::new())
        .http1_max_buf_size(MAX_HEAD_BYTES)
        .pool_max_idle_per_host(max_idle)
        .pool_timer(TokioTimer::new())
        .build(ServerConnector)
}

impl Default for Upstream {
    fn default() -> Self {
        Self::new()
    }
}

/// Returns whether an answer may have this status; the HTTP library takes 101 and up to 999 for one as well.
///
/// No call asks for another protocol, so what follows 101 is no answer.
pub fn is_final_status(status: StatusCode) -> bool {
    matches!(status.as_u16(), 200..=599)
}

/// Why a body was not read to its end.
#[derive(Debug)]
pub enum BodyError {
    /// The connection failed.
    Broken,
    /// The body is longer than allowed.
    TooLarge,
}

/// Reads a body of at most `max_bytes`; the caller bounds the time.
///
/// # Errors
/// [`BodyError`].
pub async fn read_body(
    response: &mut reqwest::Response,
    max_bytes: usize,
) -> Result<Vec<u8>, BodyError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_error| BodyError::Broken)? {
        body.extend_from_slice(&chunk);
        if body.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
    }
    Ok(body)
}

/// Returns the headers of `from` that are forwarded.
pub fn forwarded_headers(from: &HeaderMap) -> HeaderMap {
    from.iter()
        .filter(|(name, _)| is_forwarded(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn is_forwarded(name: &HeaderName) -> bool {
    !HOP_BY_HOP_HEADERS.contains(&name.as_str()) && !name.as_str().starts_with("hawthornmill-")
}

/// The last bytes of a response, in which a server may report the cost.
#[derive(Debug, Clone, Default)]
pub struct ResponseTail {
    bytes: Vec<u8>,
}

impl ResponseTail {
    /// Appends the next chunk of the response and keeps only its last bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        let start = chunk.len().saturating_sub(TAIL_BYTES);
        self.bytes.extend_from_slice(&chunk[start..]);
        let excess = self.bytes.len().saturating_sub(TAIL_BYTES);
        self.bytes.drain(..excess);
    }

    /// Parses the number after the last `"cost":`, if there is one.
    pub fn cost(&self) -> Option<f64> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, rest) = text.rsplit_once("\"cost\":")?;
        let number: String = rest
            .trim_start()
            .chars()
            .take_while(|c| c.is_ascii_digit() || matches!(c, '.' | 'e' | '+'))
            .collect();
        number
            .parse()
            .ok()
            .filter(|c: &f64| c.is_finite() && *c >= 0.0)
    }
}
