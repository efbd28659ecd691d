//! What to try on a running fleet.

use std::net::SocketAddr;

use linnethitch_config::fleet::Fleet;

/// Command lines for the first gateway.
pub(super) fn text(fleet: &Fleet, gateway: SocketAddr, api_key: &str) -> String {
    let mut lines = vec!["".to_owned(), "Try:".to_owned()];
    if let Some(model) = fleet.models.first() {
        lines.push(format!(
            r#"  curl -N http://{gateway}/v1/chat/completions -H 'Authorization: Bearer {api_key}' \
    -H 'Content-Type: application/json' \
    -d '{{"model":"{}","stream":true,"messages":[{{"role":"user","content":"A pallet from Worcester to Portland?"}}]}}'"#,
            model.name
        ));
    }
    if let Some(service) = fleet.services.first() {
        lines.push(format!(
            "  curl http://{gateway}/services/{}/42 -H 'Authorization: Bearer {api_key}'",
            service.name
        ));
    }
    lines.push(String::new());
    lines.join("\n")
}
