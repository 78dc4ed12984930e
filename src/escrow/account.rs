//! Rate limiting of one account at one member: the member's quota, the tokens it was granted, the
//! account's pool if this member is the pool home, and the queue of requests that wait for a token.
//!
//! Called by [`Escrow`](super::Escrow), which passes the time, requests and messages in.

mod home;

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::model::{Account, Incarnation, PoolPlace, VmId};
use crate::peer::ask::{Grant, GrantRequest, Loan, LoanRequest, Note};
use crate::zone::rendezvous_order;

use super::meter::Meter;
use super::{
    Action, Admission, AdmissionRequest, GrantedTokens, PeerStatus, Pool, Quota, RateLimit,
    Settings,
};

pub(crate) use home::AnnouncedHome;

/// The state of one account at one member.
#[derive(Clone, Debug)]
pub struct AccountEscrow {
    me: PeerStatus,
    incarnation: Incarnation,
    account: Account,
    settings: Settings,
    /// Start of this incarnation; stamps count from it.
    epoch: Instant,
    quota: Quota,
    pool: Pool,
    granted: GrantedTokens,
    announced: AnnouncedHome,
    pool_place: PoolPlace,
    /// Waiting requests, oldest first.
    queue: VecDeque<AdmissionRequest>,
    /// Requests at this member.
    demand: Meter,
    /// Tokens that each member took or wanted from the pool, while this member is the pool home.
    grant_meters: BTreeMap<VmId, Meter>,
    /// Time since which another zone's demand has been large enough to move the pool home there; none
    /// if it is not.
    busier_since: Option<Instant>,
    /// Earliest time of the next loan requests, while this member is the pool home.
    next_renewal: Instant,
    /// Earliest time of the next grant request.
    next_request: Instant,
}

impl AccountEscrow {
    /// An account with a quota of 0.
    pub fn new(
        now: Instant,
        me: PeerStatus,
        incarnation: Incarnation,
        account: Account,
        settings: Settings,
    ) -> Self {
        // An incarnation is the process's start time in milliseconds. In microseconds it is higher
        // than all ids of earlier incarnations, which use less than one id per microsecond.
        let first_id = incarnation * 1_000;
        Self {
            me,
            incarnation,
            account,
            settings,
            epoch: now,
            quota: Quota::new(now, settings, first_id),
            pool: Pool::new(now, settings),
            granted: GrantedTokens::new(now, incarnation, first_id),
            announced: AnnouncedHome::default(),
            pool_place: PoolPlace::default(),
            queue: VecDeque::new(),
            demand: Meter::new(now),
            grant_meters: BTreeMap::new(),
            busier_since: None,
            next_renewal: now,
            next_request: now,
        }
    }

    /// Sets whether the pool home follows the demand or stays where it is.
    pub fn set_pool_place(&mut self, place: PoolPlace) {
        self.pool_place = place;
    }

    /// Sets the size of this member's quota.
    pub fn resize(&mut self, now: Instant, quota: RateLimit) {
        self.quota.resize(now, quota.rate, quota.burst);
    }

    /// The largest size of the quota that this member or its borrower may be using.
    pub fn max_in_use(&mut self, now: Instant) -> RateLimit {
        let (rate, burst) = self.quota.max_in_use(now);
        RateLimit { rate, burst }
    }

    /// What this member can use now: its own quota while it is not lent, borrowed quota that the
    /// pool has not granted, and tokens granted to this member. The sum over all members never
    /// exceeds the account's rate limit.
    pub fn available(&mut self, now: Instant) -> RateLimit {
        let own = *self.quota.bucket(now);
        let pooled = self.pool.bucket(now);
        RateLimit {
            rate: own.rate() + pooled.rate(),
            burst: own.capacity() + pooled.capacity() + self.granted.tokens(now),
        }
    }

    /// The number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The pool home, as far as this member knows: the announced home if it is live, else the first
    /// live member in rendezvous order. A leaving member lists itself as not live, so that its pools
    /// move to others while it still runs.
    pub fn home(&self, peers: &[PeerStatus]) -> VmId {
        let live = || peers.iter().filter(|p| p.live);
        if let Some(vm) = self.announced.vm.as_ref().filter(|vm| live().any(|p| &p.vm == *vm)) {
            return vm.clone();
        }
        let key = format!("{}/{}", self.account.service, self.account.customer);
        let order = rendezvous_order(&key, live(), |p| p.vm.as_str());
        order.first().map_or_else(|| self.me.vm.clone(), |p| p.vm.clone())
    }

    pub(crate) fn announced(&self) -> &AnnouncedHome {
        &self.announced
    }

    /// Applies an announcement of a home. The higher term wins; of equal terms, the higher VM name.
    pub(crate) fn learn_home(&mut self, now: Instant, home: AnnouncedHome) {
        let newer = (home.term, &home.vm) > (self.announced.term, &self.announced.vm);
        if newer {
            self.announced = home;
            self.next_renewal = now;
            self.next_request = now;
        }
    }

    /// Takes one token, or queues the request until there is one.
    pub fn request(
        &mut self,
        now: Instant,
        request: AdmissionRequest,
        peers: &[PeerStatus],
    ) -> (Admission, Vec<Action>) {
        self.demand.count(now, 1.0);
        if self.queue.is_empty() && self.take_token(now, peers) {
            return (Admission::Admitted, Vec::new());
        }
        self.queue.push_back(request);
        (Admission::Waiting, self.serve_queue(now, peers))
    }

    /// Does what is due at `now`: answers queued requests and, at the pool home, renews loans and
    /// moves the home. Any other member returns the loans that its pool still has.
    pub fn tick(&mut self, now: Instant, peers: &[PeerStatus]) -> Vec<Action> {
        let home = self.home(peers);
        let mut actions = Vec::new();
        if home == self.me.vm {
            self.renew_loans(now, peers, &mut actions);
            if self.pool_place == PoolPlace::Follows {
                self.move_home_if_due(now, peers, &mut actions);
            }
        } else if !self.pool.is_empty(now) {
            self.return_pool_loans(now, &mut actions);
        }
        actions.extend(self.serve_queue(now, peers));
        actions
    }

    /// Handles a message from another member.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &VmId,
        note: &Note,
        peers: &[PeerStatus],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match note {
            Note::LoanRequest(request) => {
                self.on_loan_request(now, from, request, peers, &mut actions)
            }
            Note::Loan(loan) => self.on_loan(now, from, loan, peers, &mut actions),
            Note::LoanReturn(returned) => self.quota.take_back(now, from, returned),
            Note::GrantRequest(request) => {
                self.on_grant_request(now, from, request, peers, &mut actions)
            }
            Note::Grant(grant) => self.on_grant(now, from, grant, &mut actions),
        }
        actions.extend(self.serve_queue(now, peers));
        actions
    }

    /// Handles the end of a member's process.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        self.quota.borrower_died(now, vm, incarnation);
        self.pool.member_died(now, vm, incarnation);
    }

    /// Returns all loans, before this member leaves.
    pub fn return_loans(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.return_pool_loans(now, &mut actions);
        actions
    }

    fn take_token(&mut self, now: Instant, peers: &[PeerStatus]) -> bool {
        if self.home(peers) == self.me.vm && self.pool.take(now, 1.0) {
            self.grant_meter(now, &self.me.vm.clone()).count(now, 1.0);
            return true;
        }
        self.granted.take(now) || self.quota.bucket(now).take(now, 1.0)
    }

    /// Answers queued requests that can get a token or have expired, and asks for more tokens if
    /// others stay queued.
    fn serve_queue(&mut self, now: Instant, peers: &[PeerStatus]) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(first) = self.queue.front().copied() {
            if now >= first.deadline {
                let retry =
                    Duration::from_secs_f64(self.estimated_wait(now, peers).clamp(0.1, 60.0));
                actions.push(Action::Refuse { id: first.id, retry_after: retry });
            } else if self.take_token(now, peers) {
                actions.push(Action::Admit(first.id));
            } else {
                break;
            }
            self.queue.pop_front();
        }
        if !self.queue.is_empty() {
            self.request_grant(now, peers, &mut actions);
        }
        actions
    }

    /// Asks the pool home for tokens for the queued requests, and for half a grant TTL of further
    /// demand.
    fn request_grant(&mut self, now: Instant, peers: &[PeerStatus], actions: &mut Vec<Action>) {
        let home = self.home(peers);
        let pending = self.granted.is_waiting(now, self.settings.request_timeout);
        if home == self.me.vm || pending || now < self.next_request {
            return;
        }
        let want = self.queue.len() as f64;
        let ahead = self.demand.rate(now) * self.settings.grant_ttl.as_secs_f64() / 2.0;
        let note = Note::GrantRequest(self.granted.request(now, &home, want, ahead));
        actions.push(self.send(home, note));
    }

    fn estimated_wait(&mut self, now: Instant, peers: &[PeerStatus]) -> f64 {
        match self.home(peers) == self.me.vm {
            true => self.pool.wait(now, 1.0),
            false => self.next_request.saturating_duration_since(now).as_secs_f64(),
        }
    }

    /// Asks all live members for a loan or its renewal; again after a quarter of the usual interval
    /// if a loan is missing.
    fn renew_loans(&mut self, now: Instant, peers: &[PeerStatus], actions: &mut Vec<Action>) {
        if now < self.next_renewal {
            return;
        }
        self.next_renewal = now + self.settings.renew_interval;
        let stamp = self.stamp(now);
        let mut any_missing = false;
        for peer in peers.iter().filter(|p| p.live && p.vm != self.me.vm) {
            let held = self.pool.loan_id(now, &peer.vm);
            any_missing |= held == 0;
            let request = LoanRequest { stamp, held, incarnation: self.incarnation };
            actions.push(self.send(peer.vm.clone(), Note::LoanRequest(request)));
        }
        self.lend_own_quota(now, stamp);
        if any_missing {
            self.next_renewal = now + self.settings.renew_interval / 4;
        }
    }

    /// Lends the pool home's own quota to its pool, without a message.
    fn lend_own_quota(&mut self, now: Instant, stamp: u64) {
        let me = self.me.vm.clone();
        let held = self.pool.loan_id(now, &me);
        let request = LoanRequest { stamp, held, incarnation: self.incarnation };
        if let Some(loan) = self.quota.lend(now, &me, &request) {
            self.pool.accept(now, &me, now, &loan);
        }
    }

    fn on_loan_request(
        &mut self,
        now: Instant,
        from: &VmId,
        request: &LoanRequest,
        peers: &[PeerStatus],
        actions: &mut Vec<Action>,
    ) {
        if &self.home(peers) != from {
            return;
        }
        if let Some(loan) = self.quota.lend(now, from, request) {
            actions.push(self.send(from.clone(), Note::Loan(loan)));
        }
    }

    fn on_loan(
        &mut self,
        now: Instant,
        from: &VmId,
        loan: &Loan,
        peers: &[PeerStatus],
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.stamp_time(loan.stamp) else { return };
        if self.home(peers) == self.me.vm {
            self.pool.accept(now, from, sent, loan);
        } else if self.pool.loan_id(now, from) != loan.id {
            let returned = self.pool.decline(from, loan);
            actions.push(self.send(from.clone(), Note::LoanReturn(returned)));
        }
    }

    fn on_grant_request(
        &mut self,
        now: Instant,
        from: &VmId,
        request: &GrantRequest,
        peers: &[PeerStatus],
        actions: &mut Vec<Action>,
    ) {
        if self.home(peers) != self.me.vm {
            return;
        }
        // Requests queued at this member came first and are served first.
        actions.extend(self.serve_queue(now, peers));
        if let Some(grant) = self.pool.grant(now, from, request) {
            self.grant_meter(now, from).count(now, request.want.max(grant.tokens));
            actions.push(self.send(from.clone(), Note::Grant(grant)));
        }
    }

    fn on_grant(&mut self, now: Instant, from: &VmId, grant: &Grant, actions: &mut Vec<Action>) {
        if !self.granted.accept(now, from, grant) {
            return;
        }
        let shortfall = self.queue.len() as f64 - self.granted.tokens(now);
        if shortfall <= 0.0 {
            return;
        }
        let wait = Duration::from_micros(grant.wait_us);
        // Loans that reach the pool in the meantime can shorten the wait, so retry after at most one
        // renewal interval.
        self.next_request = now + wait.min(self.settings.renew_interval);
        self.refuse_unservable(now, wait, actions);
    }

    /// Refuses queued requests whose deadline is before the next token, so that their callers don't
    /// wait in vain.
    fn refuse_unservable(&mut self, now: Instant, wait: Duration, actions: &mut Vec<Action>) {
        let available = self.granted.tokens(now) as usize;
        let ready = now + wait;
        let mut kept = VecDeque::new();
        for (index, request) in std::mem::take(&mut self.queue).into_iter().enumerate() {
            if index >= available && request.deadline < ready {
                actions.push(Action::Refuse { id: request.id, retry_after: wait });
            } else {
                kept.push_back(request);
            }
        }
        self.queue = kept;
    }

    fn grant_meter(&mut self, now: Instant, vm: &VmId) -> &mut Meter {
        self.grant_meters.entry(vm.clone()).or_insert_with(|| Meter::new(now))
    }

    /// `now` as a stamp of this incarnation, in microseconds.
    fn stamp(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        self.incarnation * 1_000 + elapsed.as_micros() as u64
    }

    /// The time of a stamp of this incarnation; none if an earlier incarnation made it.
    fn stamp_time(&self, stamp: u64) -> Option<Instant> {
        let elapsed = stamp.checked_sub(self.incarnation * 1_000)?;
        Some(self.epoch + Duration::from_micros(elapsed))
    }

    fn send(&self, to: VmId, note: Note) -> Action {
        Action::Send { to, account: self.account.clone(), note }
    }
}
