//! Who lives: SWIM (Das, Gupta and Motivala 2002) by the crate `foca`, among the configured members only.
//!
//! An identity is a configured member, the incarnation of its process, and how often that process had to come back
//! because others took it for gone. The higher one wins, so that a restarted process replaces its former self at
//! whoever hears of it, and what is still said of the former self has no effect.
//!
//! Three things are added to `foca`. A member that is suspected is told so directly, several times over the time that
//! it has to object: at 30% loss one probe in five fails, and the word of it must not have to find its way by gossip.
//! And a suspicion whose timer comes late, because this process itself was stopped, gets half its time again: answers may
//! be waiting in the socket. Last, `foca` tells each change a bounded number of times, so that at 30% loss one of fifty
//! may miss an end until it probes that member itself, whole rounds later: once a period a member compares a digest of
//! all it knows with one random other, and is told some of it where that differs, the gone first. Ends of an identity are
//! final and newer identities win, so that this only ever brings two closer.
//!
//! How long until a gone member counts as gone at all others: someone probes it ([`Membership::probe_period`], once in
//! each on the mean whatever the fleet, since everyone probes somebody), [`Timing::suspect`] to object, and the gossip of
//! both, a few periods more with the logarithm of the fleet.

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

/// Where a member stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberState {
    /// Nothing was heard of it yet.
    Unknown,
    /// It answers.
    Alive,
    /// It did not answer somebody, and may still say that it lives.
    Suspect,
    /// It is gone.
    Gone,
}

/// Something that became known of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LivenessChange {
    /// Which one.
    pub member: MemberId,
    /// The incarnation of its process.
    pub incarnation: u64,
    /// Whether it lives.
    pub alive: bool,
}

/// A process of a configured member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
struct Id {
    member: MemberId,
    incarnation: u64,
    returns: u16,
}

impl Identity for Id {
    type Addr = MemberId;

    fn renew(&self) -> Option<Id> {
        // After 65,535 returns of one process it stays away until it is started again.
        self.returns.checked_add(1).map(|returns| Id { returns, ..*self })
    }

    fn addr(&self) -> MemberId {
        self.member
    }

    fn win_addr_conflict(&self, adversary: &Id) -> bool {
        self > adversary
    }
}

/// Reads and writes by `postcard`, and refuses who is not configured.
struct Configured {
    members: u16,
}

impl Configured {
    fn check(&self, id: &Id) -> Result<(), postcard::Error> {
        if id.member.0 < self.members && id.incarnation <= MAX_INCARNATION {
            return Ok(());
        }
        Err(postcard::Error::SerdeDeCustom)
    }
}

impl foca::Codec<Id> for Configured {
    type Error = postcard::Error;

    fn encode_header(&mut self, header: &Header<Id>, buf: impl bytes::BufMut) -> Result<(), postcard::Error> {
        foca::Codec::encode_header(&mut PostcardCodec, header, buf)
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<Id>, postcard::Error> {
        let header: Header<Id> = foca::Codec::decode_header(&mut PostcardCodec, buf)?;
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
        member: &foca::Member<Id>,
        buf: impl bytes::BufMut,
    ) -> Result<(), postcard::Error> {
        foca::Codec::encode_member(&mut PostcardCodec, member, buf)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<Id>, postcard::Error> {
        let member: foca::Member<Id> = foca::Codec::decode_member(&mut PostcardCodec, buf)?;
        self.check(member.id())?;
        Ok(member)
    }
}

/// A timer, by when it is due; `foca` wants those that are due together in an order of its own.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due {
    at: Millis,
    what: What,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum What {
    /// Tell a member that it is suspected, and so many times more.
    Tell(Id, u16, u8),
    Foca(Timer<Id>),
}

/// What `foca` wants done, until it has returned.
#[derive(Default)]
struct Wanted {
    now: Millis,
    send: Vec<(Id, Vec<u8>)>,
    timers: Vec<Due>,
    /// Who came, went (true, false), or is there as a new process, so that it must be asked how that stands.
    changes: Vec<(Id, Option<bool>)>,
}

impl foca::Runtime<Id> for Wanted {
    fn notify(&mut self, notification: Notification<'_, Id>) {
        match notification {
            Notification::MemberUp(id) => self.changes.push((*id, Some(true))),
            Notification::MemberDown(id) => self.changes.push((*id, Some(false))),
            Notification::Rename(_, id) => self.changes.push((*id, None)),
            _ => {}
        }
    }

    fn send_to(&mut self, to: Id, data: &[u8]) {
        self.send.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Id>, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.timers.push(Due { at: self.now.saturating_add(after), what: What::Foca(event) });
    }
}

/// How often a suspected member is told so, over the time that it has to object.
const TELLS: u8 = 8;

/// How many states of members are told at most where a digest differs: as many as fit one datagram at their
/// longest.
const STATES: usize = (MAX_PART_BYTES - 1) / 18;

/// How many unknown or gone members are announced to in a period.
const ANNOUNCED: usize = 2;

/// Who lives, as this member sees it.
pub struct Membership {
    foca: Foca<Id, Configured, Pcg64Mcg, foca::NoCustomBroadcast>,
    me: MemberId,
    timing: Timing,
    timers: BinaryHeap<Reverse<Due>>,
    wanted: Wanted,
    /// By member, the newest incarnation heard of and whether it lives.
    known: Vec<Option<(u64, bool)>>,
    living: Vec<MemberId>,
    rng: Pcg64Mcg,
}

impl std::fmt::Debug for Membership {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Membership").field("known", &self.known).finish_non_exhaustive()
    }
}

impl Membership {
    /// At a process that started now with this incarnation, which knows nobody yet.
    pub fn new(config: &Config, incarnation: u64, seed: u64) -> Membership {
        let members = u16::try_from(config.members.len()).unwrap_or(u16::MAX);
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let id = Id { member: config.me, incarnation, returns: 0 };
        let foca = Foca::new(
            id,
            Membership::settings(&config.timing, members),
            Pcg64Mcg::seed_from_u64(rng.random()),
            Configured { members },
        );
        let mut known = vec![None; usize::from(members)];
        if let Some(mine) = known.get_mut(usize::from(config.me.0)) {
            *mine = Some((incarnation, true));
        }
        Membership {
            foca,
            me: config.me,
            timing: config.timing.clone(),
            timers: BinaryHeap::new(),
            wanted: Wanted::default(),
            known,
            living: vec![config.me],
            rng,
        }
    }

    /// How often a member probes another, in milliseconds: each is probed once in this time on the mean.
    pub fn probe_period(timing: &Timing) -> Millis {
        timing.period.max(2) * 2
    }

    fn settings(timing: &Timing, members: u16) -> foca::Config {
        let doublings = u8::try_from(u16::BITS - members.leading_zeros()).unwrap_or(16);
        let period = Duration::from_millis(timing.period.max(2));
        let few = NonZeroUsize::MIN.saturating_add(2);
        foca::Config {
            probe_period: Duration::from_millis(Membership::probe_period(timing)),
            probe_rtt: period,
            num_indirect_probes: few,
            max_transmissions: NonZeroU8::MIN.saturating_add(3 + doublings),
            suspect_to_down_after: Duration::from_millis(timing.suspect.max(1)),
            // A member keeps its place, and a process that comes back does so as a new identity.
            remove_down_after: None,
            max_packet_size: NonZeroUsize::MIN.saturating_add(MAX_PART_BYTES - 1),
            notify_down_members: true,
            periodic_announce: None,
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(PeriodicParams { frequency: period, num_members: few }),
        }
    }

    /// The living, this member included, in their order.
    pub fn living(&self) -> &[MemberId] {
        &self.living
    }

    /// Whether a member lives.
    pub fn is_alive(&self, member: MemberId) -> bool {
        self.living.binary_search(&member).is_ok()
    }

    /// Where a member stands.
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

    /// The newest incarnation of a member that was heard of.
    pub fn incarnation(&self, member: MemberId) -> Option<u64> {
        self.known.get(usize::from(member.0)).copied().flatten().map(|(incarnation, _)| incarnation)
    }

    /// Takes in a packet that a member's process sent. False: it is malformed, or says that it is from somebody else.
    pub fn handle_packet(
        &mut self,
        now: Millis,
        from: MemberId,
        incarnation: u64,
        packet: &[u8],
        out: &mut Outbox,
    ) -> bool {
        let honest = postcard::take_from_bytes::<Header<Id>>(packet)
            .is_ok_and(|(header, _)| header.src.member == from && header.src.incarnation == incarnation);
        if !honest {
            return false;
        }
        self.wanted.now = now;
        let told = self.foca.handle_data(packet, &mut self.wanted);
        self.act(out);
        !matches!(
            told,
            Err(foca::Error::Decode(_)
                | foca::Error::DataTooBig
                | foca::Error::MalformedPacket
                | foca::Error::DataFromOurselves
                | foca::Error::IndirectForOurselves
                | foca::Error::CustomBroadcast(_))
        )
    }

    /// Takes in that a member suspects this one, told directly: this one objects, to that member at once and to others by
    /// gossip.
    pub fn handle_suspicion(&mut self, now: Millis, by: MemberId, body: &[u8], out: &mut Outbox) -> bool {
        let Ok((id, number)) = postcard::from_bytes::<(Id, u16)>(body) else { return false };
        if id == *self.foca.identity() {
            self.wanted.now = now;
            let suspicion = foca::Member::new(id, number, State::Suspect);
            // What it fails by is told by what it wants: nothing.
            let _ = self.foca.apply_many(std::iter::once(suspicion), false, &mut self.wanted);
            let _ = self.foca.announce(Id { member: by, incarnation: 0, returns: 0 }, &mut self.wanted);
            self.act(out);
        }
        true
    }

    /// Takes in the digest of all that a member knows of others: if it differs, that one is told some of what is known here.
    pub fn handle_digest(&mut self, from: MemberId, body: &[u8], out: &mut Outbox) -> bool {
        let Ok(theirs) = postcard::from_bytes::<u64>(body) else { return false };
        if theirs == self.digest() {
            return true;
        }
        let of_others = self.foca.iter_membership_state().filter(|known| known.id().member != from);
        let mut gone: Vec<&foca::Member<Id>> = Vec::new();
        let mut there: Vec<&foca::Member<Id>> = Vec::new();
        of_others.for_each(|known| match known.state() {
            State::Down => gone.push(known),
            _ => there.push(known),
        });
        let mut states = Vec::new();
        for all in [&mut gone, &mut there] {
            while !all.is_empty() && states.len() < STATES {
                states.push(all.swap_remove(self.rng.random_range(0..all.len())));
            }
        }
        if let Ok(body) = postcard::to_allocvec(&states) {
            out.push(from, PartKind::MEMBER_STATES, &body);
        }
        true
    }

    /// Takes in what another knows of members.
    pub fn handle_states(&mut self, now: Millis, body: &[u8], out: &mut Outbox) -> bool {
        let Ok(states) = postcard::from_bytes::<Vec<foca::Member<Id>>>(body) else { return false };
        let codec = Configured { members: u16::try_from(self.known.len()).unwrap_or(u16::MAX) };
        if states.len() > STATES || states.iter().any(|state| codec.check(state.id()).is_err()) {
            return false;
        }
        self.wanted.now = now;
        // What it fails by is told by what it wants: nothing.
        let _ = self.foca.apply_many(states.into_iter(), true, &mut self.wanted);
        self.act(out);
        true
    }

    /// Which identities are known, and which of them are gone.
    fn digest(&self) -> u64 {
        let mark = |id: &Id, gone: bool| {
            let mut hasher = fnv::FnvHasher::default();
            hasher.write_u16(id.member.0);
            hasher.write_u64(id.incarnation);
            hasher.write_u16(id.returns);
            hasher.write_u8(u8::from(gone));
            hasher.finish()
        };
        let others = self.foca.iter_membership_state();
        others.fold(mark(self.foca.identity(), false), |all, known| {
            all ^ mark(known.id(), known.state() == State::Down)
        })
    }

    /// Does what is due.
    pub fn run_timers(&mut self, now: Millis, out: &mut Outbox) {
        self.wanted.now = now;
        while let Some(Reverse(due)) = self.timers.peek() {
            if due.at > now {
                break;
            }
            let Some(Reverse(Due { at, what })) = self.timers.pop() else { break };
            match what {
                What::Tell(id, number, more) => self.tell(now, id, number, more, out),
                What::Foca(timer @ Timer::ChangeSuspectToDown { .. })
                    if now.saturating_sub(at) > self.timing.suspect / 4 =>
                {
                    let at = now.saturating_add(self.timing.suspect / 2);
                    self.timers.push(Reverse(Due { at, what: What::Foca(timer) }));
                }
                What::Foca(timer) => {
                    // Errors are about probes that this process was too late for; `foca` starts anew.
                    let _ = self.foca.handle_timer(timer, &mut self.wanted);
                    self.act(out);
                }
            }
        }
    }

    /// Announces this member to some who do not know it or are gone, once a period: whoever cannot be heard may be
    /// behind a cut that heals.
    pub fn on_period(&mut self, now: Millis, out: &mut Outbox) {
        self.wanted.now = now;
        let digest = postcard::to_allocvec(&self.digest()).unwrap_or_default();
        let place = self.rng.random_range(0..self.living.len().max(1));
        if let Some(&to) = self.living.get(place).filter(|to| **to != self.me) {
            out.push(to, PartKind::MEMBER_DIGEST, &digest);
        }
        let absent = self.known.len().saturating_sub(self.living.len());
        // One who is there is passed over: with most there, the few that are not are looked for.
        let mut others: Vec<u16> = Vec::new();
        if absent * 8 < self.known.len() {
            others.extend((0..self.known.len() as u16).filter(|&member| !self.is_alive(MemberId(member))));
        }
        for _ in 0..ANNOUNCED.min(absent) {
            let member = match others.len() {
                0 => self.rng.random_range(0..self.known.len() as u16),
                count => others.swap_remove(self.rng.random_range(0..count)),
            };
            if !self.is_alive(MemberId(member)) {
                let to = Id { member: MemberId(member), incarnation: 0, returns: 0 };
                let _ = self.foca.announce(to, &mut self.wanted);
            }
        }
        self.act(out);
    }

    /// When something is due next.
    pub fn next_timer(&self) -> Option<Millis> {
        self.timers.peek().map(|Reverse(due)| due.at)
    }

    /// What became known since the last time.
    pub fn take_changes(&mut self) -> Vec<LivenessChange> {
        let mut changes = Vec::new();
        for (id, alive) in std::mem::take(&mut self.wanted.changes) {
            let alive = alive.unwrap_or_else(|| self.state(id.member) != MemberState::Gone);
            let Some(known) = self.known.get_mut(usize::from(id.member.0)) else { continue };
            let change = (id.incarnation, alive);
            // What `foca` tells is in its order; of a process that is known to be replaced nothing is new.
            if *known == Some(change) || known.is_some_and(|(newest, _)| newest > id.incarnation) {
                continue;
            }
            *known = Some(change);
            match self.living.binary_search(&id.member) {
                Ok(place) if !alive => drop(self.living.remove(place)),
                Err(place) if alive => self.living.insert(place, id.member),
                _ => {}
            }
            changes.push(LivenessChange { member: id.member, incarnation: id.incarnation, alive });
        }
        changes
    }

    fn tell(&mut self, now: Millis, id: Id, number: u16, more: u8, out: &mut Outbox) {
        let still = self.foca.iter_membership_state().any(|known| {
            *known.id() == id && known.incarnation() == number && known.state() == State::Suspect
        });
        if !still {
            return;
        }
        if let Ok(body) = postcard::to_allocvec(&(id, number)) {
            out.push(id.member, PartKind::SUSPICION, &body);
        }
        if let Some(more) = more.checked_sub(1) {
            let at = now.saturating_add((self.timing.suspect / u64::from(TELLS)).max(1));
            self.timers.push(Reverse(Due { at, what: What::Tell(id, number, more) }));
        }
    }

    /// Does what `foca` wanted.
    fn act(&mut self, out: &mut Outbox) {
        for (to, packet) in self.wanted.send.drain(..) {
            if to.member != self.me {
                out.push(to.member, PartKind::MEMBERSHIP, &packet);
            }
        }
        for due in self.wanted.timers.drain(..) {
            if let What::Foca(Timer::ChangeSuspectToDown { member_id, incarnation, .. }) = &due.what {
                let tell = What::Tell(*member_id, *incarnation, TELLS - 1);
                self.timers.push(Reverse(Due { at: self.wanted.now, what: tell }));
            }
            self.timers.push(Reverse(due));
        }
    }
}
