//! Sessions with entries: handshake, claims of runs, expiry and load reports.

use std::collections::HashSet;

use slog::{debug, info};

use super::{Gate, GateAction, Run, RunState, StopCause};
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{
    GateLoad, NotRunReason, OpenRun, ProcessId, RunEnd, ToEntry, ToGate,
};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Minimum interval between two load reports that carry no other message, over all entries,
/// in microseconds. Bounds the cost of load reports regardless of the number of entries.
const LOAD_INTERVAL_US: u64 = 10_000;
/// Longest delay of the load report that confirms a start, in microseconds; it is sent
/// earlier along with another message.
const CONFIRM_DELAY_US: u64 = 10_000;

/// An entry that has connected to this gate.
#[derive(Debug)]
pub(super) struct EntryState {
    /// Its open session.
    pub(super) session: Option<SessionId>,
    /// When it sent its last frame, in monotonic microseconds of this process.
    pub(super) last_frame_us: u64,
    /// Configuration version that the entry has.
    pub(super) config: u64,
    /// Number of the last start order received in this session.
    seen: u64,
    /// Arrival time of the first start that no load report has confirmed, in monotonic
    /// microseconds.
    unconfirmed_us: Option<u64>,
    /// Time at which the entry last had runs here, in monotonic microseconds.
    last_busy_us: u64,
    /// Time of the last load report to it, in monotonic microseconds.
    load_sent_us: u64,
    /// Whether the load has changed since the last report.
    stale: bool,
}

impl EntryState {
    /// State after a hello on `session`, sent at `sent_us` or later.
    fn new(session: SessionId, sent_us: u64) -> EntryState {
        EntryState {
            session: Some(session),
            last_frame_us: sent_us,
            config: 0,
            seen: 0,
            unconfirmed_us: None,
            last_busy_us: 0,
            load_sent_us: 0,
            stale: true,
        }
    }
}

impl Gate {
    /// Handles a message from an entry.
    pub fn handle_message(&mut self, now: Moment, session: SessionId, message: ToGate) {
        if let ToGate::Hello {
            entry,
            config,
            open,
        } = message
        {
            self.handle_hello(now, session, entry, config, open);
            return;
        }
        let Some(entry) = self.sessions.get(&session).cloned() else {
            debug!(self.log, "ignored message before hello"; "session" => session.0);
            return;
        };
        match message {
            ToGate::Start(order) => {
                if let Some(state) = self.entries.get_mut(&entry) {
                    state.seen = order.number;
                    state.unconfirmed_us.get_or_insert(now.mono_us);
                    state.last_busy_us = now.mono_us;
                }
                self.admit(now, entry, *order);
            }
            ToGate::Stop { run } => self.stop(now, run, StopCause::Withdrawn),
            ToGate::Losses(losses) => self.receive_losses(&entry, losses),
            ToGate::ConfigVersion(version) => self.note_config_version(&entry, version),
            ToGate::WantConfig(wanted) => self.request_config_part(session, wanted),
            ToGate::ConfigPart { asker, part } => self.forward_config_part(asker, part),
            ToGate::Register {
                job,
                for_us,
                confirmed,
            } => self.register(now, &entry, job, for_us, confirmed),
            ToGate::Released { job, complete } => {
                self.release_registration(now, &entry, job, complete);
            }
            ToGate::Beat | ToGate::Hello { .. } => {}
        }
    }

    /// Records that a frame arrived on a session; `sent` is when it was sent, on the clock of
    /// this process.
    pub fn frame_received(&mut self, sent: Moment, session: SessionId) {
        let entry = self.sessions.get(&session);
        if let Some(state) = entry.and_then(|entry| self.entries.get_mut(entry)) {
            state.last_frame_us = state.last_frame_us.max(sent.mono_us);
        }
    }

    fn handle_hello(
        &mut self,
        now: Moment,
        session: SessionId,
        entry: ProcessId,
        config: u64,
        open: Vec<OpenRun>,
    ) {
        info!(self.log, "entry connected"; "entry" => &*entry.name,
            "incarnation" => entry.incarnation, "open_runs" => open.len());
        self.expire_earlier_incarnations(now, &entry);
        let max_age_us = micros(self.limits.max_frame_age);
        let state = EntryState::new(session, now.mono_us.saturating_sub(max_age_us));
        if let Some(before) = self.entries.insert(entry.clone(), state)
            && let Some(old) = before.session
        {
            self.sessions.remove(&old);
            self.actions.push(GateAction::Close(old));
        }
        self.sessions.insert(session, entry.clone());
        self.note_config_version(&entry, config);
        let message = ToEntry::Hello {
            gate: self.me.clone(),
            config: self.newest_config(),
        };
        self.send(&entry, message);
        self.send_known_losses(&entry);
        self.reconcile(now, &entry, &open);
        self.load_changed = true;
    }

    fn expire_earlier_incarnations(&mut self, now: Moment, entry: &ProcessId) {
        let earlier: Vec<ProcessId> = self
            .entries
            .keys()
            .filter(|owner| owner.name == entry.name && *owner != entry)
            .cloned()
            .collect();
        for owner in earlier {
            self.expire(now, &owner, "restarted");
        }
    }

    /// Reconciles the runs that the entry claims with those of the gate.
    fn reconcile(&mut self, now: Moment, entry: &ProcessId, open: &[OpenRun]) {
        let unwanted: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.owner == *entry)
            .map(|(run, _)| *run)
            .filter(|run| open.iter().all(|claimed| claimed.run != *run))
            .collect();
        for run in unwanted {
            self.stop(now, run, StopCause::NotClaimed);
        }
        for claimed in open {
            self.claim(now, entry, claimed);
        }
    }

    /// Takes over a run that an entry claims, or reports how it ended.
    fn claim(&mut self, now: Moment, entry: &ProcessId, claimed: &OpenRun) {
        let run = claimed.run;
        if let Some(record) = self.runs.get(&run) {
            if record.state == RunState::Running {
                self.send(entry, ToEntry::Began { run });
            }
            return;
        }
        if let Some(ended) = self.ended_run(entry, run) {
            let message = ended.report(run);
            self.send(entry, message);
            return;
        }
        let listed = self
            .incarnation
            .as_ref()
            .is_some_and(|incarnation| incarnation.listed);
        let was_unclaimed = self.unclaimed.remove(&run).is_some();
        // A previous incarnation of this gate may have started and ended it.
        let began = claimed.sent_to != self.me.incarnation;
        if listed && !was_unclaimed && !began {
            // The start order was lost and cannot arrive any more: ended runs are retained for
            // longer than a session may be silent, and messages from an earlier connection are
            // discarded.
            info!(self.log, "claimed run is unknown"; "run" => %run, "entry" => &*entry.name);
            let end = RunEnd::NotRun(NotRunReason::Lost);
            self.send(
                entry,
                ToEntry::Ended {
                    run,
                    end,
                    run_us: 0,
                },
            );
            return;
        }
        let state = match (listed, was_unclaimed) {
            (false, _) => RunState::Claimed { began },
            (true, true) => RunState::Running,
            (true, false) => RunState::Stopping {
                cause: StopCause::Unanswered,
                began,
                since_us: now.mono_us,
                sent_us: now.mono_us,
                acked_us: None,
            },
        };
        info!(self.log, "run claimed"; "run" => %run, "entry" => &*entry.name,
            "unclaimed" => was_unclaimed);
        let record = Run {
            owner: entry.clone(),
            needs: claimed.needs,
            payload: "".into(),
            expected_us: claimed.expected_us,
            movable: false,
            implicated: false,
            leaves_headroom: false,
            queued_or_started_us: now.mono_us,
            first_start_us: 0,
            state,
            last_wanted_us: None,
            listed: false,
            last_sample: None,
        };
        self.runs.insert(run, record);
        self.room.reserve(run, claimed.needs);
        match state {
            RunState::Running => self.send(entry, ToEntry::Began { run }),
            RunState::Stopping { .. } => self.send_stop(run),
            _ => {}
        }
    }

    /// Handles the end of a session; the entry may reconnect until it expires.
    pub fn session_closed(&mut self, session: SessionId) {
        let Some(entry) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(state) = self.entries.get_mut(&entry)
            && state.session == Some(session)
        {
            info!(self.log, "entry disconnected"; "entry" => &*entry.name);
            state.session = None;
        }
    }

    /// Time since the entry sent its last frame, in microseconds; `None` if it has expired.
    pub(super) fn entry_silence_us(&self, now: Moment, entry: &ProcessId) -> Option<u64> {
        let state = self.entries.get(entry)?;
        Some(now.mono_us.saturating_sub(state.last_frame_us))
    }

    /// Whether the entry has sent a frame within the peer timeout, whenever it arrived.
    pub(super) fn is_entry_alive(&self, now: Moment, entry: &ProcessId) -> bool {
        let silence_us = micros(self.limits.peer_timeout);
        let state = self.entries.get(entry);
        state.is_some_and(|state| now.mono_us <= state.last_frame_us + silence_us)
    }

    /// Whether the entry has runs here that it has not withdrawn, also those that the gate stops
    /// for a reason of its own: they stay open for the entry until their end is reported. Such an
    /// entry sends heartbeats at the shorter interval, and does so for the linger time afterwards.
    pub(super) fn has_active_runs(&self, entry: &ProcessId) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.owner == *entry && run.last_wanted_us.is_none())
    }

    /// Expires entries that have been silent for too long and stops their runs.
    pub(super) fn expire_entries(&mut self, now: Moment) {
        let idle_us = micros(self.limits.idle_peer_timeout);
        let silent: Vec<ProcessId> = self
            .entries
            .iter()
            .filter(|(entry, state)| match self.has_active_runs(entry) {
                true => !self.is_entry_alive(now, entry),
                false => now.mono_us > state.last_frame_us + idle_us,
            })
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in silent {
            self.expire(now, &entry, "silent");
        }
    }

    fn expire(&mut self, now: Moment, entry: &ProcessId, why: &str) {
        let Some(state) = self.entries.remove(entry) else {
            return;
        };
        let silent_us = now.mono_us.saturating_sub(state.last_frame_us);
        self.expire_registrations(entry, state.last_frame_us);
        let owned: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.owner == *entry)
            .map(|(run, _)| *run)
            .collect();
        info!(self.log, "entry expired"; "entry" => &*entry.name, "why" => why,
            "silent_ms" => silent_us / 1_000, "runs" => owned.len());
        if let Some(session) = state.session {
            self.sessions.remove(&session);
            self.actions.push(GateAction::Close(session));
        }
        for run in owned {
            self.stop(now, run, StopCause::EntryExpired { silent_us });
        }
    }

    pub(super) fn send(&mut self, entry: &ProcessId, message: ToEntry) {
        let session = self.entries.get(entry).and_then(|state| state.session);
        if let Some(session) = session {
            self.actions.push(GateAction::Send { session, message });
        }
    }

    /// Sends load reports: along with other messages, to confirm a start, as a heartbeat, to all
    /// entries as an announcement, and in turn to busy entries when the load has changed.
    pub(super) fn send_loads(&mut self, now: Moment) {
        self.update_entries(now);
        let announced = self.take_announcement(now);
        let recipients: HashSet<SessionId> = self.actions.iter().filter_map(recipient).collect();
        let mut due: Vec<ProcessId> = Vec::new();
        for (entry, state) in &self.entries {
            let with_others = state
                .session
                .is_some_and(|session| recipients.contains(&session));
            if announced
                || with_others && state.stale
                || now.mono_us >= self.load_due_us(now, state)
            {
                due.push(entry.clone());
            }
        }
        if due.is_empty() {
            due.extend(self.next_load_recipient(now));
        }
        let load = self.load(now);
        for entry in due {
            self.send_load(now, &entry, &load);
        }
    }

    /// Updates which entries are busy and whose load reports are outdated.
    fn update_entries(&mut self, now: Moment) {
        let changed = std::mem::take(&mut self.load_changed);
        let busy: HashSet<&ProcessId> = self.runs.values().map(|run| &run.owner).collect();
        for (entry, state) in &mut self.entries {
            state.stale |= changed;
            if busy.contains(entry) {
                state.last_busy_us = now.mono_us;
            }
        }
    }

    fn is_busy(&self, now: Moment, state: &EntryState) -> bool {
        now.mono_us < state.last_busy_us + micros(self.limits.linger)
    }

    /// Time at which a load report is due as a confirmation or heartbeat, in monotonic
    /// microseconds.
    pub(super) fn load_due_us(&self, now: Moment, state: &EntryState) -> u64 {
        let beat = match self.is_busy(now, state) {
            true => self.limits.heartbeat_interval,
            false => self.limits.idle_heartbeat_interval,
        };
        let beat_us = state.load_sent_us + micros(beat);
        let confirm_us = state
            .unconfirmed_us
            .map(|arrived_us| arrived_us + CONFIRM_DELAY_US);
        confirm_us.map_or(beat_us, |confirm_us| beat_us.min(confirm_us))
    }

    /// The busy entry whose load report is the oldest of the outdated ones, if a report may be
    /// sent now.
    fn next_load_recipient(&mut self, now: Moment) -> Option<ProcessId> {
        if now.mono_us < self.load_sent_us + LOAD_INTERVAL_US {
            return None;
        }
        let waiting = self.entries.iter().filter(|(_, state)| {
            state.stale && state.session.is_some() && self.is_busy(now, state)
        });
        let next = waiting
            .min_by_key(|(_, state)| state.load_sent_us)?
            .0
            .clone();
        self.load_sent_us = now.mono_us;
        Some(next)
    }

    fn send_load(&mut self, now: Moment, entry: &ProcessId, load: &GateLoad) {
        let Some(state) = self.entries.get_mut(entry) else {
            return;
        };
        state.load_sent_us = now.mono_us;
        state.stale = false;
        state.unconfirmed_us = None;
        let load = GateLoad {
            seen: state.seen,
            ..load.clone()
        };
        self.send(entry, ToEntry::Load(load));
    }
}

/// Recipient of a message that a load report goes along with. Answers to registrations are too many
/// for that.
fn recipient(action: &GateAction) -> Option<SessionId> {
    match action {
        GateAction::Send {
            message: ToEntry::Registered { .. },
            ..
        } => None,
        GateAction::Send { session, .. } => Some(*session),
        _ => None,
    }
}
