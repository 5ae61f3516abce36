//! One read of the list, page by page.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pewterseam_wire::Micros;

use crate::interface::{CallId, ListedInstance, Page};
use crate::list::List;

/// More pages than any list has; a list without end is given up.
const MOST_PAGES: usize = 1000;
/// How long one entry that a read of several pages lacks is still taken to be there.
const MISSED_FOR: Micros = 5_000_000;

/// A read that is under way.
#[derive(Debug)]
pub(crate) struct Read {
    pub(crate) call: CallId,
    pub(crate) started_at: Micros,
    /// When the call that is out is given up.
    pub(crate) expires_at: Micros,
    pages: usize,
    tokens: BTreeSet<Arc<str>>,
    instances: BTreeMap<Arc<str>, ListedInstance>,
}

/// What follows from a page.
#[derive(Debug)]
pub(crate) enum Progress {
    /// Ask for the next page.
    Next(Arc<str>),
    Done {
        instances: BTreeMap<Arc<str>, ListedInstance>,
        pages: usize,
    },
    /// The pages do not fit together.
    Torn,
}

impl Read {
    pub(crate) fn new(call: CallId, now: Micros, timeout: Micros) -> Self {
        let (tokens, instances) = (BTreeSet::new(), BTreeMap::new());
        Read { call, started_at: now, expires_at: now + timeout, pages: 0, tokens, instances }
    }

    /// Takes a page. Danger: the list changes between two pages; an entry that stands on both, or a token that comes
    /// again, shows it.
    pub(crate) fn take(&mut self, page: Page) -> Progress {
        self.pages += 1;
        for instance in page.instances {
            if self.instances.insert(instance.id.clone(), instance).is_some() {
                return Progress::Torn;
            }
        }
        match page.next_token {
            None => {
                let instances = std::mem::take(&mut self.instances);
                Progress::Done { instances, pages: self.pages }
            }
            Some(token) if self.pages < MOST_PAGES && self.tokens.insert(token.clone()) => {
                Progress::Next(token)
            }
            Some(_) => Progress::Torn,
        }
    }
}

/// Makes a list of what was read, beside the one before.
///
/// A host that was draining once stays so. Danger: a list of several pages that changes between two calls lacks an
/// entry that is there; it counts as gone only when the next read lacks it as well.
pub(crate) fn settle(
    before: &List, read: BTreeMap<Arc<str>, ListedInstance>, pages: usize,
    missed: &mut BTreeMap<Arc<str>, Micros>, now: Micros,
) -> List {
    let mut instances: Vec<Arc<ListedInstance>> = Vec::with_capacity(read.len());
    missed.retain(|id, at| !read.contains_key(id) && *at + MISSED_FOR > now);
    for old in before.instances().filter(|old| pages > 1 && !read.contains_key(&old.id)) {
        if missed.insert(old.id.clone(), now).is_none() {
            instances.push(old.clone());
        }
    }
    for (id, mut new) in read {
        if let Some(old) = before.get(&id) {
            new.ready &= old.ready;
            // It falls with time; told anew each time, every read would be a change.
            new.cold_remaining_ms = if new.cold_remaining_ms > 0 { old.cold_remaining_ms } else { 0 };
            if **old == new {
                instances.push(old.clone());
                continue;
            }
        }
        instances.push(Arc::new(new));
    }
    List::new(instances)
}
