//! Reads the text of an item from a replica's answer.

use std::time::Duration;

use linnethitch_clock::{Instant, sleep, timeout};
use linnethitch_response::data_of;
use linnethitch_routing::dispatch::FailureKind;
use slog::info;

use super::{DECLINED_RETRY_DELAY, ItemRun, RunEnd, STALL_TIMEOUT};
use crate::source::Source;

/// Maximum size of the text of an item, in bytes. A page of results holds 1 MB, in which a byte of
/// the text may take two.
const MAX_TEXT_BYTES: u64 = 500_000;

/// How the reading of a replica's answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TextEnd {
    /// The answer was complete.
    Whole,
    /// The answer broke off, or the replica stopped sending.
    Broken,
    /// The text is longer than that of an item may be.
    TooLong,
    /// The process holds as much as it may, and this item a large part of that.
    GivesWay,
}

impl ItemRun {
    /// How the run ends after a replica's answer was not read to its end.
    pub(super) async fn after_incomplete_text(
        &mut self,
        text_end: TextEnd,
        replica: String,
    ) -> RunEnd {
        if text_end == TextEnd::GivesWay {
            return RunEnd::Return;
        }
        if text_end == TextEnd::TooLong {
            info!(self.shared.logger, "item: text too long, begins anew";
                "item" => &self.work.spec.id, "job" => &self.work.item.job,
                "replica" => &replica, "bytes" => self.generated.text_bytes());
            self.shared.note_failure(&replica, FailureKind::Broken);
            self.generated.begin_anew(self.shared.random_number());
            self.held.set(0);
            sleep(DECLINED_RETRY_DELAY).await;
        }
        self.tried.push(replica);
        RunEnd::Continue
    }

    /// Reads the events until the answer or its use ends.
    pub(super) async fn read_events(&mut self, service: &str, source: &mut Source) -> TextEnd {
        self.generated
            .begin_at(service, &source.replica, source.software.as_deref());
        let before = self.generated.events();
        let mut began = None;
        loop {
            let data = tokio::select! {
                data = timeout(STALL_TIMEOUT, source.data()) => data,
                () = self.held.until_must_give_way() => return TextEnd::GivesWay,
            };
            match data {
                Ok(None) => {
                    let events = self.generated.events() - before;
                    let took = began.map_or(Duration::ZERO, |began: Instant| began.elapsed());
                    let took_ms = took.as_millis() as u64;
                    self.shared
                        .learn_item_pace(service, |pace| pace.note_run(events, took_ms));
                    let is_whole = source.is_whole(&self.shared).await;
                    return if is_whole {
                        TextEnd::Whole
                    } else {
                        TextEnd::Broken
                    };
                }
                Ok(Some(Ok(data))) => {
                    source.running.first_event();
                    began.get_or_insert_with(Instant::now);
                    if !self.push(&data) {
                        return TextEnd::TooLong;
                    }
                }
                Ok(Some(Err(_))) | Err(_) => return TextEnd::Broken,
            }
        }
    }

    /// Adds data of the answer; false if an event or the text is too long.
    fn push(&mut self, data: &[u8]) -> bool {
        let Some(events) = self.splitter.push(data) else {
            return false;
        };
        if !events.is_empty() {
            self.generated
                .push(data_of(&events), self.splitter.last_id());
        }
        let text_bytes = self.generated.text_bytes();
        self.held.set(text_bytes + self.splitter.held_bytes());
        text_bytes <= MAX_TEXT_BYTES
    }
}
