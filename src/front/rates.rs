//! Draws tokens of customers' rates from the pool, and lets requests wait for them.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, Draw, WireWant};
use crate::steer::{Customer, Grant, Spend, Want};

use super::Front;

/// Time between two draws.
const DRAW_PAUSE: Duration = Duration::from_millis(350);
/// Least time between two draws when requests wait.
const DRAW_HURRY: Duration = Duration::from_millis(60);
/// Longest wait for the pool's answer.
const DRAW_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a request waits for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(250);
/// Time for which a new VM does not use its part, so that all others know of it.
const JOIN_PAUSE: Duration = Duration::from_secs(5);

/// Draws tokens for as long as the process runs.
pub(crate) async fn run(front: Arc<Front>) {
    let start = clock::now();
    // Where the whole system starts, nobody uses a larger part yet.
    let idle_until = start + JOIN_PAUSE;
    loop {
        draw(&front, idle_until).await;
        front.filled.notify_waiters();
        tokio::time::sleep(DRAW_HURRY).await;
        // Either may come first; both lead to the next draw.
        let _ = timeout(DRAW_PAUSE - DRAW_HURRY, front.thirsty.notified()).await;
    }
}

async fn draw(front: &Front, idle_until: Duration) {
    let now = clock::now();
    let Some(index) = front.known.index() else { return };
    let (pool, addr, loan, wants) = {
        let mut parts = front.known.parts();
        parts.own_part(&front.me.vm, front.me.incarnation, idle_until);
        let Some(pool) = parts.fleet.pool(now) else { return };
        let Some(addr) = parts.fleet.entry(&pool).map(|e| e.peers) else { return };
        let members = parts.fleet.len();
        let wants = parts.purse.wants(now, index.table(), members);
        let loan = parts.purse.lend(now, &pool);
        (pool, addr, loan, wants)
    };
    if pool == front.me.vm {
        let loan = loan.map(|(part, (_, stamp))| (part, stamp));
        let (stamp, grants) = front.draw_here(&pool, loan, &wants);
        front.known.parts().purse.take(now, &pool, (front.me.incarnation, stamp), &grants);
        return;
    }
    draw_from(front, &pool, addr, loan, &wants).await;
}

async fn draw_from(
    front: &Front,
    pool: &VmId,
    addr: std::net::SocketAddr,
    loan: Option<(f64, (u64, Duration))>,
    wants: &[Want],
) {
    let (part, (life, stamp)) = loan.unwrap_or_default();
    let wants = wants.iter().map(WireWant::from).collect();
    let draw = Draw { part, stamp_us: stamp.as_micros() as u64, wants, life };
    match front.sessions.call(pool, addr, Body::Draw(draw), DRAW_TIMEOUT).await {
        Ok(Body::Drawn(drawn)) => {
            let grants: Vec<Grant> = drawn.grants.iter().map(|g| g.to_grant()).collect();
            let stamp = (drawn.life, Duration::from_micros(drawn.stamp_us));
            let mut parts = front.known.parts();
            parts.fleet.answered(pool);
            parts.purse.take(clock::now(), pool, stamp, &grants);
        }
        Ok(_) => log::warn!("rates: {pool} sent no tokens."),
        Err(e) => {
            log::info!("rates: {pool} gives no tokens: {e}.");
            front.known.parts().fleet.unanswered(clock::now(), pool);
        }
    }
}

/// Takes a token of `customer`, waiting a little if there is none at hand.
pub(crate) async fn take(front: &Front, customer: &Customer) -> bool {
    let until = clock::now() + TOKEN_WAIT;
    let mut first = true;
    loop {
        let filled = front.filled.notified();
        let now = clock::now();
        if front.known.parts().purse.spend(now, customer, first) == Spend::Taken {
            return true;
        }
        first = false;
        front.thirsty.notify_one();
        let left = until.saturating_sub(now);
        if left.is_zero() || timeout(left, filled).await.is_err() {
            return false;
        }
    }
}
