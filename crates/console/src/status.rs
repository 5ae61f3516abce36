//! What a relay knows, read from its operator API and printed for people.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use pewterseam_system::status::{ContactStatus, MemberStatus, NodeStatus, RelayStatus};

use crate::client::{self, Call};
use crate::error::ConsoleError;

/// Where a relay tells its status.
const PATH: &str = "/-/status";

const MILLISECONDS_A_SECOND: f64 = 1_000.0;

/// Asks a relay.
pub async fn read(address: SocketAddr) -> Result<RelayStatus, ConsoleError> {
    let reply = client::call(address, Call::get(PATH)).await.ok_or(ConsoleError::NoAnswer { address })?;
    if reply.status != 200 {
        return Err(ConsoleError::Unclear { address, status: reply.status });
    }
    serde_json::from_slice(&reply.body).map_err(ConsoleError::Answer)
}

/// A status as lines of text.
pub struct Lines<'a>(pub &'a RelayStatus);

impl Display for Lines<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let RelayStatus { node, ready, stopping, config_version, messages } = self.0;
        let state = match (ready, stopping) {
            (_, true) => "stopping",
            (true, false) => "ready",
            (false, false) => "not ready",
        };
        writeln!(f, "{} life {}: {state}", node.name, node.life)?;
        writeln!(f, "configuration {config_version}, state {}, {}", node.index, contact(node))?;
        let leads = if node.leads { ", led from here" } else { "" };
        writeln!(f, "core: {}{leads}", listed(&node.core))?;
        writeln!(f, "messages: {} held, {} of them running", messages.held, messages.running)?;
        placement(f, node)?;
        for member in &node.members {
            member_line(f, member)?;
        }
        for ended in &node.ended {
            writeln!(f, "ended: {} life {}", ended.name, ended.life)?;
        }
        Ok(())
    }
}

fn contact(node: &NodeStatus) -> String {
    match node.contact {
        _ if !node.joined => "has met nobody yet".to_owned(),
        ContactStatus::InTouch => "in touch with a majority of the core".to_owned(),
        ContactStatus::CatchingUp => "catching up with a majority of the core".to_owned(),
        ContactStatus::Lost { for_ms } => {
            let seconds = for_ms as f64 / MILLISECONDS_A_SECOND;
            format!("no contact with a majority of the core for {seconds:.1} s")
        }
    }
}

fn listed(names: &[String]) -> String {
    if names.is_empty() { "none".to_owned() } else { names.join(" ") }
}

fn placement(f: &mut Formatter<'_>, node: &NodeStatus) -> fmt::Result {
    let placement = &node.placement;
    let target = placement.sets.last().map_or_else(|| "none".to_owned(), |set| listed(set));
    write!(f, "stores: {target}; placement {}, {} may be lost", placement.epoch, placement.tolerated)?;
    if placement.sets.len() > 1 {
        let older: Vec<String> = placement.sets.iter().rev().skip(1).map(|set| listed(set)).collect();
        write!(f, "; messages are being copied from {}", older.join(" and "))?;
    }
    writeln!(f)?;
    for (what, names) in [("being emptied", &node.retiring), ("emptied", &node.retired)] {
        if !names.is_empty() {
            writeln!(f, "{what}: {}", listed(names))?;
        }
    }
    Ok(())
}

fn member_line(f: &mut Formatter<'_>, member: &MemberStatus) -> fmt::Result {
    let MemberStatus { name, role, life, zone, address, ready, suspect } = member;
    let ready = if role == "relay" && !ready { ", not ready" } else { "" };
    let suspect = if *suspect { ", does not answer" } else { "" };
    writeln!(f, "member: {role} {name} life {life} in {zone} at {address}{ready}{suspect}")
}
