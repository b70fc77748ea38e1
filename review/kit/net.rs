//! HTTP/1.1 over blocking sockets, as little as the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// Request or response head with a body that was read completely.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    /// Headers with lowercase names.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|s| s.parse().ok())
            .unwrap_or(0)
    }
}

/// Connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        drop(stream.set_nodelay(true));
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, Duration::from_secs(1)).map(Self::new)
    }

    /// Reads more bytes; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len > 0)
    }

    /// Reads a head; `None` at an orderly end before it.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buf.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return match self.buf.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|l| l.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Message {
            line,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    fn read_exactly(&mut self, len: usize, body: &mut Vec<u8>) -> io::Result<()> {
        while self.buf.len() < len {
            if !self.fill()? {
                body.append(&mut self.buf);
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        body.extend(self.buf.drain(..len));
        Ok(())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buf[..at]).into_owned();
                self.buf.drain(..at + 2);
                return Ok(line);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that belongs to a head. An error means that it is incomplete; what arrived is in
    /// `message.body`. A response with neither a length nor chunks ends with the connection.
    pub fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let mut body = Vec::new();
        let result = self.read_body_into(message, is_response, &mut body);
        message.body = body;
        result
    }

    fn read_body_into(
        &mut self,
        m: &Message,
        is_response: bool,
        body: &mut Vec<u8>,
    ) -> io::Result<()> {
        if m.header("transfer-encoding")
            .to_ascii_lowercase()
            .contains("chunked")
        {
            loop {
                let line = self.read_line()?;
                let size = line.split(';').next().unwrap_or("").trim();
                let size = usize::from_str_radix(size, 16);
                let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(());
                }
                self.read_exactly(size, body)?;
                self.read_line()?;
            }
        }
        if let Ok(len) = m.header("content-length").parse() {
            return self.read_exactly(len, body);
        }
        if is_response && m.status() != 204 {
            while self.fill()? {}
            body.append(&mut self.buf);
        }
        Ok(())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut request) = self.read_head()? else {
            return Ok(None);
        };
        self.read_body(&mut request, false)?;
        Ok(Some(request))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// What a client got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// 0 if no head arrived.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the response ended as its framing says.
    pub complete: bool,
    pub took: Duration,
}

/// Sends a request on a connection and reads the response.
pub fn call_on(conn: &mut Conn, request: &[u8], limit: Duration) -> Outcome {
    let started = Instant::now();
    let mut outcome = Outcome::default();
    drop(conn.stream.set_read_timeout(Some(limit)));
    if conn.send(request).is_ok()
        && let Ok(Some(mut head)) = conn.read_head()
    {
        outcome.status = head.status();
        outcome.complete = conn.read_body(&mut head, true).is_ok();
        outcome.body = std::mem::take(&mut head.body);
        outcome.head = head;
    }
    outcome.took = started.elapsed();
    outcome
}

/// Sends a request on a new connection and reads the response.
pub fn call(addr: SocketAddr, request: &[u8], limit: Duration) -> Outcome {
    match Conn::connect(addr) {
        Ok(mut conn) => call_on(&mut conn, request, limit),
        Err(_) => Outcome::default(),
    }
}

/// Returns a request with a body, as text.
pub fn request(method: &str, path: &str, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("{method} {path} HTTP/1.1\r\n{headers}Content-Length: {len}\r\n\r\n{body}").into_bytes()
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    let len = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}Content-Length: {len}\r\n\r\n{body}").into_bytes()
}
