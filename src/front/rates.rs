//! Tokens of customers' rates: every VM lends its part to the pool, the head of each zone draws
//! from the pool, and the VMs of a zone draw from their head.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, DrawRequest, DrawResponse, PeerError, WireTokenRequest};
use crate::steer::{Customer, PoolTimestamp, TakeResult, TokenGrant, TokenRequest};

use super::Front;

/// Time between two calls of the pool.
const POOL_PAUSE: Duration = Duration::from_millis(350);
/// Least time between two calls of the pool when requests wait.
const POOL_HURRY: Duration = Duration::from_millis(100);
/// Longest wait for the pool's answer.
const POOL_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two calls of the zone's head.
const ZONE_PAUSE: Duration = Duration::from_millis(120);
/// Least time between two calls of the zone's head when requests wait.
const ZONE_HURRY: Duration = Duration::from_millis(5);
/// Longest wait for the answer of the zone's head.
const ZONE_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for which a head waits for tokens before it answers.
const HEAD_WAIT: Duration = Duration::from_millis(200);
/// Longest time for which a request waits for a token.
const TOKEN_WAIT: Duration = Duration::from_millis(260);
/// Time after a start in which the first tokens are still on their way.
const START_TIME: Duration = Duration::from_millis(1_500);
/// Longest time for which a request waits for a token meanwhile.
const START_WAIT: Duration = Duration::from_millis(700);

/// Starts the tasks that lend and draw.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(call_pool(front.clone()));
    tokio::spawn(call_head(front.clone()));
}

/// Lends this VM's part to the pool, and draws for the zone if this VM is its head.
async fn call_pool(front: Arc<Front>) {
    let start = clock::now();
    loop {
        draw_from_pool(&front, start).await;
        front.zone_filled.notify_waiters();
        front.filled.notify_waiters();
        tokio::time::sleep(POOL_HURRY).await;
        // Either may come first; both lead to the next draw.
        let _ = timeout(POOL_PAUSE - POOL_HURRY, front.zone_thirsty.notified()).await;
    }
}

async fn draw_from_pool(front: &Front, start: Duration) {
    let now = clock::now();
    let Some(index) = front.known.index() else { return };
    let (pool, addr, loan, wants) = {
        let mut parts = front.known.parts();
        parts.own_part(&front.me, start);
        let Some(pool) = parts.fleet.pool_vm(now) else { return };
        let Some(addr) = parts.fleet.record(&pool).map(|e| e.peers) else { return };
        let wants = match parts.fleet.is_zone_leader(now) {
            true => parts.zone_purse.token_requests(now, index.table()),
            false => Vec::new(),
        };
        let loan = parts.purse.lendable(now, &pool);
        (pool, addr, loan, wants)
    };
    if pool == front.me.vm {
        let loan = loan.map(|(part, (_, stamp))| (part, stamp));
        let (stamp, grants) = front.draw_here(&pool, loan, &wants);
        // This life lends to itself, and an earlier one's loans have gone with it.
        front.known.parts().purse.clear_prior_loan(clock::now());
        front.take_grants(&pool, (front.me.incarnation, stamp), &grants);
        return;
    }
    let (part, (life, stamp)) = loan.unwrap_or_default();
    let wants = wants.iter().map(WireTokenRequest::from).collect();
    let stamp_us = stamp.as_micros() as u64;
    let deaths = front.recent_deaths();
    let draw = DrawRequest { share: part, stamp_us, wants, incarnation: life, zone: false, deaths };
    match drawn(front.sessions.call(&pool, addr, Body::DrawRequest(draw), POOL_TIMEOUT).await) {
        Ok(drawn) => {
            let grants: Vec<TokenGrant> = drawn.grants.iter().map(|g| g.to_token_grant()).collect();
            front.learn_deaths(&drawn.deaths);
            if drawn.leaving {
                let mut parts = front.known.parts();
                parts.fleet.mark_leaving(clock::now(), &pool);
                parts.purse.end_loan(clock::now(), &pool);
                front.zone_thirsty.notify_one();
                return;
            }
            front.known.parts().fleet.mark_responsive(&pool);
            if !drawn.lent {
                front.known.parts().purse.clear_prior_loan(clock::now());
            }
            let stamp = (drawn.incarnation, Duration::from_micros(drawn.stamp_us));
            front.take_grants(&pool, stamp, &grants);
        }
        Err(e) => {
            log::info!("rates: {pool} gives no tokens: {e}.");
            front.known.parts().fleet.mark_unresponsive(clock::now(), &pool);
        }
    }
}

/// Draws this VM's own tokens from the head of its zone.
async fn call_head(front: Arc<Front>) {
    loop {
        draw_from_head(&front).await;
        front.filled.notify_waiters();
        tokio::time::sleep(ZONE_HURRY).await;
        // Either may come first; both lead to the next draw.
        let _ = timeout(ZONE_PAUSE, front.thirsty.notified()).await;
    }
}

async fn draw_from_head(front: &Front) {
    let now = clock::now();
    let Some(index) = front.known.index() else { return };
    let (head, addr, wants) = {
        let mut parts = front.known.parts();
        let Some(head) = parts.fleet.zone_leader(now) else { return };
        let Some(addr) = parts.fleet.record(&head).map(|e| e.peers) else { return };
        let mut wants = parts.purse.token_requests(now, index.table());
        wants.retain(|w| w.tokens > 0.0);
        (head, addr, wants)
    };
    if wants.is_empty() {
        return;
    }
    let grants = if head == front.me.vm {
        hand_out(front, &wants).await
    } else {
        let wants = wants.iter().map(WireTokenRequest::from).collect();
        let draw = DrawRequest { wants, zone: true, ..DrawRequest::default() };
        match drawn(front.sessions.call(&head, addr, Body::DrawRequest(draw), ZONE_TIMEOUT).await) {
            Ok(drawn) => {
                if drawn.leaving {
                    front.known.parts().fleet.mark_leaving(clock::now(), &head);
                }
                drawn.grants.iter().map(|g| g.to_token_grant()).collect()
            }
            Err(e) => {
                log::info!("rates: head {head} gives no tokens: {e}.");
                front.known.parts().fleet.mark_unresponsive(clock::now(), &head);
                return;
            }
        }
    };
    front.known.parts().purse.add_grants(clock::now(), &grants);
}

fn drawn(answer: Result<Body, PeerError>) -> Result<DrawResponse, String> {
    match answer {
        Ok(Body::DrawResponse(drawn)) => Ok(drawn),
        Ok(_) => Err("it sent no tokens".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// Hands out the zone's tokens; if there is none at all for what is wanted, waits for the pool.
pub(crate) async fn hand_out(front: &Front, wants: &[TokenRequest]) -> Vec<TokenGrant> {
    let until = clock::now() + HEAD_WAIT;
    loop {
        let filled = front.zone_filled.notified();
        let now = clock::now();
        let (grants, short) = hand_out_now(front, now, wants);
        if short {
            front.zone_thirsty.notify_one();
        }
        let left = until.saturating_sub(now);
        if !grants.is_empty() || left.is_zero() || timeout(left, filled).await.is_err() {
            return grants;
        }
    }
}

/// Tokens at hand for `wants`, and whether there were too few.
fn hand_out_now(front: &Front, now: Duration, wants: &[TokenRequest]) -> (Vec<TokenGrant>, bool) {
    let Some(index) = front.known.index() else { return (Vec::new(), false) };
    let mut parts = front.known.parts();
    let mut short = false;
    let mut grants = Vec::new();
    for want in wants {
        let customer = index.table().customers.iter().find(|c| c.id == want.customer);
        let Some(customer) = customer else { continue };
        let tokens = parts.zone_purse.take_up_to(now, customer, want.tokens);
        short |= tokens < want.tokens;
        if tokens > 0.0 {
            grants.push(TokenGrant { customer: want.customer.clone(), tokens });
        }
    }
    (grants, short)
}

/// Takes a token of `customer`, waiting a little if there is none at hand.
///
/// # Errors
/// Says why there is none.
pub(crate) async fn take(front: &Front, customer: &Customer) -> Result<(), &'static str> {
    let start = clock::now();
    let young = start.saturating_sub(front.started) < START_TIME;
    let until = start + if young { START_WAIT } else { TOKEN_WAIT };
    let mut first = true;
    loop {
        let filled = front.filled.notified();
        let now = clock::now();
        let spend = front.known.parts().purse.take(now, customer, first);
        if spend == TakeResult::Taken {
            return Ok(());
        }
        first = false;
        front.thirsty.notify_one();
        if spend == TakeResult::Exhausted {
            return Err("the pool has just given too few tokens");
        }
        let left = until.saturating_sub(now);
        if left.is_zero() || timeout(left, filled).await.is_err() {
            return Err("no tokens came in time");
        }
    }
}

impl Front {
    /// Takes in the pool's answer.
    fn take_grants(&self, pool: &VmId, stamp: PoolTimestamp, grants: &[TokenGrant]) {
        let mut parts = self.known.parts();
        let now = clock::now();
        let new = parts.purse.start_loan(now, pool, stamp);
        parts.zone_purse.add_grants(now, grants);
        if new {
            // The part can be lent with the next call only, under the stamp that has just come.
            self.zone_thirsty.notify_one();
        }
    }
}
