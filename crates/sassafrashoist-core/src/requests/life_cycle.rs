//! The life cycle of a request at its entry VM, as typestates.
//!
//! `Received → Admitted → Dispatched → Settled`. Only a request that is not yet dispatched can say
//! *not run*: [`Request::refuse`] does not exist after [`Request::dispatch`].

use crate::ids::{AttemptNumber, BackendServerId, RequestKey, Tokens};
use crate::result_code::{Outcome, ResultCode};

/// A request that has a key and no reservation.
#[derive(Debug)]
pub struct Received;

/// A request that holds a reservation and was sent nowhere.
#[derive(Debug)]
pub struct Admitted {
    reserved_tokens: Tokens,
    attempt: AttemptNumber,
}

/// A request that a backend server may have begun.
#[derive(Debug)]
pub struct Dispatched {
    reserved_tokens: Tokens,
    attempt: AttemptNumber,
    server_id: BackendServerId,
}

/// A request whose cost is known.
#[derive(Debug)]
pub struct Settled {
    billed_tokens: Tokens,
}

/// A request in the state `S`.
#[derive(Debug)]
pub struct Request<S> {
    key: RequestKey,
    state: S,
}

impl<S> Request<S> {
    /// The request's key.
    pub fn key(&self) -> &RequestKey {
        &self.key
    }
}

impl Request<Received> {
    /// Starts the life of a request.
    pub fn new(key: RequestKey) -> Self {
        Self { key, state: Received }
    }

    /// Records that its tokens are reserved.
    pub fn admit(self, reserved_tokens: Tokens, attempt: AttemptNumber) -> Request<Admitted> {
        Request { key: self.key, state: Admitted { reserved_tokens, attempt } }
    }
}

impl Request<Admitted> {
    /// Records that it is about to be sent to a backend server.
    pub fn dispatch(self, server_id: BackendServerId) -> Request<Dispatched> {
        let Admitted { reserved_tokens, attempt } = self.state;
        Request { key: self.key, state: Dispatched { reserved_tokens, attempt, server_id } }
    }

    /// Ends a request that was sent nowhere.
    pub fn refuse(self, code: ResultCode) -> (RequestKey, Outcome) {
        debug_assert_eq!(code.outcome(), Outcome::NotRun);
        (self.key, Outcome::NotRun)
    }
}

impl Request<Dispatched> {
    /// The number of the attempt.
    pub fn attempt(&self) -> AttemptNumber {
        self.state.attempt
    }

    /// The backend server that has it.
    pub fn server_id(&self) -> &BackendServerId {
        &self.state.server_id
    }

    /// Returns to admitted when the backend server provably did not begin it.
    pub fn return_unbegun(self) -> Request<Admitted> {
        let Dispatched { reserved_tokens, attempt, .. } = self.state;
        Request { key: self.key, state: Admitted { reserved_tokens, attempt: attempt + 1 } }
    }

    /// Records the tokens used, at most those reserved.
    pub fn settle(self, used_tokens: Tokens) -> Request<Settled> {
        let billed_tokens = used_tokens.min(self.state.reserved_tokens);
        Request { key: self.key, state: Settled { billed_tokens } }
    }
}

impl Request<Settled> {
    /// The tokens billed.
    pub fn billed_tokens(&self) -> Tokens {
        self.state.billed_tokens
    }
}
