//! Numbered result codes, the same in responses, logs, state dumps and the operator's command.
//!
//! docs/RESULT-CODES.md has the table; a test compares it with [`ResultCode::ALL`].

use serde::{Deserialize, Serialize};

/// Whether a request ran, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// Provably no backend server ran it.
    NotRun,
    /// A backend server may have run it.
    Unknown,
    /// A backend server ran it.
    Ran,
}

impl Outcome {
    /// The value of the `X-Outcome` header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
            Outcome::Ran => "ran",
        }
    }
}

macro_rules! result_codes {
    ($($(#[doc = $doc:literal])+ $name:ident = $number:literal, $status:literal, $outcome:ident;)+) => {
        /// The result of a decision.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $($(#[doc = $doc])+ $name,)+
        }

        impl ResultCode {
            /// Every code, in the order of the table.
            pub const ALL: &'static [ResultCode] = &[$(ResultCode::$name,)+];

            /// The number that callers and operators see.
            pub fn number(self) -> u16 {
                match self { $(ResultCode::$name => $number,)+ }
            }

            /// The name that callers and operators see.
            pub fn name(self) -> &'static str {
                match self { $(ResultCode::$name => stringify!($name),)+ }
            }

            /// The HTTP status of a response with this code.
            pub fn http_status(self) -> u16 {
                match self { $(ResultCode::$name => $status,)+ }
            }

            /// Whether the request ran, as reported to its caller.
            pub fn outcome(self) -> Outcome {
                match self { $(ResultCode::$name => Outcome::$outcome,)+ }
            }

            /// The meaning of the code.
            pub fn meaning(self) -> &'static str {
                match self { $(ResultCode::$name => concat!($($doc),+).trim_ascii(),)+ }
            }
        }
    };
}

result_codes! {
    /// The request ran and this is its answer.
    Done = 1000, 200, Ran;
    /// The request ran before and this is its kept answer.
    Replayed = 1001, 200, Ran;
    /// An idempotency key was minted.
    KeyMinted = 1002, 200, NotRun;
    /// The state of a request was read.
    StateRead = 1003, 200, NotRun;
    /// The caller's key is missing or unknown.
    WrongCallerKey = 4001, 401, NotRun;
    /// No route of the bundle has this path, or the account may not use it.
    UnknownRoute = 4002, 404, NotRun;
    /// The body is larger than 1 MiB.
    BodyTooLarge = 4003, 413, NotRun;
    /// The body is no JSON object of the route's form.
    MalformedBody = 4004, 400, NotRun;
    /// The route is not idempotent and the request has no idempotency key.
    MissingIdempotencyKey = 4005, 400, NotRun;
    /// The idempotency key is empty, too long or has other than visible ASCII.
    MalformedIdempotencyKey = 4006, 400, NotRun;
    /// A header of the request has a value that cannot be read.
    MalformedHeader = 4007, 400, NotRun;
    /// The idempotency key was used before with another account, route or body.
    KeyBodyMismatch = 4008, 422, NotRun;
    /// The path takes another method.
    MethodNotAllowed = 4009, 405, NotRun;
    /// No request with this key is known here.
    UnknownRequest = 4010, 404, Unknown;
    /// The budget has no tokens left in any data centre.
    BudgetEmpty = 5001, 402, NotRun;
    /// The budget has too few tokens in this data centre and more are on the way.
    BudgetShortHere = 5002, 503, NotRun;
    /// The budget's remaining tokens are held where this data centre cannot reach.
    BudgetOutOfReach = 5003, 503, NotRun;
    /// The budget's history cannot be established, so nothing is spent from it.
    BudgetUnestablished = 5004, 503, NotRun;
    /// The account has too many requests in progress.
    AccountRequestLimit = 5101, 429, NotRun;
    /// The account has too many tokens reserved by requests in progress.
    AccountTokenLimit = 5102, 429, NotRun;
    /// The account sends requests faster than its rate.
    AccountRateLimit = 5103, 429, NotRun;
    /// The backend servers are too busy to start the request in time.
    Overloaded = 6001, 503, NotRun;
    /// No backend server of the route can be used.
    NoBackendServer = 6002, 503, NotRun;
    /// The request's deadline cannot be met.
    DeadlineUnreachable = 6003, 503, NotRun;
    /// This VM is shutting down.
    Draining = 6004, 503, NotRun;
    /// Every attempt failed before a backend server began the request.
    AttemptsFailed = 6005, 502, NotRun;
    /// Whether the request ran cannot be known.
    OutcomeUnknown = 7001, 504, Unknown;
    /// The VM that knows this request cannot be reached.
    OwnerOutOfReach = 7002, 503, Unknown;
    /// The request ran and its answer is no longer kept.
    AnswerNotKept = 7003, 409, Ran;
    /// The request crashed backend servers and is quarantined.
    Quarantined = 7004, 422, NotRun;
    /// The table of idempotency keys is full.
    KeyTableFull = 7005, 503, NotRun;
    /// The backend server stopped in the middle of the answer.
    AnswerCut = 7006, 502, Ran;
    /// The request passed its deadline while it ran.
    DeadlinePassed = 7007, 504, Unknown;
    /// The backend server refused the request's content.
    BackendRefused = 7008, 502, Ran;
    /// This VM has no bundle or ledger yet.
    NotReady = 8001, 503, NotRun;
    /// A proposed bundle was refused and the one in force stays.
    BundleRefused = 8101, 409, NotRun;
    /// This VM met an internal fault before the request could run.
    InternalFault = 9001, 500, NotRun;
}
