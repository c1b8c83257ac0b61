//! The interface between the gateway and the platform's wire format.
//!
//! Header names and encodings differ from one platform to another, but their meaning does not. Each
//! platform fills in an [`Adapter`]; the gateway contains no platform-specific name.

use std::time::Duration;

use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::shape::Shape;

use crate::http::head::{Headers, ResponseHead};

/// Why a value received from outside can't be used, as a message.
pub type ParseError = Box<str>;

/// Names of HTTP header fields.
#[derive(Debug, Clone, Copy)]
pub struct HeaderNames {
    /// Identifies one attempt of a client; servers repeat it in their responses.
    pub attempt_id: &'static str,
    /// Remaining time for the request in milliseconds.
    pub deadline: &'static str,
    /// Carries the client's token.
    pub token: &'static str,
    /// Authentication scheme that precedes the token in its field.
    pub auth_scheme: &'static str,
    /// Name of the client account, sent to servers.
    pub account: &'static str,
    /// Name of the only server that may run the request.
    pub expected_server: &'static str,
    /// Number of the last stream event that the client received.
    pub last_event_id: &'static str,
    /// Attempt of the client that brought the first event of the stream that it takes up.
    pub resumes: &'static str,
    /// In a response: the server did not run the request.
    pub not_executed: &'static str,
    /// Seconds after which a rejected client may retry.
    pub retry_after: &'static str,
    /// Address of the server from which the receiving one fetches cached parts of the prompt.
    pub fetch_source: &'static str,
    /// Further fields that only the gateway may set.
    pub reserved: &'static [&'static str],
}

/// One key of the store with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEntry {
    /// The key.
    pub key: Box<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Revision of its creation; 0 where it is not given, as of a removal.
    pub created: u64,
    /// The value, or `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

/// One page of a list of keys or of changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Entries in the store's order.
    pub entries: Vec<KvEntry>,
    /// Items that are no entries and were left out.
    pub skipped: usize,
    /// Whether more pages follow.
    pub has_more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// How to call the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreApi {
    /// Prefix of the keys that operators write, the catalog's among them.
    pub operator_prefix: &'static str,
    /// Key of the catalog.
    pub catalog_key: &'static str,
    /// Prefix of the keys of evacuated failure domains; the name of the domain follows it.
    pub evacuations_prefix: &'static str,
    /// Prefix of the registrations' keys; the name of the server follows it.
    pub servers_prefix: &'static str,
    /// Builds the path of one page from a key prefix and the last key of the page before.
    pub list_path: fn(&str, Option<&str>) -> String,
    /// Builds the path of a watch from a key prefix, a start revision and a timeout in milliseconds.
    pub watch_path: fn(&str, u64, u64) -> String,
    /// Parses the response to a list or a watch.
    pub parse_page: fn(&[u8]) -> Result<Page, ParseError>,
}

/// How to ask a server about its run.
#[derive(Debug, Clone, Copy)]
pub struct RunApi {
    /// Path of a server's report.
    pub report_path: &'static str,
    /// Parses the start of the server's run out of its report, in milliseconds of Unix time; `None` if it names none.
    pub parse_start: fn(&[u8]) -> Option<u64>,
}

/// A client's query to the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The client's failure domain; empty if the query doesn't name one.
    pub domain: Box<str>,
    /// The client's region; empty if the query doesn't name one.
    pub region: Box<str>,
}

/// How to answer readiness checks and directory queries.
#[derive(Debug, Clone, Copy)]
pub struct DiscoveryApi {
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Parses the target of a directory query; `None` if the target is another one.
    pub parse_query: fn(&str) -> Option<DirectoryQuery>,
    /// Encodes a directory response from addresses and their time to live in seconds.
    pub encode_addresses: fn(&[std::net::SocketAddr], f64) -> Vec<u8>,
}

/// Everything that the gateway needs to know about a platform.
#[derive(Debug, Clone, Copy)]
pub struct Adapter {
    /// Names of header fields.
    pub headers: HeaderNames,
    /// Calls of the store.
    pub store: StoreApi,
    /// Readiness checks and directory queries.
    pub discovery: DiscoveryApi,
    /// Questions to servers about their runs.
    pub runs: RunApi,
    /// Parses a catalog.
    pub parse_catalog: fn(&[u8]) -> Result<Catalog, ParseError>,
    /// Parses a registration; the name of the server comes from its key.
    pub parse_registration: fn(&str, &[u8]) -> Result<Registration, ParseError>,
    /// Parses what the header of a request says about the size of the request.
    pub parse_shape: fn(&Headers) -> Result<Shape, ParseError>,
    /// Parses the load that a server reports in the header of a response.
    pub parse_load: fn(&Headers) -> Option<ServerReport>,
    /// Parses how long the server of a rejection wants no more requests.
    pub parse_rest: fn(&ResponseHead) -> Option<Duration>,
    /// Returns whether a response says that its server leaves.
    pub says_leaving: fn(&Headers) -> bool,
    /// Parses the number of a stream event.
    pub parse_event_id: fn(&[u8]) -> Option<u64>,
}
