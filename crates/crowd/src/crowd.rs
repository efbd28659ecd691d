//! Crowds of clients that stop short of the end of what they send and stay connected.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Timeout of one write: a server that stops reading holds a client up for no longer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a client that has been sent away is replaced by the next one, at most.
const MAX_REPLACEMENTS: usize = 2;
/// Size of the writes of bodies that arrive at once.
const WRITE_BYTES: usize = 64 * 1024;

/// What one client sends before it stops.
#[derive(Clone, Copy, Debug)]
pub enum Sends {
    /// Nothing: the connection stays idle.
    Nothing,
    /// A head without its end.
    EndlessHead {
        /// Bytes of the head's one header.
        bytes: usize,
    },
    /// A head that announces a body, and nothing of the body.
    Announced {
        /// The announced length.
        bytes: u64,
    },
    /// A body with a length; all but the last byte of it unless it is whole.
    Body {
        /// The announced length.
        bytes: usize,
        /// Whether the last byte is sent.
        is_whole: bool,
    },
    /// Such a body without its last byte, in pieces with pauses.
    BodyInPieces {
        /// The announced length.
        bytes: usize,
        /// Number of pieces.
        pieces: usize,
        /// Pause after each piece.
        pause: Duration,
    },
    /// Chunks of one size without the last, empty chunk.
    Chunks {
        /// Size of each chunk.
        chunk: usize,
        /// Size of all chunks.
        bytes: usize,
    },
    /// Requests without a body, then a body without its last byte.
    PipelinedThenBody {
        /// Number of requests without a body.
        requests: usize,
        /// The announced length of the body.
        bytes: usize,
    },
}

/// Clients that all send the same, each on a connection of its own.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Number of clients.
    pub clients: usize,
    /// Method of each request.
    pub method: &'static str,
    /// Path of each request.
    pub path: &'static str,
    /// Headers of each request; each line ends with CRLF.
    pub headers: &'static str,
    /// What each client sends.
    pub sends: Sends,
    /// Whether another client comes for each that is sent away.
    pub replaces: bool,
}

/// Connections of a crowd that has sent all that it sends; closed on drop.
pub struct Gathered {
    _open: Vec<TcpStream>,
}

impl Crowd {
    /// Connects all clients at once and waits until each has sent what it sends, or was sent away.
    #[must_use]
    pub fn gather(&self, target: SocketAddr) -> Gathered {
        let open = thread::scope(|scope| {
            let clients: Vec<_> = (0..self.clients)
                .map(|number| scope.spawn(move || self.client(target, number)))
                .collect();
            let streams = clients.into_iter().filter_map(|client| client.join().ok());
            streams.flatten().collect()
        });
        Gathered { _open: open }
    }

    /// One place in the crowd: a client, and those that replace it.
    fn client(&self, target: SocketAddr, number: usize) -> Option<TcpStream> {
        let most = if self.replaces { MAX_REPLACEMENTS } else { 0 };
        let mut last = None;
        for attempt in 0..=most {
            let id = format!("crowd-{number}-{attempt}");
            let Ok(mut stream) = TcpStream::connect_timeout(&target, CONNECT_TIMEOUT) else {
                continue;
            };
            let _ = stream.set_write_timeout(Some(WRITE_TIMEOUT));
            let is_sent = self.send(&mut stream, &id).is_ok();
            let is_sent_away = !is_sent || is_answered(&stream);
            last = Some(stream);
            if !is_sent_away {
                break;
            }
        }
        last
    }

    fn send(&self, stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
        match self.sends {
            Sends::Nothing => Ok(()),
            Sends::EndlessHead { bytes } => {
                let begin = format!(
                    "{} {} HTTP/1.1\r\nHost: desk.example\r\nX-Long: ",
                    self.method, self.path
                );
                stream.write_all(begin.as_bytes())?;
                write_bytes(stream, bytes)
            }
            Sends::Announced { bytes } => stream.write_all(
                self.head(id, &format!("Content-Length: {bytes}"))
                    .as_bytes(),
            ),
            Sends::Body { bytes, is_whole } => {
                stream.write_all(
                    self.head(id, &format!("Content-Length: {bytes}"))
                        .as_bytes(),
                )?;
                write_bytes(stream, if is_whole { bytes } else { bytes - 1 })
            }
            Sends::BodyInPieces {
                bytes,
                pieces,
                pause,
            } => {
                stream.write_all(
                    self.head(id, &format!("Content-Length: {bytes}"))
                        .as_bytes(),
                )?;
                for _ in 0..pieces {
                    write_bytes(stream, (bytes - 1) / pieces)?;
                    thread::sleep(pause);
                }
                Ok(())
            }
            Sends::Chunks { chunk, bytes } => {
                stream.write_all(self.head(id, "Transfer-Encoding: chunked").as_bytes())?;
                write_chunks(stream, chunk, bytes)
            }
            Sends::PipelinedThenBody { requests, bytes } => {
                let empty = self.head(id, "Content-Length: 0");
                stream.write_all(empty.repeat(requests).as_bytes())?;
                stream.write_all(
                    self.head(id, &format!("Content-Length: {bytes}"))
                        .as_bytes(),
                )?;
                write_bytes(stream, bytes - 1)
            }
        }
    }

    fn head(&self, id: &str, length: &str) -> String {
        let Crowd {
            method,
            path,
            headers,
            ..
        } = self;
        format!(
            "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n{headers}{length}\r\n\r\n"
        )
    }
}

/// Lets all crowds come to one address at once.
///
/// # Panics
/// If a crowd's thread panics.
#[must_use]
pub fn gather_all(crowds: &[Crowd], target: SocketAddr) -> Vec<Gathered> {
    thread::scope(|scope| {
        let gathering: Vec<_> = crowds
            .iter()
            .map(|crowd| scope.spawn(move || crowd.gather(target)))
            .collect();
        let gathered = gathering.into_iter().map(|crowd| crowd.join());
        gathered
            .map(|crowd| crowd.expect("a crowd gathers"))
            .collect()
    })
}

/// Whether a response has arrived or the server has closed the connection.
fn is_answered(stream: &TcpStream) -> bool {
    let _ = stream.set_read_timeout(Some(Duration::from_millis(300)));
    let mut byte = [0];
    let mut stream = stream;
    stream.read(&mut byte).is_ok()
}

fn write_bytes(stream: &mut TcpStream, bytes: usize) -> std::io::Result<()> {
    let block = vec![b' '; WRITE_BYTES.min(bytes)];
    let mut remaining = bytes;
    while remaining > 0 {
        let length = remaining.min(block.len());
        stream.write_all(&block[..length])?;
        remaining -= length;
    }
    Ok(())
}

fn write_chunks(stream: &mut TcpStream, chunk: usize, bytes: usize) -> std::io::Result<()> {
    let mut encoded = format!("{chunk:x}\r\n").into_bytes();
    encoded.resize(encoded.len() + chunk, b' ');
    encoded.extend_from_slice(b"\r\n");
    // Small chunks are written many at a time.
    let chunks_per_write = (WRITE_BYTES / encoded.len()).max(1);
    let block = encoded.repeat(chunks_per_write);
    let mut remaining = bytes / chunk;
    while remaining > 0 {
        let count = remaining.min(chunks_per_write);
        stream.write_all(&block[..encoded.len() * count])?;
        remaining -= count;
    }
    Ok(())
}
