//! Keeps the gateway attached to one control member at a time.

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

/// Time between two checks of the member's freshness.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two heartbeats to control.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// First and longest wait before the next member is tried.
const FIRST_RETRY: Duration = Duration::from_millis(20);
const LONGEST_RETRY: Duration = Duration::from_millis(800);
/// Longest time to open a connection, so that a dead member does not delay the move to another.
const OPEN_TIMEOUT: Duration = Duration::from_millis(500);

/// What the attachment does after a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterMessage {
    /// Continue with the connection.
    Continue,
    /// Close the connection, attach again and request the full configuration.
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
        request_full_configuration: false,
    };
    while let Some(address) = order.next_address() {
        match attachment.attach(&address, &mut order).await {
            Ok(true) => backoff.reset(),
            Ok(false) => {}
            Err(reason) => {
                warn!(attachment.logger, "attaching to control member failed"; "member" => &address, "reason" => reason);
            }
        }
        attachment.gateway.control.clear_link();
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

struct Attachment {
    gateway: Arc<Gateway>,
    identity: ClusterIdentity,
    traffic: Arc<Traffic>,
    logger: Logger,
    request_full_configuration: bool,
}

impl Attachment {
    /// Serves one connection to its end. Returns `true` when the gateway was attached over it and
    /// the member was not stale.
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
        let was_attached = self.serve(connection, &sender, address, order).await;
        info!(self.logger, "detached"; "member" => address);
        Ok(was_attached)
    }

    fn attach_message(&mut self) -> GatewayMessage {
        let follower = self.gateway.follower.lock();
        let full = std::mem::take(&mut self.request_full_configuration);
        GatewayMessage::Attach {
            gateway: GatewayId(self.gateway.settings.gateway_id.clone()),
            zone: ZoneId(self.gateway.settings.zone.clone()),
            revision: if full {
                Revision(0)
            } else {
                follower.revision()
            },
            digest: if full { 0 } else { follower.digest() },
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
        let mut check_ticks = tokio::time::interval(CHECK_INTERVAL);
        let mut heartbeat_ticks = tokio::time::interval(HEARTBEAT_INTERVAL);
        let mut sent_at_last_tick = 0;
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
                            self.request_full_configuration = true;
                            return attached;
                        }
                    }
                }
                _ = check_ticks.tick() => if watch.is_stale(started.elapsed()) {
                    warn!(self.logger, "control member is stale or silent"; "member" => address);
                    return false;
                },
                _ = heartbeat_ticks.tick(), if attached => {
                    let sent = self.traffic.snapshot().gateway.sent_frames;
                    // Any message counts as a heartbeat, so one is sent only when nothing else was.
                    if sent == sent_at_last_tick {
                        let _ = sender.try_send(&GatewayMessage::Heartbeat);
                    }
                    sent_at_last_tick = sent;
                }
            }
        }
    }

    async fn handle(&self, message: ControlMessage) -> AfterMessage {
        self.gateway.on_control_message(message).await
    }
}
