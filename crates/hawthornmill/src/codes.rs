//! Numbered result codes; docs/ERRORS.md holds the table for operators and callers.

use serde::Serialize;

/// What is known about the execution of a request whose response carries this outcome.
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
    /// The name used in responses and logs.
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
        /// A numbered result code.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[non_exhaustive]
        pub enum Code {
            $($(#[$doc])* $name,)*
        }

        impl Code {
            /// Every code, in ascending order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The number used in responses, logs and docs/ERRORS.md.
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// The HTTP status of a response with this code; 0 for codes that no response carries.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// A short description.
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
    /// A section of unknown kind.
    UnknownSection = 1003, 0, "unknown section";
    /// A key that its section does not define.
    UnknownKey = 1004, 0, "unknown key";
    /// A required key that is missing.
    MissingKey = 1005, 0, "missing key";
    /// A value that can't be parsed as the type of its key.
    BadValue = 1006, 0, "bad value";
    /// A section or key that occurs twice.
    Duplicate = 1007, 0, "duplicate";
    /// An address that is in use or can't be bound.
    BindFailed = 1008, 0, "address can't be bound";
    /// A selector that doesn't parse.
    BadSelector = 2001, 0, "selector doesn't parse";
    /// A reference to an undefined name.
    UnknownReference = 2002, 0, "reference to nothing";
    /// A configuration value over the platform's size limit.
    ValueTooLarge = 2003, 0, "configuration value over one megabyte";
    /// A value whose digest differs from the one in the manifest.
    DigestMismatch = 2004, 0, "value differs from its manifest";
    /// A value that the manifest lists and the platform did not serve.
    ValueMissing = 2005, 0, "value named by the manifest is missing";
    /// A revision older than the active one.
    OlderRevision = 2006, 0, "revision older than the one in force";
    /// Two names with the same identifier.
    KeyCollision = 2007, 0, "two names share one key";
    /// The platform's configuration service can't be reached.
    PlatformUnreachable = 2008, 0, "platform can't be reached";
    /// No account has the bearer token.
    BadToken = 3001, 401, "unknown or missing bearer token";
    /// No service has the name.
    UnknownService = 3002, 404, "unknown service";
    /// No grant allows the account to use a backend server of the service.
    NotGranted = 3003, 403, "no grant for this service";
    /// A request body over the size limit.
    BodyTooLarge = 3004, 413, "body over the bound";
    /// Request headers over the size limit.
    HeadersTooLarge = 3005, 431, "headers over the bound";
    /// A header with an invalid value.
    BadHeader = 3006, 400, "bad header value";
    /// The deadline passed before the request was run.
    DeadlinePassed = 3007, 504, "deadline passed before the request was run";
    /// The account's queue is full.
    QueueFull = 3008, 429, "account's queue is full";
    /// The instance is leaving the fleet or has no configuration yet.
    NotReady = 3009, 503, "instance takes no requests now";
    /// A call that must run at most once has no idempotency key.
    KeyRequired = 3010, 428, "idempotency key required";
    /// A malformed idempotency key, or one that this fleet did not issue.
    BadKey = 3011, 400, "malformed or foreign idempotency key";
    /// A key whose prefix has expired.
    KeyExpired = 3012, 409, "idempotency key's prefix expired";
    /// The call with this key ran, and its response is no longer stored.
    ResponseDiscarded = 3013, 410, "ran, answer no longer kept";
    /// The key's home instance can't tell whether the call ran.
    HomeUnreachable = 3014, 503, "key's home instance unreachable";
    /// The table of idempotency keys is full.
    KeyTableFull = 3015, 503, "key table full";
    /// The backend server failed before it responded.
    UpstreamFailed = 3016, 502, "backend server failed";
    /// The backend server can't be reached.
    UpstreamUnreachable = 3017, 503, "backend server can't be reached";
    /// The response belonged to another request.
    ResponseMismatch = 3018, 502, "answer belonged to another request";
    /// The deadline passed while the request ran.
    DeadlineWhileRunning = 3019, 504, "deadline passed while the request ran";
    /// The instance holds its maximum number of requests.
    InstanceFull = 3020, 503, "instance holds as many requests as it may";
    /// No endpoint matches the path and method of the request.
    NotFound = 3021, 404, "no such call";
    /// The call with this key was rejected before; a rejection is final.
    KeyRejected = 3024, 409, "idempotency key was refused and stays so";
    /// The account's queue is so long that the request would miss its deadline.
    QueueTooLong = 3030, 429, "account's queue is too long for the deadline";
    /// A client that sends the header or the body of its request too slowly.
    RequestTooSlow = 3031, 408, "request came too slowly";
    /// A request in an HTTP version before 1.1.
    HttpVersionTooOld = 3032, 505, "HTTP/1.1 is needed";
    /// No server in a region in which the request may be served.
    RegionUnavailable = 3033, 503, "no server in an allowed region";
    /// A stream that can't go on, since nobody knows at which version of the servers it began.
    VersionUnknown = 3034, 503, "version at which the stream began is unknown";
    /// A request under which servers have ended.
    RequestQuarantined = 3035, 503, "servers have crashed under this request";
    /// A server's answer that exceeds a bound on its size or time; the request may have run.
    ResponseOverLimit = 3036, 502, "backend server's answer exceeded a bound";
    /// A request that another instance sent here for a server, by an entry with the wrong address.
    Misdirected = 3037, 421, "request is for a server elsewhere";
    /// The instance stopped before the answer of a server came; the request may have run.
    InstanceStopped = 3038, 502, "instance stopped before the answer came";
    /// A peer's frame that can't be decoded.
    FrameMalformed = 4001, 0, "malformed peer frame";
    /// A peer's frame with a wrong message authentication code.
    FrameUnauthenticated = 4002, 0, "peer frame not authenticated";
    /// A peer's frame that was seen before.
    FrameReplayed = 4003, 0, "peer frame replayed";
    /// A peer's frame over the size limit.
    FrameTooLarge = 4004, 0, "peer frame over the bound";
    /// A peer's frame of another protocol version.
    FrameVersionMismatch = 4005, 0, "peer frame of another version";
    /// A limit of 0, with which every request fails.
    LimitOfZero = 5101, 0, "limit of 0";
    /// Two services or two accounts with the same name.
    NameDefinedTwice = 5102, 0, "name defined twice";
    /// A token that two accounts have; it identifies only one of them.
    TokenShared = 5103, 0, "token of two accounts";
    /// An account with the empty token.
    TokenEmpty = 5104, 0, "empty token";
    /// Weights of a route whose sum is too large to be drawn from.
    WeightsTooLarge = 5105, 0, "weights too large";
    /// A catalog version that gateways ignore.
    VersionTooLow = 5106, 0, "version never comes into force";
    /// A route that no request can match.
    RouteUnmatched = 5201, 0, "no request can match the route";
    /// A region in which no server can be.
    RegionUnknown = 5202, 0, "no server is in the region";
    /// A route that no region can serve, for some accounts or for all.
    RouteUnserved = 5203, 0, "no region can serve the route";
    /// A service that gets no requests from any route.
    ServiceUnused = 5204, 0, "service without a route";
    /// A target of a route that gets no requests of its own.
    TargetUnused = 5205, 0, "target without requests";
    /// An account without a token.
    AccountWithoutToken = 5206, 0, "account without a token";
    /// A route whose timeout is below its latency objective.
    TimeoutBelowObjective = 5207, 0, "timeout below the latency objective";
    /// Routes with several attempts where the retry budget is 0.
    AttemptsWithoutBudget = 5208, 0, "several attempts without a retry budget";
    /// Hedged requests where the retry budget is 0.
    HedgingWithoutBudget = 5209, 0, "hedging without a retry budget";
    /// Hedging settings that lead to no hedge, for some routes or for all.
    HedgingUnused = 5210, 0, "hedging that never takes place";
    /// A value that gateways ignore or replace.
    ValueIgnored = 5211, 0, "value ignored or replaced";
    /// A service whose servers accept fewer connections than they have slots.
    FewConnections = 5212, 0, "fewer connections than slots";
    /// A route of the catalog in force that the candidate lacks.
    RouteRemoved = 5213, 0, "route removed";
    /// A service of the catalog in force that the candidate lacks.
    ServiceRemoved = 5214, 0, "service removed";
    /// A host of the catalog in force that has no route in the candidate.
    HostRemoved = 5215, 0, "host without routes";
    /// All accounts are removed, so that callers need no token.
    AccountsRemoved = 5216, 0, "callers need no token any more";
    /// A service with a route but without a registered server.
    ServiceWithoutServer = 5217, 0, "service without a server";
    /// Two routes with the same name.
    RouteNameShared = 5218, 0, "two routes share a name";
    /// The catalog to compare with is one that gateways refuse.
    PresentRefused = 5219, 0, "version in force would be refused";
    /// An entry that the catalog in force lacks.
    EntryAdded = 5301, 0, "entry added";
    /// An entry that differs from the catalog in force.
    EntryChanged = 5302, 0, "entry changed";
    /// An account of the catalog in force that the candidate lacks.
    EntryRemoved = 5303, 0, "entry removed";
    /// The store holds no catalog.
    NothingInForce = 5304, 0, "no version in force";
    /// The catalog to compare with can't be parsed.
    PresentUnparsable = 5401, 0, "version in force can't be parsed";
}
