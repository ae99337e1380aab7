//! Membership: which members are alive. It uses the protocol SWIM (Das, Gupta and Motivala 2002), implemented
//! by the crate `foca`, among the configured members only.
//!
//! An identity consists of a configured member, the incarnation of its process, and the number of times that
//! this process renewed its identity after others had declared it gone. The higher identity of a member wins.
//! A restarted process therefore replaces the earlier one at every member that hears of it, and messages
//! about the earlier one no longer have an effect.
//!
//! This module adds three things to `foca`:
//!
//! - A suspected member is notified directly, several times within the time that it has to refute the
//!   suspicion. At 30% packet loss one probe in five fails, and the suspicion should not depend on gossip to
//!   reach its subject.
//! - If the timer of a suspicion fires late because this process itself was suspended, the suspect gets half
//!   of the time again. Its answers may be waiting in the socket.
//! - `foca` sends each change a bounded number of times. At 30% packet loss, one member in fifty may miss
//!   that another is gone until it probes that member itself, whole rounds later. So once per period each
//!   member sends a digest of its member states to one random other member. If the digests differ, the
//!   receiver replies with some of its states, those of gone members first. This can only bring the two views
//!   closer, because the end of an identity is final and newer identities win.
//!
//! The time until all members consider a failed member gone has three parts. First, some member probes it: on
//! average one does in each [`Membership::probe_period`], whatever the size of the cluster, since every
//! member probes one other. Then it has [`Timing::suspect`] to refute the suspicion. Gossip of the suspicion
//! and of the end takes a few more periods, which grow with the logarithm of the cluster's size.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hash::Hasher;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Foca, Header, Identity, Notification, PeriodicParams, PostcardCodec, State, Timer};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};

use crate::api::{Config, MemberId, Millis, Timing};
use crate::wire::{MAX_INCARNATION, MAX_PART_BYTES, Outbox, PartKind};

/// The state of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing was received about the member yet.
    Unknown,
    /// The member answers.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member has failed or left.
    Gone,
}

/// A change of whether a member is alive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessChange {
    /// The member.
    pub member: MemberId,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether the member is alive.
    pub alive: bool,
}

/// The identity of a process of a configured member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct ProcessIdentity {
    member: MemberId,
    incarnation: u64,
    renewals: u16,
}

impl Identity for ProcessIdentity {
    type Addr = MemberId;

    fn renew(&self) -> Option<ProcessIdentity> {
        // A process that has renewed its identity 65,535 times stays gone until it is restarted.
        self.renewals.checked_add(1).map(|renewals| ProcessIdentity { renewals, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, adversary: &ProcessIdentity) -> bool {
        self > adversary
    }
}

/// Encodes and decodes by `postcard`, and rejects identities of members that are not configured.
struct MemberCodec {
    members: u16,
}

impl MemberCodec {
    /// Rejects unknown members and incarnations above the maximum.
    fn check(&self, id: &ProcessIdentity) -> Result<(), postcard::Error> {
        if id.member.0 < self.members && id.incarnation <= MAX_INCARNATION {
            return Ok(());
        }
        Err(postcard::Error::SerdeDeCustom)
    }
}

impl foca::Codec<ProcessIdentity> for MemberCodec {
    type Error = postcard::Error;

    fn encode_header(
        &mut self,
        header: &Header<ProcessIdentity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), postcard::Error> {
        foca::Codec::encode_header(&mut PostcardCodec, header, buf)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<ProcessIdentity>, postcard::Error> {
        let header: Header<ProcessIdentity> = foca::Codec::decode_header(&mut PostcardCodec, buf)?;
        self.check(&header.src)?;
        self.check(&header.dst)?;
        match &header.message {
            foca::Message::PingReq { target: id, .. }
            | foca::Message::IndirectAck { target: id, .. }
            | foca::Message::IndirectPing { origin: id, .. }
            | foca::Message::ForwardedAck { origin: id, .. } => self.check(id)?,
            _ => {}
        }
        Ok(header)
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<ProcessIdentity>,
        buf: impl bytes::BufMut,
    ) -> Result<(), postcard::Error> {
        foca::Codec::encode_member(&mut PostcardCodec, member, buf)
    }

    fn decode_member(
        &mut self,
        buf: impl bytes::Buf,
    ) -> Result<foca::Member<ProcessIdentity>, postcard::Error> {
        let member: foca::Member<ProcessIdentity> = foca::Codec::decode_member(&mut PostcardCodec, buf)?;
        self.check(member.id())?;
        Ok(member)
    }
}

/// A timer, ordered by its due time. `foca` requires its own order of timers that are due at the same time.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledTimer {
    at: Millis,
    kind: TimerKind,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum TimerKind {
    /// Notify a process that it is suspected: its identity, the number of the suspicion, and how many notices
    /// follow.
    NotifySuspect(ProcessIdentity, u16, u8),
    /// A timer of `foca`.
    Foca(Timer<ProcessIdentity>),
}

/// The actions that `foca` requests during a call, collected until the call returns.
#[derive(Default)]
struct PendingActions {
    now: Millis,
    send: Vec<(ProcessIdentity, Vec<u8>)>,
    timers: Vec<ScheduledTimer>,
    /// Processes that became alive (true) or gone (false). `None` stands for a process that replaced an
    /// earlier one of its member, whose state has to be looked up.
    changes: Vec<(ProcessIdentity, Option<bool>)>,
}

impl foca::Runtime<ProcessIdentity> for PendingActions {
    fn notify(&mut self, notification: Notification<'_, ProcessIdentity>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push((*id, Some(true))),
            Notification::MemberDown(id) => self.changes.push((*id, Some(false))),
            Notification::Rename(_, id) => self.changes.push((*id, None)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: ProcessIdentity, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<ProcessIdentity>, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.timers.push(ScheduledTimer { at: self.now.saturating_add(after), kind: TimerKind::Foca(event) });
    }
}

/// How many notices a suspected member gets within the time that it has to refute the suspicion.
const SUSPICION_NOTICES: u8 = 8;

/// The maximum number of member states in the reply to a differing digest. They fit one datagram at their
/// maximum encoded size of 18 bytes each.
const MAX_STATES: usize = (MAX_PART_BYTES - 1) / 18;

/// How many members that are not alive this one announces itself to per period.
const MAX_ANNOUNCEMENTS: usize = 2;

/// This member's view of which members are alive.
pub struct Membership {
    foca: Foca<ProcessIdentity, MemberCodec, Pcg64Mcg, foca::NoCustomBroadcast>,
    me: MemberId,
    timing: Timing,
    timers: BinaryHeap<Reverse<ScheduledTimer>>,
    pending: PendingActions,
    /// By member, the newest incarnation received and whether that process is alive.
    newest: Vec<Option<(u64, bool)>>,
    /// The members that are alive, sorted.
    living: Vec<MemberId>,
    rng: Pcg64Mcg,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").field("newest", &self.newest).finish_non_exhaustive()
    }
}

impl Membership {
    /// Creates the view of a process that starts with this incarnation and does not know any other member
    /// yet.
    pub fn new(config: &Config, incarnation: u64, seed: u64) -> Membership {
        let members = u16::try_from(config.members.len()).unwrap_or(u16::MAX);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let id = ProcessIdentity { member: config.me, incarnation, renewals: 0 };
        let foca = Foca::new(
            id,
            Membership::foca_config(&config.timing, members),
            Pcg64Mcg::seed_from_u64(rng.random()),
            MemberCodec { members },
        );
        let mut newest = vec![None; usize::from(members)];
        if let Some(own) = newest.get_mut(usize::from(config.me.0)) {
            *own = Some((incarnation, true));
        }
        Membership {
            foca,
            me: config.me,
            timing: config.timing.clone(),
            timers: BinaryHeap::new(),
            pending: PendingActions::default(),
            newest,
            living: vec![config.me],
            rng,
        }
    }

    /// Returns the interval between two probes by a member, in milliseconds. On average, each member is
    /// probed once per interval.
    pub fn probe_period(timing: &Timing) -> Millis {
        timing.period.max(2) * 2
    }

    fn foca_config(timing: &Timing, members: u16) -> foca::Config {
        let doublings = u8::try_from(u16::BITS - members.leading_zeros()).unwrap_or(16);
        let period = Duration::from_millis(timing.period.max(2));
        let three = NonZeroUsize::MIN.saturating_add(2);
        foca::Config {
            probe_period: Duration::from_millis(Membership::probe_period(timing)),
            probe_rtt: period,
            num_indirect_probes: three,
            max_transmissions: NonZeroU8::MIN.saturating_add(3 + doublings),
            suspect_to_down_after: Duration::from_millis(timing.suspect.max(1)),
            // The state of a gone process is kept. A process that comes back does so with a new identity.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::MIN.saturating_add(MAX_PART_BYTES - 1),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams { frequency: period, num_members: three }),
        }
    }

    /// Returns the members that are alive, including this one, sorted.
    pub fn living(&self) -> &[MemberId] {
        &self.living
    }

    /// Returns whether a member is alive.
    pub fn is_alive(&self, member: MemberId) -> bool {
        self.living.binary_search(&member).is_ok()
    }

    /// Returns the state of a member.
    pub fn state(&self, member: MemberId) -> MemberState {
        if member == self.me {
            return MemberState::Alive;
        }
        let state = self.foca.iter_membership_state().find(|known| known.id().member == member);
        match state.map(|known| known.state()) {
            None => MemberState::Unknown,
            Some(State::Alive) => MemberState::Alive,
            Some(State::Suspect) => MemberState::Suspect,
            Some(State::Down) => MemberState::Gone,
        }
    }

    /// Returns the newest known incarnation of a member.
    pub fn incarnation(&self, member: MemberId) -> Option<u64> {
        self.newest.get(usize::from(member.0)).copied().flatten().map(|(incarnation, _)| incarnation)
    }

    /// Handles a `foca` packet that a process sent. Returns false if the packet is malformed or names another
    /// sender.
    pub fn handle_packet(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        packet: &[u8],
        outbox: &mut Outbox,
    ) -> bool {
        let sender_matches = postcard::take_from_bytes::<Header<ProcessIdentity>>(packet)
            .is_ok_and(|(header, _)| header.src.member == from && header.src.incarnation == incarnation);
        if !sender_matches {
            return false;
        }
        self.pending.now = now;
        let result = self.foca.handle_data(packet, &mut self.pending);
        self.flush(outbox);
        !matches!(
            result,
            Err(foca::Error::Decode(_)
                | foca::Error::DataTooBig
                | foca::Error::MalformedPacket
                | foca::Error::DataFromOurselves
                | foca::Error::IndirectForOurselves
                | foca::Error::CustomBroadcast(_))
        )
    }

    /// Handles a notice that another member suspects this one. This member refutes the suspicion, both
    /// directly to that member and by gossip to others. Returns false if the notice is malformed.
    pub fn handle_suspicion(&mut self, now: Millis, by: MemberId, body: &[u8], outbox: &mut Outbox) -> bool {
        let Ok((id, number)) = postcard::from_bytes::<(ProcessIdentity, u16)>(body) else { return false };
        if id == *self.foca.identity() {
            self.pending.now = now;
            let suspicion = foca::Member::new(id, number, State::Suspect);
            // The result needs no handling: a call that fails requests no action.
            let _ = self.foca.apply_many(std::iter::once(suspicion), false, &mut self.pending);
            let _ = self
                .foca
                .announce(ProcessIdentity { member: by, incarnation: 0, renewals: 0 }, &mut self.pending);
            self.flush(outbox);
        }
        true
    }

    /// Handles the digest of another member's view. If it differs from the digest of this member's view, this
    /// member replies with some of its member states, those of gone members first. Returns false if the
    /// digest is malformed.
    pub fn handle_digest(&mut self, from: MemberId, body: &[u8], outbox: &mut Outbox) -> bool {
        let Ok(theirs) = postcard::from_bytes::<u64>(body) else { return false };
        if theirs == self.digest() {
            return true;
        }
        let others = self.foca.iter_membership_state().filter(|known| known.id().member != from);
        let mut gone: Vec<&foca::Member<ProcessIdentity>> = Vec::new();
        let mut present: Vec<&foca::Member<ProcessIdentity>> = Vec::new();
        others.for_each(|known| match known.state() {
            State::Down => gone.push(known),
            _ => present.push(known),
        });
        let mut states = Vec::new();
        for candidates in [&mut gone, &mut present] {
            while !candidates.is_empty() && states.len() < MAX_STATES {
                states.push(candidates.swap_remove(self.rng.random_range(0..candidates.len())));
            }
        }
        if let Ok(body) = postcard::to_allocvec(&states) {
            outbox.push(from, PartKind::MEMBER_STATES, &body);
        }
        true
    }

    /// Handles member states that another member sent. Returns false if they are malformed or too many.
    pub fn handle_states(&mut self, now: Millis, body: &[u8], outbox: &mut Outbox) -> bool {
        let Ok(states) = postcard::from_bytes::<Vec<foca::Member<ProcessIdentity>>>(body) else {
            return false;
        };
        let codec = MemberCodec { members: u16::try_from(self.newest.len()).unwrap_or(u16::MAX) };
        if states.len() > MAX_STATES || states.iter().any(|state| codec.check(state.id()).is_err()) {
            return false;
        }
        self.pending.now = now;
        // The result needs no handling: a call that fails requests no action.
        let _ = self.foca.apply_many(states.into_iter(), true, &mut self.pending);
        self.flush(outbox);
        true
    }

    /// Returns a digest of the known identities and of which of them are gone. It does not depend on their
    /// order.
    fn digest(&self) -> u64 {
        let hash = |id: &ProcessIdentity, gone: bool| {
            let mut hasher = fnv::FnvHasher::default();
            hasher.write_u16(id.member.0);
            hasher.write_u64(id.incarnation);
            hasher.write_u16(id.renewals);
            hasher.write_u8(u8::from(gone));
            hasher.finish()
        };
        let others = self.foca.iter_membership_state();
        others.fold(hash(self.foca.identity(), false), |all, known| {
            all ^ hash(known.id(), known.state() == State::Down)
        })
    }

    /// Runs the timers that are due.
    pub fn run_timers(&mut self, now: Millis, outbox: &mut Outbox) {
        self.pending.now = now;
        while let Some(Reverse(due)) = self.timers.peek() {
            if due.at > now {
                break;
            }
            let Some(Reverse(ScheduledTimer { at, kind })) = self.timers.pop() else { break };
            match kind {
                TimerKind::NotifySuspect(id, number, remaining) => {
                    self.notify_suspect(now, id, number, remaining, outbox)
                }
                TimerKind::Foca(timer @ Timer::ChangeSuspectToDown { .. })
                    if now.saturating_sub(at) > self.timing.suspect / 4 =>
                {
                    let at = now.saturating_add(self.timing.suspect / 2);
                    self.timers.push(Reverse(ScheduledTimer { at, kind: TimerKind::Foca(timer) }));
                }
                TimerKind::Foca(timer) => {
                    // Errors concern probes that this process is too late to complete. `foca` starts a new
                    // probe.
                    let _ = self.foca.handle_timer(timer, &mut self.pending);
                    self.flush(outbox);
                }
            }
        }
    }

    /// Does the periodic work: sends the digest to a random living member, and announces this member to some
    /// members that are unknown or gone, because they may only have been separated by a network partition
    /// that has healed.
    pub fn on_period(&mut self, now: Millis, outbox: &mut Outbox) {
        self.pending.now = now;
        let digest = postcard::to_allocvec(&self.digest()).unwrap_or_default();
        let index = self.rng.random_range(0..self.living.len().max(1));
        if let Some(&to) = self.living.get(index).filter(|to| **to != self.me) {
            outbox.push(to, PartKind::MEMBER_DIGEST, &digest);
        }
        let absent = self.newest.len().saturating_sub(self.living.len());
        // A random pick that is alive is skipped. If most members are alive, the picks are made from the
        // absent ones only, so that they are not nearly all skipped.
        let mut absent_members: Vec<u16> = Vec::new();
        if absent * 8 < self.newest.len() {
            absent_members
                .extend((0..self.newest.len() as u16).filter(|&member| !self.is_alive(MemberId(member))));
        }
        for _ in 0..MAX_ANNOUNCEMENTS.min(absent) {
            let member = match absent_members.len() {
                0 => self.rng.random_range(0..self.newest.len() as u16),
                count => absent_members.swap_remove(self.rng.random_range(0..count)),
            };
            if !self.is_alive(MemberId(member)) {
                let to = ProcessIdentity { member: MemberId(member), incarnation: 0, renewals: 0 };
                let _ = self.foca.announce(to, &mut self.pending);
            }
        }
        self.flush(outbox);
    }

    /// Returns when the next timer is due.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse(due)| due.at)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        for (id, alive) in std::mem::take(&mut self.pending.changes) {
            let alive = alive.unwrap_or_else(|| self.state(id.member) != MemberState::Gone);
            let Some(newest) = self.newest.get_mut(usize::from(id.member.0)) else { continue };
            let change = (id.incarnation, alive);
            // The changes are in the order of `foca`'s notifications. A change of a process that is known to be
            // replaced is outdated.
            if *newest == Some(change) || newest.is_some_and(|(incarnation, _)| incarnation > id.incarnation)
            {
                continue;
            }
            *newest = Some(change);
            match self.living.binary_search(&id.member) {
                Ok(index) if !alive => drop(self.living.remove(index)),
                Err(index) if alive => self.living.insert(index, id.member),
                _ => {}
            }
            changes.push(LivenessChange { member: id.member, incarnation: id.incarnation, alive });
        }
        changes
    }

    /// Notifies a process that it is suspected, if it still is, and schedules the next notice.
    fn notify_suspect(
        &mut self,
        now: Millis,
        id: ProcessIdentity,
        number: u16,
        remaining: u8,
        outbox: &mut Outbox,
    ) {
        let still_suspected = self.foca.iter_membership_state().any(|known| {
            *known.id() == id && known.incarnation() == number && known.state() == State::Suspect
        });
        if !still_suspected {
            return;
        }
        if let Ok(body) = postcard::to_allocvec(&(id, number)) {
            outbox.push(id.member, PartKind::SUSPICION, &body);
        }
        if let Some(remaining) = remaining.checked_sub(1) {
            let at = now.saturating_add((self.timing.suspect / u64::from(SUSPICION_NOTICES)).max(1));
            self.timers
                .push(Reverse(ScheduledTimer { at, kind: TimerKind::NotifySuspect(id, number, remaining) }));
        }
    }

    /// Carries out the actions that `foca` requested.
    fn flush(&mut self, outbox: &mut Outbox) {
        for (to, packet) in self.pending.send.drain(..) {
            if to.member != self.me {
                outbox.push(to.member, PartKind::MEMBERSHIP, &packet);
            }
        }
        for due in self.pending.timers.drain(..) {
            if let TimerKind::Foca(Timer::ChangeSuspectToDown { member_id, incarnation, .. }) = &due.kind {
                let notice = TimerKind::NotifySuspect(*member_id, *incarnation, SUSPICION_NOTICES - 1);
                self.timers.push(Reverse(ScheduledTimer { at: self.pending.now, kind: notice }));
            }
            self.timers.push(Reverse(due));
        }
    }
}
