//! What is in force of a destination, as this relay holds it.

use std::collections::BTreeMap;

use pewterseam_fleet::interface::Epoch;

use crate::decision::{Moves, Plan, Sides, State, Unit, sides};
use crate::interface::{Micros, Zones};

/// The newest decision of a destination.
#[derive(Clone, Debug, Default)]
pub struct Held {
    pub epoch: Epoch,
    /// None: all are near.
    pub plan: Option<Plan>,
    pub since: Micros,
    pub sides: Sides,
    pub entered: BTreeMap<Unit, Micros>,
    pub moves: Moves,
    /// Since when a return goes on here; none while it is held back, or nothing returns.
    pub back: Option<Micros>,
}

/// Whether calls go elsewhere by this change; a return that is over moves nothing any more.
pub fn is_move(before: &Sides, after: &Sides) -> bool {
    let kind = |state: &State| std::mem::discriminant(state);
    let entered = after.iter().any(|(unit, state)| before.get(unit).map(kind) != Some(kind(state)));
    let left =
        before.iter().any(|(unit, state)| !after.contains_key(unit) && !matches!(state, State::Returning(_)));
    entered || left
}

impl Held {
    pub fn take(&mut self, now: Micros, epoch: Epoch, plan: Option<Plan>, zones: &Zones) {
        let after = plan.as_ref().map(|plan| sides(plan, zones)).unwrap_or_default();
        if is_move(&self.sides, &after) {
            let before = plan.as_ref().map_or(&[][..], |plan| &plan.before);
            self.moves.decided(now, before);
        }
        let kind = |state: &State| std::mem::discriminant(state);
        let same = |unit: &Unit, state: &State| self.sides.get(unit).map(kind) == Some(kind(state));
        let entered = after.iter().map(|(unit, state)| {
            let since = self.entered.get(unit).filter(|_| same(unit, state));
            (*unit, since.copied().unwrap_or(now))
        });
        self.entered = entered.collect();
        let returns = |sides: &Sides| sides.values().any(|state| matches!(state, State::Returning(_)));
        if !returns(&after) || !returns(&self.sides) {
            self.back = None;
        }
        (self.epoch, self.plan, self.since, self.sides) = (epoch, plan, now, after);
    }
}
