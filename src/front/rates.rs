//! Tokens for customers' rate limits. Every entry VM that owns a share of the rates lends it to the
//! token pool on one VM. The token leader of each zone draws from the pool, and the other VMs of the
//! zone draw from their leader.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::clock;
use crate::model::VmId;
use crate::peer::{Body, DrawRequest, DrawResponse, PeerError, WireRouteDemand, WireTokenRequest};
use crate::steer::{PoolTimestamp, RankClass, TokenGrant, TokenRequest};

use super::Front;

/// Interval of the draws from the pool.
const POOL_DRAW_INTERVAL: Duration = Duration::from_millis(350);
/// Shortest interval of the draws from the pool, while the zone is short of tokens.
const POOL_DRAW_INTERVAL_MIN: Duration = Duration::from_millis(100);
/// Interval of the draws of a VM that has neither a share to lend nor tokens to draw; they exchange
/// crashes of targets.
const IDLE_POOL_DRAW_INTERVAL: Duration = Duration::from_secs(2);
/// Timeout of a draw from the pool.
const POOL_DRAW_TIMEOUT: Duration = Duration::from_millis(500);
/// Wait for a request that needs a token, after [`LEADER_DRAW_INTERVAL_MIN`]; then the next draw from
/// the token leader starts anyway.
const LEADER_DRAW_INTERVAL: Duration = Duration::from_millis(120);
/// Shortest interval of the draws from the token leader, while requests wait for tokens.
const LEADER_DRAW_INTERVAL_MIN: Duration = Duration::from_millis(5);
/// Timeout of a draw from the token leader.
const LEADER_DRAW_TIMEOUT: Duration = Duration::from_millis(450);
/// Number of draws from the token leader in progress at which no more are started.
const LEADER_DRAWS_MAX: usize = 16;
/// Time for which a token leader waits for tokens before it responds without any.
const GRANT_TIMEOUT: Duration = Duration::from_millis(300);

/// Starts the tasks that lend this VM's share and draw tokens.
pub(crate) fn start(front: &Arc<Front>) {
    tokio::spawn(run_pool_draws(front.clone()));
    tokio::spawn(run_leader_draws(front.clone()));
}

/// Lends this VM's share to the pool, and draws the zone's tokens if this VM is the token leader.
async fn run_pool_draws(front: Arc<Front>) {
    let start = clock::now();
    loop {
        draw_from_pool(&front, start).await;
        front.zone_supply.notify_waiters();
        front.serve_waiting();
        tokio::time::sleep(POOL_DRAW_INTERVAL_MIN).await;
        let interval = pool_draw_interval(&front) - POOL_DRAW_INTERVAL_MIN;
        // A timeout and a notification both start the next draw.
        let _ = timeout(interval, front.zone_demand.notified()).await;
    }
}

/// Time from one draw from the pool to the next, unless there is demand. It is short until the share
/// is lent, since requests after a start find no tokens until then.
fn pool_draw_interval(front: &Front) -> Duration {
    let now = clock::now();
    let state = front.state.lock();
    let lends = state.fleet.is_empty() || state.fleet.own_share() > 0.0;
    if lends && !state.limiter.is_lent(now) {
        return POOL_DRAW_INTERVAL_MIN;
    }
    match lends || state.fleet.is_token_leader(now) {
        true => POOL_DRAW_INTERVAL,
        false => IDLE_POOL_DRAW_INTERVAL,
    }
}

async fn draw_from_pool(front: &Front, start: Duration) {
    let now = clock::now();
    let Some(index) = front.state.index() else { return };
    let (pool, addr, loan, wants) = {
        let mut state = front.state.lock();
        state.update_share(&front.me, start);
        let Some(pool) = state.fleet.pool_vm(now) else { return };
        let Some(addr) = state.fleet.record(&pool).map(|e| e.peers) else { return };
        let wants = match state.fleet.is_token_leader(now) {
            true => state.zone_limiter.token_requests(now, index.table()),
            false => Vec::new(),
        };
        let loan = state.limiter.lendable(now, &pool);
        (pool, addr, loan, wants)
    };
    if pool == front.me.vm {
        let loan = loan.map(|(share, (_, timestamp))| (share, timestamp));
        let (timestamp, grants) = front.draw_from_own_pool(&pool, loan, &wants);
        front.exchange_own_demand();
        // The pool is in this process, so it can't hold a loan of an earlier incarnation.
        front.state.lock().limiter.clear_prior_loan(clock::now());
        front.apply_grants(&pool, (front.me.incarnation, timestamp), &wants, &grants);
        return;
    }
    let (share, (incarnation, timestamp)) = loan.unwrap_or_default();
    let wire_wants = wants.iter().map(WireTokenRequest::from).collect();
    let stamp_us = timestamp.as_micros() as u64;
    let deaths = front.recent_crashes();
    let demand = front.own_demand().into_iter().map(WireRouteDemand::from).collect();
    let draw = DrawRequest {
        share,
        stamp_us,
        wants: wire_wants,
        incarnation,
        zone: false,
        deaths,
        demand,
    };
    match draw_response(
        front.sessions.call(&pool, addr, Body::DrawRequest(draw), POOL_DRAW_TIMEOUT).await,
    ) {
        Ok(drawn) => {
            let grants: Vec<TokenGrant> = drawn.grants.iter().map(|g| g.to_token_grant()).collect();
            front.record_crashes(&drawn.deaths);
            front.record_demand(&drawn.demand);
            if drawn.leaving {
                let mut state = front.state.lock();
                state.fleet.mark_leaving(clock::now(), &pool);
                state.limiter.end_loan(clock::now(), &pool);
                state.zone_limiter.cancel_requests(&wants);
                front.zone_demand.notify_one();
                return;
            }
            front.state.lock().fleet.mark_responsive(&pool);
            if !drawn.lent {
                front.state.lock().limiter.clear_prior_loan(clock::now());
            }
            let timestamp = (drawn.incarnation, Duration::from_micros(drawn.stamp_us));
            front.apply_grants(&pool, timestamp, &wants, &grants);
        }
        Err(e) => {
            log::info!("rates: drawing from the pool on {pool} failed: {e}.");
            let mut state = front.state.lock();
            state.fleet.mark_unresponsive(clock::now(), &pool);
            state.zone_limiter.cancel_requests(&wants);
        }
    }
}

/// Draws this VM's tokens from the token leader. Several draws may be in progress, each for one class
/// and other customers, since the leader answers late for a customer that has exhausted its rate.
async fn run_leader_draws(front: Arc<Front>) {
    let mut draws = JoinSet::new();
    loop {
        while draws.try_join_next().is_some() {}
        if draws.len() < LEADER_DRAWS_MAX {
            for draw in next_leader_draws(&front) {
                draws.spawn(draw_from_leader(front.clone(), draw));
            }
        }
        tokio::time::sleep(LEADER_DRAW_INTERVAL_MIN).await;
        // A timeout and a notification both start the next draw.
        let _ = timeout(LEADER_DRAW_INTERVAL, front.token_demand.notified()).await;
    }
}

/// A draw from the token leader.
struct LeaderDraw {
    leader: VmId,
    addr: SocketAddr,
    wants: Vec<TokenRequest>,
}

/// The next draws, if tokens are wanted and the leader is known: one for each class, since the leader
/// answers a draw as soon as it has tokens for any part of it.
fn next_leader_draws(front: &Front) -> Vec<LeaderDraw> {
    let now = clock::now();
    let Some(index) = front.state.index() else { return Vec::new() };
    let mut state = front.state.lock();
    let Some(leader) = state.fleet.token_leader(now) else { return Vec::new() };
    let Some(addr) = state.fleet.record(&leader).map(|r| r.peers) else { return Vec::new() };
    let mut wants = state.limiter.token_requests(now, index.table());
    drop(state);
    wants.retain(|w| w.tokens > 0.0);
    let of_class = |class: RankClass| {
        let wants: Vec<_> = wants.iter().filter(|w| w.rank == class).cloned().collect();
        LeaderDraw { leader: leader.clone(), addr, wants }
    };
    RankClass::ALL.into_iter().map(of_class).filter(|d| !d.wants.is_empty()).collect()
}

async fn draw_from_leader(front: Arc<Front>, draw: LeaderDraw) {
    let LeaderDraw { leader, addr, wants } = draw;
    let grants = match leader == front.me.vm {
        true => Ok(grant_zone_tokens(&front, &wants).await),
        false => request_grants(&front, &leader, addr, &wants).await,
    };
    {
        let mut state = front.state.lock();
        match grants {
            Ok(grants) => state.limiter.add_grants(clock::now(), &wants, &grants),
            Err(e) => {
                log::info!("rates: drawing from token leader {leader} failed: {e}.");
                state.fleet.mark_unresponsive(clock::now(), &leader);
                state.limiter.cancel_requests(&wants);
            }
        }
    }
    front.serve_waiting();
}

async fn request_grants(
    front: &Front,
    leader: &VmId,
    addr: SocketAddr,
    wants: &[TokenRequest],
) -> Result<Vec<TokenGrant>, String> {
    let wants = wants.iter().map(WireTokenRequest::from).collect();
    let draw = DrawRequest { wants, zone: true, ..DrawRequest::default() };
    let call = front.sessions.call(leader, addr, Body::DrawRequest(draw), LEADER_DRAW_TIMEOUT);
    let drawn = draw_response(call.await)?;
    if drawn.leaving {
        front.state.lock().fleet.mark_leaving(clock::now(), leader);
    }
    Ok(drawn.grants.iter().map(|g| g.to_token_grant()).collect())
}

fn draw_response(response: Result<Body, PeerError>) -> Result<DrawResponse, String> {
    match response {
        Ok(Body::DrawResponse(drawn)) => Ok(drawn),
        Ok(_) => Err("unexpected kind of response".to_owned()),
        Err(e) => Err(e.to_string()),
    }
}

/// Grants tokens of the zone; if there are none for any request, waits briefly for the pool.
pub(crate) async fn grant_zone_tokens(front: &Front, wants: &[TokenRequest]) -> Vec<TokenGrant> {
    let until = clock::now() + GRANT_TIMEOUT;
    loop {
        let supply = front.zone_supply.notified();
        let now = clock::now();
        let (grants, short) = grant_available(front, now, wants);
        if short {
            front.zone_demand.notify_one();
        }
        let left = until.saturating_sub(now);
        if !grants.is_empty() || left.is_zero() || timeout(left, supply).await.is_err() {
            return grants;
        }
    }
}

/// The available tokens for `wants`, and whether they were too few.
fn grant_available(
    front: &Front,
    now: Duration,
    wants: &[TokenRequest],
) -> (Vec<TokenGrant>, bool) {
    let Some(index) = front.state.index() else { return (Vec::new(), false) };
    let mut state = front.state.lock();
    let mut short = false;
    let mut grants = Vec::new();
    for want in wants {
        let customer = index.table().customers.iter().find(|c| c.id == want.customer);
        let Some(customer) = customer else { continue };
        let tokens = state.zone_limiter.take_for(now, customer, want);
        short |= tokens < want.tokens;
        if tokens > 0.0 {
            let (customer, rank) = (want.customer.clone(), Some(want.rank));
            grants.push(TokenGrant { customer, tokens, rank });
        }
    }
    (grants, short)
}

impl Front {
    /// Applies the pool's response: the share counts as lent, and the grants go to the zone.
    fn apply_grants(
        &self,
        pool: &VmId,
        timestamp: PoolTimestamp,
        wants: &[TokenRequest],
        grants: &[TokenGrant],
    ) {
        let mut state = self.state.lock();
        let now = clock::now();
        let new = state.limiter.start_loan(now, pool, timestamp);
        state.zone_limiter.add_grants(now, wants, grants);
        if new && state.fleet.own_share() > 0.0 {
            // Only the next draw can lend the share, since it must return this timestamp.
            self.zone_demand.notify_one();
        }
    }
}
