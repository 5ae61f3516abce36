//! What hosts do with requests and with connections, drawn by seed.

use std::time::Duration;

use pewterseam_wire::random::Random;

/// How a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Close {
    Orderly,
    Reset,
}

/// The id that an extra answer carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExtraId {
    Same,
    Other,
    None,
}

/// When an extra answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExtraTime {
    /// In one segment with the answer.
    Merged,
    /// While the connection idles, or carries another request.
    Later,
    /// Before the answer, in one segment with it.
    Before,
}

/// What a host does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reaction {
    Answers,
    /// In small pieces, with pauses.
    AnswersInPieces,
    /// With a body in chunks.
    AnswersInChunks,
    /// Its whole answer comes when the caller has given up.
    AnswersLate,
    AnswersTwice(ExtraTime),
    AnswersWithExtra(ExtraId, ExtraTime),
    CutInHead(Close),
    CutInBody(Close),
    /// The head and a part of the body come, and nothing more.
    StopsInBody,
    CutInChunks(Close),
    /// The end of the connection stands for the end of the body.
    AnswersWithoutEnd(Close),
    Silent,
    ClosesBeforeAnswer(Close),
    /// The last byte of the answer is out, then the connection ends.
    ClosesAfterAnswer(Close),
    /// The connection ends as the next request begins to come.
    ClosesAtNextRequest(Close),
    /// It says that it closes, and does not.
    SaysThatItCloses,
    /// Tells the caller to go on, then answers.
    SaysContinue,
    Nonsense,
}

/// Of a hundred reactions so many are plain answers, so that connections live to carry more.
const PLAIN: usize = 50;
/// Of a hundred so many are the favourite of the script.
const FAVOURITE: usize = 25;

impl Reaction {
    /// A reaction of a script that has a favourite.
    pub fn draw_with(random: &mut Random, favourite: Reaction) -> Self {
        match random.below(100) {
            draw if draw < PLAIN => Reaction::Answers,
            draw if draw < PLAIN + FAVOURITE => favourite,
            _ => Reaction::draw(random),
        }
    }

    /// Any reaction but a plain answer.
    pub fn draw(random: &mut Random) -> Self {
        let close = if random.below(2) == 0 { Close::Orderly } else { Close::Reset };
        let id = [ExtraId::Same, ExtraId::Other, ExtraId::None][random.below(3)];
        let time = [ExtraTime::Merged, ExtraTime::Later, ExtraTime::Before][random.below(3)];
        match random.below(20) {
            0 => Reaction::AnswersInPieces,
            1 => Reaction::AnswersInChunks,
            2 => Reaction::AnswersLate,
            3 | 4 => Reaction::AnswersTwice(time),
            5..8 => Reaction::AnswersWithExtra(id, time),
            8 => Reaction::CutInHead(close),
            9 => Reaction::CutInBody(close),
            10 => Reaction::StopsInBody,
            11 => Reaction::CutInChunks(close),
            12 => Reaction::AnswersWithoutEnd(close),
            13 => Reaction::Silent,
            14 => Reaction::ClosesBeforeAnswer(close),
            15 => Reaction::ClosesAfterAnswer(close),
            16 => Reaction::ClosesAtNextRequest(close),
            17 => Reaction::SaysThatItCloses,
            18 => Reaction::SaysContinue,
            _ => Reaction::Nonsense,
        }
    }
}

/// How a host takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Welcome {
    Takes,
    Refuses,
    /// Takes it after a while, perhaps too late.
    TakesLate(Duration),
    /// Says something before any request.
    SpeaksFirst(ExtraId),
}

impl Welcome {
    pub fn draw(random: &mut Random) -> Self {
        match random.below(40) {
            0 | 1 => Welcome::Refuses,
            2..5 => Welcome::TakesLate(Duration::from_millis(random.below(1_500) as u64)),
            5 => Welcome::SpeaksFirst([ExtraId::Other, ExtraId::None][random.below(2)]),
            _ => Welcome::Takes,
        }
    }
}
