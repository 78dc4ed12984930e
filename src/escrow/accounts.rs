//! Rate limiting of all accounts at one member.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::model::{Account, Incarnation, PoolPlace, VmId};
use crate::peer::PoolHome;
use crate::peer::ask::Note;
use crate::zone::PART_COUNT;

use super::account::AnnouncedHome;
use super::{AccountEscrow, Action, Admission, AdmissionRequest, PeerStatus, RateLimit, Settings};

/// An escrow message from another member.
#[derive(Clone, Debug, PartialEq)]
pub struct IncomingNote {
    /// The member that sent it.
    pub from: VmId,
    /// The account that it is about.
    pub account: Account,
    /// The message.
    pub note: Note,
}

/// The rate limiter of one member for all accounts.
///
/// A state machine without I/O: the caller passes the time, requests and messages in, and carries
/// out the actions that it returns.
///
/// ```
/// use std::time::{Duration, Instant};
/// use shallotstall::escrow::{Admission, AdmissionRequest, Escrow, PeerStatus, RateLimit, Settings};
/// use shallotstall::model::Account;
/// use shallotstall::zone::PART_COUNT;
///
/// let now = Instant::now();
/// let me = PeerStatus { vm: "a".into(), zone: "z1".into(), live: true };
/// let account = Account::new("rota", "zoo");
/// let mut escrow = Escrow::new(now, me, 1, Settings::default());
/// escrow.set_limit(now, &account, Some(RateLimit { rate: 10.0, burst: 5.0 }));
/// escrow.set_parts(now, PART_COUNT);
/// escrow.tick(now);
///
/// let later = now + Duration::from_secs(1);
/// let request = AdmissionRequest { id: 1, deadline: later };
/// let (admission, actions) = escrow.request(later, &account, request);
/// assert_eq!(admission, Admission::Admitted);
/// assert!(actions.is_empty());
/// ```
#[derive(Clone, Debug)]
pub struct Escrow {
    me: PeerStatus,
    incarnation: Incarnation,
    settings: Settings,
    peers: Vec<PeerStatus>,
    /// This member's share of every account's rate limit, in units of 1/[`PART_COUNT`].
    parts: u32,
    /// Each account's rate limit and its state at this member.
    accounts: BTreeMap<Account, (RateLimit, AccountEscrow)>,
}

impl Escrow {
    /// A limiter without accounts and with no members but `me`.
    pub fn new(now: Instant, me: PeerStatus, incarnation: Incarnation, settings: Settings) -> Self {
        let _ = now;
        let peers = vec![me.clone()];
        Self { me, incarnation, settings, peers, parts: 0, accounts: BTreeMap::new() }
    }

    /// Sets all members and which of them are live.
    pub fn set_peers(&mut self, peers: Vec<PeerStatus>) {
        self.peers = peers;
    }

    /// Sets the share of every account's rate limit that this member may use, in units of
    /// 1/[`PART_COUNT`].
    pub fn set_parts(&mut self, now: Instant, parts: u32) {
        self.parts = parts;
        let fraction = self.fraction();
        for (limit, escrow) in self.accounts.values_mut() {
            escrow.resize(now, quota_of(*limit, fraction));
        }
    }

    /// This member's share, in units of 1/[`PART_COUNT`].
    pub fn parts(&self) -> u32 {
        self.parts
    }

    /// True once neither this member nor a borrower can use more than the current share.
    pub fn is_settled(&mut self, now: Instant) -> bool {
        let fraction = self.fraction();
        self.accounts.values_mut().all(|(limit, escrow)| {
            let (quota, used) = (quota_of(*limit, fraction), escrow.max_in_use(now));
            used.rate <= quota.rate + 1e-9 && used.burst <= quota.burst + 1e-9
        })
    }

    /// Sets the rate limit of an account; without one, the account admits nothing.
    pub fn set_limit(&mut self, now: Instant, account: &Account, limit: Option<RateLimit>) {
        let fraction = self.fraction();
        let Some(limit) = limit else {
            if let Some((limit, escrow)) = self.accounts.get_mut(account) {
                *limit = RateLimit::ZERO;
                escrow.resize(now, *limit);
            }
            return;
        };
        let entry = self.accounts.entry(account.clone()).or_insert_with(|| {
            let me = self.me.clone();
            let escrow =
                AccountEscrow::new(now, me, self.incarnation, account.clone(), self.settings);
            (limit, escrow)
        });
        entry.0 = limit;
        entry.1.resize(now, quota_of(limit, fraction));
    }

    /// Sets whether an account's pool home follows the demand.
    pub fn set_pool_place(&mut self, account: &Account, place: PoolPlace) {
        if let Some((_, escrow)) = self.accounts.get_mut(account) {
            escrow.set_pool_place(place);
        }
    }

    /// The accounts that have, or had, a rate limit.
    pub fn accounts(&self) -> impl Iterator<Item = &Account> {
        self.accounts.keys()
    }

    /// Takes one token of an account, or queues the request. If the account is unknown, the returned
    /// action refuses the request.
    pub fn request(
        &mut self,
        now: Instant,
        account: &Account,
        request: AdmissionRequest,
    ) -> (Admission, Vec<Action>) {
        match self.accounts.get_mut(account) {
            Some((_, escrow)) => escrow.request(now, request, &self.peers),
            None => {
                let retry_after = self.settings.loan_ttl;
                (Admission::Waiting, vec![Action::Refuse { id: request.id, retry_after }])
            }
        }
    }

    /// Does what is due at `now`. Must be called every few milliseconds while requests wait, and
    /// otherwise at least every quarter of [`Settings::renew_interval`].
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let peers = &self.peers;
        self.accounts.values_mut().flat_map(|(_, escrow)| escrow.tick(now, peers)).collect()
    }

    /// Handles a message. One about an unknown account is ignored.
    pub fn receive(&mut self, now: Instant, incoming: &IncomingNote) -> Vec<Action> {
        match self.accounts.get_mut(&incoming.account) {
            Some((_, escrow)) => escrow.receive(now, &incoming.from, &incoming.note, &self.peers),
            None => Vec::new(),
        }
    }

    /// Handles the end of the process `incarnation` of `vm`.
    pub fn member_died(&mut self, now: Instant, vm: &VmId, incarnation: Incarnation) {
        for (_, escrow) in self.accounts.values_mut() {
            escrow.member_died(now, vm, incarnation);
        }
    }

    /// Returns all loans, before this member leaves.
    pub fn return_loans(&mut self, now: Instant) -> Vec<Action> {
        self.accounts.values_mut().flat_map(|(_, escrow)| escrow.return_loans(now)).collect()
    }

    /// The number of waiting requests of all accounts.
    pub fn waiting(&self) -> usize {
        self.accounts.values().map(|(_, escrow)| escrow.waiting()).sum()
    }

    /// The announced pool homes of all accounts, for heartbeats.
    pub fn homes(&self) -> Vec<PoolHome> {
        self.accounts
            .iter()
            .filter_map(|(account, (_, escrow))| {
                let AnnouncedHome { term, vm } = escrow.announced();
                Some(PoolHome {
                    service: account.service.to_string(),
                    customer: account.customer.to_string(),
                    term: *term,
                    vm: vm.as_ref()?.to_string(),
                })
            })
            .collect()
    }

    /// Applies the pool homes of a received heartbeat.
    pub fn learn_homes(&mut self, now: Instant, homes: &[PoolHome]) {
        for home in homes {
            let account = Account::new(home.service.as_str(), home.customer.as_str());
            if let Some((_, escrow)) = self.accounts.get_mut(&account) {
                let vm = Some(VmId::new(&home.vm));
                escrow.learn_home(now, AnnouncedHome { term: home.term, vm });
            }
        }
    }

    /// The state of one account at this member.
    pub fn account(&mut self, account: &Account) -> Option<&mut AccountEscrow> {
        self.accounts.get_mut(account).map(|(_, escrow)| escrow)
    }

    /// The pool home of an account, as far as this member knows.
    pub fn home(&self, account: &Account) -> Option<VmId> {
        self.accounts.get(account).map(|(_, escrow)| escrow.home(&self.peers))
    }

    fn fraction(&self) -> f64 {
        f64::from(self.parts) / f64::from(PART_COUNT)
    }
}

fn quota_of(limit: RateLimit, fraction: f64) -> RateLimit {
    RateLimit { rate: limit.rate * fraction, burst: limit.burst * fraction }
}
