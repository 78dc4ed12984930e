//! Tokens of customers' rates: every VM lends its part to the pool, the head of each zone draws
//! from the pool, and the VMs of a zone draw from their head.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::timeout;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, Draw, Drawn, PeerError, WireWant};
use crate::steer::{Customer, Grant, Spend, Stamp, Want};

use super::Front;

/// Time between two calls of the pool.
const POOL_DRAW_INTERVAL: Duration = Duration::from_millis(350);
/// Least time between two calls of the pool when requests wait.
const POOL_DRAW_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Longest wait for the pool's answer.
const POOL_DRAW_TIMEOUT: Duration = Duration::from_millis(500);
/// Time between two calls of the zone's head.
const LEADER_DRAW_INTERVAL: Duration = Duration::from_millis(120);
/// Least time between two calls of the zone's head when requests wait.
const LEADER_DRAW_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Longest wait for the answer of the zone's head.
const LEADER_DRAW_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest time for which a head waits for tokens before it answers.
const GRANT_TIMEOUT: Duration = Duration::from_millis(200);
/// Longest time for which a request waits for a token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(260);
/// Time after a start in which the first tokens are still on their way.
const STARTUP_PERIOD: Duration = Duration::from_millis(1_500);
/// Longest time for which a request waits for a token meanwhile.
const STARTUP_TOKEN_TIMEOUT: Duration = Duration::from_millis(700);

/// Starts the tasks that lend and draw.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(run_pool_draws(front.clone()));
    tokio::spawn(run_leader_draws(front.clone()));
}

/// Lends this VM's part to the pool, and draws for the zone if this VM is its head.
async fn run_pool_draws(front: Arc<Front>) {
    let start = clock::now();
    loop {
        draw_from_pool(&front, start).await;
        front.zone_supply.notify_waiters();
        front.token_supply.notify_waiters();
        tokio::time::sleep(POOL_DRAW_INTERVAL_MIN).await;
        // Either may come first; both lead to the next draw.
        let _ = timeout(POOL_DRAW_INTERVAL - POOL_DRAW_INTERVAL_MIN, front.zone_demand.notified())
            .await;
    }
}

async fn draw_from_pool(front: &Front, start: Duration) {
    let now = clock::now();
    let Some(index) = front.state.index() else { return };
    let (pool, addr, loan, wants) = {
        let mut state = front.state.lock();
        state.update_share(&front.me, start);
        let Some(pool) = state.fleet.pool(now) else { return };
        let Some(addr) = state.fleet.entry(&pool).map(|e| e.peers) else { return };
        let wants = match state.fleet.is_head(now) {
            true => state.zone_limiter.wants(now, index.table()),
            false => Vec::new(),
        };
        let loan = state.limiter.lend(now, &pool);
        (pool, addr, loan, wants)
    };
    if pool == front.me.vm {
        let loan = loan.map(|(part, (_, stamp))| (part, stamp));
        let (stamp, grants) = front.draw_from_own_pool(&pool, loan, &wants);
        // This life lends to itself, and an earlier one's loans have gone with it.
        front.state.lock().limiter.unlent(clock::now());
        front.apply_grants(&pool, (front.me.incarnation, stamp), &grants);
        return;
    }
    let (part, (life, stamp)) = loan.unwrap_or_default();
    let wants = wants.iter().map(WireWant::from).collect();
    let stamp_us = stamp.as_micros() as u64;
    let deaths = front.recent_crashes();
    let draw = Draw { part, stamp_us, wants, life, zone: false, deaths };
    match draw_reply(front.sessions.call(&pool, addr, Body::Draw(draw), POOL_DRAW_TIMEOUT).await) {
        Ok(drawn) => {
            let grants: Vec<Grant> = drawn.grants.iter().map(|g| g.to_grant()).collect();
            front.record_crashes(&drawn.deaths);
            if drawn.leaving {
                let mut state = front.state.lock();
                state.fleet.leaves(clock::now(), &pool);
                state.limiter.returned(clock::now(), &pool);
                front.zone_demand.notify_one();
                return;
            }
            front.state.lock().fleet.answered(&pool);
            if !drawn.lent {
                front.state.lock().limiter.unlent(clock::now());
            }
            let stamp = (drawn.life, Duration::from_micros(drawn.stamp_us));
            front.apply_grants(&pool, stamp, &grants);
        }
        Err(e) => {
            log::info!("rates: {pool} gives no tokens: {e}.");
            front.state.lock().fleet.unanswered(clock::now(), &pool);
        }
    }
}

/// Draws this VM's own tokens from the head of its zone.
async fn run_leader_draws(front: Arc<Front>) {
    loop {
        draw_from_leader(&front).await;
        front.token_supply.notify_waiters();
        tokio::time::sleep(LEADER_DRAW_INTERVAL_MIN).await;
        // Either may come first; both lead to the next draw.
        let _ = timeout(LEADER_DRAW_INTERVAL, front.token_demand.notified()).await;
    }
}

async fn draw_from_leader(front: &Front) {
    let now = clock::now();
    let Some(index) = front.state.index() else { return };
    let (leader, addr, wants) = {
        let mut state = front.state.lock();
        let Some(leader) = state.fleet.head(now) else { return };
        let Some(addr) = state.fleet.entry(&leader).map(|e| e.peers) else { return };
        let mut wants = state.limiter.wants(now, index.table());
        wants.retain(|w| w.tokens > 0.0);
        (leader, addr, wants)
    };
    if wants.is_empty() {
        return;
    }
    let grants = if leader == front.me.vm {
        grant_zone_tokens(front, &wants).await
    } else {
        let wants = wants.iter().map(WireWant::from).collect();
        let draw = Draw { wants, zone: true, ..Draw::default() };
        match draw_reply(
            front.sessions.call(&leader, addr, Body::Draw(draw), LEADER_DRAW_TIMEOUT).await,
        ) {
            Ok(drawn) => {
                if drawn.leaving {
                    front.state.lock().fleet.leaves(clock::now(), &leader);
                }
                drawn.grants.iter().map(|g| g.to_grant()).collect()
            }
            Err(e) => {
                log::info!("rates: zone leader {leader} granted no tokens: {e}.");
                front.state.lock().fleet.unanswered(clock::now(), &leader);
                return;
            }
        }
    };
    front.state.lock().limiter.add(clock::now(), &grants);
}

fn draw_reply(answer: Result<Body, PeerError>) -> Result<Drawn, String> {
    match answer {
        Ok(Body::Drawn(drawn)) => Ok(drawn),
        Ok(_) => Err("it sent no tokens".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// Hands out the zone's tokens; if there is none at all for what is wanted, waits for the pool.
pub(crate) async fn grant_zone_tokens(front: &Front, wants: &[Want]) -> Vec<Grant> {
    let until = clock::now() + GRANT_TIMEOUT;
    loop {
        let token_supply = front.zone_supply.notified();
        let now = clock::now();
        let (grants, short) = grant_available(front, now, wants);
        if short {
            front.zone_demand.notify_one();
        }
        let left = until.saturating_sub(now);
        if !grants.is_empty() || left.is_zero() || timeout(left, token_supply).await.is_err() {
            return grants;
        }
    }
}

/// Tokens at hand for `wants`, and whether there were too few.
fn grant_available(front: &Front, now: Duration, wants: &[Want]) -> (Vec<Grant>, bool) {
    let Some(index) = front.state.index() else { return (Vec::new(), false) };
    let mut state = front.state.lock();
    let mut short = false;
    let mut grants = Vec::new();
    for want in wants {
        let customer = index.table().customers.iter().find(|c| c.id == want.customer);
        let Some(customer) = customer else { continue };
        let tokens = state.zone_limiter.hand_out(now, customer, want.tokens);
        short |= tokens < want.tokens;
        if tokens > 0.0 {
            grants.push(Grant { customer: want.customer.clone(), tokens });
        }
    }
    (grants, short)
}

/// Takes a token of `customer`, waiting a little if there is none at hand.
///
/// # Errors
/// Says why there is none.
pub(crate) async fn take_token(front: &Front, customer: &Customer) -> Result<(), &'static str> {
    let start = clock::now();
    let starting = start.saturating_sub(front.started) < STARTUP_PERIOD;
    let until = start + if starting { STARTUP_TOKEN_TIMEOUT } else { TOKEN_TIMEOUT };
    let mut first = true;
    loop {
        let token_supply = front.token_supply.notified();
        let now = clock::now();
        let spend = front.state.lock().limiter.spend(now, customer, first);
        if spend == Spend::Taken {
            return Ok(());
        }
        first = false;
        front.token_demand.notify_one();
        if spend == Spend::Short {
            return Err("the pool has just given too few tokens");
        }
        let left = until.saturating_sub(now);
        if left.is_zero() || timeout(left, token_supply).await.is_err() {
            return Err("no tokens came in time");
        }
    }
}

impl Front {
    /// Takes in the pool's answer.
    fn apply_grants(&self, pool: &VmId, stamp: Stamp, grants: &[Grant]) {
        let mut state = self.state.lock();
        let now = clock::now();
        let new = state.limiter.lent(now, pool, stamp);
        state.zone_limiter.add(now, grants);
        if new {
            // The part can be lent with the next call only, under the stamp that has just come.
            self.zone_demand.notify_one();
        }
    }
}
