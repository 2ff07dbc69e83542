//! HTTP/1.1 messages on blocking sockets: just what the stand-ins need.

use std::io::{self, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a field, by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        let found = fields.find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.line.split(' ').nth(index).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not used.
pub struct Wire {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        // No peer of a case can hold a stand-in up for good.
        let _ = stream.set_write_timeout(Some(Duration::from_secs(20)));
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut space = [0; 16 * 1024];
        let length = self.stream.read(&mut space)?;
        self.rest.extend_from_slice(&space[..length]);
        Ok(length)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { line, fields }));
            }
            if self.fill()? == 0 {
                if self.rest.is_empty() {
                    return Ok(None);
                }
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|two| two == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head. `to_end` says whether a body without a length goes
    /// on to the end of the connection, as that of an answer does.
    pub fn body(&mut self, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
        if let Some(length) = head.field("content-length") {
            let length = length.parse().map_err(|_| ErrorKind::InvalidData)?;
            return self.bytes(length);
        }
        if head.field("transfer-encoding").is_some() {
            let mut whole = Vec::new();
            loop {
                let line = self.text_line()?;
                let length = line.split(';').next().unwrap_or("").trim();
                let length =
                    usize::from_str_radix(length, 16).map_err(|_| ErrorKind::InvalidData)?;
                if length == 0 {
                    while !self.text_line()?.is_empty() {}
                    return Ok(whole);
                }
                whole.extend(self.bytes(length)?);
                self.text_line()?;
            }
        }
        if to_end {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.rest));
        }
        Ok(Vec::new())
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Says whether the peer has closed its side, without waiting.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut one = [0];
        let peeked = self.stream.peek(&mut one);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(length) => length == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}
