//! Lines that were dropped, by the place where that happened, and what a target has been told of them.

use std::sync::atomic::{AtomicU64, Ordering};

use super::format::dropped_line;
use crate::operator::Format;

/// Where lines can be dropped: in the buffer, or on their way to a target.
#[derive(Clone, Copy)]
pub(super) enum Place {
    Buffer,
    Stderr,
    File,
    Udp,
}

impl Place {
    /// All of them, in the order in which they are told.
    const ALL: [Place; 4] = [Place::Buffer, Place::Stderr, Place::File, Place::Udp];

    /// What it is called in a tag.
    fn name(self) -> &'static str {
        match self {
            Place::Buffer => "buffer",
            Place::Stderr => "stderr",
            Place::File => "file",
            Place::Udp => "udp",
        }
    }
}

/// Lines dropped so far, by place.
#[derive(Default)]
pub(super) struct Drops([AtomicU64; Place::ALL.len()]);

/// The drops that a target knows of.
#[derive(Clone, Copy, Default)]
pub(super) struct Told([u64; Place::ALL.len()]);

/// Lines on what was dropped since a target was last told.
pub(super) struct News {
    /// The lines, none where nothing was dropped.
    pub(super) lines: String,
    /// What the target knows once it has them.
    pub(super) told: Told,
}

impl Drops {
    /// Counts lines that were dropped.
    pub(super) fn add(&self, place: Place, lines: u64) {
        self.0[place as usize].fetch_add(lines, Ordering::Relaxed);
    }

    /// How many lines were dropped so far.
    pub(super) fn count(&self, place: Place) -> u64 {
        self.0[place as usize].load(Ordering::Relaxed)
    }

    /// What a target that was told so much has yet to hear.
    pub(super) fn news(&self, told: Told, format: Format, now: u128) -> News {
        let mut news = News { lines: String::new(), told };
        for place in Place::ALL {
            let count = self.count(place);
            let more = count - told.0[place as usize];
            if more > 0 {
                news.lines += &dropped_line(format, place.name(), more, now);
            }
            news.told.0[place as usize] = count;
        }
        news
    }
}
