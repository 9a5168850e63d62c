//! The little of HTTP/1.1 that the stand-ins need.

use crate::fleet::connect;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A message: its first line, headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Status of an answer; 0 for a request.
    pub status: u16,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && message.first.is_empty() {
            continue;
        }
        if line.is_empty() {
            break;
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.first.starts_with("HTTP/") {
        message.status = message.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    }
    Ok(Some(message))
}

/// Reads a body by its length or its chunks; false if it breaks off.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<bool> {
    let chunked = message.header("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if !chunked {
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0usize);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() {
            return Ok(false);
        }
        message.body = body;
        return Ok(true);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(false);
        }
        let Ok(length) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16) else {
            return Ok(false);
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return Ok(false);
        }
        if length == 0 {
            return Ok(true);
        }
        message.body.extend_from_slice(&chunk[..length]);
    }
}

/// A client's connection.
pub struct Client {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn open(to: SocketAddr) -> Option<Self> {
        let stream = connect(to)?;
        let reader = BufReader::new(stream.try_clone().ok()?);
        Some(Self { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads a whole answer; `None` if none comes whole within the limit.
    pub fn answer(&mut self, limit: Duration) -> Option<Message> {
        self.stream.set_read_timeout(Some(limit)).ok()?;
        let mut message = read_head(&mut self.reader).ok()??;
        read_body(&mut self.reader, &mut message).ok()?.then_some(message)
    }
}

/// Sends a request on a connection of its own and reads the answer.
pub fn once(to: SocketAddr, bytes: &[u8], limit: Duration) -> Option<Message> {
    let mut client = Client::open(to)?;
    client.send(bytes).then_some(())?;
    client.answer(limit)
}
