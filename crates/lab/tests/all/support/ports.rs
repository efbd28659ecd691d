//! Ports chosen by the operating system in place of those of an example.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
};

const LOOPBACK: &str = "127.0.0.1:";

/// Maps each port of an example to a free port.
#[derive(Default)]
pub(crate) struct Ports {
    chosen: BTreeMap<u16, SocketAddr>,
}

impl Ports {
    /// The address that replaces `port` of the example.
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

/// Reserves a port for about a minute: a connection to the port is left in TIME_WAIT. A listener
/// can still be bound, but the system does not choose the port for another process.
fn reserve() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    let (server, _) = listener.accept().unwrap();
    // The side that closes first is left in TIME_WAIT; it must be the side that owns the port.
    drop(server);
    drop(client);
    address
}
