//! Messages of other epochs and rounds must not be counted.
//!
//! On the simulated network no message outlives the election that it belongs to. A promise or a heartbeat answer that
//! was counted whatever its epoch therefore passed all other tests of this package. Here one member of a core of three
//! runs alone, and the test sends it messages that may arrive late.

use pewterseam_control::{
    Control, ControlMessage, ControlSettings, CoreMember, Effect, Entry, OperatorRequest, Outcome, Stamp,
    Token,
};
use pewterseam_wire::identity::NodeName;

use crate::simulation::cluster::{MS, document};
use crate::{call, formed_cluster};

/// A leader starts another round of heartbeats within this time.
const ROUND_PERIOD: u64 = 600 * MS;

/// A core member whose peers are simulated by the test. Its disk syncs at once.
pub struct Member {
    pub control: Control,
    name: NodeName,
    now: u64,
    others: Vec<CoreMember>,
    sent: Vec<ControlMessage>,
    answers: Vec<(Token, Outcome)>,
}

impl Member {
    /// Member 0 of a core that has agreed on a configuration, after a restart.
    fn of_formed_core() -> Self {
        let mut cluster = formed_cluster(1, 3, 2, 3);
        call(&mut cluster, 3, 1, OperatorRequest::put(0, document(5, "first")));
        cluster.run(1_000 * MS);
        let node = &cluster.nodes[0];
        let core = cluster.control(0).expect("runs").core().to_vec();
        let others = core.into_iter().filter(|member| member.name != node.info.name).collect();
        let settings = ControlSettings::default();
        let control = Control::new(cluster.now, &node.info, settings, node.disk.log(), 1);
        let mut member = Member {
            control: control.expect("the log can be read"),
            name: node.info.name.clone(),
            now: cluster.now,
            others,
            sent: Vec::new(),
            answers: Vec::new(),
        };
        member.run(0);
        member
    }

    /// A member that is a pre-candidate for an epoch, with that epoch.
    fn pre_candidate() -> (Self, u64) {
        let mut member = Member::of_formed_core();
        let epoch = member.become_pre_candidate();
        (member, epoch)
    }

    fn become_pre_candidate(&mut self) -> u64 {
        self.wait_for(|message| match message {
            ControlMessage::PreVote { epoch } => Some(*epoch),
            _ => None,
        })
    }

    /// A member that was granted the pre-vote and collects promises, with its epoch.
    fn candidate() -> (Self, u64) {
        let (mut member, epoch) = Member::pre_candidate();
        member.pre_vote_answers(epoch);
        (member, epoch)
    }

    /// A member that leads and serves, with its epoch.
    fn leader() -> (Self, u64) {
        let mut member = Member::of_formed_core();
        let epoch = member.become_leader();
        (member, epoch)
    }

    /// Makes the member a leader that serves, and returns its epoch.
    pub fn become_leader(&mut self) -> u64 {
        self.sent.clear();
        let epoch = self.become_pre_candidate();
        self.pre_vote_answers(epoch);
        self.promises(epoch);
        let entry = self.proposed().expect("the first entry of its epoch");
        self.sent.clear();
        self.accept_answers(epoch, entry.stamp);
        epoch
    }

    /// The leader's answer to a call once its next round of heartbeats is answered.
    pub fn request_as_operator(&mut self, epoch: u64, request: OperatorRequest) -> Option<Outcome> {
        self.answers.clear();
        let effects = self.control.operator(self.now, Token(7), request);
        self.execute(effects);
        self.run(ROUND_PERIOD);
        self.heartbeat_answers(epoch, self.round());
        self.answers.pop().map(|(_, outcome)| outcome)
    }

    /// A member that has promised an epoch to the first of the others, with that peer and the epoch.
    pub fn with_promise() -> (Self, CoreMember, u64) {
        let mut member = Member::of_formed_core();
        let other = member.others[0].clone();
        let epoch = member.control.accepted_stamp().epoch + 5;
        member.receive(&other, ControlMessage::Prepare { epoch });
        (member, other, epoch)
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            let more = match effect {
                Effect::Send { to, message } if to == self.name => {
                    self.control.message(self.now, &self.name.clone(), message)
                }
                Effect::Send { message, .. } => {
                    self.sent.push(message);
                    continue;
                }
                Effect::Persist { sequence, .. } | Effect::Snapshot { sequence, .. } => {
                    self.control.persisted(self.now, sequence)
                }
                Effect::Answer { token, outcome } => {
                    self.answers.push((token, outcome));
                    continue;
                }
                _ => continue,
            };
            self.execute(more);
        }
    }

    fn run(&mut self, span: u64) {
        self.now += span;
        let effects = self.control.tick(self.now);
        self.execute(effects);
    }

    /// Lets time pass until the member sends a message for which `extract` returns a value.
    fn wait_for<T>(&mut self, extract: impl Fn(&ControlMessage) -> Option<T>) -> T {
        for _ in 0..1_000 {
            if let Some(found) = self.sent.iter().find_map(&extract) {
                return found;
            }
            self.run(10 * MS);
        }
        panic!("nothing is sent");
    }

    pub fn receive(&mut self, from: &CoreMember, message: ControlMessage) {
        let effects = self.control.message(self.now, &from.name, message);
        self.execute(effects);
    }

    fn receive_from_all(&mut self, message: impl Fn(&CoreMember) -> ControlMessage) {
        for other in self.others.clone() {
            self.receive(&other, message(&other));
        }
    }

    fn pre_vote_answers(&mut self, epoch: u64) {
        self.receive_from_all(|member| ControlMessage::PreVoteAnswer {
            epoch,
            member: member.clone(),
            granted: true,
        });
    }

    fn promises(&mut self, epoch: u64) {
        let stamp = self.control.accepted_stamp();
        self.receive_from_all(|member| ControlMessage::Promise { epoch, member: member.clone(), stamp });
    }

    fn accept_answers(&mut self, epoch: u64, stamp: Stamp) {
        self.receive_from_all(|member| ControlMessage::AcceptAnswer { epoch, member: member.clone(), stamp });
    }

    fn heartbeat_answers(&mut self, epoch: u64, round: u64) {
        let committed = self.control.index();
        self.receive_from_all(|member| ControlMessage::HeartbeatAnswer {
            epoch,
            round,
            member: member.clone(),
            committed,
        });
    }

    fn has_asked_for_promises(&self) -> bool {
        self.sent.iter().any(|message| matches!(message, ControlMessage::Prepare { .. }))
    }

    fn proposed(&self) -> Option<Entry> {
        self.sent.iter().find_map(|message| match message {
            ControlMessage::Accept { entry, .. } => Some(entry.clone()),
            _ => None,
        })
    }

    /// The newest round of heartbeats.
    fn round(&self) -> u64 {
        let round = |message: &ControlMessage| match message {
            ControlMessage::Heartbeat { round, .. } => Some(*round),
            _ => None,
        };
        self.sent.iter().filter_map(round).max().expect("a heartbeat")
    }

    fn is_refused(&self) -> bool {
        self.sent.iter().any(|message| matches!(message, ControlMessage::Refused { .. }))
    }
}

/// Guards against a member that becomes a candidate although no other member would promise it this epoch.
#[test]
fn a_pre_vote_of_another_epoch_is_not_counted() {
    let (mut member, epoch) = Member::pre_candidate();
    for other in [epoch - 1, epoch + 1] {
        member.pre_vote_answers(other);
        assert!(!member.has_asked_for_promises(), "{other} in place of {epoch}");
    }
    member.pre_vote_answers(epoch);
    assert!(member.has_asked_for_promises());
}

/// Guards against counting a pre-vote that was not granted.
#[test]
fn a_rejected_pre_vote_is_not_counted() {
    let (mut member, epoch) = Member::pre_candidate();
    member.receive_from_all(|other| ControlMessage::PreVoteAnswer {
        epoch,
        member: other.clone(),
        granted: false,
    });
    assert!(!member.has_asked_for_promises());
}

/// Guards against two leaders of an epoch: members that promised another epoch may have promised this one to another
/// candidate.
#[test]
fn a_promise_of_another_epoch_is_not_counted() {
    let (mut member, epoch) = Member::candidate();
    for other in [epoch - 1, epoch + 1] {
        member.promises(other);
        assert!(!member.control.is_leader(), "{other} in place of {epoch}");
    }
    member.promises(epoch);
    assert!(member.control.is_leader());
}

/// Guards against a candidate that leads with only its own promise.
#[test]
fn a_candidate_needs_a_majority_of_promises() {
    let (member, _) = Member::candidate();
    assert!(!member.control.is_leader(), "its own promise is synced");
}

/// Guards against counting a change as accepted by members that accepted it from an earlier leader, or that accepted
/// another entry.
#[test]
fn an_acceptance_of_another_epoch_or_entry_is_not_counted() {
    let (mut member, epoch) = Member::candidate();
    member.promises(epoch);
    let entry = member.proposed().expect("the first entry of its epoch");
    let index = member.control.index();
    for other in [epoch - 1, epoch + 1] {
        member.accept_answers(other, entry.stamp);
        assert_eq!(member.control.index(), index, "{other} in place of {epoch}");
    }
    member.accept_answers(epoch, entry.previous);
    assert_eq!(member.control.index(), index, "the entry before");
    member.accept_answers(epoch, entry.stamp);
    assert_eq!(member.control.index(), entry.stamp.index);
}

/// Guards against a read that is confirmed by answers of another epoch: members may follow a newer leader by then.
#[test]
fn a_heartbeat_answer_of_another_epoch_confirms_no_read() {
    let (mut member, epoch) = Member::leader();
    let effects = member.control.operator(member.now, Token(7), OperatorRequest::ReadConfig);
    member.execute(effects);
    member.run(ROUND_PERIOD);
    let round = member.round();
    for other in [epoch - 1, epoch + 1] {
        member.heartbeat_answers(other, round);
        assert_eq!(member.answers, [], "{other} in place of {epoch}");
    }
    member.heartbeat_answers(epoch, round);
    assert!(matches!(member.answers[..], [(Token(7), Outcome::Config(_))]), "{:?}", member.answers);
}

/// Guards against a read that is confirmed by a round of heartbeats that began before the read.
#[test]
fn a_heartbeat_of_an_earlier_round_confirms_no_read() {
    let (mut member, epoch) = Member::leader();
    member.run(300 * MS);
    let before = member.round();
    let effects = member.control.operator(member.now, Token(7), OperatorRequest::ReadConfig);
    member.execute(effects);
    member.heartbeat_answers(epoch, before);
    assert_eq!(member.answers, []);
}

/// Guards against a leader that keeps its leadership by answers of another epoch.
#[test]
fn a_heartbeat_answer_of_another_epoch_does_not_keep_a_leader() {
    for (answered, leads) in [(0, true), (-1, false), (1, false)] {
        let (mut member, epoch) = Member::leader();
        for _ in 0..40 {
            member.run(100 * MS);
            if member.control.is_leader() {
                let round = member.round();
                member.heartbeat_answers(epoch.saturating_add_signed(answered), round);
            }
        }
        assert_eq!(member.control.is_leader(), leads, "answers of epoch {answered:+}");
    }
}

/// Guards against a leader that steps down for an epoch that is not above its own.
#[test]
fn a_leader_steps_down_only_for_a_higher_promise() {
    let (mut member, epoch) = Member::leader();
    let other = member.others[0].clone();
    for promised in [epoch - 1, epoch] {
        member.receive(&other, ControlMessage::Refused { promised });
        assert!(member.control.is_leader(), "{promised} beside {epoch}");
    }
    member.receive(&other, ControlMessage::Refused { promised: epoch + 1 });
    assert!(!member.control.is_leader());
}

/// Guards against a member that follows a leader of an epoch below its promise, or that keeps such a leader in office.
#[test]
fn a_member_rejects_leaders_below_its_promise() {
    let mut member = Member::of_formed_core();
    let other = member.others[0].clone();
    let (stamp, index) = (member.control.accepted_stamp(), member.control.index());
    let promised = stamp.epoch + 5;
    member.receive(&other, ControlMessage::Prepare { epoch: promised });
    member.sent.clear();
    let epoch = promised - 1;
    member.receive(&other, ControlMessage::Heartbeat { epoch, round: 1, committed: stamp });
    assert!(member.is_refused());
    let answers = |message: &ControlMessage| matches!(message, ControlMessage::HeartbeatAnswer { .. });
    assert!(!member.sent.iter().any(answers));
    let lead = pewterseam_control::Command::Lead { leader: other.name.clone() };
    let entry = |epoch| Entry {
        previous: stamp,
        stamp: Stamp { epoch, index: stamp.index + 1 },
        command: lead.clone(),
    };
    member.sent.clear();
    member.receive(&other, ControlMessage::Accept { epoch, entry: entry(epoch), committed: stamp });
    assert!(member.is_refused());
    assert_eq!((member.control.accepted_stamp(), member.control.index()), (stamp, index));
    // An entry whose epoch differs from that of its message comes from no valid leader.
    member.receive(&other, ControlMessage::Accept { epoch: promised, entry: entry(epoch), committed: stamp });
    assert_eq!(member.control.accepted_stamp(), stamp);
    member.receive(
        &other,
        ControlMessage::Accept { epoch: promised, entry: entry(promised), committed: stamp },
    );
    assert_eq!(member.control.accepted_stamp().epoch, promised);
}

/// Guards against an epoch that is promised twice, or after a higher one.
#[test]
fn a_member_promises_rising_epochs_once() {
    let mut member = Member::of_formed_core();
    let (first, second) = (member.others[0].clone(), member.others[1].clone());
    let epoch = member.control.accepted_stamp().epoch + 5;
    let promised = |member: &Member| {
        member.sent.iter().filter(|message| matches!(message, ControlMessage::Promise { .. })).count()
    };
    member.receive(&first, ControlMessage::Prepare { epoch });
    assert_eq!(promised(&member), 1);
    for (from, other) in [(&second, epoch), (&first, epoch), (&second, epoch - 1)] {
        member.receive(from, ControlMessage::Prepare { epoch: other });
        assert_eq!(promised(&member), 1, "{other} after {epoch}");
    }
    member.receive(&second, ControlMessage::Prepare { epoch: epoch + 1 });
    assert_eq!(promised(&member), 2);
}

/// Guards against an election for an epoch that this member would not promise.
#[test]
fn a_pre_vote_below_the_promise_is_not_granted() {
    let (mut member, other, epoch) = Member::with_promise();
    let granted = |member: &mut Member, asked: u64| {
        member.sent.clear();
        member.receive(&other, ControlMessage::PreVote { epoch: asked });
        member.sent.iter().any(|message| {
            matches!(message, ControlMessage::PreVoteAnswer { epoch, granted: true, .. } if *epoch == asked)
        })
    };
    assert!(!granted(&mut member, epoch - 1));
    assert!(!granted(&mut member, epoch));
    assert!(granted(&mut member, epoch + 1));
}

/// Guards against sending complete states to candidates of other epochs, which cannot use them.
#[test]
fn a_state_is_sent_only_to_the_candidate_that_was_promised() {
    let (mut member, other, epoch) = Member::with_promise();
    let hands_out = |member: &mut Member, asked: u64| {
        member.sent.clear();
        member.receive(&other, ControlMessage::ReadAccepted { epoch: asked });
        member.sent.iter().any(|message| matches!(message, ControlMessage::StatePiece(_)))
    };
    assert!(!hands_out(&mut member, epoch - 1));
    assert!(!hands_out(&mut member, epoch + 1));
    assert!(hands_out(&mut member, epoch));
}
