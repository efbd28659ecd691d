//! Keeps the gateway attached to one control member.

use std::{sync::Arc, time::Duration};

use linnethitch_clock::Instant;
use linnethitch_protocol::{
    attach::{ControlMessage, GatewayMessage},
    ids::{GatewayId, Revision, ZoneId},
};
use linnethitch_transport::{
    Backoff, ClusterIdentity, Connection, ConnectionOptions, MessageSender, Traffic, connect,
};
use slog::{Logger, info, o, warn};

use crate::{
    control::members::{FreshnessWatch, MemberOrder},
    state::Gateway,
};

/// How often the connection is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two signs of life towards control.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// First and longest wait before the next member is tried.
const FIRST_RETRY: Duration = Duration::from_millis(20);
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// Longest time to open a connection, so that a dead member does not hold the move up.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What the attachment does next with a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterMessage {
    /// Go on.
    Continue,
    /// Attach anew and ask for the whole configuration.
    Reattach,
}

/// Attaches to one member after another until the process stops.
pub(crate) async fn run(gateway: Arc<Gateway>, identity: ClusterIdentity) {
    let id = gateway.settings.gateway_id.clone();
    let addresses: Vec<String> = gateway
        .settings
        .control_addresses
        .iter()
        .map(ToString::to_string)
        .collect();
    let mut order = MemberOrder::new(&id, &addresses);
    let mut backoff = Backoff::new(FIRST_RETRY, LONGEST_RETRY, rand::random());
    let mut attachment = Attachment {
        logger: gateway.logger.new(o!("part" => "attachment")),
        traffic: Arc::clone(&gateway.traffic),
        gateway,
        identity,
        ask_for_whole: false,
    };
    while let Some(address) = order.next_address() {
        match attachment.attach(&address, &mut order).await {
            Ok(true) => backoff.reset(),
            Ok(false) => {}
            Err(reason) => {
                warn!(attachment.logger, "not attached"; "member" => &address, "reason" => reason);
            }
        }
        attachment.gateway.control.clear_link();
        tokio::time::sleep(backoff.next_wait()).await;
    }
}

struct Attachment {
    gateway: Arc<Gateway>,
    identity: ClusterIdentity,
    traffic: Arc<Traffic>,
    logger: Logger,
    ask_for_whole: bool,
}

impl Attachment {
    /// Serves one connection to its end; `true` when the member had been of use.
    async fn attach(&mut self, address: &str, order: &mut MemberOrder) -> Result<bool, String> {
        let options = ConnectionOptions {
            open_timeout: OPEN_TIMEOUT,
            ..ConnectionOptions::default()
        };
        let connection: Connection<ControlMessage, GatewayMessage> =
            connect(address, &self.identity, options, Arc::clone(&self.traffic))
                .await
                .map_err(|report| format!("{report:?}"))?;
        let sender = connection.sender.clone();
        sender
            .try_send(&self.attach_message())
            .map_err(|refused| format!("{refused:?}"))?;
        let useful = self.serve(connection, &sender, address, order).await;
        info!(self.logger, "detached"; "member" => address);
        Ok(useful)
    }

    fn attach_message(&mut self) -> GatewayMessage {
        let follower = self.gateway.follower.lock();
        let whole = std::mem::take(&mut self.ask_for_whole);
        GatewayMessage::Attach {
            gateway: GatewayId(self.gateway.settings.gateway_id.clone()),
            zone: ZoneId(self.gateway.settings.zone.clone()),
            revision: if whole {
                Revision(0)
            } else {
                follower.revision()
            },
            digest: if whole { 0 } else { follower.digest() },
        }
    }

    async fn serve(
        &mut self,
        connection: Connection<ControlMessage, GatewayMessage>,
        sender: &MessageSender<GatewayMessage>,
        address: &str,
        order: &mut MemberOrder,
    ) -> bool {
        let started = Instant::now();
        let mut watch = FreshnessWatch::new(Duration::ZERO);
        let mut receiver = connection.receiver;
        let mut checks = tokio::time::interval(CHECK_INTERVAL);
        let mut heartbeats = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut sent_before = 0;
        let mut attached = false;
        loop {
            tokio::select! {
                received = receiver.receive() => {
                    let message = match received {
                        Ok(Some(message)) => message,
                        Ok(None) => return attached,
                        Err(report) => {
                            warn!(self.logger, "connection lost"; "member" => address, "error" => ?report);
                            return attached;
                        }
                    };
                    match message {
                        ControlMessage::Attached { members, .. } => {
                            order.update_members(&members);
                            self.gateway.control.set_link(sender.clone());
                            attached = true;
                            info!(self.logger, "attached"; "member" => address);
                        }
                        ControlMessage::Freshness { confirmed_at, now, .. } => {
                            let age = Duration::from_millis(now.0.saturating_sub(confirmed_at.0));
                            watch.on_stamp(started.elapsed(), age);
                            self.handle(message).await;
                        }
                        other => if self.handle(other).await == AfterMessage::Reattach {
                            self.ask_for_whole = true;
                            return attached;
                        }
                    }
                }
                _ = checks.tick() => if watch.is_stale(started.elapsed()) {
                    warn!(self.logger, "the member lags or is silent"; "member" => address);
                    return false;
                },
                _ = heartbeats.tick(), if attached => {
                    let sent = self.traffic.snapshot().gateway.sent_frames;
                    // Any message shows that the gateway lives.
                    if sent == sent_before {
                        let _ = sender.try_send(&GatewayMessage::Heartbeat);
                    }
                    sent_before = sent;
                }
            }
        }
    }

    async fn handle(&self, message: ControlMessage) -> AfterMessage {
        self.gateway.on_control_message(message).await
    }
}
