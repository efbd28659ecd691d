//! A server that answers requests from a script, one request per connection.

use std::{
    collections::HashMap,
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
};

/// A received request.
#[derive(Clone, Debug, Default)]
pub(crate) struct Received {
    pub(crate) line: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: String,
}

/// What the server does with a request.
#[derive(Clone, Debug)]
pub(crate) enum Reply {
    /// Answers.
    Answer(u16, String),
    /// Closes the connection without an answer.
    Close,
}

impl Reply {
    pub(crate) fn ok(body: &str) -> Self {
        Reply::Answer(200, body.to_owned())
    }

    pub(crate) fn error(status: u16, code: &str, message: &str) -> Self {
        let body = serde_json::json!({"error": {"code": code, "message": message}});
        Reply::Answer(status, body.to_string())
    }
}

/// A running server; it ends with the test process.
pub(crate) struct ScriptedServer {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl ScriptedServer {
    /// Answers by method and path. Replies to the same method and path are given in turn, and
    /// the last one is repeated.
    pub(crate) fn start(script: &[(&str, &[Reply])]) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let mut script: Vec<(String, Vec<Reply>)> = script
            .iter()
            .map(|(line, replies)| ((*line).to_owned(), replies.to_vec()))
            .collect();
        let log = Arc::clone(&received);
        thread::spawn(move || {
            for stream in listener.incoming() {
                answer(stream.unwrap(), &mut script, &log);
            }
        });
        ScriptedServer { address, received }
    }

    /// The requests received so far whose request line starts with `line`.
    pub(crate) fn received(&self, line: &str) -> Vec<Received> {
        let received = self.received.lock().unwrap();
        received
            .iter()
            .filter(|request| request.line.starts_with(line))
            .cloned()
            .collect()
    }
}

/// An address on which nothing listens.
pub(crate) fn dead_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

fn answer(stream: TcpStream, script: &mut [(String, Vec<Reply>)], log: &Mutex<Vec<Received>>) {
    let Some(request) = read_request(&stream) else {
        return;
    };
    let replies = script
        .iter_mut()
        .find(|(line, _)| request.line.starts_with(line.as_str()));
    let reply = match replies {
        Some((_, replies)) if replies.len() > 1 => replies.remove(0),
        Some((_, replies)) => replies[0].clone(),
        None => Reply::error(404, "not_found", "not in the script"),
    };
    log.lock().unwrap().push(request);
    if let Reply::Answer(status, body) = reply {
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            body.len()
        );
        let _ = (&stream).write_all((head + &body).as_bytes());
    }
}

fn read_request(stream: &TcpStream) -> Option<Received> {
    let mut reader = BufReader::new(stream);
    let mut request = Received::default();
    reader.read_line(&mut request.line).ok()?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let Some((name, value)) = line.trim().split_once(": ") else {
            break;
        };
        request
            .headers
            .insert(name.to_ascii_lowercase(), value.to_owned());
    }
    let length = request.headers.get("content-length");
    let length = length.map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    request.body = String::from_utf8(body).unwrap();
    Some(request)
}
