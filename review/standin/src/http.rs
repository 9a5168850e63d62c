//! The small part of HTTP/1.1 that the stand-ins need: blocking sockets, one request at a time.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A message head: the first line and the header lines, names in lower case.
#[derive(Debug, Default, Clone)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&to, limit).map(Self::new)
    }

    fn fill(&mut self, by: Instant) -> io::Result<usize> {
        let left = by.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut chunk = [0; 16 * 1024];
        match self.stream.read(&mut chunk) {
            Ok(read) => {
                self.buffer.extend_from_slice(&chunk[..read]);
                Ok(read)
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Err(io::ErrorKind::TimedOut.into()),
            Err(error) => Err(error),
        }
    }

    /// Reads a head. `UnexpectedEof` with no byte read means that the peer closed the connection in order.
    pub fn head(&mut self, by: Instant) -> io::Result<Head> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let split =
                    |l: &str| l.split_once(':').map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_owned()));
                return Ok(Head { line, headers: lines.filter_map(split).collect() });
            }
            if self.fill(by)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body by its length or its chunks. An error means that the body did not come whole.
    pub fn body(&mut self, head: &Head, by: Instant) -> io::Result<Vec<u8>> {
        if head.get("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
            let mut body = Vec::new();
            loop {
                let end = loop {
                    if let Some(end) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                        break end;
                    }
                    if self.fill(by)? == 0 {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                };
                let size = String::from_utf8_lossy(&self.buffer[..end]).trim().to_owned();
                let size = usize::from_str_radix(size.split(';').next().unwrap_or(""), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                self.buffer.drain(..end + 2);
                let data = self.exactly(size + 2, by)?;
                body.extend_from_slice(&data[..size]);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        let length = head.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        self.exactly(length, by)
    }

    fn exactly(&mut self, length: usize, by: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if self.fill(by)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// One call on a connection of its own: status and body.
pub fn call(
    to: SocketAddr, method: &str, path: &str, headers: &str, body: &[u8], limit: Duration,
) -> io::Result<(u16, Vec<u8>)> {
    let by = Instant::now() + limit;
    let mut conn = Conn::connect(to, limit)?;
    conn.stream.set_write_timeout(Some(limit))?;
    let mut bytes = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    conn.write(&bytes)?;
    let head = conn.head(by)?;
    let body = conn.body(&head, by)?;
    Ok((head.status(), body))
}
