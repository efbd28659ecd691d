//! Passing a stream on as it comes, and going on at another replica where the
//! route allows it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use linnethitch_clock::{Instant, sleep, sleep_until};
use linnethitch_routing::dispatch::{PromptPart, RequestNeeds};
use slog::info;
use tokio::sync::mpsc;

use crate::{
    buffered_bytes::UnreadBuffer,
    connections::Connection,
    counters::RequestEnd,
    events::EventSplitter,
    exchange::{Exchange, Limits, Outgoing, Target, exchange},
    homes::HomeZones,
    response::BodyFailure,
    running_guard::RunningGuard,
    search::{Placed, Search},
    shared::Shared,
};

/// A resumable stream that pauses for this many times its allowed gap goes on elsewhere.
const PATIENCE: u32 = 3;
/// Shortest such pause.
const SHORTEST_PATIENCE: Duration = Duration::from_millis(900);

/// What a stream needs beside its first replica.
pub(crate) struct PumpSettings {
    pub(crate) route: String,
    pub(crate) service: String,
    /// Its rank; 0 is the highest.
    pub(crate) rank: u8,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) prompt: Vec<PromptPart>,
    /// When its request came.
    pub(crate) arrived: Instant,
    pub(crate) until: Instant,
    pub(crate) resumable: bool,
    /// Further replicas that it may be sent to.
    pub(crate) sends_left: u32,
    /// Longest pause between events that is on time; 0 where there is none.
    pub(crate) gap: Duration,
    pub(crate) tried: Vec<String>,
}

/// Passes one stream on.
pub(crate) struct Pump {
    shared: Arc<Shared>,
    settings: PumpSettings,
    splitter: EventSplitter,
    source: Source,
    /// What came and its caller has not taken.
    unread: UnreadBuffer,
}

/// The replica that the stream comes from.
struct Source {
    replica: String,
    body: Incoming,
    connection: Connection,
    running: RunningGuard,
}

/// How one source ended.
enum SourceEnd {
    Whole,
    Broken,
    CallerGone,
    TimeUp,
}

type Sender = mpsc::Sender<Result<Bytes, BodyFailure>>;

impl Pump {
    pub(crate) fn new(
        shared: Arc<Shared>,
        settings: PumpSettings,
        replica: String,
        body: Incoming,
        connection: Connection,
        running: RunningGuard,
    ) -> Self {
        Pump {
            unread: UnreadBuffer::new(shared.held.clone()),
            shared,
            settings,
            splitter: EventSplitter::default(),
            source: Source {
                replica,
                body,
                connection,
                running,
            },
        }
    }

    pub(crate) async fn run(mut self, sender: Sender) {
        loop {
            match self.pass_source(&sender).await {
                SourceEnd::Whole => return self.finish(&sender).await,
                SourceEnd::CallerGone => return,
                SourceEnd::TimeUp => {
                    self.log("stream out of time");
                    return self.cut(&sender, "time is up").await;
                }
                SourceEnd::Broken => self.source.running.broke(),
            }
            let resumed = tokio::select! {
                resumed = self.resume() => resumed,
                () = sender.closed() => return,
            };
            let Some(source) = resumed else {
                self.log("stream broken");
                self.ended(RequestEnd::Failed);
                return self.cut(&sender, "the stream broke").await;
            };
            self.source = source;
        }
    }

    /// Reads the source and hands on what came, each as fast as it goes: a caller who reads
    /// slowly holds the replica up only once too much waits for it, and is no sign that the
    /// replica is silent.
    async fn pass_source(&mut self, sender: &Sender) -> SourceEnd {
        let patience = (self.settings.gap * PATIENCE).max(SHORTEST_PATIENCE);
        let mut silent_until = self.silence_limit(patience);
        loop {
            let may_read = self.unread.may_grow();
            let frame = tokio::select! {
                biased;
                permit = sender.reserve(), if !self.unread.is_empty() => {
                    let Ok(permit) = permit else {
                        return SourceEnd::CallerGone;
                    };
                    if let Some(piece) = self.unread.pop() {
                        permit.send(Ok(piece));
                    }
                    if !may_read {
                        silent_until = self.silence_limit(patience);
                    }
                    continue;
                }
                frame = self.source.body.frame(), if may_read => frame,
                () = sender.closed() => return SourceEnd::CallerGone,
                () = sleep_until(silent_until), if may_read => {
                    let is_out_of_time = Instant::now() >= self.settings.until;
                    return if is_out_of_time { SourceEnd::TimeUp } else { SourceEnd::Broken };
                }
                () = sleep_until(self.settings.until), if !may_read => return SourceEnd::TimeUp,
            };
            let data = match frame {
                None if self.splitter.has_partial() => return SourceEnd::Broken,
                None => return SourceEnd::Whole,
                Some(Err(_)) => return SourceEnd::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
            };
            self.source.running.first_event();
            silent_until = self.silence_limit(patience);
            let passed = if self.settings.resumable {
                match self.splitter.push(&data) {
                    Some(whole) => whole,
                    None => return SourceEnd::Broken,
                }
            } else {
                data
            };
            self.unread.push(passed);
        }
    }

    /// Hands on what waits for the caller; false where it has gone.
    async fn hand_rest_on(unread: &mut UnreadBuffer, sender: &Sender) -> bool {
        while let Some(piece) = unread.pop() {
            if sender.send(Ok(piece)).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Hands on what came, then cuts the answer. The replica is let go before that.
    async fn cut(self, sender: &Sender, why: &'static str) {
        let Pump {
            source, mut unread, ..
        } = self;
        drop(source);
        if Self::hand_rest_on(&mut unread, sender).await {
            let _ = sender.send(Err(why.into())).await;
        }
    }

    /// A stream that cannot go on elsewhere is waited for until its time is up.
    fn silence_limit(&self, patience: Duration) -> Instant {
        let until = self.settings.until;
        let can_move =
            self.settings.resumable && self.settings.sends_left > 0 && self.splitter.events() > 0;
        if can_move {
            until.min(Instant::now() + patience)
        } else {
            until
        }
    }

    /// Goes on after the last whole event at another replica.
    async fn resume(&mut self) -> Option<Source> {
        self.splitter.drop_partial();
        while self.settings.resumable && self.settings.sends_left > 0 {
            let outgoing = &self.settings.outgoing;
            let known_ends = self.shared.known_ends(outgoing).await?;
            if self.shared.is_tried_alone_enough(&known_ends) {
                return None;
            }
            let homes = self.shared.homes(outgoing);
            let search = Search {
                shared: &self.shared,
                service: &self.settings.service,
                prompt: &self.settings.prompt,
                outgoing,
                alone: !known_ends.is_empty(),
                except: &self.settings.tried,
                homes: &homes,
                rank: self.settings.rank,
                due: Instant::now() + self.settings.gap,
                until: self.settings.until,
            };
            let Some(Placed { chosen, lease }) = search.run().await else {
                self.wait_for_cold(&homes).await?;
                continue;
            };
            self.settings.sends_left -= 1;
            self.settings.tried.push(chosen.id.clone());
            let target = Target {
                chosen: &chosen,
                known_ends,
                report: lease.report.clone(),
                lease: Some(lease),
                last_event: self.splitter.last_id(),
                limits: Limits {
                    until: self.settings.until,
                    head_until: self.settings.until,
                },
            };
            let sending = exchange(&self.shared, outgoing, &self.settings.prompt, target);
            match sending.await {
                Exchange::Answered(opened) if opened.response.status().is_success() => {
                    self.shared.counters.resumes.inc();
                    self.log("stream resumed");
                    return Some(Source {
                        replica: opened.replica,
                        body: opened.response.into_body(),
                        connection: opened.connection,
                        running: opened.running,
                    });
                }
                Exchange::Evacuated | Exchange::OutsideHomes => self.not_sent(),
                Exchange::NotRun(_) | Exchange::Suspected => self.settings.sends_left += 1,
                Exchange::Cold => {
                    // It may go there later.
                    self.settings.tried.pop();
                    self.settings.sends_left += 1;
                }
                Exchange::Answered(_) | Exchange::Unknown => {}
                Exchange::TimedOut | Exchange::KeyRefused(_) => return None,
            }
        }
        None
    }

    /// Waits until a cold replica may be sent the stream; `None` where none may in its time.
    async fn wait_for_cold(&self, homes: &HomeZones) -> Option<()> {
        let need = RequestNeeds {
            service: &self.settings.service,
            prompt: &self.settings.prompt,
            except: &self.settings.tried,
            homes: homes.as_ref(),
        };
        let next = self.shared.next_cold_in(&need)?;
        let left = self
            .settings
            .until
            .saturating_duration_since(Instant::now());
        if next.is_zero() || next >= left {
            return None;
        }
        sleep(next).await;
        Some(())
    }

    /// The replica that it was to go on at was not sent it, and may be once its zone is no
    /// longer evacuated, or is a home again.
    fn not_sent(&mut self) {
        self.settings.sends_left += 1;
        self.settings.tried.pop();
    }

    /// The whole answer came. The replica is let go before its caller has taken it all.
    async fn finish(self, sender: &Sender) {
        let is_sampled = self.shared.is_sampled();
        let Pump {
            shared,
            settings,
            splitter,
            source,
            mut unread,
        } = self;
        let Source {
            replica,
            mut connection,
            running,
            ..
        } = source;
        running.came_to_an_end();
        drop(running);
        let keep = async {
            if connection.is_usable_again().await {
                shared.connections.give_back(connection);
            }
        };
        let (is_taken, ()) = tokio::join!(Self::hand_rest_on(&mut unread, sender), keep);
        if !is_taken {
            return;
        }
        if is_sampled {
            info!(shared.logger, "request: served"; "request" => settings.outgoing.id(),
                "replica" => &replica, "last_event" => splitter.last_id());
        }
        shared.note_served(&settings.route, settings.arrived);
    }

    fn ended(&self, end: RequestEnd) {
        let counters = &self.shared.counters;
        counters.request_ended(&self.settings.route, end);
    }

    fn log(&self, what: &str) {
        info!(self.shared.logger, "request: {}", what; "request" => self.settings.outgoing.id(),
            "replica" => &self.source.replica, "last_event" => self.splitter.last_id());
    }
}
