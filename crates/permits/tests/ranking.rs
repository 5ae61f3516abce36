//! The incrementally updated home of a service equals the home chosen from the complete relay list.

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

/// All relays in rank order, by sorting.
fn sorted(ranking: Ranking, relays: &[NodeName]) -> Vec<&NodeName> {
    let mut sorted: Vec<&NodeName> = relays.iter().collect();
    sorted.sort_by_key(|relay| std::cmp::Reverse(ranking.rank(relay)));
    sorted
}

quickcheck! {
    fn an_updated_home_equals_that_of_the_complete_list(lists: Vec<Vec<u8>>, service: u16) -> bool {
        let service = format!("service-{service}");
        let mut relays = Vec::new();
        let mut updated = ListedHome::new(&service, &relays);
        lists.iter().all(|list| {
            let next = names(list);
            updated.update(&RelayChanges::between(&relays, &next), &next);
            relays = next;
            updated == ListedHome::new(&service, &relays)
                && updated.get() == sorted(updated.ranking(), &relays).first().copied()
        })
    }

    fn the_first_few_equal_those_of_the_complete_order(list: Vec<u8>, count: u8, service: u16) -> bool {
        let relays = names(&list);
        let ranking = Ranking::of(&format!("service-{service}"));
        let mut all = sorted(ranking, &relays);
        all.truncate(usize::from(count));
        ranking.first_few(usize::from(count), &relays) == all
    }
}
