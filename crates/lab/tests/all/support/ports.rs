//! Ports chosen by the operating system in place of those of an example.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
};

const LOOPBACK: &str = "127.0.0.1:";

/// A free port for each port that an example names.
#[derive(Default)]
pub(crate) struct Ports {
    chosen: BTreeMap<u16, SocketAddr>,
}

impl Ports {
    /// Where the process that the example puts on `port` listens.
    pub(crate) fn of(&mut self, port: u16) -> SocketAddr {
        *self.chosen.entry(port).or_insert_with(reserve)
    }

    /// The text with each loopback address replaced.
    pub(crate) fn replace_in(&mut self, text: &str) -> String {
        let mut parts = text.split(LOOPBACK);
        let mut replaced = parts.next().unwrap_or_default().to_owned();
        for part in parts {
            let digits = part.chars().take_while(char::is_ascii_digit).count();
            let port: u16 = part[..digits].parse().unwrap();
            replaced.push_str(&self.of(port).to_string());
            replaced.push_str(&part[digits..]);
        }
        replaced
    }
}

/// A port that the system gives to nobody else for a minute: a connection to it
/// is left in TIME_WAIT, beside which a listener may be bound but which keeps the
/// port from being chosen again.
fn reserve() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    let (server, _) = listener.accept().unwrap();
    // The side that closes first keeps the port in TIME_WAIT.
    drop(server);
    drop(client);
    address
}
