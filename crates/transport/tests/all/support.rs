//! Listeners, connections and identities for the tests.

use std::{sync::Arc, time::Duration};

use error_stack::Report;
use linnethitch_errors::ErrorKind;
use linnethitch_protocol::attach::{ControlMessage, GatewayMessage};
use linnethitch_transport::{
    ClusterIdentity, ClusterKey, Connection, ConnectionOptions, Listener, Traffic, connect,
};
use slog::{Discard, Logger, o};

/// The server's view of a connection.
pub(crate) type ServerSide = Connection<GatewayMessage, ControlMessage>;
/// The client's view of a connection.
pub(crate) type ClientSide = Connection<ControlMessage, GatewayMessage>;

pub(crate) fn identity(name: &str, key: &str) -> ClusterIdentity {
    ClusterIdentity {
        name: name.to_owned(),
        key: ClusterKey::new(key).expect("a valid key"),
    }
}

pub(crate) fn own_identity() -> ClusterIdentity {
    identity("granite", "0123456789abcdef")
}

/// Options with short timeouts.
pub(crate) fn quick() -> ConnectionOptions {
    ConnectionOptions {
        open_timeout: Duration::from_millis(500),
        keep_alive: Duration::from_millis(50),
        idle_timeout: Duration::from_millis(300),
        write_timeout: Duration::from_millis(300),
        ..ConnectionOptions::default()
    }
}

pub(crate) async fn listen(options: ConnectionOptions) -> (Listener, String) {
    let listener = Listener::bind(
        "127.0.0.1:0",
        own_identity(),
        options,
        Arc::new(Traffic::default()),
        16,
        Logger::root(Discard, o!()),
    )
    .await
    .expect("a free port");
    let address = listener.local_address().expect("an address").to_string();
    (listener, address)
}

pub(crate) async fn dial(
    address: &str,
    identity: &ClusterIdentity,
    options: ConnectionOptions,
) -> Result<ClientSide, Report<ErrorKind>> {
    connect(address, identity, options, Arc::new(Traffic::default())).await
}

/// Both sides of an open connection.
pub(crate) async fn pair(options: ConnectionOptions) -> (ServerSide, ClientSide) {
    let (listener, address) = listen(options).await;
    let identity = own_identity();
    let (server, client) = tokio::join!(
        async { listener.accept().await.establish().await },
        dial(&address, &identity, options)
    );
    (server.expect("accepted"), client.expect("connected"))
}
