//! What a request's handler may know of the requests behind it on its connection.

use super::session::WeakSession;

/// The requests behind one on its connection. The default stands for none.
#[derive(Clone, Debug, Default)]
pub struct Followers(Option<Followed>);

#[derive(Clone, Debug)]
struct Followed {
    /// Weak, since the session owns the tasks that hold this.
    session: WeakSession,
    number: u64,
}

impl Followers {
    /// The requests behind `number` in `session`.
    pub(super) fn new(session: WeakSession, number: u64) -> Self {
        Self(Some(Followed { session, number }))
    }

    /// True if a request behind this one has been started and not answered: its response has to wait for
    /// this one's.
    pub fn any_started(&self) -> bool {
        self.0.as_ref().is_some_and(|f| f.session.has_started_behind(f.number))
    }
}
