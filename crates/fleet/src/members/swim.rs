//! `foca`'s machine with its timers, and the doubt that stretches them.

use std::collections::BTreeMap;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use foca::{Config, Foca, NoCustomBroadcast, PostcardCodec, State, Timer};
use rand_pcg::Pcg64Mcg;

use super::doubt::Doubt;
use super::out::Out;
use crate::envelope::MOST_BODY_BYTES;
use crate::identity::Identity;
use crate::interface::{MemberId, Micros, Times};

/// How long a dead identity is remembered, so that old news of it do not wake it.
const REMEMBER: Duration = Duration::from_secs(3600);
/// How many others are asked to try a member that did not answer, and how many are gossiped to.
const OTHERS: NonZeroUsize = NonZeroUsize::new(3).unwrap();
/// An update is passed on so often, times the logarithm of the fleet's size.
const TRANSMISSIONS: f64 = 5.0;
/// A timer that is heeded so late says that the process was stalled.
const STALL: Micros = 400_000;

type Machine = Foca<Identity, PostcardCodec, Pcg64Mcg, NoCustomBroadcast>;

/// The gossip of one member.
pub struct Swim {
    foca: Machine,
    times: Times,
    doubt: Doubt,
    /// What is to be given back to `foca` when; the number keeps the order of those of one time.
    timers: BTreeMap<(Micros, u64), Timer<Identity>>,
    numbered: u64,
    told: Option<(Identity, u16)>,
    /// Errors of the library: bytes that are sealed rightly and make no sense to it.
    pub confused: u64,
    /// Stalls of this process that were noticed.
    pub stalls: u64,
}

impl Swim {
    pub fn new(identity: Identity, peers: u16, times: Times, rng: Pcg64Mcg) -> Self {
        let size = f64::from(peers.max(1));
        let transmissions = ((size + 1.0).log10() * TRANSMISSIONS).ceil().clamp(1.0, 255.0) as u8;
        let suspicion = times.suspicion as f64 * size.log10().max(1.0);
        let config = Config {
            probe_period: Duration::from_micros(times.probe),
            probe_rtt: Duration::from_micros(times.answer),
            num_indirect_probes: OTHERS,
            max_transmissions: NonZeroU8::new(transmissions).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_micros(suspicion as u64),
            remove_down_after: REMEMBER,
            max_packet_size: NonZeroUsize::new(MOST_BODY_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: Some(foca::PeriodicParams {
                frequency: Duration::from_micros(times.probe * 20),
                num_members: NonZeroUsize::MIN,
            }),
            // The places are known, and those that are not heard of are tried by whoever drives this.
            periodic_announce_to_down_members: None,
            periodic_gossip: Some(foca::PeriodicParams {
                frequency: Duration::from_micros(times.gossip),
                num_members: OTHERS,
            }),
        };
        let foca = Foca::new(identity, config, rng, PostcardCodec);
        let timers = BTreeMap::new();
        let doubt = Doubt::default();
        Swim { foca, times, doubt, timers, numbered: 0, told: None, confused: 0, stalls: 0 }
    }

    pub fn identity(&self) -> Identity {
        *self.foca.identity()
    }

    pub fn doubt(&self) -> u8 {
        self.doubt.level()
    }

    /// Whether it is more likely that this member does not hear than that the others are silent.
    pub fn deaf(&self, now: Micros) -> bool {
        self.doubt.deaf(now, self.times.probe)
    }

    /// All that were heard of: who, whether dead, whether suspected.
    pub fn states(&self) -> impl Iterator<Item = (Identity, State)> {
        self.foca.iter_membership_state().map(|member| (*member.id(), member.state()))
    }

    pub fn state_of(&self, place: MemberId) -> Option<(Identity, State)> {
        self.states().find(|(identity, _)| identity.place == place)
    }

    /// When [`Swim::on_time`] is wanted.
    pub fn wake(&self) -> Option<Micros> {
        self.timers.first_key_value().map(|((at, _), _)| *at)
    }

    /// A gossip message of a member came in.
    pub fn on_message(&mut self, now: Micros, bytes: &[u8]) -> Out {
        self.doubt.heard(now);
        let mut out = Out::default();
        let result = self.foca.handle_data(bytes, &mut out);
        self.confused += u64::from(result.is_err());
        self.settle(now, out)
    }

    /// All timers that are due.
    pub fn on_time(&mut self, now: Micros) -> Out {
        if let Some(due) = self.wake().filter(|due| now > due + STALL) {
            self.after_stall(now, now - due);
        }
        let mut all = Out::default();
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            let mut out = Out::default();
            if matches!(timer, Timer::ChangeSuspectToDown { .. }) && self.deaf(now) {
                // Danger: a member that hears nothing would declare one after the other dead.
                out.schedule.push((Duration::from_micros(self.times.probe), timer));
            } else {
                self.confused += u64::from(self.foca.handle_timer(timer, &mut out).is_err());
            }
            all.add(self.settle(now, out));
        }
        all
    }

    /// Whom this member suspects, and what each has to refute.
    pub fn suspects(&self) -> impl Iterator<Item = (Identity, u16)> {
        self.timers.values().filter_map(|timer| match timer {
            Timer::ChangeSuspectToDown { member_id, incarnation, .. } => Some((*member_id, *incarnation)),
            _ => None,
        })
    }

    /// Another member says that it suspects this one: refutes it, to it first.
    pub fn on_suspected(&mut self, now: Micros, by: MemberId, round: Identity, refutation: u16) -> Out {
        let mut out = Out::default();
        if round == self.identity() {
            let suspicion = std::iter::once(foca::Member::new(round, refutation, State::Suspect));
            self.confused += u64::from(self.foca.apply_many(suspicion, false, &mut out).is_err());
        }
        // Whoever suspects an earlier round learns of this one by any word of it.
        let _ = self.foca.announce(Identity::new(by, 0), &mut out);
        self.settle(now, out)
    }

    /// Tells a place that this member is there and asks who else is.
    pub fn announce(&mut self, now: Micros, place: MemberId) -> Out {
        let mut out = Out::default();
        let _ = self.foca.announce(Identity::new(place, 0), &mut out);
        self.settle(now, out)
    }

    /// Goes on as a later process: the place was known with a higher incarnation.
    pub fn raise(&mut self, now: Micros, incarnation: u32) -> Out {
        let identity = Identity::new(self.identity().place, incarnation);
        let mut out = Out::default();
        if self.foca.change_identity(identity, &mut out).is_ok() {
            out.renewed = Some(identity);
        }
        self.settle(now, out)
    }

    /// Says that this member goes. Nothing else is to be done with it then.
    pub fn leave(&mut self, now: Micros) -> Out {
        let identity = self.identity().leaving();
        let mut out = Out::default();
        if self.foca.change_identity(identity, &mut out).is_ok() {
            out.renewed = Some(identity);
            let _ = self.foca.leave_cluster(&mut out);
        }
        self.settle(now, out)
    }

    /// Takes what a step gave: sets its timers, stretched by the doubt.
    fn settle(&mut self, now: Micros, mut out: Out) -> Out {
        for _ in 0..out.answered_probes {
            self.doubt.answered();
        }
        for _ in 0..out.failed_probes {
            self.doubt.unanswered(now, self.times.probe);
        }
        if let Some(told) = out.told {
            if self.told.is_some_and(|(identity, round)| identity == told.0 && round < told.1) {
                self.doubt.suspected();
            }
            self.told = Some(told);
        }
        for (after, timer) in out.schedule.drain(..) {
            let after = after.as_micros() as Micros;
            let after = match timer {
                Timer::ProbeRandomMember(_)
                | Timer::SendIndirectProbe { .. }
                | Timer::ChangeSuspectToDown { .. } => self.doubt.stretch(after),
                _ => after,
            };
            self.numbered += 1;
            self.timers.insert((now + after, self.numbered), timer);
        }
        out
    }

    /// Danger: answers that came during the stall are still unread, so that probes would fail and
    /// suspicions end for no other reason than that this process did not run. All that is waited for is
    /// waited for so much longer.
    fn after_stall(&mut self, now: Micros, late: Micros) {
        self.stalls += 1;
        self.doubt.stalled(late, self.times.probe);
        self.doubt.heard(now);
        let timers = std::mem::take(&mut self.timers);
        self.timers = timers.into_iter().map(|((at, number), timer)| ((at + late, number), timer)).collect();
    }
}
