//! Faults at random times, and the return of everything at the end of the traffic.

use pewterseam_wire::Micros;
use pewterseam_wire::identity::Role;

use crate::disk::Ending;
use crate::event::{Event, Input, Life};
use crate::plan::{MILLISECOND, SECOND, Scenario};
use crate::world::World;

const MOST_FAULTS: usize = 7;
/// How long disks are slow before some losses of power.
const SLOW_BEFORE: Micros = SECOND;
const MOST_CLOCK_STEP_MS: usize = 20_000;

/// Machines by their bits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineSet(pub u64);

impl MachineSet {
    /// The machines of it, of so many that there are.
    pub fn of(self, count: usize) -> impl Iterator<Item = usize> {
        (0..count).filter(move |machine| self.0 >> machine & 1 == 1)
    }
}

/// Trouble, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    Kill {
        machine: usize,
    },
    LosePower {
        machine: usize,
    },
    LosePowerEverywhere,
    /// All disks, for as long as they may be slow before a loss of power.
    SlowDisks,
    /// The process ends and the disk is replaced by an empty one.
    LoseDisk {
        machine: usize,
    },
    Start {
        machine: usize,
    },
    /// SIGTERM.
    Stop {
        machine: usize,
    },
    Freeze {
        machine: usize,
        span: Micros,
    },
    /// Nothing goes from one machine to another.
    CutOneWay {
        from: usize,
        to: usize,
        span: Micros,
    },
    /// Nothing goes between a machine and all others.
    Isolate {
        machine: usize,
        span: Micros,
    },
    /// Nothing comes to a machine from the others; what it sends arrives.
    CutInbound {
        machine: usize,
        span: Micros,
    },
    /// Nothing goes from a machine to the others; what they send arrives.
    CutOutbound {
        machine: usize,
        span: Micros,
    },
    /// Nothing goes between a relay and the hosts, either way.
    CutFromHosts {
        machine: usize,
        span: Micros,
    },
    /// The processes of several machines end at one moment.
    KillMany(MachineSet),
    LosePowerOfMany(MachineSet),
    ResetConnections {
        machine: usize,
    },
    SlowDisk {
        machine: usize,
        span: Micros,
    },
    StallDisk {
        machine: usize,
        span: Micros,
    },
    /// The disk has no room left for a while.
    FillDisk {
        machine: usize,
        span: Micros,
    },
    /// There is room on the disk again.
    FreeDisk {
        machine: usize,
    },
    FailSyncs {
        machine: usize,
    },
    StepClock {
        machine: usize,
        by: i64,
    },
    LoseDatagrams {
        span: Micros,
    },
}

impl Fault {
    /// Planned work counts as no trouble.
    fn is_planned(self) -> bool {
        matches!(self, Fault::Stop { .. } | Fault::Start { .. } | Fault::FreeDisk { .. })
    }
}

impl World {
    /// Draws the faults of this run, all within the traffic.
    pub(crate) fn draw_faults(&mut self) {
        match self.plan.scenario {
            Scenario::Usual | Scenario::GarblingHosts | Scenario::SecondAnswers | Scenario::ChangingHosts => {
                let count = self.random.below(MOST_FAULTS + 1);
                self.draw_usual_faults(count);
            }
            Scenario::ManyChanges | Scenario::ChangingRoutes | Scenario::OutagesAndChanges => {
                self.draw_troubles_of_changes();
            }
            Scenario::LongDays => self.draw_faults_of_a_long_day(),
            Scenario::ScaleIn => self.draw_scaling(),
            Scenario::LongTroubles => self.draw_long_troubles(),
            Scenario::OverlappingFaults => self.draw_overlapping_faults(),
        }
    }

    /// Draws so many faults of a few kinds.
    pub(crate) fn draw_usual_faults(&mut self, count: usize) {
        let kinds = self.random.draw();
        let mut may_lose_disk = true;
        for _ in 0..count {
            let span_of_traffic = (self.traffic_ends - self.traffic_begins) as usize;
            let at = self.traffic_begins + self.random.below(span_of_traffic) as Micros;
            let Some(fault) = self.draw_fault(kinds) else { continue };
            if matches!(fault, Fault::LoseDisk { .. }) && !std::mem::take(&mut may_lose_disk) {
                continue;
            }
            if fault == Fault::LosePowerEverywhere && self.random.below(2) == 0 {
                self.agenda.add(at.saturating_sub(SLOW_BEFORE), Event::Fault(Fault::SlowDisks));
            }
            self.agenda.add(at, Event::Fault(fault));
        }
    }

    /// One of the kinds of this run.
    fn draw_fault(&mut self, kinds: u64) -> Option<Fault> {
        let machine = self.random.below(self.machines.len());
        let other = self.random.below(self.machines.len());
        let span = (100 + self.random.below(3_500) as Micros) * MILLISECOND;
        let kind = self.random.below(16);
        if kinds >> kind & 1 == 0 {
            return None;
        }
        let is_relay = self.machines[machine].role == Role::Relay;
        Some(match kind {
            0 | 1 => Fault::Kill { machine },
            2 => Fault::LosePower { machine },
            3 => Fault::LosePowerEverywhere,
            4 if !is_relay => Fault::LoseDisk { machine },
            4 | 5 => Fault::Stop { machine },
            6 => Fault::Freeze { machine, span },
            7 => Fault::CutOneWay { from: machine, to: other, span },
            8 => Fault::Isolate { machine, span },
            9 => Fault::ResetConnections { machine },
            10 => Fault::SlowDisk { machine, span },
            11 => Fault::StallDisk { machine, span },
            12 if self.plan.syncs_fail => Fault::FailSyncs { machine },
            12 => return None,
            13 => {
                let by = self.random.below(2 * MOST_CLOCK_STEP_MS) as i64 - MOST_CLOCK_STEP_MS as i64;
                Fault::StepClock { machine, by: by * MILLISECOND as i64 }
            }
            14 => Fault::LoseDatagrams { span },
            _ => Fault::Stop { machine: self.random.below(5) },
        })
    }

    pub(crate) fn fault(&mut self, fault: Fault) {
        self.judge.fault(self.now, &fault);
        self.book_disturbance(fault);
        if !fault.is_planned() {
            self.judge.trouble(self.now, self.now);
        }
        match fault {
            Fault::Kill { machine } => self.end_process(machine, Ending::Process, false),
            Fault::LosePower { machine } => self.end_process(machine, Ending::Power, false),
            Fault::LosePowerEverywhere => {
                for machine in 0..self.machines.len() {
                    self.end_process(machine, Ending::Power, false);
                }
            }
            Fault::KillMany(machines) => self.end_many(machines, Ending::Process),
            Fault::LosePowerOfMany(machines) => self.end_many(machines, Ending::Power),
            Fault::LoseDisk { .. } if !self.may_lose_disk() => {}
            Fault::LoseDisk { machine } => {
                self.disk_lost();
                self.end_process(machine, Ending::Power, false);
                self.machines[machine].lose_disk();
            }
            Fault::Start { machine } => self.start_process(machine),
            Fault::Stop { machine } => self.stop(machine),
            Fault::Freeze { machine, span } => {
                let until = (self.now + span).min(self.traffic_ends);
                self.machines[machine].frozen_until = until;
                self.judge.trouble(self.now, until);
            }
            Fault::CutOneWay { from, to, span } => self.cut(from, to, span),
            Fault::Isolate { machine, span } => {
                for other in 0..self.machines.len() {
                    self.cut(machine, other, span);
                    self.cut(other, machine, span);
                }
            }
            Fault::CutInbound { machine, span } => {
                (0..self.machines.len()).for_each(|other| self.cut(other, machine, span));
            }
            Fault::CutOutbound { machine, span } => {
                (0..self.machines.len()).for_each(|other| self.cut(machine, other, span));
            }
            Fault::CutFromHosts { machine, span } => {
                let until = (self.now + span).min(self.traffic_ends);
                self.machines[machine].cut_from_hosts_until = until;
                self.judge.trouble(self.now, until);
            }
            Fault::ResetConnections { machine } => self.reset(machine),
            Fault::SlowDisk { machine, span } => {
                let until = self.now + span;
                self.machines[machine].slow_until = until;
                self.judge.trouble(self.now, until);
            }
            Fault::SlowDisks => {
                let until = self.now + SLOW_BEFORE;
                self.machines.iter_mut().for_each(|machine| machine.slow_until = until);
                self.judge.trouble(self.now, until);
            }
            Fault::StallDisk { machine, span } => {
                let until = (self.now + span).min(self.traffic_ends);
                self.machines[machine].stalled_until = until;
                self.judge.trouble(self.now, until);
            }
            Fault::FillDisk { machine, span } => self.fill_disk(machine, span),
            Fault::FreeDisk { machine } => self.machines[machine].limit_disk(false),
            Fault::FailSyncs { machine } if self.machines[machine].process.is_none() => {}
            Fault::FailSyncs { machine } => {
                self.machines[machine].control_log.fail_syncs(1);
                self.machines[machine].message_log.fail_syncs(1);
            }
            Fault::StepClock { machine, by } => self.machines[machine].clock_error += by,
            Fault::LoseDatagrams { span } => {
                self.network.lossy_until = self.now + span;
                self.judge.trouble(self.now, self.now + span);
            }
        }
    }

    /// What the judge must know of a fault to tell who is in touch. Cuts, starts and ends are told where they happen.
    fn book_disturbance(&mut self, fault: Fault) {
        let (now, touch) = (self.now, &mut self.judge.touch);
        match fault {
            Fault::Stop { machine }
            | Fault::ResetConnections { machine }
            | Fault::FailSyncs { machine }
            | Fault::FreeDisk { machine }
            | Fault::StepClock { machine, .. } => touch.disturbed(machine, now, now),
            Fault::Freeze { machine, span }
            | Fault::SlowDisk { machine, span }
            | Fault::StallDisk { machine, span }
            | Fault::FillDisk { machine, span } => touch.disturbed(machine, now, now + span),
            Fault::SlowDisks => {
                let all = 0..self.machines.len();
                all.for_each(|machine| touch.disturbed(machine, now, now + SLOW_BEFORE));
            }
            Fault::CutFromHosts { machine, span } => touch.cut_from_hosts(machine, now, now + span),
            Fault::LoseDatagrams { span } => touch.links_lose(now, now + span),
            _ => {}
        }
    }

    fn end_many(&mut self, machines: MachineSet, ending: Ending) {
        for machine in machines.of(self.machines.len()) {
            self.end_process(machine, ending, false);
        }
    }

    fn fill_disk(&mut self, machine: usize, span: Micros) {
        let until = (self.now + span).min(self.traffic_ends);
        self.machines[machine].limit_disk(true);
        self.machines[machine].full_until = until;
        self.judge.trouble(self.now, until);
        self.agenda.add(until, Event::Fault(Fault::FreeDisk { machine }));
    }

    fn cut(&mut self, from: usize, to: usize, span: Micros) {
        let until = (self.now + span).min(self.traffic_ends);
        self.network.cut(from, to, until);
        self.judge.touch.cut((from, to), self.now, until);
        self.judge.trouble(self.now, until);
    }

    /// Whether this machine and another one cannot reach each other.
    pub(crate) fn is_cut_off(&self, machine: usize) -> bool {
        let is_cut = |other: &usize| self.network.cut_until(self.now, machine, *other).is_some();
        (0..self.machines.len()).filter(is_cut).count() > 2
    }

    fn stop(&mut self, machine: usize) {
        let life = self.life(machine);
        self.agenda.add(self.now, Event::Process(life, Input::Stop));
        // What has not ended by itself is killed.
        let grace = 6 * SECOND;
        if self.machines[machine].process.is_some() {
            self.agenda.add(self.now + grace, Event::Fault(Fault::Start { machine }));
        }
    }

    /// Ends a process, and starts it again after a while.
    pub(crate) fn end_process(&mut self, machine: usize, ending: Ending, is_planned: bool) {
        if self.machines[machine].process.is_none() {
            return;
        }
        let life = self.life(machine);
        self.machines[machine].end(ending, &mut self.random);
        self.judge.touch.process_ends(self.now, machine);
        self.end_calls(life);
        self.close_connections(life, ending);
        let pause = (50 + self.random.below(3_000) as Micros) * MILLISECOND;
        let at = (self.now + pause).min(self.traffic_ends.max(self.now));
        if !is_planned {
            self.judge.trouble(self.now, at);
            self.judge.process_dies(self.now, life);
        }
        self.agenda.add(at, Event::Fault(Fault::Start { machine }));
    }

    pub(crate) fn start_process(&mut self, machine: usize) {
        if self.machines[machine].process.is_some() || !self.machines[machine].is_present {
            return;
        }
        if self.machines[machine].full_until > self.now {
            self.agenda.add(self.machines[machine].full_until, Event::Fault(Fault::Start { machine }));
            return;
        }
        let (seeds, seed) = (self.seeds.clone(), self.random.draw());
        let is_first = self.now < self.traffic_begins && self.machines[machine].life == 0;
        self.judge.touch.process_begins(self.now, machine);
        self.machines[machine].start(self.now, &seeds, is_first, seed, &self.plan);
        let life = self.life(machine);
        self.agenda.add(self.now, Event::Process(life, Input::Wake));
        if !is_first {
            self.strike_again(machine);
        }
        let hosts = self.hosts.list();
        let input = Input::Host(pewterseam_delivery::Input::Hosts(hosts));
        self.agenda.add(self.now + 100 * MILLISECOND, Event::Process(life, input));
    }

    pub(crate) fn life(&self, machine: usize) -> Life {
        Life { machine, number: self.machines[machine].life }
    }

    pub(crate) fn is_running(&self, life: Life) -> bool {
        let machine = &self.machines[life.machine];
        machine.process.is_some() && machine.life == life.number && machine.frozen_until <= self.now
    }
}
