//! `GET /v1/orders`: orders to engines that are not settled.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_http_server::answer::json_response;
use linnethitch_placement::reconciler::IssuedOrder;
use linnethitch_protocol::{command::EngineOrder, fleet::EngineRole};
use serde::Serialize;

use super::Operator;

#[derive(Serialize)]
struct OrdersBody {
    orders: Vec<OrderBody>,
}

#[derive(Serialize)]
struct OrderBody {
    replica: String,
    term: u64,
    sequence: u64,
    #[serde(flatten)]
    order: OrderKind,
}

#[derive(Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum OrderKind {
    LoadModel { model: String, version: String },
    LoadAdapter { adapter: String, version: String },
    ChangeRole { role: &'static str },
}

/// Lists the open orders in the state applied by this member.
pub(super) async fn list(operator: &Operator) -> Response<Body> {
    let view = operator.driver.placement_view().await;
    let orders = view.open_orders.into_iter().map(OrderBody::from).collect();
    json_response(StatusCode::OK, &OrdersBody { orders })
}

impl From<IssuedOrder> for OrderBody {
    fn from(issued: IssuedOrder) -> Self {
        OrderBody {
            replica: issued.replica.0,
            term: issued.token.term.0,
            sequence: issued.token.sequence,
            order: issued.order.into(),
        }
    }
}

impl From<EngineOrder> for OrderKind {
    fn from(order: EngineOrder) -> Self {
        match order {
            EngineOrder::LoadModel { model, version } => OrderKind::LoadModel {
                model: model.0,
                version,
            },
            EngineOrder::LoadAdapter { adapter, version } => {
                OrderKind::LoadAdapter { adapter, version }
            }
            EngineOrder::ChangeRole(role) => OrderKind::ChangeRole {
                role: match role {
                    EngineRole::Mixed => "mixed",
                    EngineRole::Prefill => "prefill",
                    EngineRole::Decode => "decode",
                },
            },
        }
    }
}
