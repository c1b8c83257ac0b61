//! Heads of requests and answers, and the framing of the body behind them.

/// Fields of one head at most.
const MOST_FIELDS: usize = 96;

/// One header field as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name in the sender's spelling.
    pub name: Box<str>,
    /// Value without surrounding blanks.
    pub value: Box<[u8]>,
}

/// Header fields in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fields(Vec<Field>);

impl Fields {
    /// The fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Field> {
        self.0.iter()
    }

    /// Every value of `name`.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |f: &&Field| f.name.eq_ignore_ascii_case(name);
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
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Tells whether the comma-separated value of `name` has the word `token`.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name)
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
    pub fields: Fields,
    /// HTTP/1.1, not 1.0.
    pub current: bool,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: Box<str>,
    /// Header fields.
    pub fields: Fields,
    /// HTTP/1.1, not 1.0.
    pub current: bool,
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
pub fn request(bytes: &[u8]) -> Result<Option<(RequestHead, usize)>, Malformed> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Request::new(&mut fields);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = RequestHead {
                method: parsed.method.unwrap_or_default().into(),
                target: parsed.path.unwrap_or_default().into(),
                fields: own(parsed.headers),
                current: parsed.version == Some(1),
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
pub fn answer(bytes: &[u8]) -> Result<Option<(AnswerHead, usize)>, Malformed> {
    let mut fields = [httparse::EMPTY_HEADER; MOST_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    match parsed.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => {
            let head = AnswerHead {
                status: parsed.code.unwrap_or_default(),
                reason: parsed.reason.unwrap_or_default().into(),
                fields: own(parsed.headers),
                current: parsed.version == Some(1),
            };
            Ok(Some((head, length)))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_unreadable) => Err(Malformed),
    }
}

fn own(fields: &[httparse::Header<'_>]) -> Fields {
    let own = |f: &httparse::Header<'_>| Field {
        name: f.name.into(),
        value: f.value.trim_ascii().into(),
    };
    Fields(fields.iter().map(own).collect())
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
        let coded = self.fields.get("transfer-encoding").is_some();
        let length = length(&self.fields)?;
        match (coded, length) {
            (false, None | Some(0)) => Ok(Framing::Empty),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (true, None) if self.current && is_chunked(&self.fields) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
        }
    }

    /// The path without the query.
    pub fn path(&self) -> &str {
        let end = self.target.find('?').unwrap_or(self.target.len());
        &self.target[..end]
    }

    /// The caller wants the connection to end after the answer.
    pub fn closes(&self) -> bool {
        !self.current || self.fields.lists("connection", "close")
    }
}

impl AnswerHead {
    /// How the body's end is found, for an answer to a request of `method`.
    ///
    /// # Errors
    /// [`Malformed`] when there is more than one reading.
    pub fn framing(&self, method: &str) -> Result<Framing, Malformed> {
        let bare = method == "HEAD" || matches!(self.status, 100..=199 | 204 | 304);
        if bare {
            return Ok(Framing::Empty);
        }
        let coded = self.fields.get("transfer-encoding").is_some();
        match (coded, length(&self.fields)?) {
            (true, None) if is_chunked(&self.fields) => Ok(Framing::Chunked),
            (true, _) => Err(Malformed),
            (false, Some(bytes)) => Ok(Framing::Length(bytes)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// The server ends the connection after this answer.
    pub fn closes(&self) -> bool {
        !self.current || self.fields.lists("connection", "close")
    }
}

fn is_chunked(fields: &Fields) -> bool {
    let mut values = fields.all("transfer-encoding");
    let only = values
        .next()
        .is_some_and(|v| v.eq_ignore_ascii_case(b"chunked"));
    only && values.next().is_none()
}

fn length(fields: &Fields) -> Result<Option<u64>, Malformed> {
    let mut found = None;
    for value in fields.all("content-length") {
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
