//! Relays between processes that can go silent without closing anything.

use std::{net::SocketAddr, sync::Arc};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinHandle,
};

/// Passes bytes on between two processes while the way is open.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    open: Arc<watch::Sender<bool>>,
    server: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay to an address.
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let open = Arc::new(watch::Sender::new(true));
        let server = tokio::spawn(accept(listener, target, Arc::clone(&open)));
        Relay {
            address,
            open,
            server,
        }
    }

    /// Opens the way, or lets every byte wait from now on.
    pub(crate) fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.server.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, open: Arc<watch::Sender<bool>>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((client, _)) = listener.accept().await {
        let way = open.subscribe();
        connections.spawn(async move {
            let Ok(server) = TcpStream::connect(target).await else {
                return;
            };
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::join!(
                pass(client_read, server_write, way.clone()),
                pass(server_read, client_write, way)
            );
        });
    }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut way: watch::Receiver<bool>) {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        if way.wait_for(|open| *open).await.is_err()
            || to.write_all(&buffer[..length]).await.is_err()
        {
            return;
        }
    }
}
