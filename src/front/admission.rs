//! Takes customers' tokens for requests: waits for one, holds it, and gives it back if the request
//! was not sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::clock;
use crate::steer::{Customer, RankClass, TakeResult, Ticket, rate_retry_after};

use super::Front;

/// Time for which a request waits for a token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest wait for a token as a fraction of the time until the request's deadline; the rest is left
/// for the target.
const TOKEN_WAIT_RATIO: f64 = 0.3;
/// Time after the start in which the first tokens may not have arrived.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// Time for which a request waits for a token during [`STARTUP_PERIOD`].
const STARTUP_TOKEN_TIMEOUT: Duration = Duration::from_millis(700);

/// The result of a wait, sent to the waiting request.
pub(crate) type TokenSender = oneshot::Sender<TakeResult>;

/// A token taken for a request. Dropped, it is given back unless the request may have been sent.
pub(crate) struct HeldToken {
    front: Arc<Front>,
    customer: Customer,
    class: RankClass,
    spent: AtomicBool,
}

impl HeldToken {
    fn new(front: &Arc<Front>, customer: &Customer, class: RankClass) -> Self {
        let (front, customer) = (front.clone(), customer.clone());
        Self { front, customer, class, spent: AtomicBool::new(false) }
    }

    /// Records whether the request may have been sent to a target.
    pub(crate) fn set_spent(&self, spent: bool) {
        self.spent.store(spent, Ordering::Relaxed);
    }
}

impl Drop for HeldToken {
    fn drop(&mut self) {
        if !self.spent.load(Ordering::Relaxed) {
            self.front.give_back(&self.customer, self.class);
        }
    }
}

/// Why no token was taken.
pub(crate) struct TokenRefusal {
    pub(crate) cause: &'static str,
    pub(crate) retry_after: Duration,
}

/// Takes a token of `customer` for a request of `class`, waiting briefly if there is none. `deadline`
/// is the request's, `caller_deadline` the caller's.
///
/// # Errors
/// Fails with the cause if no token arrives in time or the rate is exhausted.
pub(crate) async fn take_token(
    front: &Arc<Front>,
    customer: &Customer,
    class: RankClass,
    deadline: Duration,
    caller_deadline: Duration,
) -> Result<HeldToken, TokenRefusal> {
    let taken = wait_for_token(front, customer, class, deadline).await;
    front.metrics.record_token(class, taken.is_ok());
    taken.map_err(|cause| {
        let now = clock::now();
        let room = front.state.lock().limiter.room_after(now, customer, class);
        let left = caller_deadline.saturating_sub(now);
        TokenRefusal { cause, retry_after: rate_retry_after(room, left, rand::rng().random()) }
    })
}

async fn wait_for_token(
    front: &Arc<Front>,
    customer: &Customer,
    class: RankClass,
    deadline: Duration,
) -> Result<HeldToken, &'static str> {
    let start = clock::now();
    let starting = start.saturating_sub(front.started) < STARTUP_PERIOD;
    let longest = if starting { STARTUP_TOKEN_TIMEOUT } else { TOKEN_TIMEOUT };
    let left = longest.min(deadline.saturating_sub(start).mul_f64(TOKEN_WAIT_RATIO));
    let result = match front.take_or_join(customer, class) {
        Ok(result) => result,
        Err(mut waiting) => {
            front.token_demand.notify_one();
            waiting.wait(left).await
        }
    };
    match result {
        TakeResult::Taken => Ok(HeldToken::new(front, customer, class)),
        TakeResult::Exhausted => {
            front.token_demand.notify_one();
            Err("the pool recently granted fewer tokens than requested")
        }
        TakeResult::Empty => Err("no token arrived in time"),
    }
}

/// A request in the queue for tokens. Dropped, it leaves the queue, and a token that it was served
/// meanwhile is given back.
struct WaitingRequest<'a> {
    front: &'a Front,
    customer: &'a Customer,
    class: RankClass,
    ticket: Ticket,
    served: oneshot::Receiver<TakeResult>,
}

impl WaitingRequest<'_> {
    /// The result for this request; [`TakeResult::Empty`] if there is none within `left`.
    async fn wait(&mut self, left: Duration) -> TakeResult {
        if let Ok(Ok(result)) = timeout(left, &mut self.served).await {
            return result;
        }
        // It may have been served since the timeout.
        self.leave().unwrap_or(TakeResult::Empty)
    }

    /// Leaves the queue; returns the result if the request was served before.
    fn leave(&mut self) -> Option<TakeResult> {
        let waited = self.front.state.lock().waiting.leave(&self.customer.id, self.ticket);
        if waited { None } else { self.served.try_recv().ok() }
    }
}

impl Drop for WaitingRequest<'_> {
    fn drop(&mut self) {
        if self.leave() == Some(TakeResult::Taken) {
            self.front.give_back(self.customer, self.class);
        }
    }
}

impl Front {
    /// Takes a token, unless requests of the class wait already or there is none; then the request
    /// joins the queue.
    fn take_or_join<'a>(
        &'a self,
        customer: &'a Customer,
        class: RankClass,
    ) -> Result<TakeResult, WaitingRequest<'a>> {
        let now = clock::now();
        // Tokens that have accrued since go to those that wait already.
        self.serve_waiting();
        let mut state = self.state.lock();
        if state.waiting.blocks(&customer.id, class) {
            state.limiter.record_waiting(now, customer, class);
        } else {
            match state.limiter.take(now, customer, class, true) {
                TakeResult::Empty => {}
                result => return Ok(result),
            }
        }
        let (sender, served) = oneshot::channel();
        let ticket = state.waiting.join(&customer.id, class, sender);
        Err(WaitingRequest { front: self, customer, class, ticket, served })
    }

    /// Passes available tokens to the requests that wait for one.
    pub(crate) fn serve_waiting(&self) {
        let Some(index) = self.state.index() else { return };
        let mut state = self.state.lock();
        if state.waiting.is_empty() {
            return;
        }
        let state = &mut *state;
        let served = state.waiting.serve(clock::now(), index.table(), &mut state.limiter);
        if !state.waiting.is_empty() {
            self.token_demand.notify_one();
        }
        for (sender, result) in served {
            // The receiver lives: a request leaves the queue under this lock before it is dropped.
            let _ = sender.send(result);
        }
    }

    fn give_back(&self, customer: &Customer, class: RankClass) {
        self.state.lock().limiter.give_back(clock::now(), customer, class);
        self.serve_waiting();
    }
}
