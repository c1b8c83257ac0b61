//! Heads of requests and answers, and the framing of the body behind them.

/// Fields of one head at most.
const MOST_FIELDS: usize = 96;

/// One header field as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name in the sender's spelling.
    pub name: Box<str>,
    /// Value without surrounding blanks.
    pub value: Box<[u8]>,
}

/// Header fields in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// The fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.0.iter()
    }

    /// Every value of `name`.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |f: &&Header| f.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(same).map(|f| &*f.value)
    }

    /// The first value of `name`.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.0
            .iter()
            .find(|f| f.name.eq_ignore_ascii_case(name))
            .map(|f| &*f.value)
    }

    /// The first value of `name` if it is text.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Tells whether the comma-separated value of `name` has the word `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name)
            .filter_map(|v| std::str::from_utf8(v).ok())
            .flat_map(|v| v.split(','))
            .any(|word| word.trim().eq_ignore_ascii_case(token))
    }
}

/// The head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: Box<str>,
    /// Path and query as sent.
    pub target: Box<str>,
    /// Header fields.
    pub headers: Headers,
    /// HTTP/1.1, not 1.0.
    pub is_http11: bool,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Header fields.
    pub headers: Headers,
    /// HTTP/1.1, not 1.0.
    pub is_http11: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// It has so many bytes.
    Length(u64),
    /// It comes in chunks.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// A head, or a framing, that can't be understood in one way only.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

/// Reads the head of a request; none while it is incomplete. The number is its length in bytes.
///
/// # Errors
/// [`Malformed`] when it is no head.
pub fn parse_request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = RequestHead {
                method: parsed.method.unwrap_or_default().into(),
                target: parsed.path.unwrap_or_default().into(),
                headers: own(parsed.headers),
                is_http11: parsed.version == Some(1),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_unreadable) => Err(Malformed),
    }
}

/// Reads the head of an answer; none while it is incomplete. The number is its length in bytes.
///
/// # Errors
/// [`Malformed`] when it is no head.
pub fn parse_response(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, Malformed> {
    let mut headers = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Response::new(&mut headers);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = ResponseHead {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().into(),
                headers: own(parsed.headers),
                is_http11: parsed.version == Some(1),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_unreadable) => Err(Malformed),
    }
}

fn own(headers: &[httparse::Header<'_>]) -> Headers {
    let own = |f: &httparse::Header<'_>| Header {
        name: f.name.into(),
        value: f.value.trim_ascii().into(),
    };
    Headers(headers.iter().map(own).collect())
}

impl RequestHead {
    /// How the body's end is found.
    ///
    /// Whoever stands behind must find the same end, or bytes of the body pass for a request of
    /// their own. So everything that two readers could take in two ways is refused: two lengths,
    /// a length beside chunks, an encoding other than chunks, chunks in HTTP/1.0.
    ///
    /// # Errors
    /// [`Malformed`] when there is more than one reading.
    pub fn framing(&self) -> Result<Framing, Malformed> {
        let coded = self.headers.get("transfer-encoding").is_some();
        let length = length(&self.headers)?;
        match (coded, length) {
            (false, None | Some(0)) => Ok(Framing::Empty),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (true, None) if self.is_http11 && is_chunked(&self.headers) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
        }
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        &self.target[..end]
    }

    /// The caller wants the connection to end after the answer.
    pub fn closes_connection(&self) -> bool {
        !self.is_http11 || self.headers.has_token("connection", "close")
    }
}

impl ResponseHead {
    /// How the body's end is found, for an answer to a request of `method`.
    ///
    /// # Errors
    /// [`Malformed`] when there is more than one reading.
    pub fn framing(&self, method: &str) -> Result<Framing, Malformed> {
        let bare = method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304);
        if bare {
            return Ok(Framing::Empty);
        }
        let coded = self.headers.get("transfer-encoding").is_some();
        match (coded, length(&self.headers)?) {
            (true, None) if is_chunked(&self.headers) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// The server ends the connection after this answer.
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

fn length(headers: &Headers) -> Result<Option<u64>, Malformed> {
    let mut found = None;
    for value in headers.get_all("content-length") {
        let digits = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
        let text = std::str::from_utf8(value).map_err(|_bytes| Malformed)?;
        let number: u64 = text.parse().map_err(|_range| Malformed)?;
        if !digits || found.is_some_and(|f| f != number) {
            return Err(Malformed);
        }
        found = Some(number);
    }
    Ok(found)
}
