//! `GET /v1/models`: the models and adapters of the configuration in force.

use gotham::helpers::http::Body;
use http::{Response, StatusCode};
use linnethitch_config::fleet::Fleet;
use linnethitch_errors::{ErrorKind, Failure};
use serde::Serialize;

use crate::{
    http::{RequestHead, answer::json_response},
    state::Gateway,
};

/// Position of the model's name in `/v1/models/{id}`.
const MODEL_SEGMENT: usize = 2;

#[derive(Serialize)]
struct ModelObject {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ModelObject>,
}

impl ModelObject {
    fn new(id: String) -> Self {
        ModelObject {
            id,
            object: "model",
            created: 0,
            owned_by: "linnethitch",
        }
    }
}

/// All valid values of a request's `model` field.
fn model_names(fleet: &Fleet) -> impl Iterator<Item = String> {
    fleet.models.iter().flat_map(|pool| {
        let adapters = pool
            .adapters
            .iter()
            .map(|adapter| format!("{}:{}", pool.name, adapter.name));
        std::iter::once(pool.name.clone()).chain(adapters)
    })
}

pub(crate) fn list(gateway: &Gateway, head: &RequestHead) -> Result<Response<Body>, Failure> {
    let (active, _) = gateway.authenticate(head)?;
    let body = ModelList {
        object: "list",
        data: model_names(&active.fleet).map(ModelObject::new).collect(),
    };
    Ok(json_response(StatusCode::OK, &body))
}

pub(crate) fn get(gateway: &Gateway, head: &RequestHead) -> Result<Response<Body>, Failure> {
    let (active, _) = gateway.authenticate(head)?;
    let requested = head
        .segment(MODEL_SEGMENT)
        .replace("%3A", ":")
        .replace("%3a", ":");
    model_names(&active.fleet)
        .find(|name| *name == requested)
        .map(|name| json_response(StatusCode::OK, &ModelObject::new(name)))
        .ok_or_else(|| {
            Failure::new(
                ErrorKind::UnknownModel,
                format!("the model {requested:?} does not exist"),
            )
            .with_param("model")
        })
}
