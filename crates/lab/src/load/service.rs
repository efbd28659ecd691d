//! One call of an application service.

use std::{sync::Arc, time::Instant};

use serde::Deserialize;

use super::{
    Driver,
    client::Call,
    tally::{Kind, Observation, Served},
};

/// What an emulated replica echoes.
#[derive(Deserialize)]
struct Echo {
    path: String,
    body: String,
}

/// Calls a service and checks that the echo is of this very call.
pub(super) async fn call(driver: Driver, service: Arc<str>, number: u64, due: Instant) {
    let body = format!("{{\"lookup\":{number}}}");
    let call = Call::post(
        format!("/services/{service}/lookups/{number}"),
        body.clone(),
    );
    let observation = match driver.client.fetch_json::<Echo>(call).await {
        Err(failed) => Observation::Failed(Kind::Service, failed),
        Ok(echo) => {
            let mut served = Served::new(due);
            served.right = echo.body == body && echo.path.ends_with(&format!("/lookups/{number}"));
            Observation::Served(Kind::Service, served)
        }
    };
    // The tally ends only after all senders.
    let _ = driver.observations.send(observation).await;
}
