//! The proxies of one test and the threads that run them.

use std::{
    io,
    net::{SocketAddr, SocketAddrV4},
};

use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::{Builder, Runtime},
    sync::watch,
};

use crate::{
    datagrams,
    mode::{Direction, Mode, State},
    streams,
};

/// Number of threads that run the proxies of a test.
const THREADS: usize = 2;

/// Runs proxies until the network is dropped.
#[derive(Debug)]
pub struct Network {
    /// `None` only during the drop.
    runtime: Option<Runtime>,
}

impl Network {
    /// Starts the threads, without proxies.
    ///
    /// # Errors
    /// When the threads cannot be started.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        Ok(Network {
            runtime: Some(runtime),
        })
    }

    /// Starts a proxy for TCP connections; with port 0 the system chooses the port.
    ///
    /// # Errors
    /// When the proxy cannot listen at the address.
    pub fn streams(&self, listen: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let proxy = Proxy::new(address);
        if let Some(runtime) = &self.runtime {
            let _context = runtime.enter();
            let listener = TcpListener::from_std(listener)?;
            runtime.spawn(streams::forward_all(
                listener,
                target,
                proxy.state.subscribe(),
            ));
        }
        Ok(proxy)
    }

    /// Starts a proxy for datagrams. The target sees each datagram with the sender's IP address
    /// but another port.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn datagrams(&self, listen: SocketAddrV4, target: SocketAddrV4) -> io::Result<Proxy> {
        let socket = std::net::UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let proxy = Proxy::new(address);
        if let Some(runtime) = &self.runtime {
            let _context = runtime.enter();
            let socket = UdpSocket::from_std(socket)?;
            runtime.spawn(datagrams::forward_all(
                socket,
                target,
                proxy.state.subscribe(),
            ));
        }
        Ok(proxy)
    }
}

impl Drop for Network {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A proxy. It forwards all data until its mode is changed, and keeps its last mode after this
/// value is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// The address at which the proxy listens.
    pub address: SocketAddr,
    state: watch::Sender<State>,
}

impl Proxy {
    fn new(address: SocketAddr) -> Self {
        Proxy {
            address,
            state: watch::channel(State::PASSING).0,
        }
    }

    /// Changes the mode.
    pub fn set(&self, mode: Mode) {
        self.state.send_modify(|state| state.set(mode));
    }

    /// Silences the open connections permanently; new connections work.
    pub fn silence_open(&self, direction: Direction) {
        self.state.send_modify(|state| state.silence(direction));
    }
}
