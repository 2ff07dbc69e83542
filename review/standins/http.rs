//! HTTP/1.1 on blocking sockets: messages with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request as it was received.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Returns a decoded value of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| decoded(value))
    }
}

/// An answer as it was received.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    #[allow(dead_code)]
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    #[allow(dead_code)]
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut headers = headers.iter();
    let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn decoded(text: &str) -> String {
    let (bytes, mut out, mut at) = (text.as_bytes(), Vec::new(), 0);
    while at < bytes.len() {
        let hex = bytes.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        let hex = hex.and_then(|hex| std::str::from_utf8(hex).ok());
        match hex.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(if bytes[at] == b'+' { b' ' } else { bytes[at] });
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn end() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads more into `rest`; fails at the end of the connection.
fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<()> {
    let mut space = [0; 16 * 1024];
    let length = stream.read(&mut space)?;
    if length == 0 {
        return Err(end());
    }
    rest.extend_from_slice(&space[..length]);
    Ok(())
}

fn take(stream: &mut TcpStream, rest: &mut Vec<u8>, length: usize) -> io::Result<Vec<u8>> {
    while rest.len() < length {
        fill(stream, rest)?;
    }
    Ok(rest.drain(..length).collect())
}

fn take_line(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<String> {
    loop {
        if let Some(at) = rest.windows(2).position(|pair| pair == b"\r\n") {
            let line: Vec<u8> = rest.drain(..at + 2).collect();
            return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
        }
        fill(stream, rest)?;
    }
}

type Head = (String, Vec<(String, String)>);

fn read_head(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Head> {
    let first = take_line(stream, rest)?;
    let mut headers = Vec::new();
    loop {
        let line = take_line(stream, rest)?;
        if line.is_empty() {
            return Ok((first, headers));
        }
        let (name, value) = line.split_once(':').ok_or_else(end)?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

/// Reads a body with a length or in chunks; without either there is none.
fn read_body(
    stream: &mut TcpStream,
    rest: &mut Vec<u8>,
    headers: &[(String, String)],
) -> io::Result<Vec<u8>> {
    let is_chunked = header(headers, "transfer-encoding").is_some();
    if !is_chunked {
        let length = header(headers, "content-length").and_then(|text| text.parse().ok());
        return take(stream, rest, length.unwrap_or(0));
    }
    let mut body = Vec::new();
    loop {
        let line = take_line(stream, rest)?;
        let length = usize::from_str_radix(line.trim(), 16).map_err(|_| end())?;
        body.extend(take(stream, rest, length)?);
        take_line(stream, rest)?;
        if length == 0 {
            return Ok(body);
        }
    }
}

/// Reads a request; `None` at the end of the connection.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Option<Request>> {
    if rest.is_empty() && fill(stream, rest).is_err() {
        return Ok(None);
    }
    let (first, headers) = read_head(stream, rest)?;
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let body = read_body(stream, rest, &headers)?;
    Ok(Some(Request {
        method,
        target,
        headers,
        body,
    }))
}

/// Reads an answer.
pub fn read_answer(stream: &mut TcpStream, rest: &mut Vec<u8>) -> io::Result<Answer> {
    let (first, headers) = read_head(stream, rest)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let body = read_body(stream, rest, &headers)?;
    Ok(Answer {
        status: status.ok_or_else(end)?,
        headers,
        body,
    })
}

/// Writes an answer with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut message = message.into_bytes();
    message.extend_from_slice(body);
    stream.write_all(&message)
}
