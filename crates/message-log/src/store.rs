//! The state machine of a store: takes inputs, returns effects.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use pewterseam_storage::Position;
use pewterseam_wire::Micros;
use pewterseam_wire::placement::{Placement, StoreId};
use pewterseam_wire::record::MessageName;
use pewterseam_wire::store::{Decline, StoreRequest};

use crate::cleaning::LogMap;
use crate::copying::Copying;
use crate::entry::LogEntry;
use crate::gathering::Gathering;
use crate::interface::{CurrentTime, Effect, Input, StoreSettings};
use crate::late_facts::LateFacts;
use crate::leases::OwnerLeases;
use crate::log_clock::{LogClock, Reading};
use crate::message::Moment;
use crate::messages::Messages;
use crate::offers::Offers;
use crate::owners::Owners;
use crate::persistence::{EntryKind, Persistence};
use crate::placement_view::PlacementView;
use crate::successors::EndNotices;

/// How long a request with a newer placement waits for that placement.
const MAX_HOLD_TIME: Micros = 1_000_000;

/// The maximum number of requests that wait for a placement.
const MAX_HELD_REQUESTS: usize = 1024;

/// The disk is tried again this long after a failed write.
const DISK_RETRY_DELAY: Micros = 1_000_000;

/// No wake-up is requested earlier than this from now.
const MIN_WAKE_DELAY: Micros = 20_000;

/// Ended messages are forgotten with this delay, so that many are removed in one step.
const FORGET_DELAY: Micros = 1_000_000;

/// A request that waits for a newer placement.
#[derive(Debug)]
pub(crate) struct HeldRequest {
    pub token: u64,
    pub request: StoreRequest,
    pub since: Micros,
}

impl HeldRequest {
    fn body_bytes(&self) -> usize {
        match &self.request {
            StoreRequest::Append { record, .. } => record.body.len(),
            _ => 0,
        }
    }
}

/// The message log of one store. See [`crate`].
#[derive(Debug)]
pub struct Store {
    pub(crate) settings: StoreSettings,
    pub(crate) now: CurrentTime,
    pub(crate) clock: LogClock,
    pub(crate) messages: Messages,
    pub(crate) persistence: Persistence,
    pub(crate) log_map: LogMap,
    pub(crate) view: PlacementView,
    pub(crate) owners: Owners,
    pub(crate) leases: OwnerLeases,
    pub(crate) offers: Offers,
    pub(crate) end_notices: EndNotices,
    pub(crate) gathering: Gathering,
    pub(crate) copying: Option<Copying>,
    pub(crate) late_facts: LateFacts,
    /// Appends that wait for the disk and whose message already has another owner or has ended, by token.
    pub(crate) superseded_appends: HashMap<u64, MessageName>,
    /// The messages whose end could not be written.
    pub(crate) unwritten_ends: Vec<MessageName>,
    /// The longest `retentionS` of all records that this store has seen.
    pub(crate) longest_retention: Moment,
    /// When open records were last checked for expiry.
    pub(crate) last_expiry_check: Micros,
    /// The token of the last request to another store.
    pub(crate) last_request: u64,
    pub(crate) out: Vec<Effect>,
    held: VecDeque<HeldRequest>,
    wake_at: Option<Micros>,
}

impl Store {
    pub(crate) fn empty(settings: StoreSettings, now: CurrentTime) -> Self {
        Store {
            view: PlacementView::new(settings.id.clone()),
            settings,
            now,
            clock: LogClock::new(now),
            messages: Messages::default(),
            persistence: Persistence::new(),
            log_map: LogMap::default(),
            owners: Owners::default(),
            leases: OwnerLeases::new(now.steady),
            offers: Offers::default(),
            end_notices: EndNotices::default(),
            gathering: Gathering::default(),
            copying: None,
            late_facts: LateFacts::default(),
            superseded_appends: HashMap::new(),
            unwritten_ends: Vec::new(),
            longest_retention: 0,
            last_expiry_check: now.steady,
            last_request: 0,
            out: Vec::new(),
            held: VecDeque::new(),
            wake_at: None,
        }
    }

    pub fn id(&self) -> &StoreId {
        &self.settings.id
    }

    /// Handles an input and returns the effects to perform, in order. The steady clock must not go back between calls.
    pub fn step(&mut self, now: CurrentTime, input: Input) -> Vec<Effect> {
        self.now = now;
        match input {
            Input::Request { token, request } => self.handle(token, request),
            Input::Placement(placement) => self.set_placement(placement),
            Input::Members(members) => self.set_members(members),
            Input::Persisted { through, positions } => self.persisted(through, positions),
            Input::PersistFailed { through } => self.persist_failed(through),
            Input::ReadBack { token, payload } => self.handle_read(token, payload),
            Input::StoreResponded { token, response } => self.handle_pull_response(token, response),
            Input::Tick => {}
        }
        self.run_due_work();
        if self.persistence.has_open_entries() || self.reading_due().is_some_and(|due| due <= now.steady) {
            self.write_time();
        }
        if let Some(persist) = self.persistence.flush(self.now.steady) {
            self.out.push(persist);
        }
        self.request_wake_up();
        std::mem::take(&mut self.out)
    }

    fn run_due_work(&mut self) {
        self.release_held(false);
        self.retry_disk();
        self.messages.evict_records_above(self.settings.memory_bytes);
        self.expire_records();
        self.send_end_notices();
        self.make_offers();
        self.advance_copying();
        self.resend_late_facts();
        self.clean();
        if self.forget_due().is_some_and(|due| due <= self.moment()) {
            let retention = self.end_retention();
            self.messages.forget(self.moment(), &retention);
        }
    }

    /// The current time of the log clock.
    pub(crate) fn moment(&self) -> Moment {
        self.clock.moment(self.now.steady)
    }

    /// Writes a reading of the clocks, if one is due.
    pub(crate) fn write_time(&mut self) {
        let Some(Reading { at, wall, away }) = self.clock.reading(self.now) else { return };
        if let Ok(entry) = (LogEntry::Time { at, wall, away }).encode() {
            self.persistence.add_lazily(entry, EntryKind::Time, self.now.steady);
        }
    }

    /// When a reading is to be written even without other entries, so that the ages of open messages are not lost.
    fn reading_due(&self) -> Option<Micros> {
        (!self.messages.by_owner.is_empty() && self.persistence.failed_at.is_none())
            .then(|| self.clock.next_reading())
    }

    fn set_placement(&mut self, placement: Arc<Placement>) {
        if self.view.set(placement) {
            self.late_facts.retain_stores_in(self.view.placement());
            self.write_copied_sets();
            self.start_copying();
            self.release_held(true);
        }
    }

    pub(crate) fn hold(&mut self, held: HeldRequest) {
        let bytes: usize = self.held.iter().map(|held| held.body_bytes()).sum();
        if self.held.len() >= MAX_HELD_REQUESTS || bytes >= self.settings.waiting_bytes {
            return self.decline(held.token, Decline::Busy);
        }
        self.held.push_back(held);
    }

    /// Handles the held requests again if there is a new placement. Otherwise declines those whose hold time has
    /// passed.
    fn release_held(&mut self, is_new_placement: bool) {
        let now = self.now.steady;
        if is_new_placement {
            for held in std::mem::take(&mut self.held) {
                self.handle(held.token, held.request);
            }
            return;
        }
        while let Some(held) = self.held.pop_front_if(|held| held.since + MAX_HOLD_TIME <= now) {
            self.decline(held.token, Decline::NotInGroup);
        }
    }

    fn persisted(&mut self, through: u64, positions: Vec<Position>) {
        self.persistence.failed_at = None;
        let mut positions = positions.into_iter();
        for batch in self.persistence.take_through(through) {
            for (written, position) in batch.written.into_iter().zip(positions.by_ref()) {
                self.note_written(&written, position);
                if let EntryKind::CopiedSet { set, epoch } = written {
                    self.note_copied_set(set, epoch);
                }
            }
            for token in batch.waiting {
                self.done(token);
            }
        }
    }

    /// Declines all waiting requests, because entries with later tickets may depend on entries that failed.
    fn persist_failed(&mut self, through: u64) {
        self.persistence.failed_at = Some(self.now.steady);
        let mut waiting = Vec::new();
        for batch in self.persistence.take_through(through) {
            for written in batch.written {
                self.note_failed(written, batch.ticket);
            }
            waiting.extend(batch.waiting);
        }
        waiting.extend(self.persistence.take_waiting());
        for token in waiting {
            self.decline(token, Decline::Disk);
        }
        if self.copying.is_some() {
            self.start_copying();
        }
    }

    /// Writes the failed ends again, or a probe entry if there are none, to find out whether the disk accepts writes.
    fn retry_disk(&mut self) {
        let Some(failed_at) = self.persistence.failed_at else { return };
        if failed_at + DISK_RETRY_DELAY > self.now.steady || !self.persistence.is_idle() {
            return;
        }
        self.persistence.failed_at = Some(self.now.steady);
        for name in std::mem::take(&mut self.unwritten_ends) {
            self.rewrite_end(&name);
        }
        if !self.persistence.has_open_entries()
            && let Ok(entry) = LogEntry::Probe.encode()
        {
            self.persistence.add(entry, EntryKind::Other);
        }
    }

    fn forget_due(&self) -> Option<Moment> {
        Some(self.messages.forget_due(&self.end_retention())? + FORGET_DELAY as Moment)
    }

    /// Requests a wake-up for the next due time, unless one was requested already.
    fn request_wake_up(&mut self) {
        let dues = [
            self.held.front().map(|held| held.since + MAX_HOLD_TIME),
            self.persistence.failed_at.filter(|_| self.persistence.is_idle()).map(|at| at + DISK_RETRY_DELAY),
            self.persistence.lazy_due(),
            self.end_notices.due(),
            self.offers.due(),
            self.offers.next_owner_check,
            self.copying.as_ref().and_then(Copying::due),
            self.late_facts.due(),
            self.expiry_due(),
            self.forget_due().map(|due| self.clock.steady_at(due)),
            self.reading_due(),
        ];
        let now = self.now.steady;
        let due = dues.into_iter().flatten().min().map(|due| due.max(now + MIN_WAKE_DELAY));
        if let Some(due) = due
            && self.wake_at.is_none_or(|at| at <= now || due < at)
        {
            self.wake_at = Some(due);
            self.out.push(Effect::WakeAt(due));
        }
    }
}
