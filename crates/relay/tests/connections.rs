//! The reducer with real connections to hosts, so that what comes in one step is in the test's hand.

mod common;

use std::net::{SocketAddr, TcpListener};
use std::thread;

use bytes::Bytes;
use common::*;
use pewterseam::interface::{Micros, Outcome};
use pewterseam_durable::replay::History;
use pewterseam_node::client::{Offer, RequestId};
use pewterseam_node::io::{Effect, Input, Step};
use pewterseam_node::list::List;
use pewterseam_node::reducer::{Reducer, Room};
use pewterseam_relay::hosts::Hosts;
use pewterseam_relay::inputs::Inputs;
use serde_json::from_value;
use tokio::sync::mpsc::UnboundedReceiver;

const START: Micros = 1_700_000_000_000_000;
const SECOND: Micros = 1_000_000;

/// A reducer whose connections are real, and whose clock stands still.
struct Driven {
    reducer: Reducer,
    hosts: Hosts,
    incoming: UnboundedReceiver<Input>,
}

impl Driven {
    fn new(host: SocketAddr) -> Self {
        let deployment = pewterseam_settings::parse(settings().to_string().as_bytes()).expect("settings");
        let room = Room { bytes: 1_000_000, idle_connections: 10 };
        let (inputs, incoming) = Inputs::new();
        let hosts = Hosts::new(SECOND, inputs);
        let mut driven = Driven { reducer: Reducer::new(deployment, 7, room), hosts, incoming };
        let step = driven.reducer.start(START, History::default(), None);
        driven.carry_out(step);
        let list: List = from_value(list(host, "Ready")).expect("a list");
        driven.step(vec![Input::Listed(list)]);
        driven
    }

    fn carry_out(&mut self, step: Step) {
        for effect in step.effects {
            match effect {
                Effect::Open { connection, address, within } => self.hosts.open(connection, address, within),
                Effect::Call(call) => self.hosts.call(call),
                Effect::Abandon(connection) => self.hosts.abandon(connection),
                Effect::Close(connections) => connections.into_iter().for_each(|id| self.hosts.close(id)),
                _ => {}
            }
        }
    }

    fn step(&mut self, inputs: Vec<Input>) {
        let step = self.reducer.step(START, inputs);
        self.carry_out(step);
    }

    fn hand_in(&mut self, id: &str) {
        let offer = Offer {
            id: id.to_owned(),
            class: "transfer".to_owned(),
            tenant: "acme".to_owned(),
            key: None,
            destination: 7,
            lifetime: 30 * SECOND,
            idempotency_key: None,
            body: Bytes::from_static(b"body"),
        };
        self.step(vec![Input::Offer { id: RequestId(1), offer }]);
    }

    async fn next(&mut self) -> Input {
        self.incoming.recv().await.expect("the connections live")
    }
}

// Danger: a connection comes up and is closed again before the relay looks at either. The call goes to the one that
// is opened in its place, before that is open; it is never sent, and its slot is held for ever.
#[test]
fn a_connection_that_opens_and_closes_within_one_step_is_replaced_and_the_call_is_made() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let host = thread::spawn(move || {
            drop(listener.accept().expect("the first connection"));
            let (mut stream, _) = listener.accept().expect("another");
            let heard = hear(&mut stream).expect("read").expect("a call");
            std::io::Write::write_all(&mut stream, &answer(200, "", "").expect("bytes")).expect("written");
            heard.header("Request-Id").map(str::to_owned)
        });
        let mut driven = Driven::new(address);
        driven.hand_in("m1");
        let both = vec![driven.next().await, driven.next().await];
        assert!(
            matches!(both[..], [Input::Opened(first), Input::Closed(second)] if first == second),
            "{both:?}"
        );
        driven.step(both);
        let opened = driven.next().await;
        assert!(matches!(opened, Input::Opened(_)), "{opened:?}");
        driven.step(vec![opened]);
        let called = driven.next().await;
        assert!(matches!(&called, Input::Called { reply, .. } if reply.outcome == Outcome::Ok), "{called:?}");
        driven.step(vec![called]);
        assert_eq!((driven.reducer.held(), driven.reducer.calls_out()), (0, 0));
        assert_eq!(host.join().expect("ended").as_deref(), Some("m1"));
    });
}
