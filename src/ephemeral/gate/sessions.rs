//! Sessions with entries: who is there, what they want, what they are told.

use std::collections::HashSet;

use slog::{debug, info};

use super::{Gate, GateAction, Run, RunState, StopCause};
use crate::ephemeral::job::RunId;
use crate::ephemeral::message::{
    GateLoad, NotRunReason, OpenRun, ProcessId, RunEnd, ToEntry, ToGate,
};
use crate::ephemeral::session::SessionId;
use crate::time::{Moment, micros};

/// Least time between two frames that carry a load only, to whichever entry, in
/// microseconds. What a gate tells then costs it the same with any number of entries;
/// each of five hears of what the others do there every 50 ms.
const LOAD_PACE_US: u64 = 10_000;
/// How long a gate waits for something else to tell an entry before it confirms its
/// start with the load alone, in microseconds; a worker answers a start within it.
const CONFIRM_US: u64 = 10_000;

/// An entry that has sent orders.
#[derive(Debug)]
pub(super) struct Owner {
    pub(super) session: Option<SessionId>,
    pub(super) heard_us: u64,
    /// Version of the configuration that it has.
    pub(super) config: u64,
    /// Last of its starts that arrived.
    seen: u64,
    /// When the first start came that no load has confirmed yet, if there is one.
    unconfirmed_us: Option<u64>,
    /// When it last had work here, in monotonic microseconds.
    busy_us: u64,
    /// When the load was last sent to it.
    load_us: u64,
    /// Whether the load has changed since.
    stale: bool,
}

impl Owner {
    fn new(now: Moment, session: SessionId) -> Owner {
        Owner {
            session: Some(session),
            heard_us: now.mono_us,
            config: 0,
            seen: 0,
            unconfirmed_us: None,
            busy_us: 0,
            load_us: 0,
            stale: true,
        }
    }
}

impl Gate {
    /// A message came on a session.
    pub fn message(&mut self, now: Moment, session: SessionId, message: ToGate) {
        if let ToGate::Hello {
            entry,
            config,
            open,
        } = message
        {
            self.hello(now, session, entry, config, open);
            return;
        }
        let Some(entry) = self.sessions.get(&session).cloned() else {
            debug!(self.log, "message without hello"; "session" => session.0);
            return;
        };
        match message {
            ToGate::Start(order) => {
                if let Some(owner) = self.owners.get_mut(&entry) {
                    owner.seen = order.number;
                    owner.unconfirmed_us.get_or_insert(now.mono_us);
                    owner.busy_us = now.mono_us;
                }
                self.admit(now, entry, *order);
            }
            ToGate::Stop { run } => self.stop(now, run, StopCause::Unwanted),
            ToGate::Losses(losses) => self.hear_losses(&entry, losses),
            ToGate::ConfigVersion(version) => self.entry_has_config(&entry, version),
            ToGate::WantConfig(wanted) => self.want_config(session, wanted),
            ToGate::ConfigPart { asker, part } => self.pass_config_part(asker, part),
            ToGate::Beat | ToGate::Hello { .. } => {}
        }
    }

    /// Something arrived on a session in good time.
    pub fn heard(&mut self, now: Moment, session: SessionId) {
        let entry = self.sessions.get(&session);
        if let Some(owner) = entry.and_then(|entry| self.owners.get_mut(entry)) {
            owner.heard_us = now.mono_us;
        }
    }

    fn hello(
        &mut self,
        now: Moment,
        session: SessionId,
        entry: ProcessId,
        config: u64,
        open: Vec<OpenRun>,
    ) {
        info!(self.log, "entry connected"; "entry" => &*entry.name,
            "incarnation" => entry.incarnation, "open_runs" => open.len());
        self.expire_earlier_lives(now, &entry);
        let owner = Owner::new(now, session);
        if let Some(before) = self.owners.insert(entry.clone(), owner)
            && let Some(old) = before.session
        {
            self.sessions.remove(&old);
            self.actions.push(GateAction::Close(old));
        }
        self.sessions.insert(session, entry.clone());
        self.entry_has_config(&entry, config);
        let message = ToEntry::Hello {
            gate: self.me.clone(),
            config: self.newest_config(),
        };
        self.tell(&entry, message);
        self.tell_known_losses(&entry);
        self.resume(now, &entry, &open);
        self.load_changed = true;
    }

    fn expire_earlier_lives(&mut self, now: Moment, entry: &ProcessId) {
        let earlier: Vec<ProcessId> = self
            .owners
            .keys()
            .filter(|owner| owner.name == entry.name && *owner != entry)
            .cloned()
            .collect();
        for owner in earlier {
            self.expire(now, &owner, "it started anew");
        }
    }

    /// Squares what the entry believes to be here with what is.
    fn resume(&mut self, now: Moment, entry: &ProcessId, open: &[OpenRun]) {
        let unwanted: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.owner == *entry)
            .map(|(run, _)| *run)
            .filter(|run| open.iter().all(|claimed| claimed.run != *run))
            .collect();
        for run in unwanted {
            self.stop(now, run, StopCause::Unwanted);
        }
        for claimed in open {
            self.claim(now, entry, claimed);
        }
    }

    fn claim(&mut self, now: Moment, entry: &ProcessId, claimed: &OpenRun) {
        let run = claimed.run;
        if let Some(record) = self.runs.get(&run) {
            if record.state == RunState::Running {
                self.tell(entry, ToEntry::Began { run });
            }
            return;
        }
        if let Some(past) = self.past_of(entry, run) {
            let message = past.report(run);
            self.tell(entry, message);
            return;
        }
        let listed = self.life.as_ref().is_some_and(|life| life.listed);
        let adopted = self.unclaimed.remove(&run).is_some();
        // An earlier life of this gate may have begun and even ended it.
        let began = claimed.sent_to != self.me.incarnation;
        if listed && !adopted && !began {
            // Ends are kept for longer than a session may be silent, and what is
            // still unread of an earlier connection is not acted on any more.
            info!(self.log, "claimed run never came"; "run" => %run, "entry" => &*entry.name);
            let end = RunEnd::NotRun(NotRunReason::Lost);
            self.tell(
                entry,
                ToEntry::Ended {
                    run,
                    end,
                    run_us: 0,
                },
            );
            return;
        }
        let state = match (listed, adopted) {
            (false, _) => RunState::Claimed { began },
            (true, true) => RunState::Running,
            (true, false) => RunState::Stopping {
                cause: StopCause::Unanswered,
                began,
                since_us: now.mono_us,
                asked_us: now.mono_us,
                acked_us: None,
            },
        };
        info!(self.log, "run claimed"; "run" => %run, "entry" => &*entry.name, "runs" => adopted);
        let record = Run {
            owner: entry.clone(),
            needs: claimed.needs,
            payload: "".into(),
            expected_us: claimed.expected_us,
            movable: false,
            implicated: false,
            leaves_headroom: false,
            since_us: now.mono_us,
            ordered_us: 0,
            state,
            listed: false,
            mark: None,
        };
        self.runs.insert(run, record);
        self.room.force(run, claimed.needs);
        match state {
            RunState::Running => self.tell(entry, ToEntry::Began { run }),
            RunState::Stopping { .. } => self.send_stop(run),
            _ => {}
        }
    }

    /// A session ended; its entry has until the silence limit to come back.
    pub fn session_closed(&mut self, session: SessionId) {
        let Some(entry) = self.sessions.remove(&session) else {
            return;
        };
        if let Some(owner) = self.owners.get_mut(&entry)
            && owner.session == Some(session)
        {
            info!(self.log, "entry disconnected"; "entry" => &*entry.name);
            owner.session = None;
        }
    }

    /// Whether an entry was heard within the silence limit.
    pub(super) fn is_heard(&self, now: Moment, entry: &ProcessId) -> bool {
        let silence_us = micros(self.limits.peer_timeout);
        let owner = self.owners.get(entry);
        owner.is_some_and(|owner| now.mono_us <= owner.heard_us + silence_us)
    }

    /// Whether an entry has runs here that nobody has stopped; it sends heartbeats at
    /// the pace of work then, and for a while afterwards.
    pub(super) fn has_live_runs(&self, entry: &ProcessId) -> bool {
        let mut runs = self.runs.values();
        runs.any(|run| run.owner == *entry && !matches!(run.state, RunState::Stopping { .. }))
    }

    /// Ends the runs of entries that have been silent for too long.
    pub(super) fn expire_owners(&mut self, now: Moment) {
        let idle_us = micros(self.limits.idle_peer_timeout);
        let silent: Vec<ProcessId> = self
            .owners
            .iter()
            .filter(|(entry, owner)| match self.has_live_runs(entry) {
                true => !self.is_heard(now, entry),
                false => now.mono_us > owner.heard_us + idle_us,
            })
            .map(|(entry, _)| entry.clone())
            .collect();
        for entry in silent {
            self.expire(now, &entry, "silent");
        }
    }

    fn expire(&mut self, now: Moment, entry: &ProcessId, why: &str) {
        let Some(owner) = self.owners.remove(entry) else {
            return;
        };
        let silent_ms = now.mono_us.saturating_sub(owner.heard_us) / 1_000;
        info!(self.log, "entry given up"; "entry" => &*entry.name, "why" => why,
            "silent_ms" => silent_ms);
        if let Some(session) = owner.session {
            self.sessions.remove(&session);
            self.actions.push(GateAction::Close(session));
        }
        let theirs: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(_, record)| record.owner == *entry)
            .map(|(run, _)| *run)
            .collect();
        for run in theirs {
            self.stop(now, run, StopCause::Unwanted);
        }
    }

    pub(super) fn tell(&mut self, entry: &ProcessId, message: ToEntry) {
        let session = self.owners.get(entry).and_then(|owner| owner.session);
        if let Some(session) = session {
            self.actions.push(GateAction::Send { session, message });
        }
    }

    /// Sends the load to entries: with whatever they are told anyway, to confirm a
    /// start, as a heartbeat, and in turn to those with work here as it changes.
    ///
    /// Sent to every entry at each change, loads were 74 of the 98 frames that went out for
    /// each task that began, with 55 entries and 240 gates in virtual time.
    pub(super) fn share_load(&mut self, now: Moment) {
        self.note_owners(now);
        let told: HashSet<SessionId> = self.actions.iter().filter_map(told_session).collect();
        let mut due: Vec<ProcessId> = Vec::new();
        for (entry, owner) in &self.owners {
            let with_others = owner.session.is_some_and(|session| told.contains(&session));
            if with_others && owner.stale || now.mono_us >= self.load_due_us(now, owner) {
                due.push(entry.clone());
            }
        }
        if due.is_empty() {
            due.extend(self.next_to_tell(now));
        }
        let load = self.load(now);
        for entry in due {
            self.send_load(now, &entry, &load);
        }
    }

    /// Notes who has work here and whose knowledge is old.
    fn note_owners(&mut self, now: Moment) {
        let changed = std::mem::take(&mut self.load_changed);
        let busy: HashSet<&ProcessId> = self.runs.values().map(|run| &run.owner).collect();
        for (entry, owner) in &mut self.owners {
            owner.stale |= changed;
            if busy.contains(entry) {
                owner.busy_us = now.mono_us;
            }
        }
    }

    fn is_busy(&self, now: Moment, owner: &Owner) -> bool {
        now.mono_us < owner.busy_us + micros(self.limits.linger)
    }

    /// When an entry is to be sent the load, to confirm its start or as a heartbeat, in
    /// monotonic microseconds.
    pub(super) fn load_due_us(&self, now: Moment, owner: &Owner) -> u64 {
        let beat = match self.is_busy(now, owner) {
            true => self.limits.heartbeat_interval,
            false => self.limits.idle_heartbeat_interval,
        };
        let beat_us = owner.load_us + micros(beat);
        let confirm_us = owner.unconfirmed_us.map(|came_us| came_us + CONFIRM_US);
        confirm_us.map_or(beat_us, |confirm_us| beat_us.min(confirm_us))
    }

    /// The entry with work here that has waited longest for news.
    fn next_to_tell(&mut self, now: Moment) -> Option<ProcessId> {
        if now.mono_us < self.load_sent_us + LOAD_PACE_US {
            return None;
        }
        let waiting = self.owners.iter().filter(|(_, owner)| {
            owner.stale && owner.session.is_some() && self.is_busy(now, owner)
        });
        let next = waiting.min_by_key(|(_, owner)| owner.load_us)?.0.clone();
        self.load_sent_us = now.mono_us;
        Some(next)
    }

    fn send_load(&mut self, now: Moment, entry: &ProcessId, load: &GateLoad) {
        let Some(owner) = self.owners.get_mut(entry) else {
            return;
        };
        owner.load_us = now.mono_us;
        owner.stale = false;
        owner.unconfirmed_us = None;
        let load = GateLoad {
            seen: owner.seen,
            ..load.clone()
        };
        self.tell(entry, ToEntry::Load(load));
    }
}

fn told_session(action: &GateAction) -> Option<SessionId> {
    match action {
        GateAction::Send { session, .. } => Some(*session),
        _ => None,
    }
}
