//! What an adapter tells the gateway of the wire that it serves.
//!
//! Names and encodings of callers, servers and the store differ from one platform to another; what
//! they mean does not. An adapter fills in a [`Dialect`], and nothing else here knows a name.

use hawthornmill::routing::catalog::Catalog;
use hawthornmill::routing::loads::ServerReport;
use hawthornmill::routing::registry::Registration;
use hawthornmill::routing::shape::Shape;

use crate::http::head::Headers;

/// Why something from the wire can't be used, in words.
pub type Unusable = Box<str>;

/// Names of header fields.
#[derive(Debug, Clone, Copy)]
pub struct Names {
    /// Identity of one attempt of a caller; servers repeat it in their answers.
    pub attempt: &'static str,
    /// Milliseconds that the receiver may still take.
    pub deadline: &'static str,
    /// Carries the caller's token.
    pub token: &'static str,
    /// Word before the token in that field.
    pub scheme: &'static str,
    /// Name of the account, for servers.
    pub account: &'static str,
    /// Name of the server that alone may run the request.
    pub expect: &'static str,
    /// Last event of a stream that the caller has.
    pub resume: &'static str,
    /// In an answer: the server did not run the request.
    pub not_run: &'static str,
    /// Seconds after which a refused caller may come back.
    pub again: &'static str,
    /// Fields that only the gateway may set, besides those above.
    pub reserved: &'static [&'static str],
}

/// One key of the store with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: Box<str>,
    /// Revision of its last change.
    pub revision: u64,
    /// Value; none when the key was removed.
    pub value: Option<Vec<u8>>,
}

/// A part of what the store holds, or of what changed there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Items in the store's order.
    pub items: Vec<Item>,
    /// More pages follow.
    pub more: bool,
    /// The store's revision.
    pub revision: u64,
}

/// How the store is asked.
#[derive(Debug, Clone, Copy)]
pub struct Store {
    /// Key of the catalog.
    pub catalog: &'static str,
    /// Prefix of the registrations' keys; a server's name follows it.
    pub servers: &'static str,
    /// Path of one page: prefix of the keys, and the key after which the page begins.
    pub list: fn(&str, Option<&str>) -> String,
    /// Path of a wait for changes: prefix, revision after which they count, milliseconds.
    pub watch: fn(&str, u64, u64) -> String,
    /// Reads the answer to either.
    pub page: fn(&[u8]) -> Result<Page, Unusable>,
}

/// What a caller asks the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Question {
    /// Caller's failure domain; empty where it isn't said.
    pub domain: Box<str>,
    /// Caller's region; empty where it isn't said.
    pub region: Box<str>,
}

/// How the process is asked for its addresses and its state.
#[derive(Debug, Clone, Copy)]
pub struct Surface {
    /// Path that tells whether the process takes requests.
    pub ready: &'static str,
    /// Reads the target of a call to the directory; none when it is another call.
    pub question: fn(&str) -> Option<Question>,
    /// Writes the directory's answer: addresses, and seconds for which it counts.
    pub addresses: fn(&[std::net::SocketAddr], f64) -> Vec<u8>,
}

/// Everything that an adapter provides.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Header fields.
    pub names: Names,
    /// The store.
    pub store: Store,
    /// Directory and state.
    pub surface: Surface,
    /// Reads a catalog.
    pub catalog: fn(&[u8]) -> Result<Catalog, Unusable>,
    /// Reads a registration; the name comes from its key.
    pub registration: fn(&str, &[u8]) -> Result<Registration, Unusable>,
    /// Reads what a request says of its size.
    pub shape: fn(&Headers) -> Result<Shape, Unusable>,
    /// Reads what a server says of its load in an answer.
    pub load: fn(&Headers) -> Option<ServerReport>,
    /// Reads the number of a stream's event.
    pub event: fn(&[u8]) -> Option<u64>,
}
