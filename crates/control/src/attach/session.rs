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
    calls::GatewayCalls,
    push::{AttachingGateway, Push},
};
use crate::{driver::GatewayConfiguration, soft_state::ConnectionNumber};

/// Time limit for a gateway's `Attach` message.
const ATTACH_TIMEOUT: Duration = Duration::from_secs(2);

/// An attached gateway.
pub(super) struct Session {
    server: AttachServer,
    gateway: GatewayId,
    connection: ConnectionNumber,
    calls: GatewayCalls,
    logger: Logger,
}

impl Session {
    /// Serves a connection until it ends.
    pub(super) async fn serve(
        server: AttachServer,
        connection: Connection<GatewayMessage, ControlMessage>,
    ) {
        let peer = connection.peer;
        let (sender, mut receiver) = connection.split();
        let first = timeout(ATTACH_TIMEOUT, receiver.receive()).await;
        let Ok(Ok(Some(GatewayMessage::Attach {
            gateway,
            zone,
            revision,
            digest,
        }))) = first
        else {
            warn!(server.logger, "gateway refused: no valid attach message"; "peer" => %peer);
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
        let configuration = GatewayConfiguration {
            revision,
            digest: Some(digest),
        };
        let attaching = AttachingGateway {
            gateway: gateway.clone(),
            zone,
            configuration,
        };
        let mut push = Push::new(&server, &sender, attaching);
        let session = Session {
            calls: GatewayCalls::new(server.driver.clone(), sender.clone()),
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

    /// Receives the gateway's messages until the connection ends; returns the cause.
    async fn receive(&self, receiver: &mut MessageReceiver<GatewayMessage>) -> String {
        loop {
            match receiver.receive().await {
                Ok(Some(message)) => self.take(message).await,
                Ok(None) => return "the gateway closed the connection".to_owned(),
                Err(report) => return format!("{report:?}"),
            }
        }
    }

    async fn take(&self, message: GatewayMessage) {
        match message {
            GatewayMessage::Call { call, body } => {
                self.record(GatewayMessage::Heartbeat);
                self.calls.submit(call, body).await;
            }
            report => self.record(report),
        }
    }

    /// Records a gateway's report; any message counts as contact.
    fn record(&self, message: GatewayMessage) {
        let now_ms = self.server.clock.member_time().monotonic_ms;
        let mut soft_state = self.server.soft_state.lock();
        let attached = &mut soft_state.attached;
        attached.record_contact(&self.gateway, now_ms);
        match message {
            GatewayMessage::Confirm(revision) => attached.confirm(&self.gateway, revision),
            GatewayMessage::Loads(loads) => attached.record_loads(loads),
            GatewayMessage::Suspect(replicas) => attached.record_suspects(replicas),
            GatewayMessage::RequestGrants(grant_requests) => {
                attached.set_grant_requests(&self.gateway, grant_requests)
            }
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

/// Sends messages to one gateway.
pub(super) type GatewaySender = MessageSender<ControlMessage>;
