//! An engine with negligible processor time: every answer has the same tokens at a fixed rate.

use std::{convert::Infallible, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::stream;
use http::{HeaderValue, Request, Response, header};
use http_body_util::StreamBody;
use hyper::{
    body::{Frame, Incoming},
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use tokio::{net::TcpListener, task::JoinHandle, time::Instant};

/// The engine; stops when dropped.
pub(super) struct ScriptedEngine {
    pub(super) address: SocketAddr,
    server: JoinHandle<()>,
}

impl Drop for ScriptedEngine {
    fn drop(&mut self) {
        self.server.abort();
    }
}

/// Length and rate of answers.
#[derive(Clone, Copy)]
struct Script {
    tokens: u32,
    interval: Duration,
}

impl ScriptedEngine {
    /// Starts an engine; the first token of an answer is sent immediately.
    pub(super) async fn start(tokens: u32, interval: Duration) -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let address = listener.local_addr()?;
        let script = Script { tokens, interval };
        let server = tokio::spawn(accept(listener, script));
        Ok(ScriptedEngine { address, server })
    }
}

async fn accept(listener: TcpListener, script: Script) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let service = service_fn(move |request| answer(request, script));
        tokio::spawn(
            hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service),
        );
    }
}

type Pieces =
    std::pin::Pin<Box<dyn stream::Stream<Item = Result<Frame<Bytes>, Infallible>> + Send>>;

async fn answer(
    request: Request<Incoming>,
    script: Script,
) -> Result<Response<StreamBody<Pieces>>, Infallible> {
    let id = request
        .headers()
        .get("x-request-id")
        .and_then(|value| value.to_str().ok())
        .unwrap_or("direct")
        .to_owned();
    let started = Instant::now();
    let pieces = stream::unfold(0, move |index| {
        let bytes = event(&id, index, script.tokens);
        async move {
            if index > script.tokens {
                return None;
            }
            tokio::time::sleep_until(started + script.interval * index).await;
            Some((Ok(Frame::data(bytes)), index + 1))
        }
    });
    let mut response = Response::new(StreamBody::new(Box::pin(pieces) as Pieces));
    let event_stream = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, event_stream);
    Ok(response)
}

fn event(id: &str, index: u32, tokens: u32) -> Bytes {
    if index >= tokens {
        return Bytes::from_static(b"data: [DONE]\n\n");
    }
    let finish = if index + 1 == tokens {
        "\"stop\""
    } else {
        "null"
    };
    Bytes::from(format!(
        "data: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\",\
         \"choices\":[{{\"index\":0,\"token_index\":{index},\"delta\":{{\"content\":\" w{index:04x}\"}},\
         \"finish_reason\":{finish}}}]}}\n\n"
    ))
}
