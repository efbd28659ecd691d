//! HTTP/1.1 over plain sockets, for clients, the operator and stand-in replicas.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// An answer that was read to the end of its connection.
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
}

/// Makes one call on a new connection.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &[u8],
    limit: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\n{headers}Content-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    stream.write_all(body).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Option<Answer> {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer {
        status,
        head: head.to_owned(),
        body: body.to_owned(),
    })
}

/// Repeats a call until it has this status; `None` after the limit.
pub fn until(status: u16, limit: Duration, ask: impl Fn() -> Option<Answer>) -> Option<Answer> {
    let began = Instant::now();
    while began.elapsed() < limit {
        match ask() {
            Some(answer) if answer.status == status => return Some(answer),
            _ => thread::sleep(Duration::from_millis(10)),
        }
    }
    None
}

/// The head of a request, and the bytes of its body that were read with it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub head: String,
    pub read: Vec<u8>,
    pub length: usize,
}

impl Request {
    /// The value of a header.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    /// Reads the rest of the body; false if the connection ends before.
    pub fn read_rest(&mut self, stream: &mut TcpStream) -> bool {
        let mut buffer = vec![0; 65_536];
        while self.read.len() < self.length {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return false,
                Ok(read) => self.read.extend_from_slice(&buffer[..read]),
            }
        }
        true
    }
}

/// Reads the head of the next request; `None` at the end of the connection.
pub fn read_head(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 8_192];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut first = head.lines().next()?.split(' ');
            let (method, path) = (first.next()?.to_owned(), first.next()?.to_owned());
            let mut request = Request {
                method,
                path,
                head,
                read: bytes[end + 4..].to_vec(),
                length: 0,
            };
            request.length = request
                .value("content-length")
                .and_then(|length| length.parse().ok())
                .unwrap_or(0);
            return Some(request);
        }
        match stream.read(&mut buffer) {
            Ok(0) => return None,
            Ok(read) => bytes.extend_from_slice(&buffer[..read]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
    }
}
