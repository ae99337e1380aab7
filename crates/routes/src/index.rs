//! Finds the route of a request: a tree over the segments of paths, so that the cost goes by the length of a path
//! and not by the number of routes.

use std::collections::HashMap;

use crate::matching::{HeaderIs, Match, PathPattern, segments};
use crate::words::{Item, holds};

/// The routes of one class, ready to be looked up. Where several match, the narrowest wins.
#[derive(Debug, Clone, Default)]
pub struct Index {
    nodes: Vec<Node>,
    entries: Vec<Entry>,
}

#[derive(Debug, Clone, Default)]
struct Node {
    named: HashMap<Box<str>, usize>,
    any: Option<usize>,
    /// Routes whose pattern ends here, narrowest first.
    ends: Vec<usize>,
    /// Routes whose pattern goes on from here with anything, narrowest first.
    rests: Vec<usize>,
}

#[derive(Debug, Clone)]
struct Entry {
    /// Its place in the table.
    route: usize,
    path: Option<PathPattern>,
    headers: Vec<(String, HeaderIs)>,
}

impl Entry {
    fn holds_path(&self, path: &str) -> bool {
        self.path.as_ref().is_none_or(|pattern| holds(pattern, segments(path).map(str::to_owned)))
    }

    fn holds_headers<'h>(&self, header: &impl Fn(&str) -> Option<&'h str>) -> bool {
        self.headers.iter().all(|(name, is)| is.holds(header(name)))
    }
}

impl Index {
    /// An index over routes of one class, given from the narrowest to the widest.
    pub fn new<'m>(routes: impl IntoIterator<Item = (usize, &'m Match)>) -> Index {
        let mut index = Index { nodes: vec![Node::default()], entries: Vec::new() };
        for (route, matching) in routes {
            let entry = index.entries.len();
            let headers = matching.headers.iter().map(|(name, is)| (name.clone(), is.clone())).collect();
            index.entries.push(Entry { route, path: matching.path.clone(), headers });
            let mut at = 0;
            let mut rest = matching.path.is_none();
            for item in matching.path.iter().flatten() {
                match item {
                    Item::One(segment) => at = index.named(at, segment),
                    Item::Any => at = index.any(at),
                    Item::Rest => rest = true,
                }
            }
            let node = &mut index.nodes[at];
            if rest { node.rests.push(entry) } else { node.ends.push(entry) }
        }
        index
    }

    fn named(&mut self, at: usize, segment: &str) -> usize {
        if let Some(next) = self.nodes[at].named.get(segment) {
            return *next;
        }
        self.nodes.push(Node::default());
        let next = self.nodes.len() - 1;
        self.nodes[at].named.insert(segment.into(), next);
        next
    }

    fn any(&mut self, at: usize) -> usize {
        if let Some(next) = self.nodes[at].any {
            return next;
        }
        self.nodes.push(Node::default());
        let next = self.nodes.len() - 1;
        self.nodes[at].any = Some(next);
        next
    }

    /// The route for a path and the values of headers, if there is one.
    pub fn find<'h>(&self, path: &str, header: impl Fn(&str) -> Option<&'h str>) -> Option<usize> {
        let mut best = usize::MAX;
        if !self.nodes.is_empty() {
            self.walk(0, segments(path), &header, &mut best);
        }
        self.entries.get(best).map(|entry| entry.route)
    }

    /// All routes that match, narrowest first: the first of them is the one that [`Index::find`] finds.
    pub fn all<'h>(&self, path: &str, header: impl Fn(&str) -> Option<&'h str>) -> Vec<usize> {
        let found =
            self.entries.iter().filter(|entry| entry.holds_path(path) && entry.holds_headers(&header));
        found.map(|entry| entry.route).collect()
    }

    fn walk<'p, 'h>(
        &self,
        at: usize,
        mut path: impl Iterator<Item = &'p str> + Clone,
        header: &impl Fn(&str) -> Option<&'h str>,
        best: &mut usize,
    ) {
        let node = &self.nodes[at];
        self.consider(&node.rests, header, best);
        let Some(segment) = path.next() else { return self.consider(&node.ends, header, best) };
        if let Some(next) = node.named.get(segment) {
            self.walk(*next, path.clone(), header, best);
        }
        if let Some(next) = node.any {
            self.walk(next, path, header, best);
        }
    }

    /// Looks whether one of these entries holds and is narrower than the best so far.
    fn consider<'h>(&self, entries: &[usize], header: &impl Fn(&str) -> Option<&'h str>, best: &mut usize) {
        for &entry in entries.iter().take_while(|entry| **entry < *best) {
            if self.entries[entry].holds_headers(header) {
                *best = entry;
                return;
            }
        }
    }
}
