//! The answers held here by request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};

use verbenaslip_base::attempt::{Attempt, Request};

use crate::traffic::shared::lock;
use crate::traffic::shelf::Shelf;

/// The bits of an attempt's number that count the runs of one owner; those above are its epoch.
const RUNS: u32 = 16;

/// Holds the answers by request.
pub(crate) struct Shelves {
    places: Mutex<BTreeMap<Request, Place>>,
    limit: usize,
}

/// Holds the answers of one request.
struct Place {
    /// The newest owner's.
    shelf: Arc<Shelf>,
    /// This instance's own, from before another owner copied a later one here.
    former: Option<Arc<Shelf>>,
}

impl Shelves {
    /// Holds answers of so many bytes at most each.
    pub(crate) fn new(limit: usize) -> Self {
        Self { places: Mutex::default(), limit }
    }

    /// Returns a request's newest answer, made when there is none.
    pub(crate) fn open(&self, request: Request) -> Arc<Shelf> {
        let mut places = lock(&self.places);
        self.place(&mut places, request).shelf.clone()
    }

    /// Returns the answer that this instance owns or owned in an epoch.
    pub(crate) fn of(&self, request: Request, epoch: u16) -> Arc<Shelf> {
        let mut places = lock(&self.places);
        let place = self.place(&mut places, request);
        if place.shelf.owned() || place.shelf.epoch() <= epoch {
            return place.shelf.clone();
        }
        // What an owner that was replaced still does must not get into its successor's copy.
        place.former.get_or_insert_with(|| Arc::new(Shelf::new(self.limit))).clone()
    }

    /// Returns the answer that a run adds to.
    pub(crate) fn of_run(&self, attempt: Attempt) -> Arc<Shelf> {
        let epoch = u16::try_from(attempt.number >> RUNS).unwrap_or(u16::MAX);
        self.of(attempt.request, epoch)
    }

    /// Returns the answer for a copy in an epoch.
    ///
    /// An owner that was replaced without knowing may still give its answer to its callers. The
    /// copy of the new owner's would go on in other words after the position that they have, and
    /// they would read halves of two answers. The copy gets a place of its own; those who read or
    /// fill the earlier one keep it.
    pub(crate) fn renew(&self, request: Request, epoch: u16) -> Arc<Shelf> {
        let mut places = lock(&self.places);
        let place = self.place(&mut places, request);
        if place.shelf.epoch() < epoch && (place.shelf.begun() || place.shelf.owned()) {
            let copy = Arc::new(Shelf::new(self.limit));
            let earlier = std::mem::replace(&mut place.shelf, copy);
            if earlier.owned() {
                place.former = Some(earlier);
            }
        }
        place.shelf.clone()
    }

    /// Returns a request's newest answer.
    pub(crate) fn find(&self, request: Request) -> Option<Arc<Shelf>> {
        lock(&self.places).get(&request).map(|place| place.shelf.clone())
    }

    /// Drops the answers of a request up to an epoch; those who still read them keep them.
    ///
    /// True when nothing is left that a run or a copy of this instance's could belong to.
    pub(crate) fn remove(&self, request: Request, epoch: u16) -> bool {
        let mut places = lock(&self.places);
        let Some(place) = places.get_mut(&request) else {
            return true;
        };
        if place.shelf.epoch() <= epoch {
            places.remove(&request);
            return true;
        }
        place.former = None;
        !place.shelf.owned()
    }

    /// Counts the answers and the bytes of text in them.
    pub(crate) fn size(&self) -> (u64, u64) {
        let places = lock(&self.places);
        let shelves = places.values().flat_map(|place| [Some(&place.shelf), place.former.as_ref()]);
        shelves
            .flatten()
            .fold((0, 0), |(count, bytes), shelf| (count + 1, bytes + shelf.bytes() as u64))
    }

    fn place<'a>(
        &self,
        places: &'a mut BTreeMap<Request, Place>,
        request: Request,
    ) -> &'a mut Place {
        let empty = || Place { shelf: Arc::new(Shelf::new(self.limit)), former: None };
        places.entry(request).or_insert_with(empty)
    }
}
