//! A tree over a sorted list of nodes, by which one of them passes word to all others.

use crate::identity::NodeName;

/// Nodes to which each passes word on.
pub const FAN_OUT: usize = 8;

/// The nodes to which `me` passes on what `root` tells all. `nodes` is sorted and equal at all, up to changes that
/// are under way; a node missing from it passes nothing on.
pub fn children<'a>(
    nodes: &'a [NodeName], root: &NodeName, me: &NodeName,
) -> impl Iterator<Item = &'a NodeName> + use<'a> {
    let place = |name: &NodeName| nodes.binary_search(name).ok();
    let (count, found) = (nodes.len(), place(root).zip(place(me)));
    let (first, offset) = found.map_or((0, count), |(root, me)| (root, (me + count - root) % count));
    let range = (offset * FAN_OUT + 1)..(offset * FAN_OUT + 1 + FAN_OUT);
    range.take_while(move |place| *place < count).map(move |place| &nodes[(first + place) % count])
}
