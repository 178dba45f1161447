//! Clients: each request goes on a connection of its own.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{comes_in_chunks, read_body, read_chunk, read_response_head};

/// How long a new connection may take to open.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// What a client got.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    /// The status; 0 if no answer came.
    pub status: u16,
    /// Whether the answer bears a server's signature.
    pub is_signed: bool,
    /// The complete events of a stream.
    pub events: u64,
    /// Whether the answer came to its proper end.
    pub is_whole: bool,
}

/// Sends a request and reads its answer. The client closes the connection after `patience` without a
/// byte.
pub fn send(gateway: SocketAddr, request: &str, patience: Duration) -> Answer {
    let mut answer = Answer::default();
    // What is missing from the answer shows how it failed.
    let _ = exchange(gateway, request, patience, &mut answer);
    answer
}

fn exchange(
    gateway: SocketAddr,
    request: &str,
    patience: Duration,
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&gateway, CONNECT_TIME)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut response = read_response_head(&mut reader)?;
    answer.status = response.status;
    answer.is_signed = response.header("Upstream-Signature").is_some();
    if !comes_in_chunks(&response) {
        read_body(&mut reader, &mut response)?;
        answer.is_whole = true;
        return Ok(());
    }
    let mut text = Vec::new();
    while let Some(chunk) = read_chunk(&mut reader)? {
        text.extend(chunk);
        answer.events = text.windows(2).filter(|pair| pair == b"\n\n").count() as u64;
    }
    answer.is_whole = true;
    Ok(())
}
