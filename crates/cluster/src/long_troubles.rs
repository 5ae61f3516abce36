//! Troubles of 5, 20 and 60 s: cuts of every direction, freezes, and disks that are stalled, slow or full.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;
use pewterseam_wire::random::Random;

use crate::event::Event;
use crate::faults::Fault;
use crate::plan::SECOND;
use crate::world::World;

const SPANS: [Micros; 3] = [5 * SECOND, 20 * SECOND, 60 * SECOND];
const MOST_TROUBLES: usize = 4;
/// Of ten troubles, so many strike two machines at once.
const AT_TWO: usize = 3;
/// Usual faults beside the long ones.
const MOST_USUAL_FAULTS: usize = 4;

/// Which machine is in trouble; it is chosen as the trouble begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    Leader,
    Core,
    PlainRelay,
    Store,
    Any,
}

/// What is the matter with a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    Isolated,
    CutInbound,
    CutOutbound,
    CutFromHosts,
    Frozen,
    StalledDisk,
    SlowDisk,
    FullDisk,
}

/// A trouble that begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Trouble {
    pub target: Target,
    pub harm: Harm,
    pub span: Micros,
}

impl Target {
    fn draw(random: &mut Random) -> Self {
        match random.below(6) {
            0 | 1 => Target::Leader,
            2 => Target::Core,
            3 => Target::PlainRelay,
            4 => Target::Store,
            _ => Target::Any,
        }
    }
}

impl Harm {
    fn draw(random: &mut Random) -> Self {
        match random.below(11) {
            0..3 => Harm::Isolated,
            3 => Harm::CutInbound,
            4 => Harm::CutOutbound,
            5 => Harm::CutFromHosts,
            6 | 7 => Harm::Frozen,
            8 => Harm::StalledDisk,
            9 => Harm::SlowDisk,
            _ => Harm::FullDisk,
        }
    }
}

impl World {
    /// Draws the long troubles of a run, and usual faults between them.
    pub(crate) fn draw_long_troubles(&mut self) {
        for _ in 0..1 + self.random.below(MOST_TROUBLES) {
            let span = SPANS[self.random.below(SPANS.len())];
            let room = (self.traffic_ends - self.traffic_begins) as usize;
            let at = self.traffic_begins + self.random.below(room) as Micros;
            let count = if self.random.below(10) < AT_TWO { 2 } else { 1 };
            let harm = Harm::draw(&mut self.random);
            for _ in 0..count {
                let target = Target::draw(&mut self.random);
                self.agenda.add(at, Event::Trouble(Trouble { target, harm, span }));
            }
        }
        let count = self.random.below(MOST_USUAL_FAULTS);
        self.draw_usual_faults(count);
    }

    /// Draws faults while operators make many changes: usual ones, and 5 s of trouble, most of them at the leader.
    pub(crate) fn draw_troubles_of_changes(&mut self) {
        let count = self.random.below(MOST_USUAL_FAULTS);
        self.draw_usual_faults(count);
        let room = (self.traffic_ends - self.traffic_begins) as usize;
        for _ in 0..self.random.below(MOST_TROUBLES) {
            let at = self.traffic_begins + self.random.below(room) as Micros;
            let target = Target::draw(&mut self.random);
            let trouble = Trouble { target, harm: Harm::draw(&mut self.random), span: SPANS[0] };
            self.agenda.add(at, Event::Trouble(trouble));
        }
    }

    /// A trouble begins.
    pub(crate) fn trouble(&mut self, trouble: Trouble) {
        let Some(machine) = self.choose(trouble.target) else { return };
        let span = trouble.span;
        self.fault(match trouble.harm {
            Harm::Isolated => Fault::Isolate { machine, span },
            Harm::CutInbound => Fault::CutInbound { machine, span },
            Harm::CutOutbound => Fault::CutOutbound { machine, span },
            Harm::CutFromHosts => Fault::CutFromHosts { machine, span },
            Harm::Frozen => Fault::Freeze { machine, span },
            Harm::StalledDisk => Fault::StallDisk { machine, span },
            Harm::SlowDisk => Fault::SlowDisk { machine, span },
            Harm::FullDisk => Fault::FillDisk { machine, span },
        });
    }

    fn choose(&mut self, target: Target) -> Option<usize> {
        let fits = |index: &usize| {
            let machine = &self.machines[*index];
            match target {
                Target::Leader => machine.is_leader(),
                Target::Core => machine.role == Role::Relay && machine.has_disk(),
                Target::PlainRelay => machine.role == Role::Relay && !machine.has_disk(),
                Target::Store => machine.role == Role::Store,
                Target::Any => true,
            }
        };
        let fitting: Vec<usize> = (0..self.machines.len()).filter(fits).collect();
        fitting.get(self.random.below(fitting.len())).copied()
    }
}
