//! One attached gateway, from its first message to the end of its connection.

use std::time::Duration;

use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage},
    ids::GatewayId,
};
use linnethitch_transport::{Connection, MessageReceiver, MessageSender};
use slog::{Logger, info, o, warn};
use tokio::time::timeout;

use super::{
    AttachServer,
    calls::CallRelay,
    push::{Push, Told},
};
use crate::{driver::Held, soft_state::ConnectionNumber};

/// Longest time for a gateway to say who it is.
const ATTACH_LIMIT: Duration = Duration::from_secs(2);

/// An attached gateway.
pub(super) struct Session {
    server: AttachServer,
    gateway: GatewayId,
    connection: ConnectionNumber,
    calls: CallRelay,
    logger: Logger,
}

impl Session {
    /// Serves a connection to its end.
    pub(super) async fn serve(
        server: AttachServer,
        connection: Connection<GatewayMessage, ControlMessage>,
    ) {
        let peer = connection.peer;
        let (sender, mut receiver) = connection.split();
        let first = timeout(ATTACH_LIMIT, receiver.receive()).await;
        let Ok(Ok(Some(GatewayMessage::Attach {
            gateway,
            zone,
            revision,
            digest,
        }))) = first
        else {
            warn!(server.logger, "gateway refused: it did not say who it is"; "peer" => %peer);
            return;
        };
        let logger = server.logger.new(o!("gateway" => gateway.0.clone()));
        info!(logger, "gateway attached"; "revision" => revision.0, "peer" => %peer);
        let now_ms = server.clock.member_time().monotonic_ms;
        let number = {
            let mut soft_state = server.soft_state.lock();
            soft_state
                .attached
                .attach(&gateway, &zone, revision, now_ms)
        };
        let held = Held {
            revision,
            digest: Some(digest),
        };
        let told = Told {
            gateway: gateway.clone(),
            zone,
            held,
        };
        let mut push = Push::new(&server, &sender, told);
        let session = Session {
            calls: CallRelay::new(server.driver.clone(), sender.clone()),
            server: server.clone(),
            gateway,
            connection: number,
            logger,
        };
        let ended = tokio::select! {
            reason = session.receive(&mut receiver) => reason,
            reason = push.run() => reason,
        };
        info!(session.logger, "gateway detached"; "cause" => ended);
    }

    /// Takes the gateway's messages; tells why there are no more.
    async fn receive(&self, receiver: &mut MessageReceiver<GatewayMessage>) -> String {
        loop {
            match receiver.receive().await {
                Ok(Some(message)) => self.take(message).await,
                Ok(None) => return "the gateway has ended the connection".to_owned(),
                Err(report) => return format!("{report:?}"),
            }
        }
    }

    async fn take(&self, message: GatewayMessage) {
        match message {
            GatewayMessage::Call { call, body } => {
                self.note(GatewayMessage::Heartbeat);
                self.calls.relay(call, body).await;
            }
            told => self.note(told),
        }
    }

    /// Takes what the gateway tells of itself; any message is a sign of life.
    fn note(&self, message: GatewayMessage) {
        let now_ms = self.server.clock.member_time().monotonic_ms;
        let mut soft_state = self.server.soft_state.lock();
        let attached = &mut soft_state.attached;
        attached.heard(&self.gateway, now_ms);
        match message {
            GatewayMessage::Confirm(revision) => attached.confirm(&self.gateway, revision),
            GatewayMessage::Loads(loads) => attached.loads(loads),
            GatewayMessage::Suspect(replicas) => attached.suspect(replicas),
            GatewayMessage::WantGrants(wishes) => attached.wish(&self.gateway, wishes),
            GatewayMessage::Heartbeat
            | GatewayMessage::Attach { .. }
            | GatewayMessage::Call { .. } => {}
        }
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        let mut soft_state = self.server.soft_state.lock();
        soft_state.attached.detach(&self.gateway, self.connection);
    }
}

/// Sends to one gateway.
pub(super) type GatewaySender = MessageSender<ControlMessage>;
