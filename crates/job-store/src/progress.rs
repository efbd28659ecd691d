//! What unfinished runs of items have made, so that another gateway goes on
//! after the last event, also after a loss of power.

use std::collections::BTreeMap;

use rkyv::{Archive, Deserialize, Serialize};

use crate::command::ItemRef;

/// Bytes of text that are kept for unfinished items; beyond this no more is
/// taken, and what is not kept may have to run again.
const MOST_BYTES: u64 = 8 * 1024 * 1024;

/// Events of an item, from its first one on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct MadeEvents {
    /// The data of each event, in order.
    pub events: Vec<String>,
    /// The id of the last one; `None` before the first.
    pub last_event: Option<u64>,
}

/// What a gateway's run has made since it told last.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct ItemProgress {
    /// The item.
    pub item: ItemRef,
    /// Events that were told before; 0 tells all.
    pub told_before: u32,
    /// The further ones.
    pub made: MadeEvents,
}

/// What was made of one item, as a snapshot holds it.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct MadeOfItem {
    item: ItemRef,
    made: MadeEvents,
}

/// Progress of unfinished items.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressTable {
    held: BTreeMap<ItemRef, MadeEvents>,
    bytes: u64,
}

impl ProgressTable {
    /// All of it, for a snapshot.
    pub(crate) fn to_list(&self) -> Vec<MadeOfItem> {
        let held = self.held.iter();
        held.map(|(item, made)| MadeOfItem {
            item: item.clone(),
            made: made.clone(),
        })
        .collect()
    }

    /// The table of a snapshot.
    pub(crate) fn from_list(list: Vec<MadeOfItem>) -> Self {
        let bytes = list.iter().map(|held| text_bytes(&held.made.events)).sum();
        let held = list.into_iter().map(|held| (held.item, held.made));
        ProgressTable {
            held: held.collect(),
            bytes,
        }
    }

    /// Takes what a run made; false when what it told before is not held here.
    pub(crate) fn take(&mut self, progress: ItemProgress) -> bool {
        let ItemProgress {
            item,
            told_before,
            made,
        } = progress;
        let held = self.held.entry(item).or_default();
        let is_whole = told_before == 0 && made.events.len() >= held.events.len();
        if is_whole {
            self.bytes -= text_bytes(&held.events);
            *held = MadeEvents::default();
        } else if held.events.len() != told_before as usize {
            return false;
        }
        let more = text_bytes(&made.events);
        if self.bytes + more > MOST_BYTES {
            return true;
        }
        self.bytes += more;
        held.events.extend(made.events);
        held.last_event = made.last_event;
        true
    }

    /// Bytes of text that are held.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What is held of an item.
    pub(crate) fn of(&self, item: &ItemRef) -> MadeEvents {
        self.held.get(item).cloned().unwrap_or_default()
    }

    /// Forgets an item that is listed.
    pub(crate) fn forget(&mut self, item: &ItemRef) {
        if let Some(made) = self.held.remove(item) {
            self.bytes -= text_bytes(&made.events);
        }
    }

    /// Forgets all items of a job.
    pub(crate) fn forget_job(&mut self, job: &str) {
        let of_job = self.held.keys().filter(|item| item.job == job);
        for item in of_job.cloned().collect::<Vec<_>>() {
            self.forget(&item);
        }
    }
}

fn text_bytes(events: &[String]) -> u64 {
    events.iter().map(|event| event.len() as u64).sum()
}
