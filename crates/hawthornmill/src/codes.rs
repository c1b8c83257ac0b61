//! Numbered result codes; docs/ERRORS.md holds the table for operators and callers.

use serde::Serialize;

/// What is known of a request after the answer that carries this outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request can have reached a backend server.
    NotRun,
    /// A backend server may or may not have run the request.
    Unknown,
    /// A backend server ran the request.
    Ran,
}

impl Outcome {
    /// The name used in answers and logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $title:literal;)*) => {
        /// A numbered result.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in ascending order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number that answers, logs and the table in the docs use.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status of an answer with this code; 0 where no answer carries it.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// A short title in plain words.
            pub const fn title(self) -> &'static str {
                match self { $(Self::$name => $title,)* }
            }
        }
    };
}

codes! {
    /// A file named on the command line can't be read.
    FileUnreadable = 1001, 0, "file can't be read";
    /// The text is not well-formed INI.
    IniSyntax = 1002, 0, "INI syntax error";
    /// A section that the format does not have.
    UnknownSection = 1003, 0, "unknown section";
    /// A key that the section does not have.
    UnknownKey = 1004, 0, "unknown key";
    /// A key without which the section means nothing.
    MissingKey = 1005, 0, "missing key";
    /// A value that can't be read as its key's type.
    BadValue = 1006, 0, "bad value";
    /// A section or key that stands twice.
    Duplicate = 1007, 0, "duplicate";
    /// An address that is in use or can't be bound.
    BindFailed = 1008, 0, "address can't be bound";
    /// A selector that doesn't parse.
    BadSelector = 2001, 0, "selector doesn't parse";
    /// A name that refers to nothing.
    UnknownReference = 2002, 0, "reference to nothing";
    /// A configuration value over the platform's bound.
    ValueTooLarge = 2003, 0, "configuration value over one megabyte";
    /// A value whose digest is not the manifest's.
    DigestMismatch = 2004, 0, "value differs from its manifest";
    /// A value that the manifest names and the platform did not serve.
    ValueMissing = 2005, 0, "value named by the manifest is missing";
    /// A revision below the one in force.
    OlderRevision = 2006, 0, "revision older than the one in force";
    /// Two names with the same key.
    KeyCollision = 2007, 0, "two names share one key";
    /// The platform's configuration service can't be reached.
    PlatformUnreachable = 2008, 0, "platform can't be reached";
    /// No account goes by the bearer token.
    BadToken = 3001, 401, "unknown or missing bearer token";
    /// No service goes by the name.
    UnknownService = 3002, 404, "unknown service";
    /// No grant gives the account a backend server of the service.
    NotGranted = 3003, 403, "no grant for this service";
    /// A request body over the bound.
    BodyTooLarge = 3004, 413, "body over the bound";
    /// Request headers over the bound.
    HeadersTooLarge = 3005, 431, "headers over the bound";
    /// A header whose value can't be used.
    BadHeader = 3006, 400, "bad header value";
    /// The deadline passed before the request was run.
    DeadlinePassed = 3007, 504, "deadline passed before the request was run";
    /// The account's queue is full.
    QueueFull = 3008, 429, "account's queue is full";
    /// The instance is leaving or holds no configuration yet.
    NotReady = 3009, 503, "instance takes no requests now";
    /// A call that must not repeat came without a key.
    KeyRequired = 3010, 428, "idempotency key required";
    /// A key that no instance made.
    BadKey = 3011, 400, "malformed or foreign idempotency key";
    /// A key whose prefix is no longer in use.
    KeyExpired = 3012, 409, "idempotency key's prefix expired";
    /// The key's call ran and its answer is no longer kept.
    ResponseDiscarded = 3013, 410, "ran, answer no longer kept";
    /// The key's home can't say what became of the call.
    HomeUnreachable = 3014, 503, "key's home instance unreachable";
    /// The table of keys is full.
    KeyTableFull = 3015, 503, "key table full";
    /// The backend server broke off before it answered.
    UpstreamFailed = 3016, 502, "backend server failed";
    /// The backend server can't be reached.
    UpstreamUnreachable = 3017, 503, "backend server can't be reached";
    /// The answer belonged to another request.
    ResponseMismatch = 3018, 502, "answer belonged to another request";
    /// The deadline passed while the request ran.
    DeadlineWhileRunning = 3019, 504, "deadline passed while the request ran";
    /// The instance holds as much as it may.
    InstanceFull = 3020, 503, "instance holds as many requests as it may";
    /// The call's path or method is not served.
    NotFound = 3021, 404, "no such call";
    /// The key's call was refused before, and a refusal is final.
    KeyRejected = 3024, 409, "idempotency key was refused and stays so";
    /// The account's queue is so long that the deadline would pass in it.
    QueueTooLong = 3030, 429, "account's queue is too long for the deadline";
    /// A caller that is too slow with the head or the body of its request.
    RequestTooSlow = 3031, 408, "request came too slowly";
    /// A request in an HTTP version before 1.1.
    HttpVersionTooOld = 3032, 505, "HTTP/1.1 is needed";
    /// A peer's frame that can't be decoded.
    FrameMalformed = 4001, 0, "malformed peer frame";
    /// A peer's frame with a wrong authentication code.
    FrameUnauthenticated = 4002, 0, "peer frame not authenticated";
    /// A peer's frame that was seen before.
    FrameReplayed = 4003, 0, "peer frame replayed";
    /// A peer's frame over the bound.
    FrameTooLarge = 4004, 0, "peer frame over the bound";
    /// A peer's frame of another protocol version.
    FrameVersionMismatch = 4005, 0, "peer frame of another version";
}
