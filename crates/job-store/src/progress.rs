//! What unfinished runs of items have made, so that another gateway goes on
//! after the last event, also after a loss of power.

use std::{collections::BTreeMap, iter::repeat};

use rkyv::{Archive, Deserialize, Serialize};

use crate::command::ItemRef;

/// Bytes of text that are kept for unfinished items; beyond this no more is
/// taken, and what is not kept may have to run again.
const MOST_BYTES: u64 = 8 * 1024 * 1024;

/// Events of an item, from its first one on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct GeneratedEvents {
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
    pub made: GeneratedEvents,
}

/// Marks a run of an item under one lease: drawn at random by its gateway.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunId(pub u64);

impl RunId {
    /// The run is not known: nothing was told yet, or without a mark.
    pub const UNKNOWN: RunId = RunId(0);

    /// The mark of a number drawn at random.
    #[must_use]
    pub fn from_random(random: u64) -> Self {
        RunId(random.max(1))
    }
}

/// What a run has made since it told last, and whose text it goes on with.
#[derive(Clone, Debug, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct RunProgress {
    /// The run that tells.
    pub run: RunId,
    /// The run whose text this continues: the one that the lease began with, its own once
    /// it told anything. Without meaning where all is told.
    pub continues: RunId,
    /// What it made.
    pub progress: ItemProgress,
}

impl RunProgress {
    /// What was told without marks.
    pub(crate) fn unmarked(progress: ItemProgress) -> Self {
        RunProgress {
            run: RunId::UNKNOWN,
            continues: RunId::UNKNOWN,
            progress,
        }
    }
}

/// What earlier runs made of an item, and which of them told it last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub struct StoredProgress {
    /// The events.
    pub made: GeneratedEvents,
    /// The run that told the last of them.
    pub told_by: RunId,
}

impl StoredProgress {
    /// Whether a part goes on exactly where this ends, in the text of the same run.
    fn is_continued_by(&self, part: &RunProgress) -> bool {
        self.told_by == part.continues
            && self.made.events.len() == part.progress.told_before as usize
    }

    /// The whole text of a run whose last part this is; `None` where that does not
    /// continue what is held.
    pub(crate) fn whole_text(self, last: RunProgress) -> Option<String> {
        if last.progress.told_before == 0 {
            return Some(last.progress.made.events.join("\n"));
        }
        if !self.is_continued_by(&last) {
            return None;
        }
        let mut events = self.made.events;
        events.extend(last.progress.made.events);
        Some(events.join("\n"))
    }
}

/// What was made of one item, as a snapshot holds it.
#[derive(Clone, Debug, Archive, Serialize, Deserialize)]
pub(crate) struct MadeOfItem {
    item: ItemRef,
    made: GeneratedEvents,
}

/// Progress of unfinished items.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProgressTable {
    held: BTreeMap<ItemRef, StoredProgress>,
    bytes: u64,
}

impl ProgressTable {
    /// All of it, for a snapshot.
    pub(crate) fn to_list(&self) -> Vec<MadeOfItem> {
        let held = self.held.iter();
        held.map(|(item, held)| MadeOfItem {
            item: item.clone(),
            made: held.made.clone(),
        })
        .collect()
    }

    /// Who told each entry of [`Self::to_list`].
    pub(crate) fn tellers(&self) -> Vec<RunId> {
        self.held.values().map(|held| held.told_by).collect()
    }

    /// The table of a snapshot. An entry without a teller was told without a mark.
    pub(crate) fn from_list(list: Vec<MadeOfItem>, tellers: &[RunId]) -> Self {
        let bytes = list.iter().map(|held| text_bytes(&held.made.events)).sum();
        let tellers = tellers.iter().copied().chain(repeat(RunId::UNKNOWN));
        let held = list.into_iter().zip(tellers).map(|(entry, told_by)| {
            let made = entry.made;
            (entry.item, StoredProgress { made, told_by })
        });
        ProgressTable {
            held: held.collect(),
            bytes,
        }
    }

    /// Takes what a run made; false when what it told before is not held here, be it
    /// that another run has told something else meanwhile.
    pub(crate) fn take(&mut self, told: RunProgress) -> bool {
        let held = self.held.entry(told.progress.item.clone()).or_default();
        let made = &told.progress.made;
        let is_whole =
            told.progress.told_before == 0 && made.events.len() >= held.made.events.len();
        if is_whole {
            self.bytes -= text_bytes(&held.made.events);
            *held = StoredProgress::default();
        } else if !held.is_continued_by(&told) {
            return false;
        }
        let more = text_bytes(&made.events);
        if self.bytes + more > MOST_BYTES {
            return true;
        }
        self.bytes += more;
        held.told_by = told.run;
        held.made.events.extend(told.progress.made.events);
        held.made.last_event = told.progress.made.last_event;
        true
    }

    /// Bytes of text that are held.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }

    /// What is held of an item.
    pub(crate) fn of(&self, item: &ItemRef) -> StoredProgress {
        self.held.get(item).cloned().unwrap_or_default()
    }

    /// Forgets an item that is listed.
    pub(crate) fn forget(&mut self, item: &ItemRef) {
        if let Some(held) = self.held.remove(item) {
            self.bytes -= text_bytes(&held.made.events);
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
