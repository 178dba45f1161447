//! Finds out whether a caller has left within a request.

use std::io;

use sassafrashoist_core::gateway::caller_check::{CHECK_INTERVAL, CallerCheck, CheckStep};

use super::caller_socket::CallerSocket;
use super::listen::wait_while;
use super::open_connection::OpenConnection;

/// Waits until the caller of a connection has left within a request; returns how that was noticed.
///
/// The HTTP library is told to serve callers that have closed their writing side, so that it does not
/// notice callers that leave.
pub async fn wait_until_caller_left(socket: &CallerSocket, open: &OpenConnection) -> io::Error {
    loop {
        wait_while(|| !open.awaits_response()).await;
        let request = open.change_count();
        let caller_left = async {
            match socket.wait_for_end().await {
                Ok(()) => check_caller(socket, open).await,
                Err(error) => error,
            }
        };
        tokio::select! {
            biased;
            () = wait_while(|| open.change_count() == request) => {}
            error = caller_left => return error,
        }
    }
}

/// Checks a caller whose stream has ended until its connection fails; returns the failure.
async fn check_caller(socket: &CallerSocket, open: &OpenConnection) -> io::Error {
    let mut check = CallerCheck::default();
    loop {
        let result = match check.next_step(open.response_progress()) {
            CheckStep::SendInterim => socket.send_interim(),
            CheckStep::SendLeadingZero => socket.send_leading_zero(),
            CheckStep::Look => Ok(()),
        };
        if let Err(error) = result.and_then(|()| socket.check()) {
            return error;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}
