//! What a node tells operators of itself.

use pewterseam_control::Contact;
use pewterseam_membership::Status;
use pewterseam_wire::identity::{NodeInfo, Role};
use pewterseam_wire::placement::{Placement, StoreId};

use super::Node;
use crate::clock::MICROS_A_MILLISECOND;
use crate::status::{ContactStatus, EndedLife, MemberStatus, NodeStatus, PlacementStatus};

impl Node {
    /// What this node knows at this moment.
    pub fn report(&self) -> NodeStatus {
        let own = self.membership.own();
        let state = self.control.state();
        let mut members: Vec<MemberStatus> = self.live().map(|info| self.member(info)).collect();
        members.sort_by(|a, b| a.name.cmp(&b.name));
        let ended = self.ended_lives();
        NodeStatus {
            name: own.name.to_string(),
            life: own.life.0,
            joined: self.membership.has_joined(),
            contact: self.contact_status(),
            index: state.index,
            leads: self.control.is_leader(),
            core: self.control.core().iter().map(|member| member.name.to_string()).collect(),
            members,
            ended: ended
                .iter()
                .map(|owner| EndedLife { name: owner.name.to_string(), life: owner.life.0 })
                .collect(),
            placement: placement(&state.placement),
            retiring: names(&state.retiring),
            retired: names(&state.retired),
        }
    }

    fn contact_status(&self) -> ContactStatus {
        match self.contact() {
            Contact::InTouch { .. } => ContactStatus::InTouch,
            Contact::CatchingUp => ContactStatus::CatchingUp,
            Contact::LostSince(since) => {
                ContactStatus::Lost { for_ms: (self.now() - since) / MICROS_A_MILLISECOND }
            }
        }
    }

    fn member(&self, info: &NodeInfo) -> MemberStatus {
        let status = self.membership.get(&info.name).map(|(_, status)| status);
        let role = match info.role {
            Role::Relay => "relay",
            Role::Store => "store",
        };
        MemberStatus {
            name: info.name.to_string(),
            role: role.to_owned(),
            life: info.life.0,
            zone: info.zone.to_string(),
            address: info.peer_address.to_string(),
            ready: info.ready,
            suspect: status == Some(Status::Suspect),
        }
    }
}

fn placement(placement: &Placement) -> PlacementStatus {
    let set = |entries: &Vec<_>| entries.iter().map(store_name).collect();
    PlacementStatus {
        epoch: placement.epoch.0,
        tolerated: placement.tolerated,
        sets: placement.sets.iter().map(set).collect(),
    }
}

fn store_name(entry: &pewterseam_wire::placement::StoreEntry) -> String {
    entry.id.name.to_string()
}

fn names(stores: &[StoreId]) -> Vec<String> {
    stores.iter().map(|id| id.name.to_string()).collect()
}
