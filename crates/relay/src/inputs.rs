//! Where tasks hand in what happened.

use tokio::sync::mpsc;

use pewterseam_node::io::Input;

/// The way to the reducer.
#[derive(Clone)]
pub struct Inputs(mpsc::UnboundedSender<Input>);

impl Inputs {
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Input>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Inputs(sender), receiver)
    }

    /// After the end of the loop nobody listens, and nothing is lost by that.
    pub fn send(&self, input: Input) {
        let _ = self.0.send(input);
    }
}
