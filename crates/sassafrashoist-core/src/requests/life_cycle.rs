//! The life cycle of a request at the VM that received it, as typestates.
//!
//! `Received → Admitted → Dispatched → Settled`, with `InDoubt` after a `Dispatched` whose response
//! was lost. Only a request that no backend server can have started may be reported as *not run*:
//! [`Request::refuse`] exists on [`Admitted`] alone, and a request that was in doubt once never
//! becomes [`Admitted`] again, even if every later attempt provably did not start.

use super::key_entry::EarlierAttempts;
use crate::ids::{AttemptNumber, BackendServerId, RequestKey, Tokens};
use crate::result_code::{Outcome, ResultCode};

/// A request that has a key and no reservation yet.
#[derive(Debug)]
pub struct Received;

/// A request that holds a reservation and that no backend server can have started.
#[derive(Debug)]
pub struct Admitted {
    reservation: Reservation,
}

/// A request that was sent to a backend server, which may have started it.
#[derive(Debug)]
pub struct Dispatched {
    reservation: Reservation,
    server_id: BackendServerId,
    was_in_doubt: bool,
}

/// A request that an earlier attempt may have started and that is not at a backend server now.
#[derive(Debug)]
pub struct InDoubt {
    reservation: Reservation,
}

/// A request whose cost is known.
#[derive(Debug)]
pub struct Settled {
    billed_tokens: Tokens,
}

/// The tokens that are reserved for a request, and those its attempts are known to have used.
#[derive(Debug)]
struct Reservation {
    reserved_tokens: Tokens,
    spent_tokens: Tokens,
    attempt: AttemptNumber,
}

/// A request in the state `S`.
#[derive(Debug)]
pub struct Request<S> {
    key: RequestKey,
    state: S,
}

/// A request that is not at a backend server.
#[derive(Debug)]
pub enum Undispatched {
    /// No attempt was started.
    Admitted(Request<Admitted>),
    /// An earlier attempt may have been started.
    InDoubt(Request<InDoubt>),
}

impl Undispatched {
    /// The number of the next attempt.
    pub fn attempt(&self) -> AttemptNumber {
        match self {
            Undispatched::Admitted(request) => request.state.reservation.attempt,
            Undispatched::InDoubt(request) => request.state.reservation.attempt,
        }
    }

    /// Sets the number that the owner assigned to the next attempt.
    #[must_use]
    pub fn with_attempt(mut self, attempt: AttemptNumber) -> Self {
        match &mut self {
            Undispatched::Admitted(request) => request.state.reservation.attempt = attempt,
            Undispatched::InDoubt(request) => request.state.reservation.attempt = attempt,
        }
        self
    }

    /// The possible effects of the request's attempts so far.
    pub fn earlier(&self) -> EarlierAttempts {
        match self {
            Undispatched::Admitted(_) => EarlierAttempts::default(),
            Undispatched::InDoubt(request) => EarlierAttempts {
                may_have_run: true,
                spent_tokens: request.state.reservation.spent_tokens,
            },
        }
    }

    /// Records that it is about to be sent to a backend server.
    pub fn dispatch(self, server_id: BackendServerId) -> Request<Dispatched> {
        match self {
            Undispatched::Admitted(request) => request.dispatch(server_id),
            Undispatched::InDoubt(request) => request.dispatch(server_id),
        }
    }
}

impl<S> Request<S> {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}

impl Request<Received> {
    /// Creates a request that was just received.
    pub fn new(key: RequestKey) -> Self {
        Self { key, state: Received }
    }

    /// Records that its tokens are reserved.
    pub fn admit(self, reserved_tokens: Tokens, attempt: AttemptNumber) -> Request<Admitted> {
        let reservation = Reservation { reserved_tokens, spent_tokens: 0, attempt };
        Request { key: self.key, state: Admitted { reservation } }
    }

    /// Records that this VM took the request over from another VM, whose attempt may have started
    /// and is known to have used `spent_tokens`.
    pub fn take_over(
        self,
        reserved_tokens: Tokens,
        spent_tokens: Tokens,
        attempt: AttemptNumber,
    ) -> Request<InDoubt> {
        let reservation = Reservation { reserved_tokens, spent_tokens, attempt };
        Request { key: self.key, state: InDoubt { reservation } }
    }
}

impl Request<Admitted> {
    /// Records that it is about to be sent to a backend server.
    pub fn dispatch(self, server_id: BackendServerId) -> Request<Dispatched> {
        let reservation = self.state.reservation;
        let state = Dispatched { reservation, server_id, was_in_doubt: false };
        Request { key: self.key, state }
    }

    /// Ends a request that no backend server can have started.
    pub fn refuse(self, code: ResultCode) -> (RequestKey, Outcome) {
        debug_assert_eq!(code.outcome(), Outcome::NotRun);
        (self.key, Outcome::NotRun)
    }
}

impl Request<InDoubt> {
    /// The tokens that earlier attempts are known to have used.
    pub fn spent_tokens(&self) -> Tokens {
        self.state.reservation.spent_tokens
    }

    /// Records that it is about to be sent again. That is allowed for idempotent requests, and for
    /// a stream that a backend server resumes without running the request again.
    pub fn dispatch(self, server_id: BackendServerId) -> Request<Dispatched> {
        let reservation = self.state.reservation;
        let state = Dispatched { reservation, server_id, was_in_doubt: true };
        Request { key: self.key, state }
    }
}

impl Request<Dispatched> {
    /// The number of the attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.state.reservation.attempt
    }

    /// The backend server that it was sent to.
    pub fn server_id(&self) -> &BackendServerId {
        &self.state.server_id
    }

    /// The tokens that earlier attempts are known to have used.
    pub fn spent_tokens(&self) -> Tokens {
        self.state.reservation.spent_tokens
    }

    /// Takes the request back from a backend server that provably did not start it.
    pub fn undo_dispatch(self) -> Undispatched {
        let Dispatched { reservation, was_in_doubt, .. } = self.state;
        if was_in_doubt {
            let state = InDoubt { reservation };
            return Undispatched::InDoubt(Request { key: self.key, state });
        }
        Undispatched::Admitted(Request { key: self.key, state: Admitted { reservation } })
    }

    /// Records that the backend server's response was lost; `spent_tokens` is what this attempt is
    /// known to have used.
    pub fn record_lost_response(self, spent_tokens: Tokens) -> Request<InDoubt> {
        let mut reservation = self.state.reservation;
        reservation.spent_tokens = reservation.spent_tokens.saturating_add(spent_tokens);
        Request { key: self.key, state: InDoubt { reservation } }
    }

    /// Settles the request with the tokens that the last attempt used.
    ///
    /// The bill includes what earlier attempts are known to have used, and is at most the
    /// reservation: the operator bears what failed backend servers used beyond that.
    pub fn settle(self, used_tokens: Tokens) -> Request<Settled> {
        let Reservation { reserved_tokens, spent_tokens, .. } = self.state.reservation;
        let billed_tokens = spent_tokens.saturating_add(used_tokens).min(reserved_tokens);
        Request { key: self.key, state: Settled { billed_tokens } }
    }
}

impl Request<Settled> {
    /// The tokens billed.
    pub fn billed_tokens(&self) -> Tokens {
        self.state.billed_tokens
    }
}
