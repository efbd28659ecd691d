//! Forwards a stream while it is received, and resumes it at another replica where the route
//! allows that.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use linnethitch_clock::{Instant, sleep, sleep_until, timeout_at};
use linnethitch_protocol::streams::StreamRecord;
use linnethitch_response::EventSplitter;
use linnethitch_routing::dispatch::{FailureKind, PromptPart, RequestNeeds, SoftwareNeed};
use slog::info;
use tokio::sync::mpsc;

use crate::{
    attempt::response_timeout,
    buffered_bytes::{BufferedGuard, UnreadBuffer},
    counters::{RequestEnd, TakeUpOutcome},
    exchange::{Exchange, Limits, Outgoing, Target, exchange},
    homes::HomeZones,
    known_ends::KnownEnds,
    planned_stop::AnsweredRequest,
    response::BodyFailure,
    search::{Placement, Search},
    shared::Shared,
    source::{BodyKind, Interrupted, Source},
    taken_up::StreamOrigin,
};

/// A resumable stream that stalls for this multiple of its gap target is resumed elsewhere.
const STALL_TIMEOUT_GAPS: u32 = 3;
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(900);

/// Maximum wait of a broken stream for a replica that is ejected or full. Callers give a stream up
/// after a pause of two seconds.
const REPLICA_WAIT_TIMEOUT: Duration = Duration::from_millis(900);
const REPLICA_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Pause between two searches while a stalled replica is the only one.
const SEARCH_PAUSE: Duration = Duration::from_millis(300);

/// Settings of a stream, besides its first replica.
pub(crate) struct PumpSettings {
    pub(crate) route: String,
    pub(crate) service: String,
    /// Priority rank; 0 is the highest.
    pub(crate) rank: u8,
    pub(crate) outgoing: Arc<Outgoing>,
    pub(crate) prompt: Vec<PromptPart>,
    /// Maximum number of tokens that the request asked for; 0 if it did not say.
    pub(crate) max_output_tokens: u32,
    /// Arrival of the request.
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) resumable: bool,
    /// Remaining sends to further replicas.
    pub(crate) remaining_sends: u32,
    /// Target for the maximum gap between events; 0 if there is none.
    pub(crate) gap: Duration,
    pub(crate) tried: Vec<String>,
    /// The stream, and the software that it may go on at.
    pub(crate) origin: StreamOrigin,
    /// Until when the caller may take the stream up again.
    pub(crate) take_up_until: Instant,
}

/// Forwards one stream.
pub(crate) struct Pump {
    shared: Arc<Shared>,
    settings: PumpSettings,
    splitter: EventSplitter,
    /// The replica of the current source, or of the last one.
    replica: String,
    /// The software of that replica, if it is known.
    software: Option<String>,
    /// Data received from the replica and not yet taken by the caller.
    unread: UnreadBuffer,
    /// Memory of the unfinished event.
    partial: BufferedGuard,
    /// Whether it is recorded what began the stream.
    is_recorded: bool,
}

/// How one source ended.
enum SourceEnd {
    Complete,
    Broken,
    /// Nothing was received for long; the replica may still be at work.
    Stalled,
    CallerDisconnected,
    DeadlineExceeded,
}

type Sender = mpsc::Sender<Result<Bytes, BodyFailure>>;

impl Pump {
    pub(crate) fn new(shared: Arc<Shared>, settings: PumpSettings) -> Self {
        Pump {
            unread: UnreadBuffer::new(shared.buffered.clone()),
            partial: shared.buffered.track(0),
            shared,
            settings,
            splitter: EventSplitter::default(),
            replica: String::new(),
            software: None,
            is_recorded: false,
        }
    }

    pub(crate) async fn run(mut self, first: Source, sender: Sender) {
        let mut source = first;
        loop {
            self.replica.clone_from(&source.replica);
            self.software.clone_from(&source.software);
            let stalled = match self.forward_source(&mut source, &sender).await {
                SourceEnd::Complete => return self.finish(source, &sender).await,
                SourceEnd::CallerDisconnected => return,
                SourceEnd::DeadlineExceeded => {
                    drop(source);
                    self.log("stream deadline exceeded");
                    return self.abort(&sender, "deadline exceeded").await;
                }
                SourceEnd::Broken => {
                    source.interrupted();
                    self.drop_partial();
                    None
                }
                SourceEnd::Stalled => {
                    self.log("stream stalled");
                    Some(source)
                }
            };
            let resumed = tokio::select! {
                resumed = self.resume(stalled) => resumed,
                () = sender.closed() => return,
            };
            let Some(next) = resumed else {
                self.log("stream broken");
                self.record_end(RequestEnd::Failed);
                return self.abort(&sender, "stream broken").await;
            };
            source = next;
        }
    }

    /// Reads the source and forwards its data, each at its own speed: a slow caller delays the
    /// replica only once too much data is buffered, and does not count as a sign that the replica
    /// is unresponsive.
    async fn forward_source(&mut self, source: &mut Source, sender: &Sender) -> SourceEnd {
        let stall_timeout = (self.settings.gap * STALL_TIMEOUT_GAPS).max(MIN_STALL_TIMEOUT);
        let mut stalled_at = self.stall_deadline(stall_timeout);
        loop {
            let may_read = self.unread.may_grow();
            let data = tokio::select! {
                biased;
                permit = sender.reserve(), if !self.unread.is_empty() => {
                    let Ok(permit) = permit else {
                        return SourceEnd::CallerDisconnected;
                    };
                    if let Some(piece) = self.unread.pop() {
                        permit.send(Ok(piece));
                    }
                    if !may_read {
                        stalled_at = self.stall_deadline(stall_timeout);
                    }
                    continue;
                }
                data = source.data(), if may_read => data,
                () = sender.closed() => return SourceEnd::CallerDisconnected,
                () = self.partial.until_must_give_way() => return self.refuse_event(),
                () = sleep_until(stalled_at), if may_read => {
                    let is_past_deadline = Instant::now() >= self.settings.deadline;
                    return if is_past_deadline { SourceEnd::DeadlineExceeded } else { SourceEnd::Stalled };
                }
                () = sleep_until(self.settings.deadline), if !may_read => return SourceEnd::DeadlineExceeded,
            };
            let data = match data {
                None => return self.ending(source).await,
                Some(Err(Interrupted)) => return SourceEnd::Broken,
                Some(Ok(data)) => data,
            };
            source.running.first_event();
            stalled_at = self.stall_deadline(stall_timeout);
            let passed = if self.settings.resumable {
                let complete = self.splitter.push(&data);
                self.partial.set(self.splitter.held_bytes());
                match complete {
                    Some(complete) => complete,
                    None => return self.refuse_event(),
                }
            } else {
                data
            };
            self.bind_to_software(source);
            self.unread.push(passed);
        }
    }

    fn drop_partial(&mut self) {
        self.splitter.drop_partial();
        self.partial.set(0);
    }

    /// Breaks off a source whose event is too large, or that holds memory which others need.
    fn refuse_event(&self) -> SourceEnd {
        info!(self.shared.logger, "request: event too large";
            "request" => self.settings.outgoing.id(), "replica" => &self.replica,
            "bytes" => self.splitter.held_bytes(), "held_bytes" => self.shared.buffered.bytes());
        self.shared.note_failure(&self.replica, FailureKind::Broken);
        SourceEnd::Broken
    }

    /// How a source ended that stopped without an error.
    async fn ending(&self, source: &Source) -> SourceEnd {
        let is_whole = timeout_at(self.settings.deadline, source.is_whole(&self.shared));
        if is_whole.await.unwrap_or(false) {
            SourceEnd::Complete
        } else {
            SourceEnd::Broken
        }
    }

    /// Binds a resumable stream to the software of its first event, and records that for attempts
    /// to take the stream up at any gateway.
    fn bind_to_software(&mut self, source: &Source) {
        let PumpSettings {
            origin,
            service,
            resumable,
            take_up_until,
            ..
        } = &mut self.settings;
        if !*resumable || self.is_recorded || self.splitter.events() == 0 {
            return;
        }
        self.is_recorded = true;
        let Source {
            replica, software, ..
        } = source;
        if origin.software == SoftwareNeed::Any {
            origin.software = SoftwareNeed::same_as(replica, software.as_deref());
        }
        let remaining = take_up_until.saturating_duration_since(Instant::now());
        self.shared.stream_records.began(StreamRecord {
            stream: origin.id.clone(),
            service: service.clone(),
            replica: replica.clone(),
            software: software.clone(),
            remaining_ms: remaining.as_millis().min(u128::from(u32::MAX)) as u32,
        });
    }

    /// Forwards the buffered data; false if the caller has disconnected.
    async fn forward_remaining(unread: &mut UnreadBuffer, sender: &Sender) -> bool {
        while let Some(piece) = unread.pop() {
            if sender.send(Ok(piece)).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Forwards the buffered data, then aborts the response. The replica was released before.
    async fn abort(self, sender: &Sender, why: &'static str) {
        let Pump { mut unread, .. } = self;
        if Self::forward_remaining(&mut unread, sender).await {
            let _ = sender.send(Err(why.into())).await;
        }
    }

    /// Time until which the next data is awaited. For a stream that cannot be resumed elsewhere
    /// that is its deadline.
    fn stall_deadline(&self, stall_timeout: Duration) -> Instant {
        let deadline = self.settings.deadline;
        let can_move = self.settings.resumable
            && self.settings.remaining_sends > 0
            && self.splitter.events() > 0;
        if can_move {
            deadline.min(Instant::now() + stall_timeout)
        } else {
            deadline
        }
    }

    /// The source with which the stream goes on after the last complete event: another replica,
    /// or the stalled one if it sends again before another one is found or if there is none. Two
    /// replicas never work on the stream: the stalled one is released before the next send.
    async fn resume(&mut self, mut stalled: Option<Source>) -> Option<Source> {
        let wait_until = Instant::now() + REPLICA_WAIT_TIMEOUT;
        while self.settings.resumable && self.settings.remaining_sends > 0 {
            let found = match &mut stalled {
                None => self.find_replica(wait_until).await,
                Some(source) => tokio::select! {
                    biased;
                    () = source.wait_for_data() => {
                        self.log("stream continues at its replica");
                        return stalled;
                    }
                    found = self.find_replica(wait_until) => found,
                },
            };
            let Some((Placement { chosen, lease }, known_ends)) = found else {
                let source = stalled.as_mut()?;
                if self.stalled_source_continues(source).await {
                    return stalled;
                }
                continue;
            };
            let was_stalled = stalled.is_some();
            let outgoing = Arc::clone(&self.settings.outgoing);
            self.settings.remaining_sends -= 1;
            self.settings.tried.push(chosen.id.clone());
            let target = Target {
                chosen: &chosen,
                route: &self.settings.route,
                service: &self.settings.service,
                known_ends,
                report: lease.report.clone(),
                lease: Some(lease),
                last_event: self.splitter.last_id(),
                software: &self.settings.origin.software,
                limits: self.limits(chosen.expected_ms),
            };
            let limits = target.limits;
            let prompt = &self.settings.prompt;
            let sending = exchange(&self.shared, &outgoing, prompt, target, &mut stalled);
            let exchanged = sending.await;
            if was_stalled && stalled.is_none() {
                self.drop_partial();
            }
            match exchanged {
                Exchange::Answered(opened) if opened.response.status().is_success() => {
                    self.shared.counters.resumes.inc();
                    self.shared.counters.take_up_ended(TakeUpOutcome::Resumed);
                    info!(self.shared.logger, "request: stream resumed"; "request" => outgoing.id(),
                        "stream" => &self.settings.origin.id, "replica" => &opened.replica,
                        "software" => &opened.software, "from_replica" => &self.replica,
                        "from_software" => &self.software,
                        "last_event" => self.splitter.last_id());
                    let (_, source) = Source::open(*opened, BodyKind::Events);
                    return Some(source.continuing(true));
                }
                Exchange::Evacuated | Exchange::OutsideHomes => self.undo_send(),
                Exchange::NotRun(_) | Exchange::Suspected => self.settings.remaining_sends += 1,
                Exchange::Cold => {
                    // The stream may be sent to this replica later.
                    self.settings.tried.pop();
                    self.settings.remaining_sends += 1;
                }
                Exchange::Answered(_) | Exchange::Unknown => {}
                Exchange::TimedOut if limits.head_deadline < limits.deadline => {
                    self.shared.note_failure(&chosen.id, FailureKind::Broken);
                    self.log("stream goes on elsewhere, its next replica is silent");
                }
                Exchange::TimedOut | Exchange::KeyRefused(_) => return None,
            }
        }
        stalled
    }

    /// Time limits of the next send. A replica that stays silent is a stall too: while the stream may
    /// be sent to a further one, the head is awaited for a shorter time.
    fn limits(&self, expected_ms: f64) -> Limits {
        let deadline = self.settings.deadline;
        let may_send_again = self.settings.remaining_sends > 0;
        let head_deadline = if may_send_again {
            let stall_timeout = self.settings.gap * STALL_TIMEOUT_GAPS;
            let timeout = response_timeout(expected_ms).max(stall_timeout);
            deadline.min(Instant::now() + timeout)
        } else {
            deadline
        };
        Limits {
            deadline,
            head_deadline,
        }
    }

    /// Waits for a stalled replica while there is no other one. Returns whether the stream goes on
    /// with it: it has sent again, or the stream's time is over. If not, others are searched again.
    async fn stalled_source_continues(&self, source: &mut Source) -> bool {
        let search_again = Instant::now() + SEARCH_PAUSE;
        tokio::select! {
            biased;
            () = source.wait_for_data() => self.log("stream continues at its replica"),
            () = sleep_until(search_again.min(self.settings.deadline)) => {
                return Instant::now() >= self.settings.deadline;
            }
        }
        true
    }

    /// Searches for another replica until a time; `None` if there is none. Cancel-safe.
    async fn find_replica(&self, wait_until: Instant) -> Option<(Placement, KnownEnds)> {
        loop {
            if !self.has_software() {
                self.log("no replica of the stream's software");
                let counters = &self.shared.counters;
                counters.take_up_ended(TakeUpOutcome::VersionGone);
                return None;
            }
            let PumpSettings {
                outgoing,
                route,
                service,
                ..
            } = &self.settings;
            let known = self.shared.known_ends(outgoing, route, service);
            let known_ends = known.await.ok()?;
            if self.shared.is_refused_while_isolated(&known_ends) {
                return None;
            }
            let homes = self.shared.homes(outgoing);
            let search = Search {
                shared: &self.shared,
                service,
                prompt: &self.settings.prompt,
                isolation_number: known_ends.isolation_number(|| outgoing.fingerprint()),
                except: &self.settings.tried,
                homes: &homes,
                software: &self.settings.origin.software,
                rank: self.settings.rank,
                due: Instant::now() + self.settings.gap,
                deadline: self.settings.deadline,
            };
            if let Some(placement) = search.run().await {
                return Some((placement, known_ends));
            }
            self.wait_for_replica(&homes, wait_until).await?;
        }
    }

    /// Waits until a replica may be available: a cold one, or one that is ejected or full. `None` if
    /// there is none, or not before the deadline.
    async fn wait_for_replica(&self, homes: &HomeZones, wait_until: Instant) -> Option<()> {
        let need = RequestNeeds {
            service: &self.settings.service,
            prompt: &self.settings.prompt,
            except: &self.settings.tried,
            homes: homes.as_ref(),
            software: &self.settings.origin.software,
        };
        let deadline = self.settings.deadline;
        let remaining = deadline.saturating_duration_since(Instant::now());
        if let Some(next) = self.shared.cold_send_delay(&need)
            && !next.is_zero()
            && next < remaining
        {
            sleep(next).await;
            return Some(());
        }
        let may_wait = Instant::now() < wait_until.min(deadline);
        if !may_wait || !self.shared.may_become_available(&need) {
            return None;
        }
        sleep(REPLICA_POLL_INTERVAL).await;
        Some(())
    }

    /// Whether any replica may go on with the stream, by its software.
    fn has_software(&self) -> bool {
        let PumpSettings {
            service, origin, ..
        } = &self.settings;
        origin.software == SoftwareNeed::Any || self.shared.has_software(service, &origin.software)
    }

    /// Takes a send back: the stream was not sent to the replica and may be once the zone is no
    /// longer evacuated or is a home again.
    fn undo_send(&mut self) {
        self.settings.remaining_sends += 1;
        self.settings.tried.pop();
    }

    /// Completes a stream. The replica is released before the caller has taken all data.
    async fn finish(self, source: Source, sender: &Sender) {
        let is_sampled = self.shared.is_sampled();
        let Pump {
            shared,
            settings,
            splitter,
            mut unread,
            ..
        } = self;
        let Source {
            replica,
            connection,
            running,
            ..
        } = source;
        running.completed();
        drop(running);
        shared.connections.release(connection);
        if !Self::forward_remaining(&mut unread, sender).await {
            return;
        }
        if is_sampled {
            info!(shared.logger, "request: served"; "request" => settings.outgoing.id(),
                "replica" => &replica, "last_event" => splitter.last_id());
        }
        shared.note_served(&AnsweredRequest {
            route: &settings.route,
            service: &settings.service,
            max_output_tokens: settings.max_output_tokens,
            arrived: settings.arrived,
        });
    }

    fn record_end(&self, end: RequestEnd) {
        let counters = &self.shared.counters;
        counters.request_ended(&self.settings.route, end);
    }

    fn log(&self, what: &str) {
        info!(self.shared.logger, "request: {}", what; "request" => self.settings.outgoing.id(),
            "replica" => &self.replica, "last_event" => self.splitter.last_id());
    }
}
