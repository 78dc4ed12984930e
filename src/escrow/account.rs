//! One account at one member: its floor, its wallet, its pool if this member is the home, and the
//! requests that wait for a token.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::model::{Account, Incarnation, PoolPlace, VmId, ZoneId};
use crate::peer::ask::{Ask, Borrow, Grant, Loan, Note};
use crate::zone::ranked;

use super::meter::Meter;
use super::{Floor, Pool, Wallet};

/// Times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Length of a loan.
    pub lease: Duration,
    /// Length of a grant; shorter than a loan.
    pub grant: Duration,
    /// Time between renewals; at most a quarter of a loan.
    pub renew: Duration,
    /// Time after which an ask without an answer is sent again.
    pub patience: Duration,
    /// Part of the remaining tokens that one member may get ahead of demand.
    pub ahead: f64,
    /// Largest difference between the rates of two clocks, as a part.
    pub clock_error: f64,
    /// The home moves to a zone with this many times the demand of its own.
    pub move_factor: f64,
    /// Time for which that demand must have lasted.
    pub move_after: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(2),
            grant: Duration::from_secs(1),
            renew: Duration::from_millis(500),
            patience: Duration::from_millis(300),
            ahead: 0.25,
            clock_error: 0.01,
            move_factor: 1.5,
            move_after: Duration::from_secs(2),
        }
    }
}

/// The whole sum of an account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Total {
    /// Tokens a second.
    pub rate: f64,
    /// Tokens at once.
    pub burst: f64,
}

impl Total {
    /// Nothing.
    pub const ZERO: Total = Total { rate: 0.0, burst: 0.0 };
}

/// A member as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The member.
    pub vm: VmId,
    /// Its zone.
    pub zone: ZoneId,
    /// True if it answers.
    pub live: bool,
}

/// A request for one token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Names the request in actions.
    pub ticket: u64,
    /// Latest time for an answer.
    pub until: Instant,
}

/// The answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A token was taken.
    Admitted,
    /// An action will follow with the answer.
    Waiting,
}

/// What the shell must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a message to a member; it may be lost.
    Send {
        /// The receiver.
        to: VmId,
        /// The account.
        account: Account,
        /// The message.
        note: Note,
    },
    /// A waiting request has its token.
    Admit(u64),
    /// A waiting request gets none in time.
    Refuse {
        /// The request.
        ticket: u64,
        /// Time after which a token can be expected.
        retry: Duration,
    },
    /// The home has moved; tell all members soon.
    Announce,
}

/// The home that was last announced.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Announced {
    pub(crate) term: u64,
    pub(crate) vm: Option<VmId>,
}

/// One account at one member.
#[derive(Clone, Debug)]
pub struct Steward {
    me: Peer,
    incarnation: Incarnation,
    account: Account,
    settings: Settings,
    /// Start of this life; stamps count from it.
    epoch: Instant,
    floor: Floor,
    pool: Pool,
    wallet: Wallet,
    announced: Announced,
    place: PoolPlace,
    /// Oldest first.
    queue: VecDeque<Request>,
    demand: Meter,
    /// Tokens granted to members, measured at the home.
    granted: BTreeMap<VmId, Meter>,
    /// Since when another zone has had the larger demand.
    drift: Option<Instant>,
    next_borrow: Instant,
    next_ask: Instant,
}

impl Steward {
    /// An account without any sum.
    pub fn new(
        now: Instant,
        me: Peer,
        incarnation: Incarnation,
        account: Account,
        settings: Settings,
    ) -> Self {
        // Microseconds since the epoch of incarnations: higher in each later life.
        let first = incarnation * 1_000;
        Self {
            me,
            incarnation,
            account,
            settings,
            epoch: now,
            floor: Floor::new(now, settings, first),
            pool: Pool::new(now, settings),
            wallet: Wallet::new(now, incarnation, first),
            announced: Announced::default(),
            place: PoolPlace::default(),
            queue: VecDeque::new(),
            demand: Meter::new(now),
            granted: BTreeMap::new(),
            drift: None,
            next_borrow: now,
            next_ask: now,
        }
    }

    /// Sets where the pool is. A pool that stays is not moved by this member.
    pub fn set_place(&mut self, place: PoolPlace) {
        self.place = place;
    }

    /// Sets this member's part of the sum.
    pub fn resize(&mut self, now: Instant, part: Total) {
        self.floor.resize(now, part.rate, part.burst);
    }

    /// The largest part that this member or its borrower may be using.
    pub fn in_use(&mut self, now: Instant) -> Total {
        let (rate, burst) = self.floor.in_use(now);
        Total { rate, burst }
    }

    /// What this member itself can use now: its floor while that is not lent, what it has borrowed
    /// and not granted, and what it has been granted. Over all members, this never exceeds the
    /// whole sum.
    pub fn in_hand(&mut self, now: Instant) -> Total {
        let own = *self.floor.bucket(now);
        let pooled = self.pool.bucket(now);
        Total {
            rate: own.rate() + pooled.rate(),
            burst: own.capacity() + pooled.capacity() + self.wallet.tokens(now),
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The member that holds the pool in this member's view. A member that leaves lists itself as
    /// not live, so that its pools go to others while it still runs.
    pub fn home(&self, peers: &[Peer]) -> VmId {
        let live = || peers.iter().filter(|p| p.live);
        if let Some(vm) = self.announced.vm.as_ref().filter(|vm| live().any(|p| &p.vm == *vm)) {
            return vm.clone();
        }
        let key = format!("{}/{}", self.account.service, self.account.customer);
        let order = ranked(&key, live(), |p| p.vm.as_str());
        order.first().map_or_else(|| self.me.vm.clone(), |p| p.vm.clone())
    }

    pub(crate) fn announced(&self) -> &Announced {
        &self.announced
    }

    /// Learns of an announced home. The higher term wins, then the higher name.
    pub(crate) fn hear(&mut self, now: Instant, heard: Announced) {
        let newer = (heard.term, &heard.vm) > (self.announced.term, &self.announced.vm);
        if newer {
            self.announced = heard;
            self.next_borrow = now;
            self.next_ask = now;
        }
    }

    /// Asks for one token.
    pub fn request(
        &mut self,
        now: Instant,
        request: Request,
        peers: &[Peer],
    ) -> (Verdict, Vec<Action>) {
        self.demand.count(now, 1.0);
        if self.queue.is_empty() && self.spend(now, peers) {
            return (Verdict::Admitted, Vec::new());
        }
        self.queue.push_back(request);
        (Verdict::Waiting, self.pump(now, peers))
    }

    /// Lets time pass: renews loans, answers waiting requests, moves the home.
    pub fn tick(&mut self, now: Instant, peers: &[Peer]) -> Vec<Action> {
        let home = self.home(peers);
        let mut actions = Vec::new();
        if home == self.me.vm {
            self.borrow(now, peers, &mut actions);
            if self.place == PoolPlace::Follows {
                self.consider_move(now, peers, &mut actions);
            }
        } else if !self.pool.is_empty(now) {
            self.close_pool(now, &mut actions);
        }
        actions.extend(self.pump(now, peers));
        actions
    }

    /// Takes in a message of another member.
    pub fn receive(
        &mut self,
        now: Instant,
        from: &VmId,
        note: &Note,
        peers: &[Peer],
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match note {
            Note::Borrow(borrow) => self.on_borrow(now, from, borrow, peers, &mut actions),
            Note::Loan(loan) => self.on_loan(now, from, loan, peers, &mut actions),
            Note::Return(back) => self.floor.take_back(now, from, back),
            Note::Ask(ask) => self.on_ask(now, from, ask, peers, &mut actions),
            Note::Grant(grant) => self.on_grant(now, from, grant, &mut actions),
        }
        actions.extend(self.pump(now, peers));
        actions
    }

    /// Learns that a life of a member has ended.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        self.floor.borrower_died(now, vm, incarnation);
        self.pool.member_died(now, vm, incarnation);
    }

    /// Gives all loans back, before this member leaves.
    pub fn close(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.close_pool(now, &mut actions);
        actions
    }

    fn spend(&mut self, now: Instant, peers: &[Peer]) -> bool {
        if self.home(peers) == self.me.vm && self.pool.take(now, 1.0) {
            self.meter_of(now, &self.me.vm.clone()).count(now, 1.0);
            return true;
        }
        self.wallet.spend(now) || self.floor.bucket(now).take(now, 1.0)
    }

    /// Answers waiting requests as far as tokens and time go, then asks for more.
    fn pump(&mut self, now: Instant, peers: &[Peer]) -> Vec<Action> {
        let mut actions = Vec::new();
        while let Some(first) = self.queue.front().copied() {
            if now >= first.until {
                let retry = Duration::from_secs_f64(self.own_wait(now, peers).clamp(0.1, 60.0));
                actions.push(Action::Refuse { ticket: first.ticket, retry });
            } else if self.spend(now, peers) {
                actions.push(Action::Admit(first.ticket));
            } else {
                break;
            }
            self.queue.pop_front();
        }
        if !self.queue.is_empty() {
            self.ask(now, peers, &mut actions);
        }
        actions
    }

    fn ask(&mut self, now: Instant, peers: &[Peer], actions: &mut Vec<Action>) {
        let home = self.home(peers);
        let open = self.wallet.is_asking(now, self.settings.patience);
        if home == self.me.vm || open || now < self.next_ask {
            return;
        }
        let want = self.queue.len() as f64;
        let ahead = self.demand.rate(now) * self.settings.grant.as_secs_f64() / 2.0;
        let note = Note::Ask(self.wallet.ask(now, &home, want, ahead));
        actions.push(self.send(home, note));
    }

    fn own_wait(&mut self, now: Instant, peers: &[Peer]) -> f64 {
        match self.home(peers) == self.me.vm {
            true => self.pool.wait(now, 1.0),
            false => self.next_ask.saturating_duration_since(now).as_secs_f64(),
        }
    }

    fn borrow(&mut self, now: Instant, peers: &[Peer], actions: &mut Vec<Action>) {
        if now < self.next_borrow {
            return;
        }
        self.next_borrow = now + self.settings.renew;
        let stamp = self.stamp(now);
        let mut missing = false;
        for peer in peers.iter().filter(|p| p.live && p.vm != self.me.vm) {
            let held = self.pool.held(now, &peer.vm);
            missing |= held == 0;
            let borrow = Borrow { stamp, held, incarnation: self.incarnation };
            actions.push(self.send(peer.vm.clone(), Note::Borrow(borrow)));
        }
        self.borrow_own(now, stamp);
        if missing {
            self.next_borrow = now + self.settings.renew / 4;
        }
    }

    /// The home's own floor goes into the pool without a message.
    fn borrow_own(&mut self, now: Instant, stamp: u64) {
        let me = self.me.vm.clone();
        let held = self.pool.held(now, &me);
        let borrow = Borrow { stamp, held, incarnation: self.incarnation };
        if let Some(loan) = self.floor.lend(now, &me, &borrow) {
            self.pool.accept(now, &me, now, &loan);
        }
    }

    fn on_borrow(
        &mut self,
        now: Instant,
        from: &VmId,
        borrow: &Borrow,
        peers: &[Peer],
        actions: &mut Vec<Action>,
    ) {
        if &self.home(peers) != from {
            return;
        }
        if let Some(loan) = self.floor.lend(now, from, borrow) {
            actions.push(self.send(from.clone(), Note::Loan(loan)));
        }
    }

    fn on_loan(
        &mut self,
        now: Instant,
        from: &VmId,
        loan: &Loan,
        peers: &[Peer],
        actions: &mut Vec<Action>,
    ) {
        let Some(sent) = self.sent_at(loan.stamp) else { return };
        if self.home(peers) == self.me.vm {
            self.pool.accept(now, from, sent, loan);
        } else if self.pool.held(now, from) != loan.id {
            let back = self.pool.decline(from, loan);
            actions.push(self.send(from.clone(), Note::Return(back)));
        }
    }

    fn on_ask(
        &mut self,
        now: Instant,
        from: &VmId,
        ask: &Ask,
        peers: &[Peer],
        actions: &mut Vec<Action>,
    ) {
        if self.home(peers) != self.me.vm {
            return;
        }
        // Own requests came first and are served first.
        actions.extend(self.pump(now, peers));
        if let Some(grant) = self.pool.grant(now, from, ask) {
            self.meter_of(now, from).count(now, ask.want.max(grant.tokens));
            actions.push(self.send(from.clone(), Note::Grant(grant)));
        }
    }

    fn on_grant(&mut self, now: Instant, from: &VmId, grant: &Grant, actions: &mut Vec<Action>) {
        if !self.wallet.accept(now, from, grant) {
            return;
        }
        let missing = self.queue.len() as f64 - self.wallet.tokens(now);
        if missing <= 0.0 {
            return;
        }
        let wait = Duration::from_micros(grant.wait_us);
        // Loans that arrive meanwhile can make the true wait shorter.
        self.next_ask = now + wait.min(self.settings.renew);
        self.refuse_hopeless(now, wait, actions);
    }

    /// Refuses at once what can't get a token in time, so that its caller need not wait.
    fn refuse_hopeless(&mut self, now: Instant, wait: Duration, actions: &mut Vec<Action>) {
        let served = self.wallet.tokens(now) as usize;
        let ready = now + wait;
        let mut kept = VecDeque::new();
        for (place, request) in std::mem::take(&mut self.queue).into_iter().enumerate() {
            if place >= served && request.until < ready {
                actions.push(Action::Refuse { ticket: request.ticket, retry: wait });
            } else {
                kept.push_back(request);
            }
        }
        self.queue = kept;
    }

    fn consider_move(&mut self, now: Instant, peers: &[Peer], actions: &mut Vec<Action>) {
        let Some(best) = self.busier_zone(now, peers) else {
            self.drift = None;
            return;
        };
        let since = *self.drift.get_or_insert(now);
        if now < since + self.settings.move_after {
            return;
        }
        self.drift = None;
        self.announced = Announced { term: self.announced.term + 1, vm: Some(best) };
        self.granted.clear();
        self.close_pool(now, actions);
        actions.push(Action::Announce);
    }

    /// The busiest live member of a zone whose demand is well above that of this zone.
    fn busier_zone(&mut self, now: Instant, peers: &[Peer]) -> Option<VmId> {
        let mut zones: BTreeMap<&ZoneId, f64> = BTreeMap::new();
        let mut members: BTreeMap<&VmId, f64> = BTreeMap::new();
        for peer in peers.iter().filter(|p| p.live || p.vm == self.me.vm) {
            let demand = self.granted.get_mut(&peer.vm).map_or(0.0, |m| m.rate(now));
            *zones.entry(&peer.zone).or_default() += demand;
            members.insert(&peer.vm, demand);
        }
        let own = zones.get(&self.me.zone).copied().unwrap_or(0.0);
        let (zone, demand) = zones.into_iter().max_by(|a, b| a.1.total_cmp(&b.1))?;
        if zone == &self.me.zone || demand < own * self.settings.move_factor + 1.0 {
            return None;
        }
        peers
            .iter()
            .filter(|p| p.live && &p.zone == zone)
            .max_by(|a, b| members[&a.vm].total_cmp(&members[&b.vm]))
            .map(|p| p.vm.clone())
    }

    fn close_pool(&mut self, now: Instant, actions: &mut Vec<Action>) {
        for (lender, back) in self.pool.close(now) {
            if lender == self.me.vm {
                self.floor.take_back(now, &lender, &back);
            } else {
                actions.push(self.send(lender, Note::Return(back)));
            }
        }
    }

    fn meter_of(&mut self, now: Instant, vm: &VmId) -> &mut Meter {
        self.granted.entry(vm.clone()).or_insert_with(|| Meter::new(now))
    }

    fn stamp(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.epoch);
        self.incarnation * 1_000 + elapsed.as_micros() as u64
    }

    /// The time of a stamp of this life; none for one of an earlier life.
    fn sent_at(&self, stamp: u64) -> Option<Instant> {
        let elapsed = stamp.checked_sub(self.incarnation * 1_000)?;
        Some(self.epoch + Duration::from_micros(elapsed))
    }

    fn send(&self, to: VmId, note: Note) -> Action {
        Action::Send { to, account: self.account.clone(), note }
    }
}
