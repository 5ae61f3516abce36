//! What a sender has learnt and its successor after a restart may use.

use super::{Route, RouteId, State};
use crate::interface::{HostId, Learnt, LearntRoute, Micros};

impl State {
    /// What has been learnt about each route that was used or must wait, and which hosts are open.
    pub fn learnt(&self, at: Micros) -> Learnt {
        let route = |((destination, host), route): (&RouteId, &Route)| LearntRoute {
            destination: *destination,
            apart: host.is_some(),
            hosts: host
                .map_or_else(|| self.hosts_of(*destination).map(|(id, _)| id).collect(), |id| vec![id]),
            rate: route.told_limit,
            answer_time: route.answer_time,
            deviation: route.deviation,
            wait_until: route.wait_until,
        };
        // Without the second condition, a wait demanded of an earlier process is lost if this one made no
        // call to the route.
        let known = |route: &Route| route.active_at > 0 || route.wait_until > at;
        let used = self.routes.iter().filter(|(_, route)| known(route));
        let open = self.hosts.iter().filter(|(_, host)| host.is_open());
        let out = open.map(|(id, host)| (*id, host.failing_since)).collect();
        Learnt { at, routes: used.map(route).collect(), out }
    }

    /// Restores what was learnt about a route, if one of the same hosts still belongs to a route of the same
    /// form.
    pub fn restore_route(&mut self, old: &LearntRoute) -> bool {
        let listed =
            |host: &&HostId| self.hosts.get(host).is_some_and(|host| host.route.0 == old.destination);
        let Some(host) = old.hosts.iter().find(listed) else { return false };
        let route = self.routes.get_mut(&(old.destination, old.apart.then_some(*host)));
        if let Some(route) = route {
            (route.told_limit, route.answer_time, route.deviation) =
                (old.rate, old.answer_time, old.deviation);
            // Without this, a wait demanded of the previous process is lost, and calls are sent before it is
            // over.
            route.hold(old.wait_until);
            return true;
        }
        false
    }
}
