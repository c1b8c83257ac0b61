//! Calls to backend servers.

use std::time::Duration;

use bytes::Bytes;
use hawthornmill::codes::Code;
use poem::http::{HeaderMap, HeaderName, Method};

/// Header that carries the request id on every hop; servers repeat it in their answers.
pub const REQUEST_ID: &str = "hawthornmill-request-id";
/// Header in which a server may report the cost of a call.
pub const COST: &str = "hawthornmill-cost";
/// Time to connect to a server on the same network.
const CONNECT: Duration = Duration::from_millis(800);
/// Bytes at the end of an answer in which a reported cost is looked for.
const TAIL: usize = 512;

/// Headers that belong to one hop and are not passed on.
const HOP: &[&str] = &[
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

/// A request as it goes to a server.
#[derive(Debug, Clone)]
pub struct Outbound {
    /// Method.
    pub method: Method,
    /// Path and query, starting with `/`.
    pub path: Box<str>,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Request id.
    pub id: Box<str>,
}

/// Why no answer came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// No connection was made, so no byte left.
    Unreachable,
    /// The connection broke or the answer can't be used; the server may have run the request.
    Broken(Code),
}

/// What a server reports of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Deserialize)]
pub struct Load {
    /// Requests that it runs.
    pub running: u16,
    /// It is about to go and wants no new work.
    #[serde(default)]
    pub leaving: bool,
}

/// Connections to backend servers.
#[derive(Debug, Clone)]
pub struct Upstream {
    pooled: reqwest::Client,
    single: reqwest::Client,
}

impl Upstream {
    /// Clients without any retry of their own.
    ///
    /// # Panics
    /// When the HTTP library can't start, which a process can't survive.
    pub fn new() -> Self {
        let build = |idle: usize| {
            reqwest::Client::builder()
                .connect_timeout(CONNECT)
                .pool_max_idle_per_host(idle)
                .tcp_nodelay(true)
                .redirect(reqwest::redirect::Policy::none())
                .retry(reqwest::retry::never())
                .no_proxy()
                .build()
                .expect("the HTTP client needs no files and no network to start")
        };
        Self {
            pooled: build(64),
            // A connection that is used once can't be closed by the server between two calls, so
            // a call that must not repeat never meets a half-closed connection.
            single: build(0),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// [`SendError`], which tells whether a byte can have left.
    pub async fn send(
        &self,
        address: &str,
        out: &Outbound,
        once: bool,
    ) -> Result<reqwest::Response, SendError> {
        let client = if once { &self.single } else { &self.pooled };
        let url = format!("http://{address}{}", out.path);
        let request = client
            .request(out.method.clone(), url)
            .headers(out.headers.clone())
            .header(REQUEST_ID, &*out.id)
            .body(out.body.clone());
        let answer = request.send().await.map_err(|error| {
            if error.is_connect() || error.is_builder() {
                SendError::Unreachable
            } else {
                SendError::Broken(Code::UpstreamFailed)
            }
        })?;
        let named = answer.headers().get(REQUEST_ID);
        if named.is_some_and(|id| id.as_bytes() != out.id.as_bytes()) {
            return Err(SendError::Broken(Code::ResponseMismatch));
        }
        Ok(answer)
    }

    /// Reads what a server reports of itself.
    pub async fn load(&self, address: &str) -> Option<Load> {
        let url = format!("http://{address}/load");
        let request = self.pooled.get(url).timeout(Duration::from_millis(500));
        let bytes = request.send().await.ok()?.bytes().await.ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    /// Client for other instances.
    pub fn client(&self) -> &reqwest::Client {
        &self.single
    }
}

impl Default for Upstream {
    fn default() -> Self {
        Self::new()
    }
}

/// Headers of `from` that are passed on.
pub fn passed_on(from: &HeaderMap) -> HeaderMap {
    from.iter()
        .filter(|(name, _)| passes(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

fn passes(name: &HeaderName) -> bool {
    !HOP.contains(&name.as_str()) && !name.as_str().starts_with("hawthornmill-")
}

/// The last bytes of an answer, in which a server may report the cost.
#[derive(Debug, Clone, Default)]
pub struct Tail {
    bytes: Vec<u8>,
}

impl Tail {
    /// Takes the next part of the answer.
    pub fn push(&mut self, chunk: &[u8]) {
        let from = chunk.len().saturating_sub(TAIL);
        self.bytes.extend_from_slice(&chunk[from..]);
        let over = self.bytes.len().saturating_sub(TAIL);
        self.bytes.drain(..over);
    }

    /// The number behind the last `"cost":`, if there is one.
    pub fn cost(&self) -> Option<f64> {
        let text = String::from_utf8_lossy(&self.bytes);
        let (_, after) = text.rsplit_once("\"cost\":")?;
        let number: String = after
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
