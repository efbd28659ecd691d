//! Proxies between nodes. An open connection can go silent for good while new ones work.

use std::{
    io::{Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
};

use crate::needed;

/// A proxy for connections.
#[derive(Clone)]
pub struct Proxy {
    /// Connections with a lower number are silent.
    silent_below: Arc<AtomicU64>,
    next: Arc<AtomicU64>,
}

impl Proxy {
    /// Forwards connections.
    pub fn streams(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = needed(TcpListener::bind(listen).ok(), "the proxy's port is taken");
        let proxy = Proxy {
            silent_below: Arc::default(),
            next: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let number = accepting.next.fetch_add(1, Ordering::SeqCst);
                let Ok(far) = TcpStream::connect(target) else {
                    continue;
                };
                let _ = near.set_nodelay(true);
                let _ = far.set_nodelay(true);
                let pairs = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
                for (from, to) in pairs {
                    let (Ok(from), Ok(to)) = (from, to) else { continue };
                    let silent_below = Arc::clone(&accepting.silent_below);
                    thread::spawn(move || forward(from, to, number, &silent_below));
                }
            }
        });
        proxy
    }

    /// All open connections go silent for good; later ones work.
    pub fn silence_open(&self) {
        let next = self.next.load(Ordering::SeqCst);
        self.silent_below.store(next, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, silent_below: &AtomicU64) {
    let mut buffer = vec![0; 65_536];
    loop {
        let read = from.read(&mut buffer);
        if number < silent_below.load(Ordering::SeqCst) {
            // What arrives is dropped, an end included.
            match read {
                Ok(0) | Err(_) => return std::mem::forget((from, to)),
                Ok(_) => continue,
            }
        }
        match read {
            Ok(0) | Err(_) => {
                let _ = to.shutdown(std::net::Shutdown::Both);
                return;
            }
            Ok(read) => {
                if to.write_all(&buffer[..read]).is_err() {
                    let _ = from.shutdown(std::net::Shutdown::Both);
                    return;
                }
            }
        }
    }
}

/// Forwards datagrams; they keep the address of their sender's machine.
pub fn datagrams(listen: SocketAddr, sender: Ipv4Addr, target: SocketAddr) {
    let near = needed(UdpSocket::bind(listen).ok(), "the proxy's port is taken");
    let far = needed(UdpSocket::bind((sender, 0)).ok(), "no port for datagrams");
    thread::spawn(move || {
        let mut buffer = vec![0; 65_536];
        while let Ok((read, _)) = near.recv_from(&mut buffer) {
            let _ = far.send_to(&buffer[..read], target);
        }
    });
}
