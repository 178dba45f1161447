//! Reading and writing HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// A request or response whose body has been read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// The first line.
    pub first_line: String,
    /// The headers, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body, as far as it was received.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Returns the path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }
}

/// Reads the first line and the headers; `None` if the connection ended before them.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first_line.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first_line.is_empty() {
            line.clone_into(&mut message.first_line);
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request.
pub fn read_request_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
    } else if let Some(length) = message.header("content-length").and_then(|n| n.parse().ok()) {
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(())
}

/// Reads the body of a response that states its length or comes in chunks.
pub fn read_response_body(
    reader: &mut BufReader<TcpStream>,
    message: &mut Message,
) -> io::Result<()> {
    read_request_body(reader, message)
}

/// Reads one chunk of a chunked body; `None` at its end.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    reader.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}
