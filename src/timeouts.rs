//! Timeouts of the program around the decisions, in microseconds. They decide nothing about any message: they
//! bound what a silent or broken peer can hold, and how long the steps of a shutdown may take.

use crate::interface::Micros;

/// Timeout for a pending change of the host list: discovery may hold its answer back this long while nothing
/// changes. Discovery counts what it has sent as received after 6 s, so together with [`RESPONSE`] an
/// unanswered request is repeated before that.
pub const LIST_POLL: Micros = 5_000_000;
/// The same timeout where an unanswered request is abandoned, after another [`LIST_RESPONSE`], before the next
/// one is sent.
pub const LIST_POLL_SINGLE: Micros = 2_500_000;
/// Timeout for each answer about the list after the first: an overloaded discovery keeps a queued call for 2
/// s.
pub const LIST_RESPONSE: Micros = 2_500_000;
/// Timeout for the first answer about the list, the longest timeout for the answer to a notice, and the
/// timeout for the rest of any answer that has begun.
pub const RESPONSE: Micros = 500_000;
/// Timeout for the first answer to a notice, doubled for each further attempt: the platform answers at once.
/// A notice that is sent as its time runs out, after one attempt on a silent connection, is lost half a
/// second later.
pub const NOTICE_RESPONSE: Micros = 100_000;
/// Delay before a failed operation is retried, and timeout for the last bytes on a connection that is
/// closing.
pub const RETRY_PAUSE: Micros = 100_000;
/// Timeout for a client's first request, for the rest of any request, and for a client to read its answer.
pub const CLIENT_REQUEST: Micros = 2_000_000;
/// Timeout for a client's next request; the platform allows idle connections to be closed from 2 s on.
pub const CLIENT_IDLE: Micros = 5_000_000;
/// How long new work is still accepted after a stop request, and how long the stop may take in all. The
/// platform sends new connections for up to 0.4 s and kills the process 3.7 s after the first signal.
pub const STOP_ACCEPT: Micros = 2_000_000;
pub const STOP_TIMEOUT: Micros = 3_300_000;
/// How long a stop may take while a new process waits to take over the journal.
pub const HANDOVER: Micros = 1_000_000;
