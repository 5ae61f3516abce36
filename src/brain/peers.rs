//! Messages between senders: reports on rounds, host failures, and the decisions of the homes.

use super::*;

/// Number of homes: senders that collect a route's reports. With no more senders, each receives all.
pub(super) const HOMES: u16 = 3;

/// The homes of a destination. The first one, in rotation, announces decisions to all.
pub(super) fn homes(destination: DestinationId, senders: u16, now: Micros) -> Vec<u16> {
    let (first, count) = (u64::from(destination) * u64::from(HOMES), u64::from(HOMES.min(senders)));
    let home = |place| ((first + (place + now / ROUND) % count) % u64::from(senders)) as u16;
    (0..count).map(home).collect()
}

impl Brain {
    /// Reports the round to the homes of the routes in use; one, in rotation, is asked for sums.
    pub(super) fn report_round(&mut self) {
        let (me, senders) = (self.settings.me, self.settings.senders);
        let stops = self.now + ROUND > self.stop_at;
        let mut records = Vec::new();
        for (id, route) in &self.state.routes {
            let waits = self.drain_times.contains_key(&id.0);
            let homes = if waits || route.used > 0.0 { homes(id.0, senders, self.now) } else { vec![] };
            for home in homes.iter().filter(|home| **home != me) {
                let asks = route.is_limited && *home == homes[0] && !route.is_home;
                // Without this, the permits of a sender that stops lie idle until its reports expire.
                let report = if stops { report(route, waits).at_stop() } else { report(route, waits) };
                records.push((*home, Record { destination: id.0, host: id.1, report, asks, up: None }));
            }
        }
        records.into_iter().for_each(|(home, record)| self.send_memo(Some(home), Purpose::Round, record));
    }

    /// Reports a host's failure or recovery to the homes at once.
    pub(super) fn report_health(&mut self, id: HostId, up: bool) {
        let Some(destination) = self.state.hosts.get(&id).map(|host| host.route.0) else { return };
        for home in homes(destination, self.settings.senders, self.now) {
            if home == self.settings.me {
                self.count_reports(home, id, up);
            } else {
                self.send_memo(Some(home), Purpose::News, Record::of_host(destination, id, up));
            }
        }
    }

    pub(super) fn send_memo(&mut self, to: Option<u16>, purpose: Purpose, record: Record) {
        if self.settings.may_message_peers && self.settings.senders > 1 {
            self.actions.push(Action::Tell { to, bytes: memo::encode(&Memo { purpose, record }) });
        }
    }

    /// Handles a peer message. It may change shares and hold calls back; it never ends a wait.
    pub(super) fn handle_peer(&mut self, from: u16, bytes: &[u8]) {
        let Some(memo) = memo::decode(bytes).filter(|_| from < self.settings.senders) else { return };
        let (data, now, senders) = (memo.record, self.now, self.settings.senders);
        let (id, waits) = ((data.destination, data.host), self.drain_times.contains_key(&data.destination));
        let from_home = || homes(id.0, senders, now).contains(&from);
        match (memo.purpose, data.host.zip(data.up), self.state.routes.get_mut(&id)) {
            (Purpose::News, Some((host, up)), _) => self.count_reports(from, host, up),
            (Purpose::Verdict, Some((host, up)), _) if from_home() => self.apply_verdict(host, up),
            (Purpose::Crowded, Some((host, _)), _) => self.mark_full(host, false),
            (Purpose::Round, None, Some(route)) => {
                route.reports.insert(from, (now, data.report));
                if data.asks {
                    let report = route.others(from, REPORT_FRESH, REPORT_EXPIRY, now) + report(route, waits);
                    self.send_memo(Some(from), Purpose::Sums, Record { report, asks: false, ..data });
                }
            }
            (Purpose::Wait, None, Some(route)) => {
                // Bounded, as peers are not trusted; paced, or all send at the wait's end.
                if !route.is_limited {
                    start_limiting(route, f64::from(senders), now);
                    route.tokens = chance(now, self.seed);
                }
                route.hold_paced(now + data.wait().min(REPORT_EXPIRY) + CHECK_INTERVAL);
            }
            (Purpose::Sums, None, Some(route)) => {
                route.others_sum = Some((now, data.report));
                if let Some(mine) = route.pending_report.take() {
                    route.refill(send_rate(route), seconds(BURST), now);
                    update_share(route, mine, &self.settings, now);
                }
            }
            _ => {}
        }
    }

    /// At a home: counts reports on a host, so that many senders need not each lose calls to notice an outage
    /// or its end. Wrong where a host fails only some senders. A slow call is no outage: it takes a quorum.
    fn count_reports(&mut self, from: u16, id: HostId, up: bool) {
        let (me, now) = (self.settings.me, self.now);
        let Some((host, route)) = self.state.host_and_route(id) else { return };
        host.add_failure_report((!up).then_some(from), REPORT_EXPIRY, now);
        let all = route.others(me, REPORT_FRESH, REPORT_EXPIRY, now) + report(route, false);
        let served = (all.used - all.refused) / route.hosts.max(1.0);
        let announced = if up { host.declared_down_at > 0 } else { now < host.last_verdict_at + ROUND };
        let is_confirmed = up || now < host.declared_down_at + REPORT_EXPIRY;
        let min_reporters = served * OUTAGE_RATE * (REPORT_EXPIRY / ROUND) as f64;
        let has_quorum = is_confirmed || host.failure_reports.len() as f64 >= TRIP.max(min_reporters);
        let destination = host.route.0;
        if announced == up && has_quorum && homes(destination, self.settings.senders, now)[0] == me {
            self.send_memo(None, Purpose::Verdict, Record::of_host(destination, id, up));
            self.apply_verdict(id, up);
        }
    }

    /// Applies a home's decision: calls are held back, or resume slowly.
    fn apply_verdict(&mut self, id: HostId, up: bool) {
        let Some(host) = self.state.hosts.get_mut(&id) else { return };
        host.set_verdict(up, self.now);
        if up && host.is_open() {
            self.recover(id);
        } else if !up && !host.is_open() {
            host.record_failure(0.0, self.now, self.now, self.settings.overload_window);
            self.set_health(id, Health::Open, "open", "is out by the word of peers");
        }
    }
}
