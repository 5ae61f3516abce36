//! The home of a service, kept from change to change of the list of relays, is the one that the whole list gives.

use pewterseam_permits::ranking::{ListedHome, Ranking, RelayChanges};
use pewterseam_wire::identity::NodeName;
use quickcheck::quickcheck;

fn names(numbers: &[u8]) -> Vec<NodeName> {
    let mut names: Vec<NodeName> =
        numbers.iter().map(|number| NodeName::new(&format!("relay-{number}"))).collect();
    names.sort();
    names.dedup();
    names
}

/// The whole order, by sorting.
fn sorted(ranking: Ranking, relays: &[NodeName]) -> Vec<&NodeName> {
    let mut sorted: Vec<&NodeName> = relays.iter().collect();
    sorted.sort_by_key(|relay| std::cmp::Reverse(ranking.rank(relay)));
    sorted
}

quickcheck! {
    fn a_home_kept_from_change_to_change_is_that_of_the_whole_list(lists: Vec<Vec<u8>>, service: u16) -> bool {
        let service = format!("service-{service}");
        let mut relays = Vec::new();
        let mut kept = ListedHome::new(&service, &relays);
        lists.iter().all(|list| {
            let next = names(list);
            kept.update(&RelayChanges::between(&relays, &next), &next);
            relays = next;
            kept == ListedHome::new(&service, &relays)
                && kept.get() == sorted(kept.ranking(), &relays).first().copied()
        })
    }

    fn the_first_few_are_those_of_the_whole_order(list: Vec<u8>, count: u8, service: u16) -> bool {
        let relays = names(&list);
        let ranking = Ranking::of(&format!("service-{service}"));
        let mut all = sorted(ranking, &relays);
        all.truncate(usize::from(count));
        ranking.first_few(usize::from(count), &relays) == all
    }
}
