//! Reading of requests as a replica and of responses as a caller.

use tokio::{io::AsyncReadExt, net::TcpStream};

use super::LIMIT;

/// Reads a head and its body; returns the head.
pub(super) async fn read_request(stream: &mut TcpStream) -> Option<String> {
    Some(read_whole_request(stream).await?.0)
}

/// Reads a head and its body.
pub(crate) async fn read_whole_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some(end) = text.find("\r\n\r\n") {
            let head = text[..end].to_owned();
            let length = header(&head, "content-length").and_then(|l| l.parse().ok());
            let total = end + 4 + length.unwrap_or(0);
            while bytes.len() < total {
                let read = stream
                    .read(&mut buffer)
                    .await
                    .ok()
                    .filter(|read| *read > 0)?;
                bytes.extend_from_slice(&buffer[..read]);
            }
            let body = String::from_utf8_lossy(&bytes[end + 4..total]).into_owned();
            return Some((head, body));
        }
        let read = stream
            .read(&mut buffer)
            .await
            .ok()
            .filter(|read| *read > 0)?;
        bytes.extend_from_slice(&buffer[..read]);
    }
}

/// The value of a header, by name.
pub(crate) fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found.eq_ignore_ascii_case(name).then(|| value.trim())
    })
}

/// A response as received by a caller.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the response is complete by its own framing.
    pub(crate) complete: bool,
}

pub(crate) async fn read_answer(stream: &mut TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    // A reset also ends the response; data received before it counts.
    let _ = tokio::time::timeout(LIMIT, read).await.expect("in time");
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let length: Option<usize> = header(head, "content-length").and_then(|l| l.parse().ok());
    let (body, complete) = match length {
        Some(length) => (body.to_owned(), body.len() == length),
        None => unchunk(body),
    };
    Answer {
        status: status.unwrap_or(0),
        head: head.to_owned(),
        body,
        complete,
    }
}

/// The content of a chunked body, and whether its last chunk was received.
fn unchunk(mut remaining: &str) -> (String, bool) {
    let mut content = String::new();
    while let Some((size, after)) = remaining.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            break;
        };
        if size == 0 {
            return (content, true);
        }
        let Some(chunk) = after.get(..size) else {
            break;
        };
        content.push_str(chunk);
        remaining = after.get(size + 2..).unwrap_or("");
    }
    (content, false)
}
