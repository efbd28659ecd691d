//! One call of an application service.

use std::time::Instant;

use serde::Deserialize;

use super::{
    Driver,
    client::{Call, Failed},
    tally::Served,
};

/// The echo of an emulated replica.
#[derive(Deserialize)]
struct Echo {
    path: String,
    body: String,
}

/// Calls a service and checks that the echo matches this call.
pub(super) async fn send(
    driver: &Driver,
    service: &str,
    number: u64,
    due: Instant,
) -> Result<Served, Failed> {
    let body = format!("{{\"lookup\":{number}}}");
    let call = Call::post(
        format!("/services/{service}/lookups/{number}"),
        body.clone(),
    );
    let echo: Echo = driver.client.fetch_json(call).await?;
    let mut served = Served::new(due);
    served.correct = echo.body == body && echo.path.ends_with(&format!("/lookups/{number}"));
    Ok(served)
}
