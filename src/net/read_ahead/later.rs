//! What a request's handler may know of the requests behind it on its connection.

use super::session::WeakSession;

/// The requests behind one on its connection. The default stands for none.
#[derive(Clone, Debug, Default)]
pub struct LaterRequests(Option<Place>);

/// A request's place on its connection.
#[derive(Clone, Debug)]
struct Place {
    /// Weak, since the session owns the tasks that hold this.
    session: WeakSession,
    number: u64,
}

impl LaterRequests {
    /// The requests behind `number` in `session`.
    pub(super) fn new(session: WeakSession, number: u64) -> Self {
        Self(Some(Place { session, number }))
    }

    /// True if the response to one of them is ready, and has to wait for the one in front.
    pub fn any_ready(&self) -> bool {
        self.0.as_ref().is_some_and(|place| place.session.is_ready_behind(place.number))
    }
}
