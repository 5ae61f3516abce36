//! What is counted, printed on request and at exit. `docs/on-call.md` tells what each means.

use std::fmt::Write;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// Counts since the start.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
        pub struct Counters {
            $(pub $name: u64,)*
        }

        impl Counters {
            /// Name and value of each, in a fixed order.
            pub fn all(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

counters! {
    requests,
    answered,
    taken,
    restored,
    refused_at_once,
    refused_not_ready,
    refused_by_journal,
    refused_without_place,
    bad_requests,
    connections_silent,
    connections_refused,
    sent,
    delivered,
    turned_away,
    errors,
    timeouts,
    no_connection,
    resets,
    not_sent,
    withheld,
    failed,
    returned,
    notices_answered,
    notices_not_answered,
    probes,
    peer_messages_in,
    peer_messages_out,
    peer_messages_dropped,
    lists,
    list_failures,
    list_refusals,
    list_entries_dropped,
    configurations,
    configurations_rejected,
    calls,
    bad_calls,
    member_calls,
    journal_failures,
    invariants_broken,
}

impl Counters {
    /// One `name value` a line.
    pub fn text(&self) -> String {
        let mut text = String::new();
        for (name, value) in self.all() {
            let _ = writeln!(text, "{name} {value}");
        }
        text
    }
}
