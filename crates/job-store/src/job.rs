//! Jobs, items and results.

use std::sync::Arc;

use rkyv::{Archive, Deserialize, Serialize, with::Skip};

use crate::{accepted_route::AcceptedRoute, text::Text};

/// A submitted item.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemSpec {
    /// The item's id, unique in the fleet.
    pub id: String,
    /// The path of the request.
    pub path: String,
    /// The headers of the request.
    pub headers: Vec<(String, String)>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Tokens of the prompt plus the maximum tokens of the answer.
    pub tokens: u64,
}

/// Memory of an item without its texts and its body, in bytes.
const ITEM_OVERHEAD_BYTES: usize = 256;

impl ItemSpec {
    /// Memory of the item, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        let headers = self.headers.iter();
        let header_bytes: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
        let texts = self.id.len() + self.path.len() + header_bytes;
        (ITEM_OVERHEAD_BYTES + texts + self.body.len()) as u64
    }
}

/// A submitted job.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's id.
    pub id: String,
    /// The host of the job's route.
    pub host: String,
    /// The path that the job was submitted to.
    pub path: String,
    /// Number of failed runs after which an item is given up.
    pub max_attempts: u32,
    /// Time after which every result is due, in milliseconds.
    pub completion_ms: u64,
    /// Time after which an item may be given up, in milliseconds.
    pub give_up_ms: u64,
    /// The items.
    pub items: Vec<ItemSpec>,
    /// The route that accepted the job; `None` if that is unknown. Stored and sent beside the job
    /// from the fourth format on.
    #[rkyv(with = Skip)]
    pub route: Option<AcceptedRoute>,
}

/// A submitted job of a tenant.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct TenantJob {
    /// The tenant.
    pub tenant: String,
    /// The job.
    pub job: JobSpec,
}

/// Final state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum ListedState {
    /// The item has its complete answer.
    Succeeded,
    /// The item was given up.
    GivenUp,
}

/// An item and its state.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub(crate) struct Item {
    /// The submitted item; the body and headers are dropped once the item is listed.
    pub(crate) spec: ItemSpec,
    /// Number of failed runs.
    pub(crate) failures: u32,
    /// Whether the item is listed.
    pub(crate) listed: bool,
}

/// A result; its position is its index in the job's results.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Listed {
    /// The item's index in the job.
    pub(crate) item: u32,
    /// The item's final state.
    pub(crate) state: ListedState,
    /// The text; empty if the item was given up.
    pub(crate) text: Text,
}

/// An accepted job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    pub(crate) spec: JobSpec,
    /// The tenant; `None` if the route required no key.
    pub(crate) tenant: Option<String>,
    /// Time since acceptance as counted by leaders, in milliseconds. Never more than the
    /// elapsed time, whatever happens to the wall clock.
    pub(crate) age_ms: u64,
    /// Order of acceptance.
    pub(crate) number: u64,
    pub(crate) items: Vec<Item>,
    pub(crate) results: Vec<Listed>,
    /// Tokens of unlisted items.
    pub(crate) waiting_tokens: u64,
    /// Memory of the items, in bytes.
    pub(crate) item_bytes: u64,
    /// Whether a caller ended the job.
    pub(crate) ended: bool,
}

impl JobSpec {
    /// Memory of the job's items, in bytes.
    pub(crate) fn memory_bytes(&self) -> u64 {
        self.items.iter().map(ItemSpec::memory_bytes).sum()
    }
}

impl Job {
    pub(crate) fn new(mut spec: JobSpec, tenant: Option<String>, number: u64) -> Self {
        let item_bytes = spec.memory_bytes();
        let items = std::mem::take(&mut spec.items).into_iter();
        Job {
            waiting_tokens: items.as_slice().iter().map(|item| item.tokens).sum(),
            item_bytes,
            items: items
                .map(|spec| Item {
                    spec,
                    failures: 0,
                    listed: false,
                })
                .collect(),
            spec,
            tenant,
            age_ms: 0,
            number,
            results: Vec::new(),
            ended: false,
        }
    }

    /// Ends the job: no item runs any longer.
    pub(crate) fn end(&mut self) {
        self.ended = true;
        for item in &mut self.items {
            self.item_bytes -= item.spec.body.len() as u64;
            item.spec.body = Vec::new();
        }
    }

    /// Whether a caller may see the job: its own tenant, or any caller if the job has no tenant.
    #[must_use]
    pub fn is_visible_to(&self, caller: Option<&str>) -> bool {
        self.tenant.is_none() || self.tenant.as_deref() == caller
    }

    /// The route that accepted the job; `None` if it is unknown.
    #[must_use]
    pub fn route(&self) -> Option<&AcceptedRoute> {
        self.spec.route.as_ref()
    }

    /// Whether items of the job may still run.
    pub(crate) fn is_open(&self) -> bool {
        !self.ended && self.results.len() < self.items.len()
    }

    /// Whether an item may still run.
    pub(crate) fn is_item_open(&self, item: u32) -> bool {
        let item = self.items.get(item as usize);
        !self.ended && item.is_some_and(|item| !item.listed)
    }

    /// Time until every result is due, in milliseconds; 0 after the due time.
    pub(crate) fn due_in_ms(&self) -> u64 {
        self.spec.completion_ms.saturating_sub(self.age_ms)
    }

    /// Lists an item; false if it was listed before or the job has ended.
    pub(crate) fn list(&mut self, item: u32, state: ListedState, text: String) -> bool {
        if !self.is_item_open(item) {
            return false;
        }
        let stored = &mut self.items[item as usize];
        stored.listed = true;
        self.waiting_tokens -= stored.spec.tokens;
        let before = stored.spec.memory_bytes();
        stored.spec.body = Vec::new();
        stored.spec.headers = Vec::new();
        self.item_bytes -= before - stored.spec.memory_bytes();
        self.results.push(Listed {
            item,
            state,
            text: Text::InMemory(Arc::from(text)),
        });
        true
    }
}
