//! Heads of requests and responses, and the framing of their bodies.

use std::ops::RangeInclusive;

/// Maximum number of headers in one head.
const MAX_HEADERS: usize = 96;
/// Status codes that HTTP defines; the parser takes any three digits for one.
const STATUS_RANGE: RangeInclusive<u16> = 100..=599;
/// Status codes of responses before the final one.
const INTERIM_RANGE: RangeInclusive<u16> = 100..=199;
/// Status of a server that speaks another protocol from then on, for which no request of this process asks.
const SWITCHING_PROTOCOLS: u16 = 101;

/// One header as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name, in the sender's case.
    pub name: Box<str>,
    /// Value without surrounding whitespace.
    pub value: Box<[u8]>,
}

/// Headers in the order in which they were received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns the headers in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Returns all values of `name`.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |f: &&Header| f.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).map(|f| &*f.value)
    }

    /// Returns the first value of `name`.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|f| f.name.eq_ignore_ascii_case(name))
            .map(|f| &*f.value)
    }

    /// Returns the first value of `name` if it is valid UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Returns whether a comma-separated value of `name` contains `token`, ignoring case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|v| std::str::from_utf8(v).ok())
            .flat_map(|v| v.split(','))
            .any(|item| item.trim().eq_ignore_ascii_case(token))
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Request target as received: path and query.
    pub target: Box<str>,
    /// Headers.
    pub headers: Headers,
    /// Whether the version is HTTP/1.1, not 1.0.
    pub is_http11: bool,
}

/// The head of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Headers.
    pub headers: Headers,
    /// Whether the version is HTTP/1.1, not 1.0.
    pub is_http11: bool,
}

/// How the length of a body is determined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// `Content-Length` gives the number of bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the connection closes.
    UntilClose,
}

impl Framing {
    /// Returns the name for logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Empty => "none",
            Self::Length(_) => "length",
            Self::Chunked => "chunked",
            Self::UntilClose => "until_close",
        }
    }
}

/// Error for a head or body that is invalid or ambiguous.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Parses the head of a request, and returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// Returns [`Malformed`] if the bytes are not a valid request head.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = RequestHead {
                method: parsed.method.unwrap_or_default().into(),
                target: parsed.path.unwrap_or_default().into(),
                headers: to_owned_headers(parsed.headers),
                is_http11: parsed.version == Some(1),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_unreadable) => Err(Malformed),
    }
}

/// Parses the head of a response, and returns it with its length in bytes, or `None` if it is incomplete.
///
/// # Errors
/// Returns [`Malformed`] if the bytes are not a valid response head.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let is_status =
                |code: &u16| STATUS_RANGE.contains(code) && *code != SWITCHING_PROTOCOLS;
            let status = parsed.code.filter(is_status);
            let head = ResponseHead {
                status: status.ok_or(Malformed)?,
                reason: parsed.reason.unwrap_or_default().into(),
                headers: to_owned_headers(parsed.headers),
                is_http11: parsed.version == Some(1),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_unreadable) => Err(Malformed),
    }
}

fn to_owned_headers(headers: &[httparse::Header<'_>]) -> Headers {
    let to_header = |f: &httparse::Header<'_>| Header {
        name: f.name.into(),
        value: f.value.trim_ascii().into(),
    };
    Headers(headers.iter().map(to_header).collect())
}

impl RequestHead {
    /// Returns the framing of the request body.
    ///
    /// The backend server must find the same end of the body, or part of the body could be taken for
    /// another request (request smuggling). Every ambiguous combination is therefore rejected: different
    /// lengths, a length together with a transfer coding, codings other than chunked, and chunked in HTTP/1.0.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the framing is ambiguous or invalid.
    pub fn framing(&self) -> Result<Framing, Malformed> {
        let has_coding = self.headers.get("transfer-encoding").is_some();
        let length = content_length(&self.headers)?;
        match (has_coding, length) {
            (false, None | Some(0)) => Ok(Framing::Empty),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (true, None) if self.is_http11 && is_chunked(&self.headers) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
        }
    }

    /// Returns whether a response to this has no body, whatever its headers say.
    pub fn forbids_body(&self) -> bool {
        &*self.method == "HEAD"
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        &self.target[..end]
    }

    /// Returns whether the client closes the connection after the response.
    pub fn closes_connection(&self) -> bool {
        !self.is_http11 || self.headers.has_token("connection", "close")
    }
}

impl ResponseHead {
    /// Returns whether another response to the same request follows.
    pub fn is_interim(&self) -> bool {
        INTERIM_RANGE.contains(&self.status)
    }

    /// Returns the framing of the body of a response to a `method` request.
    ///
    /// # Errors
    /// Returns [`Malformed`] if the framing is ambiguous or invalid.
    pub fn framing(&self, method: &str) -> Result<Framing, Malformed> {
        let no_body = method == "HEAD" || self.is_interim() || matches!(self.status, 204 | 304);
        if no_body {
            return Ok(Framing::Empty);
        }
        let has_coding = self.headers.get("transfer-encoding").is_some();
        match (has_coding, content_length(&self.headers)?) {
            (true, None) if is_chunked(&self.headers) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Returns whether the server closes the connection after this response.
    pub fn closes_connection(&self) -> bool {
        !self.is_http11 || self.headers.has_token("connection", "close")
    }
}

fn is_chunked(headers: &Headers) -> bool {
    let mut values = headers.get_all("transfer-encoding");
    let only = values
        .next()
        .is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
    only && values.next().is_none()
}

fn content_length(headers: &Headers) -> Result<Option<u64>, Malformed> {
    let mut length = None;
    for value in headers.get_all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).map_err(|_bytes| Malformed)?;
        let number: u64 = text.parse().map_err(|_range| Malformed)?;
        if !digits || length.is_some_and(|l| l != number) {
            return Err(Malformed);
        }
        length = Some(number);
    }
    Ok(length)
}
