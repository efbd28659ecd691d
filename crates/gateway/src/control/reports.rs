//! Reports loads and faults of back ends seen on the data path to control.

use std::{sync::Arc, time::Duration};

use linnethitch_protocol::attach::GatewayMessage;
use tokio::time::MissedTickBehavior;

use crate::state::Gateway;

/// Time between two reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Reports until the process stops. A report that cannot be sent is lost; a state that persists
/// is observed and reported again.
pub(crate) async fn run(gateway: Arc<Gateway>) {
    let mut ticks = tokio::time::interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !gateway.control.is_attached() {
            continue;
        }
        let report = gateway.decisions.take_report();
        if !report.loads.is_empty() {
            gateway.control.notify(&GatewayMessage::Loads(report.loads));
        }
        if !report.suspects.is_empty() {
            gateway
                .control
                .notify(&GatewayMessage::Suspect(report.suspects));
        }
    }
}
