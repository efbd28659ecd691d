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
    mode::{Mode, State, Way},
    streams,
};

/// Threads that run all proxies of a test.
const THREADS: usize = 2;

/// Runs proxies until it is dropped.
#[derive(Debug)]
pub struct Network {
    /// Always there until the drop.
    runtime: Option<Runtime>,
}

impl Network {
    /// Starts without proxies.
    ///
    /// # Errors
    /// Those of starting threads.
    pub fn start() -> io::Result<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(THREADS)
            .enable_all()
            .build()?;
        Ok(Network {
            runtime: Some(runtime),
        })
    }

    /// A proxy of TCP connections; port 0 lets the system choose one.
    ///
    /// # Errors
    /// Those of listening at the address.
    pub fn streams(&self, listen: SocketAddr, target: SocketAddr) -> io::Result<Proxy> {
        let listener = std::net::TcpListener::bind(listen)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let proxy = Proxy::new(address);
        if let Some(runtime) = &self.runtime {
            let _context = runtime.enter();
            let listener = TcpListener::from_std(listener)?;
            runtime.spawn(streams::pass_all(listener, target, proxy.state.subscribe()));
        }
        Ok(proxy)
    }

    /// A proxy of datagrams. The target sees each as sent by its sender's address,
    /// from another port.
    ///
    /// # Errors
    /// Those of binding the address.
    pub fn datagrams(&self, listen: SocketAddrV4, target: SocketAddrV4) -> io::Result<Proxy> {
        let socket = std::net::UdpSocket::bind(listen)?;
        socket.set_nonblocking(true)?;
        let address = socket.local_addr()?;
        let proxy = Proxy::new(address);
        if let Some(runtime) = &self.runtime {
            let _context = runtime.enter();
            let socket = UdpSocket::from_std(socket)?;
            runtime.spawn(datagrams::pass_all(socket, target, proxy.state.subscribe()));
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

/// One proxy; it passes everything on until it is told otherwise, and stays as it
/// is once this is dropped.
#[derive(Debug)]
pub struct Proxy {
    /// Where it listens.
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

    /// Changes what it does.
    pub fn set(&self, mode: Mode) {
        self.state.send_modify(|state| state.set(mode));
    }

    /// Silences the connections that are open, for good; new ones work.
    pub fn silence_open(&self, way: Way) {
        self.state.send_modify(|state| state.silence(way));
    }
}
