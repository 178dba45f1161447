//! A minimal HTTP/1.1 reader and writer for the stand-ins.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// The head and body of a request.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.target.split_once('?')?.1;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|p| p.1)
    }
}

/// The head of a response, and its body once that was read.
#[derive(Debug, Clone, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(headers);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("header without colon"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    find_header(headers, "content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn is_chunked(headers: &[(String, String)]) -> bool {
    find_header(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
}

/// Reads a request; fails at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Request> {
    let mut line = read_line(reader)?;
    while line.is_empty() {
        line = read_line(reader)?;
    }
    let mut words = line.split(' ');
    let target = words.nth(1).ok_or_else(|| invalid("request line"))?.to_owned();
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if is_chunked(&headers) {
        while let Some(chunk) = read_chunk(reader)? {
            body.extend(chunk);
        }
    } else {
        body = vec![0; content_length(&headers)];
        reader.read_exact(&mut body)?;
    }
    Ok(Request { target, headers, body })
}

/// Reads a chunk of a body; `None` if it is the last one.
pub fn read_chunk(reader: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(reader)?;
    let size = line.split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size.trim(), 16).map_err(|_| invalid("size of a chunk"))?;
    let mut data = vec![0; size];
    reader.read_exact(&mut data)?;
    read_line(reader)?;
    Ok((size > 0).then_some(data))
}

/// Reads the head of a final response; interim responses are skipped.
pub fn read_response_head(reader: &mut impl BufRead) -> io::Result<Response> {
    loop {
        let line = read_line(reader)?;
        let status = line.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status: u16 = status.ok_or_else(|| invalid("status line"))?;
        let headers = read_headers(reader)?;
        if status >= 200 {
            return Ok(Response { status, headers, body: Vec::new() });
        }
    }
}

/// Returns whether the body of a response comes in chunks.
pub fn comes_in_chunks(response: &Response) -> bool {
    is_chunked(&response.headers)
}

/// Reads the body of a response that has a length or chunks.
pub fn read_body(reader: &mut impl BufRead, response: &mut Response) -> io::Result<()> {
    if comes_in_chunks(response) {
        while let Some(chunk) = read_chunk(reader)? {
            response.body.extend(chunk);
        }
        return Ok(());
    }
    response.body = vec![0; content_length(&response.headers)];
    reader.read_exact(&mut response.body)
}

/// Writes a response with a body of known length.
pub fn write_response(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + Clone + 'static) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            std::thread::spawn(move || handle(stream));
        }
    });
}

/// Makes one call on a connection of its own.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Response> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut response = read_response_head(&mut reader)?;
    read_body(&mut reader, &mut response)?;
    Ok(response)
}
